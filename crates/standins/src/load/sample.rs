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
    /// When it was sent, in nanoseconds since the Unix epoch.
    pub sent: u64,
    /// How it ended.
    pub end: End,
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
    /// Whether the caller has what it asked for.
    pub fn served(&self) -> bool {
        matches!(self, Self::Answered { status, .. } if *status < 500)
    }
}
