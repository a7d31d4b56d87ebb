//! The records of a node's decisions, for logs, metrics and explanations.

use std::sync::Arc;
use std::time::Duration;

use corianderway_model::Account;
use corianderway_model::InstanceId;
use corianderway_model::RouteName;

use crate::refusal::Ran;
use crate::refusal::Reason;

/// One event, rendered as a log line, a metric and a part of an explanation.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// A backend server was selected for a request.
    Routed {
        /// The request id.
        request_id: Arc<str>,
        /// The client account.
        account: Account,
        /// The route.
        route: RouteName,
        /// The number of the attempt, from 1.
        attempt: usize,
        /// The reasons of the choice as `key=value` pairs.
        choice: Arc<str>,
        /// The region of the backend server.
        region: Arc<str>,
        /// The version of the backend server.
        version: Arc<str>,
    },
    /// A request was refused.
    Refused {
        /// The request id.
        request_id: Arc<str>,
        /// The client account, where it is known.
        account: Option<Account>,
        /// The route, where it is known.
        route: Option<RouteName>,
        /// The reason.
        reason: Reason,
        /// Whether the request ran.
        ran: Ran,
    },
    /// The head of a response was received.
    Answered {
        /// The request id.
        request_id: Arc<str>,
        /// The client account.
        account: Account,
        /// The route.
        route: RouteName,
        /// The HTTP status.
        status: u16,
        /// The time from the routing decision to the head of the response.
        took: Duration,
    },
    /// An attempt ended without a response.
    Failed {
        /// The request id.
        request_id: Arc<str>,
        /// The backend server.
        server: Arc<str>,
        /// How it ended.
        outcome: &'static str,
    },
    /// The state of a backend server changed.
    Server {
        /// The backend server.
        server: Arc<str>,
        /// The previous state.
        from: &'static str,
        /// The new state.
        to: &'static str,
    },
    /// A configuration object came into force or was rejected.
    Config {
        /// Its kind and name.
        object: Arc<str>,
        /// The version.
        version: u64,
        /// `in-force`, `ended`, `rejected` or the error.
        verdict: Arc<str>,
    },
    /// Another instance became known or was lost.
    Peer {
        /// The instance.
        peer: InstanceId,
        /// The change.
        change: &'static str,
    },
    /// Any other event.
    Other {
        /// The name of the event.
        event: &'static str,
        /// The details.
        detail: Arc<str>,
    },
}

/// The severity of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// Needs an operator's attention.
    Warn,
    /// Normal operation.
    Info,
}

/// A part of a log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Field {
    /// One name and its value.
    Pair(&'static str, String),
    /// Several pairs as formatted text.
    Formatted(Arc<str>),
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
            Self::Other { event, .. } => event,
        }
    }

    /// The severity of the record.
    pub const fn severity(&self) -> Severity {
        match self {
            Self::Failed { .. } | Self::Server { .. } => Severity::Warn,
            Self::Routed { .. }
            | Self::Refused { .. }
            | Self::Answered { .. }
            | Self::Config { .. }
            | Self::Peer { .. }
            | Self::Other { .. } => Severity::Info,
        }
    }

    /// The request id, if the record concerns a request.
    pub const fn request_id(&self) -> Option<&Arc<str>> {
        match self {
            Self::Routed { request_id, .. }
            | Self::Refused { request_id, .. }
            | Self::Answered { request_id, .. }
            | Self::Failed { request_id, .. } => Some(request_id),
            Self::Server { .. } | Self::Config { .. } | Self::Peer { .. } | Self::Other { .. } => {
                None
            }
        }
    }

    /// The fields of the log line, without the event.
    pub fn fields(&self) -> Vec<Field> {
        match self {
            Self::Routed {
                request_id,
                account,
                route,
                attempt,
                choice,
                ..
            } => vec![
                pair("request", request_id),
                pair("account", account),
                pair("route", route),
                pair("attempt", attempt),
                Field::Formatted(Arc::clone(choice)),
            ],
            Self::Refused {
                request_id,
                account,
                route,
                reason,
                ran,
            } => vec![
                pair("request", request_id),
                pair("account", account.as_ref().map_or("-", Account::as_str)),
                pair("route", route.as_ref().map_or("-", RouteName::as_str)),
                pair("reason", reason.code()),
                pair("ran", ran.code()),
            ],
            Self::Answered {
                request_id,
                account,
                route,
                status,
                took,
            } => vec![
                pair("request", request_id),
                pair("account", account),
                pair("route", route),
                pair("status", status),
                pair("took_us", took.as_micros()),
            ],
            Self::Failed {
                request_id,
                server,
                outcome,
            } => vec![
                pair("request", request_id),
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
            Self::Other { detail, .. } => vec![pair("detail", detail)],
        }
    }

    /// The labels of the metric. Their values are names from the configuration, which
    /// bounds their number.
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
            | Self::Other { .. } => Vec::new(),
        }
    }
}

fn pair(name: &'static str, value: impl ToString) -> Field {
    Field::Pair(name, value.to_string())
}

fn name(name: Option<&str>) -> String {
    name.unwrap_or("-").to_owned()
}
