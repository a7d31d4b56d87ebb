//! What callers, endpoints and the operator saw during a run.

use std::time::Duration;
use std::time::Instant;

use crate::estate::RequestRecord;

/// The time for which an instance must have been left alone before a bound on
/// times holds for it, as on the platform.
pub(super) const SETTLED: Duration = Duration::from_secs(4);

/// What a request is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// May run more than once.
    Read,
    /// May run once only.
    Write,
    /// May run more than once, on a route that moves between services.
    Moved,
    /// Of an account with a low rate.
    Limited,
}

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// A whole answer.
    Answered {
        /// Its status.
        status: u16,
        /// Whether an endpoint made it.
        stamped: bool,
        /// The id of the request that it names.
        names: Option<String>,
        /// The body.
        body: String,
    },
    /// The connection ended without a whole answer.
    Cut,
}

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct Call {
    /// Its id.
    pub id: String,
    /// What it is for.
    pub kind: Kind,
    /// The key that came with it.
    pub key: String,
    /// The instance that was asked, and which run of it.
    pub node: usize,
    /// The run of the instance.
    pub run: u32,
    /// When it was sent.
    pub sent: Instant,
    /// When it ended.
    pub ended: Instant,
    /// How it ended.
    pub end: End,
}

/// A span in which an instance was disturbed; open while it lasts.
#[derive(Clone, Copy, Debug)]
pub(super) struct Disturbed {
    pub(super) node: usize,
    pub(super) from: Instant,
    pub(super) to: Option<Instant>,
    /// Whether it is a planned stop.
    pub(super) planned: bool,
}

/// A change that the store accepted.
#[derive(Clone, Debug)]
pub(super) enum Change {
    /// The route that moves leads to this service now.
    Route(&'static str),
    /// This key is withdrawn.
    KeyGone(String),
    /// This endpoint drains, or is gone.
    Leaving(String),
    /// This endpoint is back.
    Back(String),
}

/// Everything that was seen.
#[derive(Clone, Debug, Default)]
pub(super) struct History {
    pub(super) calls: Vec<Call>,
    pub(super) seen: Vec<RequestRecord>,
    pub(super) disturbed: Vec<Disturbed>,
    pub(super) changes: Vec<(Instant, Change)>,
    /// Spans in which the store was disturbed for all.
    pub(super) store: Vec<(Instant, Option<Instant>)>,
    /// Endpoints and when something was wrong with them or the way to them.
    pub(super) endpoints: Vec<(String, Instant, Option<Instant>)>,
}

impl Call {
    /// Whether it was answered with success.
    pub fn is_served(&self) -> bool {
        matches!(
            self.end,
            End::Answered {
                status: 200,
                stamped: true,
                ..
            }
        )
    }
}

impl History {
    /// Whether an instance and the store were left alone from [`SETTLED`]
    /// before one moment to another.
    pub(super) fn was_calm(&self, node: usize, from: Instant, to: Instant) -> bool {
        let from = from.checked_sub(SETTLED).unwrap_or(from);
        let touches = |since: Instant, until: Option<Instant>| {
            since <= to && until.is_none_or(|until| until >= from)
        };
        let own = self.disturbed.iter().filter(|d| d.node == node);
        let mut own = own.map(|d| touches(d.from, d.to));
        let mut store = self.store.iter().map(|s| touches(s.0, s.1));
        !own.any(|t| t) && !store.any(|t| t)
    }
}
