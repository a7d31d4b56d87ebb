//! The claims that make a request run at most once.
//!
//! A claim is written to the platform, on condition that there is none,
//! before anything is forwarded. Whoever reads its own nonce there holds it;
//! nobody else ever forwards the request, unless the holder has written that
//! it did not run. An outcome is written too, so that a caller that sends the
//! request again, to any instance, gets the same answer.

use std::sync::Arc;
use std::time::Duration;

use corianderway_chart::Error;
use corianderway_model::Time;

use crate::claim::Claim;
use crate::claim::Seed;
use crate::claim::MOST_CALLERS;
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

/// How long an outcome is kept here for the same request sent again.
const REMEMBERED: Duration = Duration::from_mins(1);

/// Calls that one claim may make; far above what its deadlines allow.
const CALLS_PER_CLAIM: u64 = 1 << 20;

/// Ended claims that are kept.
const MOST_REMEMBERED: usize = 1024;

/// The claims on one instance.
#[derive(Clone, Debug)]
pub struct Claims {
    chart: ClaimChart,
    // Sorted by name.
    held: Vec<Claim>,
    begun: u64,
}

impl Default for Claims {
    fn default() -> Self {
        Self::new()
    }
}

impl Claims {
    /// Starts without claims.
    ///
    /// # Panics
    ///
    /// Panics if the built-in chart is wrong, which the tests rule out.
    pub fn new() -> Self {
        Self::with_chart(CLAIM_CHART).expect("the chart of claims is checked by tests")
    }

    /// Starts without claims, under another chart; tests switch mechanisms
    /// off by it.
    ///
    /// # Errors
    ///
    /// Fails when the text is not a chart of claims.
    pub fn with_chart(text: &str) -> Result<Self, Error> {
        Ok(Self {
            chart: claim_chart::load(text)?,
            held: Vec::new(),
            begun: 0,
        })
    }

    /// The state of a claim that is held.
    pub fn state(&self, name: &str) -> Option<ClaimState> {
        let at = self.find(name).ok()?;
        Some(self.held[at].state)
    }

    /// How many claims are held, recently ended ones included.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether no claims are held.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Answers one event.
    pub fn step(&mut self, now: Time, event: ClaimEvent, out: &mut Vec<ClaimAction>) {
        match event {
            ClaimEvent::Tick => self.tick(now, out),
            ClaimEvent::Received(request) => self.receive(now, request, out),
            ClaimEvent::Gone(request) => self.gone(now, request, out),
            ClaimEvent::Stored { name, call, answer } => {
                self.stored(now, &name, call, &answer, out);
            }
            ClaimEvent::Backend {
                name,
                attempt,
                answer,
            } => self.backend(now, &name, attempt, answer, out),
        }
    }

    fn tick(&mut self, now: Time, out: &mut Vec<ClaimAction>) {
        for claim in &mut self.held {
            if claim.ended.is_none() && now >= claim.due {
                claim.input(&self.chart, now, Input::Due, out);
            }
        }
        let keep = |c: &Claim| c.ended.is_none_or(|at| now.since(at) < REMEMBERED);
        self.held.retain(keep);
    }

    fn receive(&mut self, now: Time, request: OnceRequest, out: &mut Vec<ClaimAction>) {
        let name = Arc::<str>::from(request.key.claim_name(&request.account));
        match self.find(&name) {
            Ok(at) if self.held[at].ended.is_none() => self.join(at, &request, out),
            Ok(at) if self.held[at].outcome.is_some() => self.repeat(at, &request, out),
            Ok(at) => {
                self.held.remove(at);
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
        self.begun += 1;
        let seed = Seed {
            name,
            caller: request.id,
            body: request.body,
            holder: request.nonce,
            made: request.key.made(),
            start_by: request.start_by,
            answer_by: request.answer_by,
            first_call: self.begun * CALLS_PER_CLAIM,
        };
        let mut claim = Claim::new(&self.chart, seed);
        claim.begin(now, out);
        self.held.insert(at, claim);
    }

    // The same request is under way here; its answer goes to this caller too.
    fn join(&mut self, at: usize, request: &OnceRequest, out: &mut Vec<ClaimAction>) {
        let claim = &mut self.held[at];
        let reply = if claim.body != request.body {
            Reply::Mismatch
        } else if claim.settled() {
            claim.settled_reply()
        } else if claim.callers.len() >= MOST_CALLERS {
            Reply::Crowded
        } else {
            claim.callers.push(request.id);
            return;
        };
        let request = request.id;
        out.push(ClaimAction::Reply { request, reply });
    }

    // The outcome is still known here.
    fn repeat(&mut self, at: usize, request: &OnceRequest, out: &mut Vec<ClaimAction>) {
        let claim = &self.held[at];
        let known = claim.outcome.clone().filter(|_| claim.body == request.body);
        let reply = known.map_or(Reply::Mismatch, Reply::Ran);
        let request = request.id;
        out.push(ClaimAction::Reply { request, reply });
    }

    // A claim is given up only when its last caller has gone.
    fn gone(&mut self, now: Time, request: RequestId, out: &mut Vec<ClaimAction>) {
        for claim in &mut self.held {
            let before = claim.callers.len();
            claim.callers.retain(|caller| *caller != request);
            if claim.callers.len() < before && claim.callers.is_empty() {
                claim.input(&self.chart, now, Input::Gone, out);
            }
        }
    }

    fn stored(
        &mut self,
        now: Time,
        name: &str,
        call: u64,
        answer: &StoreAnswer,
        out: &mut Vec<ClaimAction>,
    ) {
        let Ok(at) = self.find(name) else { return };
        let claim = &mut self.held[at];
        if !claim.expects(call) {
            return;
        }
        let input = match answer {
            StoreAnswer::Written(version) => claim.written(*version),
            StoreAnswer::Found { version, record } => claim.found(*version, record),
            StoreAnswer::Absent => claim.absent(),
            StoreAnswer::Lost => Input::Lost,
        };
        claim.input(&self.chart, now, input, out);
    }

    fn backend(
        &mut self,
        now: Time,
        name: &str,
        attempt: u64,
        answer: BackendAnswer,
        out: &mut Vec<ClaimAction>,
    ) {
        let Ok(at) = self.find(name) else { return };
        let claim = &mut self.held[at];
        if !claim.awaits(attempt) {
            return;
        }
        let input = match answer {
            BackendAnswer::Answered(outcome) => claim.answered(outcome),
            BackendAnswer::NotAccepted => Input::NotAccepted,
            BackendAnswer::Broken => Input::Broken,
        };
        claim.input(&self.chart, now, input, out);
        self.forget_oldest();
    }

    fn forget_oldest(&mut self) {
        let ended = self.held.iter().filter_map(|c| c.ended);
        if ended.clone().count() > MOST_REMEMBERED {
            let oldest = ended.min();
            self.held.retain(|c| c.ended.is_none() || c.ended != oldest);
        }
    }

    fn find(&self, name: &str) -> Result<usize, usize> {
        self.held.binary_search_by(|c| (*c.name).cmp(name))
    }
}
