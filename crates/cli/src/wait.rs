//! Waiting for a move or a drain to end, with progress.

use std::str::FromStr;
use std::time::Duration;
use std::time::Instant;

use async_std::task;
use corianderway_model::DurationText;
use serde::de::value::StrDeserializer;
use serde_with::DeserializeAs;

use crate::error::Result;
use crate::error::TimeoutSnafu;
use crate::output::Output;

/// The time between two looks at the platform.
const LOOK: Duration = Duration::from_secs(1);

/// The time after which an unchanged state is told again.
const REMIND: Duration = Duration::from_secs(10);
/// The longest wait if none is given.
const USUAL_LIMIT: Duration = Duration::from_hours(1);

/// What a look has found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sight<T> {
    /// What it is; a change of it is told at once.
    pub state: String,
    /// What to tell of it.
    pub text: String,
    /// The end, if it has come.
    pub end: Option<T>,
}

/// Looks until the end has come, and tells each change.
///
/// # Errors
///
/// Fails when a look does or the limit passes first.
pub fn until_end<T>(
    out: Output,
    what: &str,
    limit: Duration,
    mut look: impl FnMut() -> Result<Sight<T>>,
) -> Result<T> {
    let start = Instant::now();
    let mut told: Option<(String, Instant)> = None;
    loop {
        let sight = look()?;
        let known = told.as_ref().filter(|(state, _)| *state == sight.state);
        if known.is_none_or(|(_, at)| at.elapsed() >= REMIND) {
            let passed = start.elapsed().as_secs_f64();
            out.progress(&format!("{passed:>6.1}s {}", sight.text));
            told = Some((sight.state, Instant::now()));
        }
        if let Some(end) = sight.end {
            return Ok(end);
        }
        if start.elapsed() >= limit {
            return TimeoutSnafu { what, limit }.fail();
        }
        let left = limit.saturating_sub(start.elapsed());
        task::block_on(task::sleep(LOOK.min(left)));
    }
}

/// A span of time as an argument, such as `90s` or `5m`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span(pub Duration);

impl FromStr for Span {
    type Err = String;

    fn from_str(text: &str) -> std::result::Result<Self, String> {
        let remedy = || format!("{text:?} is not a span of time; write it as 90s or 5m");
        let value = StrDeserializer::<serde::de::value::Error>::new(text);
        let span = DurationText::deserialize_as(value).map_err(|_invalid| remedy())?;
        Ok(Self(span))
    }
}

/// The longest wait.
pub fn limit(given: Option<Span>) -> Duration {
    given.map_or(USUAL_LIMIT, |span| span.0)
}
