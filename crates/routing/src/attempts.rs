//! Whether one request is tried again after a failed attempt.

use corianderway_model::Replay;
use smallvec::SmallVec;

use crate::fleet::Handle;

// Attempts whose backend servers are kept without an allocation.
const USUAL_ATTEMPTS: usize = 4;

/// How an attempt ended without an answer for the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The connection was not made, so no byte was accepted.
    NotConnected,
    /// The backend server answered that it did not run the request.
    Shed,
    /// Bytes were sent and no whole answer came.
    Cut,
    /// The backend server answered with an error of its own.
    Error,
}

impl Failure {
    /// Whether the request has certainly not run.
    pub const fn is_unrun(self) -> bool {
        matches!(self, Self::NotConnected | Self::Shed)
    }
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retry {
    /// Choose another backend server.
    Again,
    /// Stop; the request has not run.
    NotRun(Stop),
    /// Stop; the request may have run.
    MayHaveRun(Stop),
}

/// Why no further attempt is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stop {
    /// A second run could do harm.
    Unsafe,
    /// The most attempts for one request were made.
    Spent,
    /// The retry budget handed in is empty.
    NoBudget,
}

/// The attempts made for one request.
#[derive(Clone, Debug)]
pub struct Attempts {
    replay: Replay,
    most: usize,
    tried: SmallVec<[Handle; USUAL_ATTEMPTS]>,
    may_run: bool,
}

impl Attempts {
    /// Starts with no attempt made and at most `most` to make.
    pub fn new(replay: Replay, most: usize) -> Self {
        Self {
            replay,
            most,
            tried: SmallVec::new(),
            may_run: false,
        }
    }

    /// The backend servers tried so far, for [`Query::tried`](crate::Query::tried).
    pub fn tried(&self) -> &[Handle] {
        &self.tried
    }

    /// Notes the backend server of an attempt that is about to be made.
    pub fn start(&mut self, server: Handle) {
        self.tried.push(server);
    }

    /// Says whether the request is tried again.
    ///
    /// `budget` is asked last and once; a yes is counted as one retry.
    pub fn fail(&mut self, failure: Failure, budget: impl FnOnce() -> bool) -> Retry {
        self.may_run |= !failure.is_unrun();
        if self.may_run && self.replay != Replay::Idempotent {
            return self.stop(Stop::Unsafe);
        }
        if self.tried.len() >= self.most {
            return self.stop(Stop::Spent);
        }
        if budget() {
            Retry::Again
        } else {
            self.stop(Stop::NoBudget)
        }
    }

    /// Whether an attempt so far may have run the request.
    pub fn may_have_run(&self) -> bool {
        self.may_run
    }

    fn stop(&self, stop: Stop) -> Retry {
        if self.may_run {
            Retry::MayHaveRun(stop)
        } else {
            Retry::NotRun(stop)
        }
    }
}
