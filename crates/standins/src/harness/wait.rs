//! Polling for a condition with a deadline.

use std::time::Duration;
use std::time::Instant;

use crate::harness::error::Error;

/// The interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Polls a condition until it returns a value.
///
/// # Errors
///
/// Fails when the time limit passes first; `what` names the condition in the error.
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
        std::thread::sleep(POLL_INTERVAL);
    }
}
