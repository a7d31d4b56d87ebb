//! The record of a run: requests, faults and changes of the store.

use std::time::Duration;
use std::time::Instant;

use crate::estate::Rejection;
use crate::estate::RequestRecord;

/// The time for which an instance must have been undisturbed before the platform's
/// time bounds apply to it.
pub(super) const SETTLING_TIME: Duration = Duration::from_secs(4);

/// The kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Safe to run more than once.
    Read,
    /// Must run at most once.
    Write,
    /// Safe to run more than once, on a route that moves between services.
    Moved,
    /// Sent by the rate-limited client account.
    Limited,
}

/// The end of a request, as its caller observes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// A complete response.
    Answered {
        /// Its status.
        status: u16,
        /// Whether an endpoint produced it, rather than an instance.
        from_endpoint: bool,
        /// The request id in its headers.
        request_id: Option<String>,
        /// The body.
        body: String,
    },
    /// No complete response arrived.
    Incomplete,
    /// The caller left before a response arrived.
    Left,
}

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct Call {
    /// Its request id.
    pub id: String,
    /// Its kind.
    pub kind: Kind,
    /// The key that it carries.
    pub key: String,
    /// The index of the instance that received it.
    pub node: usize,
    /// The number of that instance's start.
    pub run: u32,
    /// Whether its deadline is short, so that a healthy fleet may miss it.
    pub is_hurried: bool,
    /// The time at which it was sent.
    pub sent: Instant,
    /// The time at which it ended.
    pub ended: Instant,
    /// Its result.
    pub end: End,
}

/// A disturbance of an instance; `to` is `None` while it lasts.
#[derive(Clone, Copy, Debug)]
pub(super) struct Disturbance {
    pub(super) node: usize,
    pub(super) from: Instant,
    pub(super) to: Option<Instant>,
    /// Whether it is a planned stop.
    pub(super) planned: bool,
}

/// A change that the store accepted.
#[derive(Clone, Debug)]
pub(super) enum Change {
    /// The route of [`Kind::Moved`] now leads to this service.
    Route(&'static str),
    /// This key is withdrawn.
    KeyWithdrawn(String),
    /// This endpoint is draining or removed.
    EndpointLeaving(String),
    /// This endpoint is ready again.
    EndpointReady(String),
}

/// Everything that was observed during a run.
#[derive(Clone, Debug, Default)]
pub(super) struct History {
    pub(super) calls: Vec<Call>,
    pub(super) requests: Vec<RequestRecord>,
    pub(super) rejections: Vec<Rejection>,
    pub(super) disturbances: Vec<Disturbance>,
    pub(super) changes: Vec<(Instant, Change)>,
    /// Spans in which no instance could reach the store.
    pub(super) store_faults: Vec<(Instant, Option<Instant>)>,
    /// Spans in which the link at an address held answers back or lost them. The address is
    /// the start of the identities of all endpoints that have it one after the other.
    pub(super) link_faults: Vec<(String, Instant, Instant)>,
    /// Spans in which an endpoint, by identity, or the link to it was faulty.
    pub(super) endpoint_faults: Vec<(String, Instant, Option<Instant>)>,
}

impl Call {
    /// Reports whether an endpoint answered it with status 200.
    pub fn is_served(&self) -> bool {
        matches!(
            self.end,
            End::Answered {
                status: 200,
                from_endpoint: true,
                ..
            }
        )
    }
}

impl Call {
    /// Reports whether an endpoint of this identity answered it with status 200.
    pub(super) fn is_served_by(&self, endpoint: &str) -> bool {
        let End::Answered { body, .. } = &self.end else {
            return false;
        };
        self.is_served() && body.strip_prefix("answer of ") == Some(endpoint)
    }
}

impl History {
    /// Reports whether the link to an endpoint held its answers back or lost them at a time.
    pub(super) fn were_answers_held(&self, endpoint: &str, at: Instant) -> bool {
        let mut faults = self
            .link_faults
            .iter()
            .filter(|row| endpoint.starts_with(&row.0));
        faults.any(|(_, from, to)| *from <= at && at <= *to)
    }

    /// Reports whether an instance and the store were undisturbed from [`SETTLING_TIME`]
    /// before `from` until `to`.
    pub(super) fn was_undisturbed(&self, node: usize, from: Instant, to: Instant) -> bool {
        let from = from.checked_sub(SETTLING_TIME).unwrap_or(from);
        let overlaps = |since: Instant, until: Option<Instant>| {
            since <= to && until.is_none_or(|until| until >= from)
        };
        let own = self.disturbances.iter().filter(|d| d.node == node);
        let mut own = own.map(|d| overlaps(d.from, d.to));
        let mut store = self.store_faults.iter().map(|s| overlaps(s.0, s.1));
        !own.any(|t| t) && !store.any(|t| t)
    }
}
