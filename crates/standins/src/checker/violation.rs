//! Violations that a history can contain.

use serde::Deserialize;
use serde::Serialize;

/// A violated invariant, with the evidence for it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Violation {
    /// A backend server ran a request that no caller sent.
    Unasked {
        /// The backend server.
        server: String,
        /// The path.
        path: String,
    },
    /// A backend server received a caller's API key.
    KeySeen {
        /// The backend server.
        server: String,
        /// The path.
        path: String,
    },
    /// A non-idempotent request ran more than once.
    RanAgain {
        /// The client account.
        account: String,
        /// The idempotency key.
        key: String,
        /// The number of runs.
        runs: usize,
    },
    /// A request ran although its refusal stated that it did not.
    FalseRefusal {
        /// The request id.
        request: String,
        /// The backend server that ran it.
        server: String,
    },
    /// A caller received a truncated answer.
    CutAnswer {
        /// The request id.
        request: String,
    },
    /// A caller received the answer to another request.
    WrongAnswer {
        /// The request id.
        request: String,
        /// The request id in the answer.
        answered: String,
    },
    /// More requests ran for a client account than its rate and burst allow.
    OverRate {
        /// The client account.
        account: String,
        /// Requests above the limit in the worst window.
        excess: u64,
        /// The end of that window, in nanoseconds since the Unix epoch.
        until: u64,
    },
}
