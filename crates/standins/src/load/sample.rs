//! What became of one request.

use std::sync::Arc;
use std::time::Duration;

use crate::checker::Ran;

/// What became of one request.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Its place in the schedule.
    pub arrival: usize,
    /// From the time at which it should have been sent to the end of its answer.
    pub latency: Duration,
    /// Each time it was sent, in order; at least once.
    pub sendings: Vec<Sending>,
}

/// One sending of a request.
#[derive(Clone, Debug)]
pub struct Sending {
    /// The request id, unique among sendings.
    pub id: String,
    /// When it was sent, in nanoseconds since the Unix epoch.
    pub sent: u64,
    /// How it ended.
    pub end: End,
}

impl Sample {
    /// How the last sending ended.
    pub fn end(&self) -> &End {
        self.sendings.last().map_or(&End::Unreachable, |s| &s.end)
    }
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// A backend server answered.
    Answered {
        /// The status.
        status: u16,
        /// The request id that the answer names.
        echoed: Option<String>,
    },
    /// An entry instance refused.
    Refused {
        /// The code of the refusal.
        code: Arc<str>,
        /// What the refusal says of the run.
        ran: Ran,
    },
    /// No whole answer came.
    Lost,
    /// No connection could be made to any address.
    Unreachable,
}

impl End {
    /// Whether the caller does not know if the request ran.
    pub fn open(&self) -> bool {
        match self {
            Self::Answered { .. } => false,
            Self::Refused { ran, .. } => *ran == Ran::Maybe,
            Self::Lost | Self::Unreachable => true,
        }
    }

    /// Whether the caller has what it asked for.
    pub fn served(&self) -> bool {
        matches!(self, Self::Answered { status, .. } if *status < 500)
    }
}
