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

/// Returns the time since the machine started, suspension included.
///
/// # Panics
///
/// Panics if the system has no such clock, which Linux always has.
pub fn boot() -> Time {
    let mut time = libc::timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    #[expect(
        unsafe_code,
        reason = "the standard library's clock does not count suspension"
    )]
    // SAFETY: the pointer is to a value that lives through the call.
    let status = unsafe { libc::clock_gettime(libc::CLOCK_BOOTTIME, &raw mut time) };
    assert_eq!(status, 0, "the clock is always there");
    Time::from_nanos(time.tv_sec as u64 * 1_000_000_000 + time.tv_nsec as u64)
}

/// A monotonic clock that starts with the process.
///
/// It continues while the process is stopped, so an instance that resumes sees that its
/// leases have expired. It stands still while the machine is suspended; [`boot`] does not.
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
