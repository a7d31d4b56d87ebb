//! The state machine of one claim: guards, actions and stored version.
//!
//! The transitions are in `charts/claim.yaml`. [`Claim::input`] applies one
//! input, and appends the platform calls, forwards and replies that follow.

use std::sync::Arc;
use std::time::Duration;

use corianderway_model::Time;

use crate::claim_chart::ClaimChart;
use crate::claim_chart::ClaimState;
use crate::claim_chart::Guard;
use crate::claim_chart::Input;
use crate::claim_chart::Output;
use crate::claim_event::ClaimAction;
use crate::claim_event::Precondition;
use crate::claim_event::Reply;
use crate::claim_event::RequestId;
use crate::claim_record::ClaimRecord;
use crate::claim_record::Nonce;
use crate::claim_record::Outcome;
use crate::claim_record::Run;
use crate::request_key::BodyHash;

/// The least time that the platform has to answer a call before it counts as lost.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// The delay before the next call after a lost answer, or while another
/// instance holds the claim.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// The maximum number of attempts to write an outcome or a release.
const MAX_SETTLE_WRITES: u32 = 30;

/// The maximum number of times that the delay doubles while an outcome or a
/// release can't be written.
const MAX_DELAY_DOUBLINGS: u32 = 4;

/// The maximum number of callers that wait for the same request.
pub(crate) const MAX_CALLERS: usize = 8;

/// The claim of one request that runs at most once, as this instance sees it.
///
/// The request is forwarded only after the platform has stored the claim with
/// this claim's nonce as its holder.
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
    // The request is not forwarded after this time.
    start_by: Time,
    answer_by: Time,
    // Call numbers start here; no other claim of this instance uses the same ones.
    first_call: u64,
    call: u64,
    writes: u32,
    // The version to overwrite; none if no claim is stored.
    stored_version: Option<u64>,
}

/// The initial values of a claim.
#[derive(Clone, Debug)]
pub(crate) struct NewClaim {
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
    pub(crate) fn new(chart: &ClaimChart, init: NewClaim) -> Self {
        Self {
            name: init.name,
            state: chart.initial(),
            callers: vec![init.caller],
            body: init.body,
            ended: None,
            outcome: None,
            due: Time::ZERO,
            holder: init.holder,
            made: init.made,
            start_by: init.start_by,
            answer_by: init.answer_by,
            first_call: init.first_call,
            call: init.first_call,
            writes: 0,
            stored_version: None,
        }
    }

    /// Requests the first write of the claim.
    pub(crate) fn begin(&mut self, now: Time, out: &mut Vec<ClaimAction>) {
        self.output(now, Output::WriteClaim, out);
    }

    /// Whether the platform's answer to a call still applies.
    ///
    /// While the claim is being written or read back, a late answer to an earlier
    /// call applies as well: a write that took effect, or this claim's nonce
    /// read back, stays true until this claim writes something else.
    pub(crate) fn expects(&self, call: u64) -> bool {
        let early = matches!(self.state, ClaimState::Claiming | ClaimState::Reading);
        self.call == call || early && (self.first_call..self.call).contains(&call)
    }

    /// Whether a backend server's answer belongs to the current attempt.
    pub(crate) fn awaits(&self, attempt: u64) -> bool {
        self.call == attempt
    }

    /// Records the stored state and returns the matching input.
    pub(crate) fn record_found(&mut self, version: u64, record: &ClaimRecord) -> Input {
        let own = record.holder == self.holder;
        if own || record.run == Run::NotRun {
            self.stored_version = Some(version);
        }
        match &record.run {
            Run::Claimed if own => Input::OwnClaim,
            // The last write took effect, but its answer was lost.
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

    /// Records that no claim is stored.
    pub(crate) fn record_absent(&mut self) -> Input {
        self.stored_version = None;
        Input::Absent
    }

    /// Records the answer of a backend server, unless it arrives too late.
    pub(crate) fn record_outcome(&mut self, outcome: Arc<Outcome>) -> Input {
        if self.state == ClaimState::Forwarded {
            self.outcome = Some(outcome);
        }
        Input::Answered
    }

    /// Whether the callers have been answered.
    pub(crate) fn settled(&self) -> bool {
        matches!(self.state, ClaimState::Finishing | ClaimState::Releasing)
    }

    /// The reply to a further caller once the claim is settled.
    pub(crate) fn settled_reply(&self) -> Reply {
        match (&self.outcome, self.state) {
            (Some(outcome), _) => Reply::Ran(outcome.clone()),
            (None, ClaimState::Finishing) => Reply::MayHaveRun,
            (None, _) => Reply::NotStarted,
        }
    }

    /// Records that a write took effect.
    pub(crate) fn write_done(&mut self, version: u64) -> Input {
        self.stored_version = Some(version);
        Input::Written
    }

    /// Applies an input to the chart and carries out its actions.
    pub(crate) fn input(
        &mut self,
        chart: &ClaimChart,
        now: Time,
        input: Input,
        out: &mut Vec<ClaimAction>,
    ) {
        let step = chart.step(self.state, input, |guard| match guard {
            // Without a caller there is no request to forward.
            Guard::InTime => now <= self.start_by && !self.callers.is_empty(),
            Guard::WritesLeft => self.writes < MAX_SETTLE_WRITES,
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
            Output::WriteClaim => self.put(now, Run::Claimed, out),
            Output::ReadClaim => {
                let call = self.next_call(now);
                let name = self.name.clone();
                out.push(ClaimAction::Get { name, call });
            }
            Output::ScheduleRetry => {
                self.call += 1;
                self.due = now + self.retry_delay();
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
            Output::WriteOutcome => {
                let run = self.outcome.clone().map_or(Run::Unknown, Run::Finished);
                self.put(now, run, out);
            }
            Output::WriteRelease => self.put(now, Run::NotRun, out),
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
            expect: self
                .stored_version
                .map_or(Precondition::Absent, Precondition::Version),
            record: ClaimRecord {
                holder: self.holder,
                body: self.body,
                made: self.made,
                run,
            },
        });
    }

    fn retry_delay(&self) -> Duration {
        RETRY_DELAY * 2u32.pow(self.writes.min(MAX_DELAY_DOUBLINGS))
    }

    fn next_call(&mut self, now: Time) -> u64 {
        self.call += 1;
        self.due = now + ANSWER_TIMEOUT.max(self.retry_delay());
        self.call
    }

    fn reply(&mut self, reply: &Reply, out: &mut Vec<ClaimAction>) {
        for request in self.callers.drain(..) {
            let reply = reply.clone();
            out.push(ClaimAction::Reply { request, reply });
        }
    }
}
