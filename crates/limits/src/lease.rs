//! Evidence that an epoch is current, and the lease that follows from it.

use std::time::Duration;

use corianderway_model::Time;

use crate::timing::Timing;

/// The latest times, on this instance's clock, at which the epoch was known to
/// be current.
///
/// A peer reports an age. It is subtracted from when the query was sent, so the
/// result is never later than the true time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Evidence {
    platform: Option<Time>,
    majority: Option<Time>,
}

impl Evidence {
    pub(crate) fn record_platform(&mut self, at: Time) {
        self.platform = self.platform.max(Some(at));
    }

    pub(crate) fn record_majority(&mut self, at: Time) {
        self.majority = self.majority.max(Some(at));
    }

    /// Merges the ages that a peer reported in answer to a query sent at
    /// `sent`.
    pub(crate) fn merge_reported(
        &mut self,
        sent: Time,
        platform: Option<Duration>,
        majority: Option<Duration>,
    ) {
        self.platform = self
            .platform
            .max(platform.and_then(|age| subtract(sent, age)));
        self.majority = self
            .majority
            .max(majority.and_then(|age| subtract(sent, age)));
    }

    pub(crate) fn last_platform(&self) -> Option<Time> {
        self.platform
    }

    /// The ages to report to a peer.
    pub(crate) fn ages(&self, now: Time) -> (Option<Duration>, Option<Duration>) {
        let age = |at: Time| now.since(at);
        (self.platform.map(age), self.majority.map(age))
    }

    /// The latest time at which the epoch was certainly current.
    ///
    /// Evidence from a majority counts only up to the maximum outage after the
    /// last evidence from the platform, so that a forced epoch knows how long
    /// to wait.
    pub(crate) fn last_current(&self, timing: &Timing) -> Option<Time> {
        let platform = self.platform?;
        let latest = platform + timing.max_outage;
        let majority = self.majority.map(|at| at.min(latest));
        Some(majority.map_or(platform, |at| at.max(platform)))
    }

    /// The end of the lease; [`Time::ZERO`] if there has been no evidence.
    pub(crate) fn lease_end(&self, timing: &Timing) -> Time {
        self.last_current(timing)
            .map_or(Time::ZERO, |at| at + timing.lease)
    }
}

fn subtract(at: Time, span: Duration) -> Option<Time> {
    let span = u64::try_from(span.as_nanos()).ok()?;
    at.as_nanos().checked_sub(span).map(Time::from_nanos)
}
