//! Connects the claims state machine with requests and with the platform's store.
//!
//! A claim is a stored object that ensures that a non-idempotent request runs at most
//! once, however often and at whichever instance the caller sends it. It is used where
//! the backend servers do not deduplicate requests themselves.

use std::sync::Arc;

use corianderway_control::BackendAnswer;
use corianderway_control::ClaimAction;
use corianderway_control::ClaimEvent;
use corianderway_control::ClaimOutcome;
use corianderway_control::ClaimRecord;
use corianderway_control::Nonce;
use corianderway_control::OnceRequest;
use corianderway_control::Precondition;
use corianderway_control::Reply;
use corianderway_control::RequestId as ClaimId;
use corianderway_control::RequestKey;
use corianderway_control::StoreAnswer;
use corianderway_model::Time;
use rand::Rng as _;

use crate::chart::Signal;
use crate::chart::State;
use crate::event::Action;
use crate::event::AttemptOutcome;
use crate::event::ReadOutcome;
use crate::event::RequestId;
use crate::event::StoredValue;
use crate::event::Write;
use crate::event::WriteOutcome;
use crate::node::Node;
use crate::open::OpenRequest;
use crate::refusal::Ran;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::tickets::Purpose;

/// The kind of the stored objects that hold claims.
pub(crate) const CLAIM_KIND: &str = "claims";

/// The fraction of a request's remaining time in which it may be sent. The rest is for
/// its response.
const START_FRACTION: f64 = 0.75;

impl Node {
    /// Begins to claim a request.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the idempotency key is malformed, too old or from the
    /// future.
    pub(crate) fn begin_claim(&mut self, now: Time, open: &mut OpenRequest) -> Result<(), Refusal> {
        let unusable = Refusal::not_run(Reason::TokenUnusable);
        let token = open.query.idempotency_key.as_deref().unwrap_or_default();
        let key = RequestKey::try_from(token).map_err(|_malformed| unusable)?;
        key.check_age(self.unix_seconds(now))
            .map_err(|_age| unusable.under_key(Some(token)))?;
        let left = open.deadline.since(now);
        let account = open.contract.account.clone();
        open.claim = Some(key.claim_name(&account).into());
        open.start_by = now + left.mul_f64(START_FRACTION);
        let request = OnceRequest {
            id: ClaimId(open.query.id.0),
            account,
            key,
            body: open.query.request_hash,
            nonce: Nonce(self.rng.random(), self.rng.random()),
            start_by: open.start_by,
            answer_by: open.deadline,
        };
        self.step_claims(now, ClaimEvent::Received(request));
        Ok(())
    }

    /// Reports to the claims state machine that a caller has gone.
    pub(crate) fn abandon_claim(&mut self, now: Time, open: &OpenRequest) {
        let id = ClaimId(open.query.id.0);
        self.step_claims(now, ClaimEvent::CallerGone(id));
    }

    /// Reports the end of an attempt to the claims state machine, with the response if
    /// it is known.
    pub(crate) fn settle_claim(
        &mut self,
        now: Time,
        open: &mut OpenRequest,
        answer: Option<Arc<ClaimOutcome>>,
    ) {
        let Some(name) = open.claim.clone() else {
            return;
        };
        let answer = match (answer, open.outcome) {
            (Some(answer), _) => BackendAnswer::Answered(answer),
            // Nothing was sent since the last attempt that was reported.
            (None, _) if !open.sent => BackendAnswer::NotAccepted,
            (
                None,
                Some(AttemptOutcome::Shed | AttemptOutcome::Unreachable | AttemptOutcome::NotSent),
            ) => BackendAnswer::NotAccepted,
            (
                None,
                Some(
                    AttemptOutcome::Broken
                    | AttemptOutcome::TimedOut
                    | AttemptOutcome::Answered { .. },
                )
                | None,
            ) => BackendAnswer::Broken,
        };
        open.sent = false;
        let attempt = open.claim_attempt;
        let event = ClaimEvent::BackendAnswered {
            name,
            attempt,
            answer,
        };
        self.step_claims(now, event);
    }

    /// Steps the claims state machine. Its actions are performed at the end of the
    /// node's step.
    pub(crate) fn step_claims(&mut self, now: Time, event: ClaimEvent) {
        let mut actions = Vec::new();
        self.claims.step(now, event, &mut actions);
        self.claim_actions.extend(actions);
    }

