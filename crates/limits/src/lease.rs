//! Evidence that an epoch is current, and the lease that follows from it.

use std::time::Duration;

use corianderway_model::Time;

use crate::terms::Terms;

/// Moments, on the clock of this instance, at which the epoch was current.
///
/// A moment that a peer reports is an age; it counts from when the question
/// was sent, so that it is never later than the true moment.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Evidence {
    platform: Option<Time>,
    majority: Option<Time>,
}

impl Evidence {
    pub(crate) fn platform(&mut self, at: Time) {
        self.platform = self.platform.max(Some(at));
    }

    pub(crate) fn majority(&mut self, at: Time) {
        self.majority = self.majority.max(Some(at));
    }

    /// Takes the ages that a peer reported in answer to a question sent at `sent`.
    pub(crate) fn inherit(
        &mut self,
        sent: Time,
        platform: Option<Duration>,
        majority: Option<Duration>,
    ) {
        self.platform = self
            .platform
            .max(platform.and_then(|age| before(sent, age)));
        self.majority = self
            .majority
            .max(majority.and_then(|age| before(sent, age)));
    }

    pub(crate) fn last_platform(&self) -> Option<Time> {
        self.platform
    }

    /// The ages to report to a peer.
    pub(crate) fn ages(&self, now: Time) -> (Option<Duration>, Option<Duration>) {
        let age = |at: Time| now.since(at);
        (self.platform.map(age), self.majority.map(age))
    }

    /// The newest moment at which the epoch was surely current.
    ///
    /// A majority counts for the longest outage after the platform's last
    /// word, so that a forced epoch has an end to wait for.
    pub(crate) fn moment(&self, terms: &Terms) -> Option<Time> {
        let platform = self.platform?;
        let latest = platform + terms.outage;
        let majority = self.majority.map(|at| at.min(latest));
        Some(majority.map_or(platform, |at| at.max(platform)))
    }

    /// The end of the lease; the origin if there never was one.
    pub(crate) fn until(&self, terms: &Terms) -> Time {
        self.moment(terms).map_or(Time::ZERO, |at| at + terms.lease)
    }
}

fn before(at: Time, span: Duration) -> Option<Time> {
    let span = u64::try_from(span.as_nanos()).ok()?;
    at.nanos().checked_sub(span).map(Time::from_nanos)
}
