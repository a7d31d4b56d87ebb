//! What a node tells operators: one record for each event.

use std::sync::Arc;
use std::time::Duration;

use corianderway_model::Account;
use corianderway_model::InstanceId;
use corianderway_model::RouteName;

use crate::refusal::Ran;
use crate::refusal::Reason;

/// One event, as a log line, a measurement and an explanation show it.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// A backend server was chosen for a request.
    Routed {
        /// The request id.
        trace: Arc<str>,
        /// The client account.
        account: Account,
        /// The route.
        route: RouteName,
        /// The attempt, from 1.
        attempt: usize,
        /// The choice as key=value pairs.
        choice: Arc<str>,
        /// The region chosen.
        region: Arc<str>,
        /// The version chosen.
        version: Arc<str>,
    },
    /// A request was refused.
    Refused {
        /// The request id.
        trace: Arc<str>,
        /// The client account, where it is known.
        account: Option<Account>,
        /// The route, where it is known.
        route: Option<RouteName>,
        /// Why.
        reason: Reason,
        /// Whether it ran.
        ran: Ran,
    },
    /// The head of an answer came.
    Answered {
        /// The request id.
        trace: Arc<str>,
        /// The client account.
        account: Account,
        /// The route.
        route: RouteName,
        /// The HTTP status.
        status: u16,
        /// The time from the decision to the head of the answer.
        took: Duration,
    },
    /// An attempt ended without an answer.
    Failed {
        /// The request id.
        trace: Arc<str>,
        /// The backend server.
        server: Arc<str>,
        /// How it ended.
        outcome: &'static str,
    },
    /// A backend server changed its state.
    Server {
        /// The backend server.
        server: Arc<str>,
        /// The state before.
        from: &'static str,
        /// The state now.
        to: &'static str,
    },
    /// A configuration object came into force or was rejected.
    Config {
        /// The kind and name.
        object: Arc<str>,
        /// The version.
        version: u64,
        /// What became of it.
        verdict: Arc<str>,
    },
    /// Another instance was first heard of or lost.
    Peer {
        /// The instance.
        peer: InstanceId,
        /// What changed.
        change: &'static str,
    },
    /// Something else worth a line.
    Note {
        /// The event.
        event: &'static str,
        /// What it is about.
        detail: Arc<str>,
    },
}

/// How much a record matters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Weight {
    /// An operator should look.
    Warn,
    /// The usual course.
    Info,
}

/// One pair of a log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Field {
    /// A name and a value.
    Pair(&'static str, String),
    /// Pairs that were put together before.
    Pairs(Arc<str>),
}

impl Record {
    /// The name of the event.
    pub const fn event(&self) -> &'static str {
        match self {
            Self::Routed { .. } => "routed",
            Self::Refused { .. } => "refused",
            Self::Answered { .. } => "answered",
            Self::Failed { .. } => "attempt-failed",
            Self::Server { .. } => "server-state",
            Self::Config { .. } => "config",
            Self::Peer { .. } => "peer",
            Self::Note { event, .. } => event,
        }
    }

    /// How much the record matters.
    pub const fn weight(&self) -> Weight {
        match self {
            Self::Failed { .. } | Self::Server { .. } => Weight::Warn,
            Self::Routed { .. }
            | Self::Refused { .. }
            | Self::Answered { .. }
            | Self::Config { .. }
            | Self::Peer { .. }
            | Self::Note { .. } => Weight::Info,
        }
    }

    /// The request id, where the record is about a request.
    pub const fn trace(&self) -> Option<&Arc<str>> {
        match self {
            Self::Routed { trace, .. }
            | Self::Refused { trace, .. }
            | Self::Answered { trace, .. }
            | Self::Failed { trace, .. } => Some(trace),
            Self::Server { .. } | Self::Config { .. } | Self::Peer { .. } | Self::Note { .. } => {
                None
            }
        }
    }

    /// The pairs of the log line, without the event.
    pub fn fields(&self) -> Vec<Field> {
        match self {
            Self::Routed {
                trace,
                account,
                route,
                attempt,
                choice,
                ..
            } => vec![
                pair("request", trace),
                pair("account", account),
                pair("route", route),
                pair("attempt", attempt),
                Field::Pairs(Arc::clone(choice)),
            ],
            Self::Refused {
                trace,
                account,
                route,
                reason,
                ran,
            } => vec![
                pair("request", trace),
                pair("account", account.as_ref().map_or("-", Account::as_str)),
                pair("route", route.as_ref().map_or("-", RouteName::as_str)),
                pair("reason", reason.code()),
                pair("ran", ran.code()),
            ],
            Self::Answered {
                trace,
                account,
                route,
                status,
                took,
            } => vec![
                pair("request", trace),
                pair("account", account),
                pair("route", route),
                pair("status", status),
                pair("took_us", took.as_micros()),
            ],
            Self::Failed {
                trace,
                server,
                outcome,
            } => vec![
                pair("request", trace),
                pair("server", server),
                pair("outcome", outcome),
            ],
            Self::Server { server, from, to } => {
                vec![pair("server", server), pair("from", from), pair("to", to)]
            }
            Self::Config {
                object,
                version,
                verdict,
            } => vec![
                pair("object", object),
                pair("version", version),
                pair("verdict", verdict),
            ],
            Self::Peer { peer, change } => vec![pair("peer", peer), pair("change", change)],
            Self::Note { detail, .. } => vec![pair("detail", detail)],
        }
    }

    /// The labels of a measurement; their values come from the configuration.
    pub fn labels(&self) -> Vec<(&'static str, String)> {
        match self {
            Self::Routed {
                account,
                route,
                region,
                version,
                ..
            } => vec![
                ("account", account.to_string()),
                ("route", route.to_string()),
                ("region", region.to_string()),
                ("version", version.to_string()),
            ],
            Self::Refused {
                account,
                route,
                reason,
                ..
            } => vec![
                ("account", name(account.as_ref().map(Account::as_str))),
                ("route", name(route.as_ref().map(RouteName::as_str))),
                ("reason", reason.code().to_owned()),
            ],
            Self::Answered { account, route, .. } => vec![
                ("account", account.to_string()),
                ("route", route.to_string()),
            ],
            Self::Failed { .. }
            | Self::Server { .. }
            | Self::Config { .. }
            | Self::Peer { .. }
            | Self::Note { .. } => Vec::new(),
        }
    }
}

fn pair(name: &'static str, value: impl ToString) -> Field {
    Field::Pair(name, value.to_string())
}

fn name(name: Option<&str>) -> String {
    name.unwrap_or("-").to_owned()
}
