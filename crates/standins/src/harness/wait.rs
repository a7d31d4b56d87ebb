//! Waiting for a condition with a deadline.

use std::time::Duration;
use std::time::Instant;

use crate::harness::error::Error;

/// The span between two looks at a condition.
const LOOK: Duration = Duration::from_millis(5);

/// Looks again and again until the condition gives a value.
///
/// # Errors
///
/// Fails when the deadline passes first.
pub fn until<T>(
    what: &str,
    limit: Duration,
    mut condition: impl FnMut() -> Option<T>,
) -> Result<T, Error> {
    let end = Instant::now() + limit;
    loop {
        if let Some(value) = condition() {
            return Ok(value);
        }
        if Instant::now() >= end {
            let what = what.to_owned();
            return Err(Error::Deadline { what, limit });
        }
        std::thread::sleep(LOOK);
    }
}
