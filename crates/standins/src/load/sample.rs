//! The measured outcome of one request.

use std::sync::Arc;
use std::time::Duration;

use crate::checker::Ran;

/// The latency and the attempts of one request.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Its index in the schedule.
    pub arrival: usize,
    /// The time from its scheduled time to the end of its last attempt.
    pub latency: Duration,
    /// Its attempts in order, at least one.
    pub attempts: Vec<Attempt>,
}

/// One attempt of a request.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The request id, unique among attempts.
    pub id: String,
    /// When it was sent, in nanoseconds since the Unix epoch.
    pub sent: u64,
    /// How it ended.
    pub end: End,
}

impl Sample {
    /// Returns how the last attempt ended.
    pub fn end(&self) -> &End {
        self.attempts.last().map_or(&End::Unreachable, |s| &s.end)
    }
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// A backend server answered.
    Answered {
        /// The HTTP status.
        status: u16,
        /// The last segment of the path in the answer, if it has one.
        echoed: Option<String>,
    },
    /// An entry instance refused the request.
    Refused {
        /// The refusal's code.
        code: Arc<str>,
        /// Whether the request may have run, according to the refusal.
        ran: Ran,
    },
    /// No complete answer was received.
    Lost,
    /// No connection could be made to any address.
    Unreachable,
}

impl End {
    /// Returns whether the caller doesn't know if the request ran.
    pub fn run_unknown(&self) -> bool {
        match self {
            Self::Answered { .. } => false,
            Self::Refused { ran, .. } => *ran == Ran::Maybe,
            Self::Lost | Self::Unreachable => true,
        }
    }

    /// Returns whether a backend server answered with a status below 500.
    pub fn served(&self) -> bool {
        matches!(self, Self::Answered { status, .. } if *status < 500)
    }
}
