//! Polls an operation until it ends and reports progress.

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

/// The time between two polls.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// The time after which an unchanged state is reported again.
const REPEAT_INTERVAL: Duration = Duration::from_secs(10);
/// The timeout if none is given.
const DEFAULT_TIMEOUT: Duration = Duration::from_hours(1);

/// The result of one poll.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Poll<T> {
    /// The state; a change is reported at once.
    pub state: String,
    /// The progress line that describes the state.
    pub text: String,
    /// The final result, if the operation has ended.
    pub end: Option<T>,
}

/// Polls until the operation ends and reports each change of its state.
///
/// `what` names the operation in the timeout error.
///
/// # Errors
///
/// Fails when a poll fails or `limit` passes before the operation ends.
pub fn poll_until_end<T>(
    out: Output,
    what: &str,
    limit: Duration,
    mut poll: impl FnMut() -> Result<Poll<T>>,
) -> Result<T> {
    let start = Instant::now();
    let mut reported: Option<(String, Instant)> = None;
    loop {
        let current = poll()?;
        let unchanged = reported
            .as_ref()
            .filter(|(state, _)| *state == current.state);
        if unchanged.is_none_or(|(_, at)| at.elapsed() >= REPEAT_INTERVAL) {
            let elapsed_secs = start.elapsed().as_secs_f64();
            out.progress(&format!("{elapsed_secs:>6.1}s {}", current.text));
            reported = Some((current.state, Instant::now()));
        }
        if let Some(end) = current.end {
            return Ok(end);
        }
        if start.elapsed() >= limit {
            return TimeoutSnafu { what, limit }.fail();
        }
        let remaining = limit.saturating_sub(start.elapsed());
        task::block_on(task::sleep(POLL_INTERVAL.min(remaining)));
    }
}

/// A duration as a command-line argument, such as `90s` or `5m`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DurationArg(pub Duration);

impl FromStr for DurationArg {
    type Err = String;

    fn from_str(text: &str) -> std::result::Result<Self, String> {
        let message = || format!("{text:?} is not a duration; write it as 90s or 5m");
        let deserializer = StrDeserializer::<serde::de::value::Error>::new(text);
        let span = DurationText::deserialize_as(deserializer).map_err(|_invalid| message())?;
        Ok(Self(span))
    }
}

/// Returns the given timeout, or the default.
pub fn limit_or_default(given: Option<DurationArg>) -> Duration {
    given.map_or(DEFAULT_TIMEOUT, |span| span.0)
}
