//! One claim, and what the names of its chart mean.

use std::sync::Arc;
use std::time::Duration;

use corianderway_model::Time;

use crate::claim_chart::ClaimChart;
use crate::claim_chart::ClaimState;
use crate::claim_chart::Guard;
use crate::claim_chart::Input;
use crate::claim_chart::Output;
use crate::claim_event::ClaimAction;
use crate::claim_event::Expect;
use crate::claim_event::Reply;
use crate::claim_event::RequestId;
use crate::claim_record::ClaimRecord;
use crate::claim_record::Nonce;
use crate::claim_record::Outcome;
use crate::claim_record::Run;
use crate::request_key::BodyHash;

/// How long the platform may take to answer a call.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// The time between two calls after a lost answer, or while another instance
/// holds the claim.
const PAUSE: Duration = Duration::from_millis(250);

/// Writes of an outcome or a release before it is given up.
const MOST_WRITES: u32 = 30;

/// How often the pause doubles while an outcome can't be written.
const MOST_DOUBLINGS: u32 = 4;

/// Callers that may wait for the same request.
pub(crate) const MOST_CALLERS: usize = 8;

/// One request that runs at most once, as this instance sees it.
#[derive(Clone, Debug)]
pub(crate) struct Claim {
    pub name: Arc<str>,
    pub state: ClaimState,
    pub callers: Vec<RequestId>,
    pub body: BodyHash,
    pub ended: Option<Time>,
    pub outcome: Option<Arc<Outcome>>,
    pub due: Time,
    holder: Nonce,
    made: u64,
    // Nothing is forwarded after this.
    start_by: Time,
    answer_by: Time,
    // Numbers of calls are never used again by another claim of the instance.
    first_call: u64,
    call: u64,
    writes: u32,
    // The stored version; none if there was no claim.
    stored: Option<u64>,
}

/// What a new claim is made of.
#[derive(Clone, Debug)]
pub(crate) struct Seed {
    pub name: Arc<str>,
    pub caller: RequestId,
    pub body: BodyHash,
    pub holder: Nonce,
    pub made: u64,
    pub start_by: Time,
    pub answer_by: Time,
    pub first_call: u64,
}

impl Claim {
    pub(crate) fn new(chart: &ClaimChart, seed: Seed) -> Self {
        Self {
            name: seed.name,
            state: chart.initial(),
            callers: vec![seed.caller],
            body: seed.body,
            ended: None,
            outcome: None,
            due: Time::ZERO,
            holder: seed.holder,
            made: seed.made,
            start_by: seed.start_by,
            answer_by: seed.answer_by,
            first_call: seed.first_call,
            call: seed.first_call,
            writes: 0,
            stored: None,
        }
    }

    /// Sends the first write.
    pub(crate) fn begin(&mut self, now: Time, out: &mut Vec<ClaimAction>) {
        self.output(now, Output::Claim, out);
    }

    /// Whether an answer of the platform is of use.
    ///
    /// Until the claim is settled, a late answer to an earlier call is: a
    /// write that took effect, or the own nonce read back, stays true until
    /// this claim itself writes something else.
    pub(crate) fn expects(&self, call: u64) -> bool {
        let early = matches!(self.state, ClaimState::Claiming | ClaimState::Reading);
        self.call == call || early && (self.first_call..self.call).contains(&call)
    }

    /// Whether an answer of a backend server belongs to the open attempt.
    pub(crate) fn awaits(&self, attempt: u64) -> bool {
        self.call == attempt
    }

    /// Notes the stored state and says what it means for this claim.
    pub(crate) fn found(&mut self, version: u64, record: &ClaimRecord) -> Input {
        let own = record.holder == self.holder;
        if own || record.run == Run::NotRun {
            self.stored = Some(version);
        }
        match &record.run {
            Run::Claimed if own => Input::Own,
            // The answer to this claim's last write was lost.
            _ if own && self.settled() => Input::Written,
            Run::NotRun => Input::NotRun,
            _ if record.body != self.body => Input::Mismatch,
            Run::Claimed => Input::Running,
            Run::Unknown => Input::Unknown,
            Run::Finished(outcome) => {
                self.outcome = Some(outcome.clone());
                Input::Finished
            }
        }
    }

