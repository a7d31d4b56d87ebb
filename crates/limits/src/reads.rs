//! Reads of the epoch from the platform, and whether the platform is out.

use std::time::Duration;

use corianderway_model::Time;

/// The read in progress and how the last ones ended.
#[derive(Debug, Default)]
pub(crate) struct Reads {
    open: Option<(u64, Time)>,
    // When the last read that was answered began.
    answered: Option<Time>,
    // When the platform was last found out.
    failed: Option<Time>,
}

impl Reads {
    pub(crate) fn outage(&self) -> bool {
        self.failed.is_some()
    }

    pub(crate) fn answered(&self) -> Option<Time> {
        self.answered
    }

    /// Notes a read that begins; false if one is in progress.
    pub(crate) fn begin(&mut self, now: Time, nonce: u64) -> bool {
        let free = self.open.is_none();
        self.open.get_or_insert((nonce, now));
        free
    }

    /// Ends the read with this nonce; says when it began.
    pub(crate) fn end(&mut self, nonce: u64) -> Option<Time> {
        self.open
            .take_if(|(n, _)| *n == nonce)
            .map(|(_, sent)| sent)
    }

    pub(crate) fn succeed(&mut self, sent: Time) {
        self.answered = Some(sent);
        self.failed = None;
    }

    pub(crate) fn fail(&mut self, now: Time) {
        self.failed = Some(now);
    }

    /// Gives up a read that takes too long; true if there was one.
    pub(crate) fn expire(&mut self, now: Time, wait: Duration) -> bool {
        let late = self.open.take_if(|(_, sent)| now.since(*sent) > wait);
        late.is_some()
    }

    /// Ends an outage that a peer's newer evidence from the platform disproves.
    pub(crate) fn recover(&mut self, platform: Option<Time>) {
        self.failed = self.failed.filter(|at| platform <= Some(*at));
    }
}
