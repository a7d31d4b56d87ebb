//! Platform reads of the epoch, and whether the platform is down.

use std::time::Duration;

use corianderway_model::Time;

/// The read in progress, and the results of the last ones.
#[derive(Debug, Default)]
pub(crate) struct PlatformReads {
    pending: Option<(u64, Time)>,
    // When the last successful read began.
    last_answered: Option<Time>,
    // When the platform was last found to be down.
    failed_at: Option<Time>,
}

impl PlatformReads {
    pub(crate) fn platform_down(&self) -> bool {
        self.failed_at.is_some()
    }

    pub(crate) fn last_answered(&self) -> Option<Time> {
        self.last_answered
    }

    /// Starts a read. Returns false if one is in progress.
    pub(crate) fn begin(&mut self, now: Time, nonce: u64) -> bool {
        let free = self.pending.is_none();
        self.pending.get_or_insert((nonce, now));
        free
    }

    /// Ends the read with this nonce. Returns when it began.
    pub(crate) fn end(&mut self, nonce: u64) -> Option<Time> {
        self.pending
            .take_if(|(n, _)| *n == nonce)
            .map(|(_, sent)| sent)
    }

    pub(crate) fn succeed(&mut self, sent: Time) {
        self.last_answered = Some(sent);
        self.failed_at = None;
    }

    pub(crate) fn fail(&mut self, now: Time) {
        self.failed_at = Some(now);
    }

    /// Abandons a read that exceeds `timeout`. Returns whether there was one.
    pub(crate) fn expire(&mut self, now: Time, timeout: Duration) -> bool {
        let late = self.pending.take_if(|(_, sent)| now.since(*sent) > timeout);
        late.is_some()
    }

    /// Ends an outage if a peer has evidence from the platform that is newer.
    pub(crate) fn recover(&mut self, platform: Option<Time>) {
        self.failed_at = self.failed_at.filter(|at| platform <= Some(*at));
    }
}
