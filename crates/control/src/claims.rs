//! Claims, which make a request run at most once.
//!
//! Before a request is forwarded, a claim is written to the platform on the
//! condition that none is stored. The attempt whose nonce is stored holds the
//! claim. No other attempt forwards the request unless the holder has written
//! that it did not run. The outcome is written as well, so that a caller that
//! sends the request again, to any instance, gets the same answer.

use std::sync::Arc;
use std::time::Duration;

use corianderway_chart::Error;
use corianderway_model::Time;

use crate::claim::Claim;
use crate::claim::NewClaim;
use crate::claim::MAX_CALLERS;
use crate::claim_chart;
use crate::claim_chart::ClaimChart;
use crate::claim_chart::ClaimState;
use crate::claim_chart::Input;
use crate::claim_chart::CLAIM_CHART;
use crate::claim_event::BackendAnswer;
use crate::claim_event::ClaimAction;
use crate::claim_event::ClaimEvent;
use crate::claim_event::OnceRequest;
use crate::claim_event::Reply;
use crate::claim_event::RequestId;
use crate::claim_event::StoreAnswer;

/// How long an ended claim and its outcome stay in memory.
const ENDED_TTL: Duration = Duration::from_mins(1);

/// Call numbers reserved for each claim; far more than its deadlines allow.
const CALL_NUMBERS_PER_CLAIM: u64 = 1 << 20;

/// The maximum number of ended claims in memory.
const MAX_ENDED: usize = 1024;

/// The claims that one instance has in memory.
///
/// Takes [`ClaimEvent`]s and returns [`ClaimAction`]s. There is at most one
/// claim for each request key of a client account.
#[derive(Clone, Debug)]
pub struct Claims {
    chart: ClaimChart,
    // Sorted by name.
    entries: Vec<Claim>,
    started: u64,
}

impl Default for Claims {
    fn default() -> Self {
        Self::new()
    }
}

impl Claims {
    /// Creates an empty set of claims.
    ///
    /// # Panics
    ///
    /// Panics if the built-in chart is invalid, which the tests rule out.
    pub fn new() -> Self {
        Self::with_chart(CLAIM_CHART).expect("the chart of claims is checked by tests")
    }

    /// Creates an empty set of claims with another state chart, by which tests
    /// disable a safeguard.
    ///
    /// # Errors
    ///
    /// Fails when the text is not a valid state chart of claims.
    pub fn with_chart(text: &str) -> Result<Self, Error> {
        Ok(Self {
            chart: claim_chart::load(text)?,
            entries: Vec::new(),
            started: 0,
        })
    }

    /// The state of a claim in memory.
    pub fn state(&self, name: &str) -> Option<ClaimState> {
        let at = self.find(name).ok()?;
        Some(self.entries[at].state)
    }

    /// The number of claims in memory, recently ended ones included.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no claim is in memory.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Handles one event and appends the requested actions to `out`.
    pub fn step(&mut self, now: Time, event: ClaimEvent, out: &mut Vec<ClaimAction>) {
        match event {
            ClaimEvent::Tick => self.tick(now, out),
            ClaimEvent::Received(request) => self.receive(now, request, out),
            ClaimEvent::CallerGone(request) => self.caller_gone(now, request, out),
            ClaimEvent::StoreAnswered { name, call, answer } => {
                self.store_answered(now, &name, call, &answer, out);
            }
            ClaimEvent::BackendAnswered {
                name,
                attempt,
                answer,
            } => self.backend_answered(now, &name, attempt, answer, out),
        }
    }

    fn tick(&mut self, now: Time, out: &mut Vec<ClaimAction>) {
        for claim in &mut self.entries {
            if claim.ended.is_none() && now >= claim.due {
                claim.input(&self.chart, now, Input::Due, out);
            }
        }
        let keep = |c: &Claim| c.ended.is_none_or(|at| now.since(at) < ENDED_TTL);
        self.entries.retain(keep);
    }

