//! Claims of non-idempotent requests: the claim part and its objects in the platform.

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
use crate::event::Found;
use crate::event::Held;
use crate::event::Outcome;
use crate::event::RequestId;
use crate::event::Write;
use crate::event::Wrote;
use crate::node::Node;
use crate::open::Open;
use crate::refusal::Ran;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::tickets::Purpose;

/// The kind of the objects that hold claims.
pub(crate) const CLAIM_KIND: &str = "claims";

/// The part of a request's time in which it may still be sent; the rest is for
/// its answer.
const START_PART: f64 = 0.75;

impl Node {
    /// Begins to claim a request.
    pub(crate) fn claim(&mut self, now: Time, open: &mut Open) -> Result<(), Refusal> {
        let unusable = Refusal::not_run(Reason::TokenUnusable);
        let token = open.query.token.as_deref().unwrap_or_default();
        let key = RequestKey::try_from(token).map_err(|_malformed| unusable)?;
        key.check_age(self.unix_seconds(now))
            .map_err(|_age| unusable)?;
        let left = open.deadline.since(now);
        let account = open.contract.account.clone();
        open.claim = Some(key.claim_name(&account).into());
        open.start_by = now + left.mul_f64(START_PART);
        let request = OnceRequest {
            id: ClaimId(open.query.id.0),
            account,
            key,
            body: open.query.body,
            nonce: Nonce(self.rng.random(), self.rng.random()),
            start_by: open.start_by,
            answer_by: open.deadline,
        };
        self.step_claims(now, ClaimEvent::Received(request));
        Ok(())
    }

    /// Drops the interest of one caller in a claim.
    pub(crate) fn abandon_claim(&mut self, now: Time, open: &Open) {
        let id = ClaimId(open.query.id.0);
        self.step_claims(now, ClaimEvent::CallerGone(id));
    }

    /// Tells the claim part how an attempt ended, with the answer if it is known.
    pub(crate) fn settle_claim(
        &mut self,
        now: Time,
        open: &mut Open,
        answer: Option<Arc<ClaimOutcome>>,
    ) {
        let Some(name) = open.claim.clone() else {
            return;
        };
        let answer = match (answer, open.outcome) {
            (Some(answer), _) => BackendAnswer::Answered(answer),
            // Nothing was sent since the last attempt that was counted.
            (None, _) if !open.sent => BackendAnswer::NotAccepted,
            (None, Some(Outcome::Shed | Outcome::Unreachable | Outcome::NotSent)) => {
                BackendAnswer::NotAccepted
            }
            (None, Some(Outcome::Broken | Outcome::TimedOut | Outcome::Answered { .. }) | None) => {
                BackendAnswer::Broken
            }
        };
        open.sent = false;
        let attempt = open.attempt;
        let event = ClaimEvent::BackendAnswered {
            name,
            attempt,
            answer,
        };
        self.step_claims(now, event);
    }

    /// Steps the claim part; what it wants is carried out at the end of the step.
    pub(crate) fn step_claims(&mut self, now: Time, event: ClaimEvent) {
        let mut actions = Vec::new();
        self.claims.step(now, event, &mut actions);
        self.wanted.extend(actions);
    }

    /// Carries out what the claim part wants.
    pub(crate) fn serve_claims(&mut self, now: Time, out: &mut Vec<Action>) {
        while let Some(action) = self.wanted.pop_front() {
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

    /// Takes the end of a claim's write.
    pub(crate) fn claim_wrote(&mut self, now: Time, name: Arc<str>, call: u64, wrote: &Wrote) {
        let answer = match wrote {
            Wrote::Done(version) => StoreAnswer::Written(*version),
            Wrote::Conflict(Some(held)) => found(held),
            Wrote::Conflict(None) => StoreAnswer::Absent,
            Wrote::Unknown | Wrote::Unreached => StoreAnswer::NoAnswer,
        };
        self.step_claims(now, ClaimEvent::StoreAnswered { name, call, answer });
    }

    /// Takes the end of a claim's read.
    pub(crate) fn claim_read(&mut self, now: Time, name: Arc<str>, call: u64, read: &Found) {
        let answer = match read {
            Found::Held(held) => found(held),
            Found::Nothing => StoreAnswer::Absent,
            Found::Unknown => StoreAnswer::NoAnswer,
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

    // Any caller that waits for the claim will do, for all ask the same.
    fn forward_claimed(
        &mut self,
        now: Time,
        name: Arc<str>,
        attempt: u64,
        not_after: Time,
        out: &mut Vec<Action>,
    ) {
        let waits =
            |open: &Open| open.state == State::Claiming && open.claim.as_ref() == Some(&name);
        if let Some(mut open) = self.requests.take_first(waits) {
            open.start_by = not_after;
            open.attempt = attempt;
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
        // The answer is on its way to this caller already.
        if open.state != State::Claiming {
            self.requests.insert(open);
            return;
        }
        let told = open.refusal.map_or(Reason::ClaimUnavailable, |r| r.reason);
        let (reason, ran) = match reply {
            Reply::Ran(outcome) => {
                open.remembered = Some(outcome);
                self.advance(now, open, Signal::Remembered, out);
                return;
            }
            Reply::NotRun => (told, Ran::NotRun),
            Reply::NotStarted => (told, Ran::NotStarted),
            Reply::MayHaveRun => (Reason::Repeated, Ran::MayHaveRun),
            Reply::Mismatch => (Reason::TokenReused, Ran::NotRun),
            Reply::TooManyCallers => (Reason::Repeated, Ran::NotStarted),
        };
        let retry = None;
        open.refusal = Some(Refusal { reason, ran, retry });
        self.advance(now, open, Signal::Refused, out);
    }
}

fn found(held: &Held) -> StoreAnswer {
    match serde_json::from_str(&held.value) {
        Ok(record) => StoreAnswer::Found {
            version: held.version,
            record,
        },
        Err(_) => StoreAnswer::NoAnswer,
    }
}
