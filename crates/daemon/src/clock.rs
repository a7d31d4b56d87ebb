//! The clock of one process.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use corianderway_model::Time;

/// The wall clock, in milliseconds since the Unix epoch.
pub fn wall() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |span| span.as_millis() as u64)
}

/// Reads the time since the start of the process.
///
/// The clock goes on while the process is stopped, so a paused holder of a
/// lease sees on waking that the lease has lapsed.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// Starts a clock.
    pub fn start() -> Self {
        Self(Instant::now())
    }

    /// The present moment.
    pub fn now(self) -> Time {
        Time::ZERO + self.0.elapsed()
    }

    /// The span from now to a moment; zero when it has passed.
    pub fn until(self, moment: Time) -> Duration {
        moment.since(self.now())
    }
}
