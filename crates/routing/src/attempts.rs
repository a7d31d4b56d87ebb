//! The decision whether a request is retried after a failed attempt.
//!
//! A request that may have run is retried only if its route is idempotent. The
//! number of attempts and the caller's retry budget limit all retries.

use corianderway_model::Replay;
use smallvec::SmallVec;

use crate::fleet::Handle;

// Number of attempts that are stored without a heap allocation.
const INLINE_ATTEMPTS: usize = 4;

/// Why an attempt gave no response for the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The connection was not established, so no byte was accepted.
    NotConnected,
    /// The backend server responded that it did not run the request.
    Shed,
    /// Bytes were sent, and no complete response arrived.
    Interrupted,
    /// The backend server responded with an error.
    Error,
}

impl Failure {
    /// Returns whether the request has certainly not run.
    pub const fn is_not_run(self) -> bool {
        matches!(self, Self::NotConnected | Self::Shed)
    }
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retry {
    /// Send the request to another backend server.
    Again,
    /// Stop; the request has not run.
    NotRun(StopReason),
    /// Stop; the request may have run.
    MayHaveRun(StopReason),
}

/// Why no further attempt is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// The request may have run, and its route is not idempotent.
    NotIdempotent,
    /// The maximum number of attempts was made.
    MaxAttempts,
    /// The retry budget is used up.
    NoBudget,
}

/// The attempts made for one request, and whether one may have run it.
#[derive(Clone, Debug)]
pub struct Attempts {
    replay: Replay,
    limit: usize,
    tried: SmallVec<[Handle; INLINE_ATTEMPTS]>,
    may_have_run: bool,
}

impl Attempts {
    /// Creates a record without attempts, that allows at most `limit` of them.
    pub fn new(replay: Replay, limit: usize) -> Self {
        Self {
            replay,
            limit,
            tried: SmallVec::new(),
            may_have_run: false,
        }
    }

    /// Returns the backend servers tried so far, for
    /// [`Query::tried`](crate::Query::tried).
    pub fn tried(&self) -> &[Handle] {
        &self.tried
    }

    /// Records an attempt that is about to be made.
    pub fn record_attempt(&mut self, server: Handle) {
        self.tried.push(server);
    }

    /// Records that the last attempt failed, and decides whether to retry.
    ///
    /// `budget` is called at most once, and only if nothing else rules a retry
    /// out. If it returns true, the request is retried, so `budget` must count
    /// one retry.
    pub fn record_failure(&mut self, failure: Failure, budget: impl FnOnce() -> bool) -> Retry {
        self.may_have_run |= !failure.is_not_run();
        if self.may_have_run && self.replay != Replay::Idempotent {
            return self.stop(StopReason::NotIdempotent);
        }
        if self.tried.len() >= self.limit {
            return self.stop(StopReason::MaxAttempts);
        }
        if budget() {
            Retry::Again
        } else {
            self.stop(StopReason::NoBudget)
        }
    }

    /// Returns whether an attempt so far may have run the request.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    fn stop(&self, reason: StopReason) -> Retry {
        if self.may_have_run {
            Retry::MayHaveRun(reason)
        } else {
            Retry::NotRun(reason)
        }
    }
}