    fn receive(&mut self, now: Time, request: OnceRequest, out: &mut Vec<ClaimAction>) {
        let name = Arc::<str>::from(request.key.claim_name(&request.account));
        match self.find(&name) {
            Ok(at) if self.entries[at].ended.is_none() => self.join(at, &request, out),
            Ok(at) if self.entries[at].outcome.is_some() => self.replay(at, &request, out),
            Ok(at) => {
                self.entries.remove(at);
                self.begin(now, at, name, &request, out);
            }
            Err(at) => self.begin(now, at, name, &request, out),
        }
    }

    fn begin(
        &mut self,
        now: Time,
        at: usize,
        name: Arc<str>,
        request: &OnceRequest,
        out: &mut Vec<ClaimAction>,
    ) {
        self.started += 1;
        let init = NewClaim {
            name,
            caller: request.id,
            body: request.body,
            holder: request.nonce,
            made: request.key.made(),
            start_by: request.start_by,
            answer_by: request.answer_by,
            first_call: self.started * CALL_NUMBERS_PER_CLAIM,
        };
        let mut claim = Claim::new(&self.chart, init);
        claim.begin(now, out);
        self.entries.insert(at, claim);
    }

    // The same request is in flight on this instance; its reply goes to this caller too.
    fn join(&mut self, at: usize, request: &OnceRequest, out: &mut Vec<ClaimAction>) {
        let claim = &mut self.entries[at];
        let reply = if claim.body != request.body {
            Reply::Mismatch
        } else if claim.settled() {
            claim.settled_reply()
        } else if claim.callers.len() >= MAX_CALLERS {
            Reply::TooManyCallers
        } else {
            claim.callers.push(request.id);
            return;
        };
        let request = request.id;
        out.push(ClaimAction::Reply { request, reply });
    }

    // The outcome is still in memory.
    fn replay(&mut self, at: usize, request: &OnceRequest, out: &mut Vec<ClaimAction>) {
        let claim = &self.entries[at];
        let known = claim.outcome.clone().filter(|_| claim.body == request.body);
        let reply = known.map_or(Reply::Mismatch, Reply::Ran);
        let request = request.id;
        out.push(ClaimAction::Reply { request, reply });
    }

    // A claim is abandoned only once its last caller has disconnected.
    fn caller_gone(&mut self, now: Time, request: RequestId, out: &mut Vec<ClaimAction>) {
        for claim in &mut self.entries {
            let before = claim.callers.len();
            claim.callers.retain(|caller| *caller != request);
            if claim.callers.len() < before && claim.callers.is_empty() {
                claim.input(&self.chart, now, Input::CallersGone, out);
            }
        }
    }

    fn store_answered(
        &mut self,
        now: Time,
        name: &str,
        call: u64,
        answer: &StoreAnswer,
        out: &mut Vec<ClaimAction>,
    ) {
        let Ok(at) = self.find(name) else { return };
        let claim = &mut self.entries[at];
        if !claim.expects(call) {
            return;
        }
        let input = match answer {
            StoreAnswer::Written(version) => claim.write_done(*version),
            StoreAnswer::Found { version, record } => claim.record_found(*version, record),
            StoreAnswer::Absent => claim.record_absent(),
            StoreAnswer::NoAnswer => Input::Lost,
        };
        claim.input(&self.chart, now, input, out);
    }

    fn backend_answered(
        &mut self,
        now: Time,
        name: &str,
        attempt: u64,
        answer: BackendAnswer,
        out: &mut Vec<ClaimAction>,
    ) {
        let Ok(at) = self.find(name) else { return };
        let claim = &mut self.entries[at];
        if !claim.awaits(attempt) {
            return;
        }
        let input = match answer {
            BackendAnswer::Answered(outcome) => claim.record_outcome(outcome),
            BackendAnswer::NotAccepted => Input::NotAccepted,
            BackendAnswer::Broken => Input::Broken,
        };
        claim.input(&self.chart, now, input, out);
        self.evict_oldest();
    }

    fn evict_oldest(&mut self) {
        let ended = self.entries.iter().filter_map(|c| c.ended);
        if ended.clone().count() > MAX_ENDED {
            let oldest = ended.min();
            self.entries
                .retain(|c| c.ended.is_none() || c.ended != oldest);
        }
    }

    fn find(&self, name: &str) -> Result<usize, usize> {
        self.entries.binary_search_by(|c| (*c.name).cmp(name))
    }
}
