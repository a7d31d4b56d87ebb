//! Durations of the quota protocol.

use std::time::Duration;

/// Durations of the quota protocol. They must be the same on all instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// How long a member may use its floors after evidence that its epoch is
    /// current.
    pub lease: Duration,
    /// The maximum difference that two clocks may accumulate within a lease.
    pub max_drift: Duration,
    /// The duration of a loan.
    pub loan: Duration,
    /// The time to wait for an answer.
    pub reply_timeout: Duration,
    /// How long the live instances must differ from the members before a new
    /// epoch is proposed.
    pub settle_delay: Duration,
    /// How long members may renew their leases from a majority without the
    /// platform.
    pub max_outage: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(10),
            max_drift: Duration::from_millis(500),
            loan: Duration::from_secs(8),
            reply_timeout: Duration::from_millis(300),
            settle_delay: Duration::from_secs(2),
            max_outage: Duration::from_hours(12),
        }
    }
}
