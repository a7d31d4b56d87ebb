//! The clocks of the process.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use corianderway_model::Time;

/// Returns the wall-clock time in milliseconds since the Unix epoch.
pub fn wall() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |span| span.as_millis() as u64)
}

/// A monotonic clock that starts with the process.
///
/// It continues while the process is suspended, so an instance that resumes sees
/// that its leases have expired.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    pub fn start() -> Self {
        Self(Instant::now())
    }

    /// Returns the current time.
    pub fn now(self) -> Time {
        Time::ZERO + self.0.elapsed()
    }

    /// Returns the duration from now until `moment`, or zero if it has passed.
    pub fn until(self, moment: Time) -> Duration {
        moment.since(self.now())
    }
}