    /// Performs the pending actions of the claims state machine.
    pub(crate) fn run_claim_actions(&mut self, now: Time, out: &mut Vec<Action>) {
        while let Some(action) = self.claim_actions.pop_front() {
            match action {
                ClaimAction::Put {
                    name,
                    call,
                    expect,
                    record,
                } => self.put_claim(name, call, expect, &record, out),
                ClaimAction::Get { name, call } => {
                    let kind = CLAIM_KIND.into();
                    let ticket = self.tickets.issue(Purpose::Claim(Arc::clone(&name), call));
                    out.push(Action::Read { ticket, kind, name });
                }
                ClaimAction::Forward {
                    name,
                    attempt,
                    not_after,
                } => self.forward_claimed(now, name, attempt, not_after, out),
                ClaimAction::Reply { request, reply } => {
                    self.reply_claimed(now, RequestId(request.0), reply, out);
                }
            }
        }
    }

    /// Processes the result of writing a claim.
    pub(crate) fn claim_written(
        &mut self,
        now: Time,
        name: Arc<str>,
        call: u64,
        wrote: &WriteOutcome,
    ) {
        let answer = match wrote {
            WriteOutcome::Written(version) => StoreAnswer::Written(*version),
            WriteOutcome::Conflict(Some(held)) => decode(held),
            WriteOutcome::Conflict(None) => StoreAnswer::Absent,
            WriteOutcome::Unknown | WriteOutcome::NotSent => StoreAnswer::NoAnswer,
        };
        self.step_claims(now, ClaimEvent::StoreAnswered { name, call, answer });
    }

    /// Processes the result of reading a claim.
    pub(crate) fn claim_read(&mut self, now: Time, name: Arc<str>, call: u64, read: &ReadOutcome) {
        let answer = match read {
            ReadOutcome::Found(held) => decode(held),
            ReadOutcome::Absent => StoreAnswer::Absent,
            ReadOutcome::Unknown => StoreAnswer::NoAnswer,
        };
        self.step_claims(now, ClaimEvent::StoreAnswered { name, call, answer });
    }

    fn put_claim(
        &mut self,
        name: Arc<str>,
        call: u64,
        expect: Precondition,
        record: &ClaimRecord,
        out: &mut Vec<Action>,
    ) {
        let Ok(text) = serde_json::to_string(record) else {
            return;
        };
        let ticket = self.tickets.issue(Purpose::Claim(Arc::clone(&name), call));
        let write = Write {
            kind: CLAIM_KIND.into(),
            name,
            expect: match expect {
                Precondition::Absent => None,
                Precondition::Version(version) => Some(version),
            },
            value: Some(text.into()),
        };
        out.push(Action::Write { ticket, write });
    }

    // Forwards any request that waits for the claim: all of them are the same request.
    fn forward_claimed(
        &mut self,
        now: Time,
        name: Arc<str>,
        attempt: u64,
        not_after: Time,
        out: &mut Vec<Action>,
    ) {
        let waits =
            |row: &OpenRequest| row.state == State::Claiming && row.claim.as_ref() == Some(&name);
        if let Some(mut open) = self.requests.take_first(waits) {
            open.start_by = not_after;
            open.claim_attempt = attempt;
            self.advance(now, open, Signal::Claimed, out);
        } else {
            let answer = BackendAnswer::NotAccepted;
            let event = ClaimEvent::BackendAnswered {
                name,
                attempt,
                answer,
            };
            self.step_claims(now, event);
        }
    }

    fn reply_claimed(&mut self, now: Time, id: RequestId, reply: Reply, out: &mut Vec<Action>) {
        let Some(mut open) = self.requests.take(id) else {
            return;
        };
        // The request has been forwarded, so its caller gets that attempt's response, if
        // there is one.
        if open.state != State::Claiming {
            open.claim_replied = true;
            self.requests.insert(open);
            return;
        }
        let default_reason = open.refusal.map_or(Reason::ClaimUnavailable, |r| r.reason);
        let (reason, ran) = match reply {
            Reply::Ran(outcome) => {
                open.claim_outcome = Some(outcome);
                self.advance(now, open, Signal::Recorded, out);
                return;
            }
            Reply::NotRun => (default_reason, Ran::NotRun),
            Reply::NotStarted => (default_reason, Ran::NotStarted),
            Reply::MayHaveRun => (Reason::Repeated, Ran::MayHaveRun),
            Reply::Mismatch => (Reason::TokenReused, Ran::NotRun),
            Reply::TooManyCallers => (Reason::Repeated, Ran::NotStarted),
        };
        let retry = None;
        open.refusal = Some(Refusal {
            reason,
            ran,
            retry_delay: retry,
        });
        self.advance(now, open, Signal::Refused, out);
    }
}

fn decode(held: &StoredValue) -> StoreAnswer {
    match serde_json::from_str(&held.value) {
        Ok(record) => StoreAnswer::Found {
            version: held.version,
            record,
        },
        Err(_) => StoreAnswer::NoAnswer,
    }
}
