//! The requests that an instance holds open.

use std::sync::Arc;

use corianderway_control::ClaimOutcome;
use corianderway_model::Contract;
use corianderway_model::Route;
use corianderway_model::Time;
use corianderway_model::Version;
use corianderway_routing::Attempts;
use corianderway_routing::Ticket;

use crate::chart::State;
use crate::event::Outcome;
use crate::event::Query;
use crate::event::RequestId;
use crate::refusal::Reason;
use crate::refusal::Refusal;

/// One open request.
#[derive(Debug)]
pub(crate) struct Open {
    pub(crate) query: Query,
    pub(crate) contract: Arc<Contract>,
    pub(crate) route: Arc<Route>,
    pub(crate) state: State,
    /// The moment after which nothing may be sent.
    pub(crate) start_by: Time,
    pub(crate) deadline: Time,
    pub(crate) attempts: Attempts,
    /// Whether the rate of its client account has admitted it.
    pub(crate) rated: bool,
    /// When it stops to wait for quota.
    pub(crate) give_up: Option<Time>,
    /// Since when it waits for a slot, or has waited.
    pub(crate) waits: Option<Time>,
    /// When the last attempt was decided.
    pub(crate) forwarded: Option<Time>,
    /// The attempt that runs, at a backend server.
    pub(crate) ticket: Option<Ticket>,
    /// The name of the claim, once one is being made.
    pub(crate) claim: Option<Arc<str>>,
    /// The number under which the claim part forwarded it.
    pub(crate) attempt: u64,
    /// Whether an attempt was handed out since the claim part last heard.
    pub(crate) sent: bool,
    /// The version that was picked for the attempt.
    pub(crate) picked: Option<Version>,
    /// Attempts that broke after bytes were sent.
    pub(crate) broken: u32,
    /// The answer of an earlier sending.
    pub(crate) remembered: Option<Arc<ClaimOutcome>>,
    /// How the last attempt ended.
    pub(crate) outcome: Option<Outcome>,
    /// The refusal to be told, once one is decided.
    pub(crate) refusal: Option<Refusal>,
}

impl Open {
    /// The refusal for a reason; true also after an attempt that may have run.
    pub(crate) fn refuse(&self, reason: Reason) -> Refusal {
        if self.attempts.may_have_run() {
            Refusal::may_have_run(reason)
        } else {
            Refusal::not_run(reason)
        }
    }
}

/// All open requests, by number.
#[derive(Debug, Default)]
pub(crate) struct Table {
    // Sorted by number; numbers go up, so most insertions are at the end.
    rows: Vec<(RequestId, Open)>,
}

impl Table {
    pub(crate) fn insert(&mut self, open: Open) {
        let id = open.query.id;
        let at = self.rows.partition_point(|(known, _)| *known < id);
        self.rows.insert(at, (id, open));
    }

    pub(crate) fn take(&mut self, id: RequestId) -> Option<Open> {
        let at = self.rows.binary_search_by_key(&id, |row| row.0).ok()?;
        Some(self.rows.remove(at).1)
    }

    /// Takes the first request for which `wanted` holds.
    pub(crate) fn take_first(&mut self, wanted: impl Fn(&Open) -> bool) -> Option<Open> {
        let at = self.rows.iter().position(|(_, open)| wanted(open))?;
        Some(self.rows.remove(at).1)
    }

    /// Whether a request waits for a slot.
    pub(crate) fn is_queued(&self, id: RequestId) -> bool {
        self.state(id) == Some(State::Queued)
    }

    /// Whether a request waits for quota.
    pub(crate) fn is_waiting(&self, id: RequestId) -> bool {
        self.state(id) == Some(State::Waiting)
    }

    fn state(&self, id: RequestId) -> Option<State> {
        let at = self.rows.binary_search_by_key(&id, |row| row.0).ok()?;
        Some(self.rows[at].1.state)
    }

    pub(crate) fn len(&self) -> usize {
        self.rows.len()
    }
}
