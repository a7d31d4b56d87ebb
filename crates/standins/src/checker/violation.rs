//! What a history must not show.

use serde::Deserialize;
use serde::Serialize;

/// One breach of what must always hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Violation {
    /// A backend server ran what no caller sent.
    Unasked {
        /// The backend server.
        server: String,
        /// The path.
        path: String,
    },
    /// A backend server saw a caller's key.
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
        /// How often it ran.
        runs: usize,
    },
    /// A request ran although its caller was told that it did not.
    FalseRefusal {
        /// The request id.
        request: String,
        /// The backend server that ran it.
        server: String,
    },
    /// An answer ended early and its caller took it for whole.
    CutAnswer {
        /// The request id.
        request: String,
    },
    /// A caller got the answer to another request.
    WrongAnswer {
        /// The request id.
        request: String,
        /// The request id that the answer names.
        answered: String,
    },
    /// More was admitted for a client account than its rate and burst.
    OverRate {
        /// The client account.
        account: String,
        /// Requests above the limit in the worst window.
        excess: u64,
        /// The end of that window, in nanoseconds since the Unix epoch.
        until: u64,
    },
}
