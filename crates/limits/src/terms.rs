//! The spans that the quota protocol runs by.

use std::time::Duration;

/// The spans that the quota protocol runs by; the same on all instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// How long evidence that an epoch is current lets a member use its floors.
    pub lease: Duration,
    /// How far the clocks of two instances may drift apart within a lease.
    pub drift: Duration,
    /// How long a loan lasts.
    pub loan: Duration,
    /// How long an unanswered question is waited for.
    pub answer: Duration,
    /// How long the list of live instances must differ from the epoch before
    /// a new epoch is proposed.
    pub quiet: Duration,
    /// How long members may vouch for each other without the platform.
    pub outage: Duration,
}

impl Default for Terms {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(10),
            drift: Duration::from_millis(500),
            loan: Duration::from_secs(8),
            answer: Duration::from_millis(300),
            quiet: Duration::from_secs(2),
            outage: Duration::from_hours(12),
        }
    }
}
