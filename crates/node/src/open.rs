//! The requests that have been received and have not ended.

use std::sync::Arc;

use corianderway_control::ClaimOutcome;
use corianderway_model::Contract;
use corianderway_model::Route;
use corianderway_model::ServerId;
use corianderway_model::Time;
use corianderway_model::Version;
use corianderway_routing::Attempts;
use corianderway_routing::Ticket;

use crate::chart::State;
use crate::event::AttemptOutcome;
use crate::event::RequestHead;
use crate::event::RequestId;
use crate::refusal::Reason;
use crate::refusal::Refusal;

/// A request between its admission and its end, with its state in the chart.
#[derive(Debug)]
pub(crate) struct OpenRequest {
    pub(crate) query: RequestHead,
    pub(crate) contract: Arc<Contract>,
    pub(crate) route: Arc<Route>,
    pub(crate) state: State,
    /// The time after which the request must not be sent.
    pub(crate) start_by: Time,
    pub(crate) deadline: Time,
    pub(crate) attempts: Attempts,
    /// Whether the rate limit of its client account has admitted it.
    pub(crate) rate_admitted: bool,
    /// When the request stops waiting for quota. Set by its first wait, and cleared
    /// when the rate limit admits it.
    pub(crate) quota_deadline: Option<Time>,
    /// When the request was first queued for a slot.
    pub(crate) queued_since: Option<Time>,
    /// When the last attempt was sent.
    pub(crate) forwarded_at: Option<Time>,
    /// The running attempt, as counted by the fleet.
    pub(crate) ticket: Option<Ticket>,
    /// The name of its claim, once claiming has begun.
    pub(crate) claim: Option<Arc<str>>,
    /// The number of the claimed attempt, which the claims state machine expects back.
    pub(crate) claim_attempt: u64,
    /// Whether the claims state machine has replied before the attempt ended.
    pub(crate) claim_replied: bool,
    /// Whether an attempt was sent since the last report to the claims state machine.
    pub(crate) sent: bool,
    /// The version selected for the attempt.
    pub(crate) picked_version: Option<Version>,
    /// The retries after attempts whose connection broke after bytes were sent.
    pub(crate) broken_count: u32,
    /// The backend server that is checked, since the connection to it broke.
    pub(crate) checked_server: Option<ServerId>,
    /// The outcome to record in the claim, or the recorded one to replay.
    pub(crate) claim_outcome: Option<Arc<ClaimOutcome>>,
    /// How the last attempt ended.
    pub(crate) outcome: Option<AttemptOutcome>,
    /// The refusal to send, once one is decided.
    pub(crate) refusal: Option<Refusal>,
}

impl OpenRequest {
    /// Creates a refusal that says whether an attempt may have run the request.
    pub(crate) fn refuse(&self, reason: Reason) -> Refusal {
        if self.attempts.may_have_run() {
            Refusal::may_have_run(reason)
        } else {
            Refusal::not_run(reason).under_key(self.query.idempotency_key.as_deref())
        }
    }
}

/// The open requests by number. Each request is either in this table or in the hands of
/// the step that processes it.
#[derive(Debug, Default)]
pub(crate) struct OpenRequests {
    // Sorted by number. Numbers increase, so most insertions are at the end.
    rows: Vec<(RequestId, OpenRequest)>,
}

impl OpenRequests {
    pub(crate) fn insert(&mut self, open: OpenRequest) {
        let id = open.query.id;
        let at = self.rows.partition_point(|(known, _)| *known < id);
        self.rows.insert(at, (id, open));
    }

    pub(crate) fn take(&mut self, id: RequestId) -> Option<OpenRequest> {
        let at = self.rows.binary_search_by_key(&id, |row| row.0).ok()?;
        Some(self.rows.remove(at).1)
    }

    /// Removes and returns the first request that matches `predicate`.
    pub(crate) fn take_first(
        &mut self,
        predicate: impl Fn(&OpenRequest) -> bool,
    ) -> Option<OpenRequest> {
        let at = self.rows.iter().position(|(_, open)| predicate(open))?;
        Some(self.rows.remove(at).1)
    }

    /// Whether the request is queued for a slot.
    pub(crate) fn is_queued(&self, id: RequestId) -> bool {
        self.state(id) == Some(State::Queued)
    }

    /// Whether the request waits for quota.
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