    /// Notes that there is no stored claim.
    pub(crate) fn absent(&mut self) -> Input {
        self.stored = None;
        Input::Absent
    }

    /// Notes the answer of a backend server, unless it comes too late.
    pub(crate) fn answered(&mut self, outcome: Arc<Outcome>) -> Input {
        if self.state == ClaimState::Forwarded {
            self.outcome = Some(outcome);
        }
        Input::Answered
    }

    /// Whether callers have been answered.
    pub(crate) fn settled(&self) -> bool {
        matches!(self.state, ClaimState::Finishing | ClaimState::Releasing)
    }

    /// What another caller is told of a settled claim.
    pub(crate) fn settled_reply(&self) -> Reply {
        match (&self.outcome, self.state) {
            (Some(outcome), _) => Reply::Ran(outcome.clone()),
            (None, ClaimState::Finishing) => Reply::MayHaveRun,
            (None, _) => Reply::NotStarted,
        }
    }

    /// Notes that a write took effect.
    pub(crate) fn written(&mut self, version: u64) -> Input {
        self.stored = Some(version);
        Input::Written
    }

    /// Moves along the chart.
    pub(crate) fn input(
        &mut self,
        chart: &ClaimChart,
        now: Time,
        input: Input,
        out: &mut Vec<ClaimAction>,
    ) {
        let step = chart.step(self.state, input, |guard| match guard {
            // With no caller left nothing can be forwarded any more.
            Guard::InTime => now <= self.start_by && !self.callers.is_empty(),
            Guard::Trying => self.writes < MOST_WRITES,
        });
        self.state = step.to;
        for output in step.actions {
            self.output(now, *output, out);
        }
        if chart.is_final(self.state) && self.ended.is_none() {
            self.ended = Some(now);
        }
    }

    fn output(&mut self, now: Time, output: Output, out: &mut Vec<ClaimAction>) {
        match output {
            Output::Claim => self.put(now, Run::Claimed, out),
            Output::Read => {
                let call = self.next_call(now);
                let name = self.name.clone();
                out.push(ClaimAction::Get { name, call });
            }
            Output::Pause => {
                self.call += 1;
                self.due = now + self.pause();
            }
            Output::Forward => {
                self.due = self.answer_by;
                self.call += 1;
                out.push(ClaimAction::Forward {
                    name: self.name.clone(),
                    attempt: self.call,
                    not_after: self.start_by,
                });
            }
            Output::Finish => {
                let run = self.outcome.clone().map_or(Run::Unknown, Run::Finished);
                self.put(now, run, out);
            }
            Output::Release => self.put(now, Run::NotRun, out),
            Output::Answer | Output::Replay => {
                let reply = self.outcome.clone().map_or(Reply::MayHaveRun, Reply::Ran);
                self.reply(&reply, out);
            }
            Output::RefuseNotRun => self.reply(&Reply::NotRun, out),
            Output::RefuseNotStarted => self.reply(&Reply::NotStarted, out),
            Output::RefuseMayHaveRun => self.reply(&Reply::MayHaveRun, out),
            Output::RefuseMismatch => self.reply(&Reply::Mismatch, out),
        }
    }

    fn put(&mut self, now: Time, run: Run, out: &mut Vec<ClaimAction>) {
        self.writes = if run == Run::Claimed {
            0
        } else {
            self.writes + 1
        };
        let call = self.next_call(now);
        out.push(ClaimAction::Put {
            name: self.name.clone(),
            call,
            expect: self.stored.map_or(Expect::Absent, Expect::Version),
            record: ClaimRecord {
                holder: self.holder,
                body: self.body,
                made: self.made,
                run,
            },
        });
    }

    fn pause(&self) -> Duration {
        PAUSE * 2u32.pow(self.writes.min(MOST_DOUBLINGS))
    }

    fn next_call(&mut self, now: Time) -> u64 {
        self.call += 1;
        self.due = now + ANSWER_TIMEOUT.max(self.pause());
        self.call
    }

    fn reply(&mut self, reply: &Reply, out: &mut Vec<ClaimAction>) {
        for request in self.callers.drain(..) {
            let reply = reply.clone();
            out.push(ClaimAction::Reply { request, reply });
        }
    }
}
