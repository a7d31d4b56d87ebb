//! Runs a request through its chart: guards, effects, and the attempts at backend
//! servers.
//!
//! Each event of a request becomes a [`Signal`] for the chart. An effect may raise the
//! next signal, which is processed before the call returns.

use std::sync::Arc;
use std::time::Duration;

use corianderway_control::ClaimOutcome;
use corianderway_model::Replay;
use corianderway_model::Time;
use corianderway_rollout::Outcome as VersionOutcome;
use corianderway_routing::Decision;
use corianderway_routing::Failure;
use corianderway_routing::Outcome as ServerOutcome;
use corianderway_routing::Query as ServerQuery;
use corianderway_routing::Refusal as NoServer;
use corianderway_routing::RegionReason;
use corianderway_routing::Retry;
use corianderway_routing::VersionShare;
use rand::Rng as _;

use crate::admission::refuse;
use crate::chart::Effect;
use crate::chart::Guard;
use crate::chart::Signal;
use crate::chart::State;
use crate::event::Action;
use crate::event::AttemptOutcome;
use crate::event::RequestId;
use crate::moves::version_outcome;
use crate::node::Node;
use crate::open::OpenRequest;
use crate::record::Record;
use crate::refusal::Ran;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::shifts;

/// Why no backend server could be selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Blocked {
    /// A limit of the client account does not admit the request now.
    Quota(Reason),
    /// No backend server can accept the request.
    Server(NoServer),
}

/// The maximum delay between the routing decision and the sending. A request that was
/// admitted before a pause of the process must not be sent after it.
const MAX_SEND_DELAY: Duration = Duration::from_millis(500);

/// The maximum number of retries of one request after a broken connection. It bounds
/// how many backend servers a request can crash before it is identified as the cause.
const MAX_BROKEN_RETRIES: u32 = 1;

impl Node {
    /// Processes the end of an attempt.
    pub(crate) fn end_attempt(
        &mut self,
        now: Time,
        id: RequestId,
        outcome: AttemptOutcome,
        out: &mut Vec<Action>,
    ) {
        let Some(mut open) = self.requests.take(id) else {
            return;
        };
        open.outcome = Some(outcome);
        let signal = match outcome {
            AttemptOutcome::Answered { .. } => Signal::Answered,
            AttemptOutcome::Shed
            | AttemptOutcome::Unreachable
            | AttemptOutcome::NotSent
            | AttemptOutcome::Broken
            | AttemptOutcome::TimedOut => Signal::Failed,
        };
        self.advance(now, open, signal, out);
    }

    /// Processes the end of a request. `whole` says whether the entire response was
    /// received.
    pub(crate) fn end_request(
        &mut self,
        now: Time,
        id: RequestId,
        complete: bool,
        answer: Option<Arc<ClaimOutcome>>,
        out: &mut Vec<Action>,
    ) {
        let Some(mut open) = self.requests.take(id) else {
            return;
        };
        self.record_end(now, &open, complete, out);
        open.claim_outcome = answer;
        let service = open.route.service.clone();
        self.advance(now, open, Signal::Ended, out);
        self.dispatch_queued(now, &service, out);
    }

    /// Applies a signal and those that its effects raise to a request's chart. The
    /// request stays in the table until its chart reaches the final state.
    pub(crate) fn advance(
        &mut self,
        now: Time,
        mut open: OpenRequest,
        signal: Signal,
        out: &mut Vec<Action>,
    ) {
        let mut signal = Some(signal);
        while let Some(next) = signal.take() {
            let chart = self.chart.clone();
            let step = chart.step(open.state, next, |guard| self.holds(now, guard, &mut open));
            open.state = step.to;
            for effect in step.actions {
                signal = self.run_effect(now, *effect, &mut open, out).or(signal);
            }
        }
        if open.state != State::Done {
            self.requests.insert(open);
        }
    }

    fn holds(&mut self, now: Time, guard: Guard, open: &mut OpenRequest) -> bool {
        match guard {
            Guard::NeedsClaim => open.route.replay == Replay::Once,
            Guard::HasClaim => open.claim.is_some(),
            Guard::Broke => open.outcome == Some(AttemptOutcome::Broken),
            Guard::MayRetry => self.may_retry(now, open),
        }
    }

    fn may_retry(&mut self, now: Time, open: &mut OpenRequest) -> bool {
        let Some(failure) = open.outcome.and_then(failure) else {
            return false;
        };
        let budget = &mut self.retries;
        let deadline = open.deadline;
        let quarantined = self.quarantine.is_refused(open.query.digest, now);
        let in_budget = || {
            now < deadline
                && !quarantined
                && open.broken_count < MAX_BROKEN_RETRIES
                && budget.try_take(now)
        };
        let ran = match open.attempts.record_failure(failure, in_budget) {
            Retry::Again => {
                open.broken_count += u32::from(open.outcome == Some(AttemptOutcome::Broken));
                return true;
            }
            Retry::NotRun(_) => Ran::NotRun,
            Retry::MayHaveRun(_) => Ran::MayHaveRun,
        };
        let reason = match open.outcome {
            Some(AttemptOutcome::TimedOut | AttemptOutcome::NotSent) => Reason::DeadlinePassed,
            Some(AttemptOutcome::Shed) => Reason::Overloaded,
            Some(AttemptOutcome::Unreachable) => Reason::NoServer,
            Some(AttemptOutcome::Broken | AttemptOutcome::Answered { .. }) | None => {
                Reason::ServerBroke
            }
        };
        let refusal = Refusal {
            reason,
            ran,
            retry_delay: None,
        };
        open.refusal = Some(refusal.under_key(open.query.idempotency_key.as_deref()));
        false
    }

    // Runs one effect, and returns the signal that it raises, if any.
    fn run_effect(
        &mut self,
        now: Time,
        effect: Effect,
        open: &mut OpenRequest,
        out: &mut Vec<Action>,
    ) -> Option<Signal> {
        match effect {
            Effect::WaitForQuota => return refusal_signal(self.wait_for_quota(now, open), open),
            Effect::Claim => {
                let claimed = self.begin_claim(now, open);
                return refusal_signal(claimed, open);
            }
            Effect::Forward => return self.forward(now, open, out),
            Effect::AwaitCheck => return self.await_check(now, open),
            Effect::WaitForSlot => {
                open.queued_since.get_or_insert(now);
                self.wait_for_slot(now, open);
            }
            Effect::Refuse => send_refusal(open, out),
            Effect::CountAnswer | Effect::CountFailure => self.record_attempt(now, open, out),
            Effect::CountCancelled => {
                self.record_version_outcome(now, open, VersionOutcome::Inconclusive);
                if let Some(ticket) = open.ticket.take() {
                    self.fleet.finish(ticket, ServerOutcome::Cancelled, now);
                }
            }
            Effect::CountEnd => self.record_slot_time(now, open),
            Effect::AbandonClaim => self.abandon_claim(now, open),
            Effect::SettleClaim => {
                let answer = open.claim_outcome.take();
                self.settle_claim(now, open, answer);
                // The claim has replied at the end of the request's time, and does so once.
                if open.claim_replied && open.state == State::Claiming {
                    let refusal = Refusal::may_have_run(Reason::Repeated);
                    return refusal_signal(Err(refusal), open);
                }
            }
            Effect::Replay => replay(open, out),
        }
        None
    }

    fn forward(
        &mut self,
        now: Time,
        open: &mut OpenRequest,
        out: &mut Vec<Action>,
    ) -> Option<Signal> {
        // A new request does not overtake those in the queue.
        let is_first = open.forwarded_at.is_none() && open.state == State::Forwarded;
        if is_first && open.queued_since.is_none() && self.has_queue(&open.route.service) {
            return Some(Signal::NoSlot);
        }
        match self.choose_server(now, open) {
            Ok(decision) => {
                self.send(now, open, &decision, out);
                None
            }
            Err(Blocked::Quota(reason)) => {
                open.refusal = Some(open.refuse(reason));
                Some(Signal::Deferred)
            }
            Err(Blocked::Server(NoServer::Overloaded)) => Some(Signal::NoSlot),
            // A claimed request waits for a server while it may still be sent.
            Err(Blocked::Server(_)) if open.claim.is_some() && now <= open.start_by => {
                Some(Signal::NoSlot)
            }
            Err(Blocked::Server(cause)) => refusal_signal(Err(refusal_for(cause, open)), open),
        }
    }

    // Selects a version and a backend server that runs it.
    fn choose_server(&mut self, now: Time, open: &mut OpenRequest) -> Result<Decision, Blocked> {
        let Some(version) = self.pick_version(open) else {
            return self.route_current(now, open);
        };
        let shares = [VersionShare {
            version: &version,
            weight: 1.0,
        }];
        let routed = self.route(now, open, &shares);
        if routed.is_ok() {
            return routed;
        }
        self.record_version_outcome(now, open, VersionOutcome::Inconclusive);
        // The base version may stand in for the target, never the reverse.
        let Some(base) = self.base_version(&open.route.service, &version) else {
            return routed;
        };
        let shares = [VersionShare {
            version: &base,
            weight: 1.0,
        }];
        self.route(now, open, &shares)
    }

    // Without a version move all requests go to the current version.
    fn route_current(&mut self, now: Time, open: &OpenRequest) -> Result<Decision, Blocked> {
        let Some(version) = self.current_versions.find(&open.route.service).cloned() else {
            return self.route(now, open, &[]);
        };
        let shares = [VersionShare {
            version: &version,
            weight: 1.0,
        }];
        self.route(now, open, &shares)
    }

    fn route(
        &mut self,
        now: Time,
        open: &OpenRequest,
        versions: &[VersionShare<'_>],
    ) -> Result<Decision, Blocked> {
        let home = self.me.region.clone();
        let draw = self.rng.random();
        let query = ServerQuery {
            service: &open.route.service,
            home: &home,
            versions,
            priority: open.route.priority,
            remaining: open.deadline.since(now),
            tried: open.attempts.tried(),
        };
        let (quota, shift_limits) = (&mut self.quota, &mut self.shifts);
        let (contract, is_retry) = (&open.contract, open.quota_deadline.is_some());
        let allowed =
            |region: &_| shifts::may_shift(now, quota, shift_limits, contract, region, is_retry);
        let waited = open.queued_since.map_or(Duration::ZERO, |at| now.since(at));
        let router = &self.router;
        let routed = router.route_waiting(&self.fleet, &query, draw, waited, allowed);
        let decision = routed.map_err(|cause| match cause {
            NoServer::ShiftCapped => Blocked::Quota(Reason::ShiftCapped),
            NoServer::NoRegion | NoServer::NoServer | NoServer::TooLate | NoServer::Overloaded => {
                Blocked::Server(cause)
            }
        })?;
        let account = &open.contract.account;
        let quota = &mut self.quota;
        if decision.region_reason == RegionReason::Home
            && !shifts::has_capacity(now, quota, account, &home, is_retry)
        {
            return Err(Blocked::Quota(Reason::RegionFull));
        }
        Ok(decision)
    }

    fn send(
        &mut self,
        now: Time,
        open: &mut OpenRequest,
        decision: &Decision,
        out: &mut Vec<Action>,
    ) {
        let Some(server) = self.fleet.server(decision.server) else {
            return;
        };
        // The latest list may lack a server that is still in use.
        let backend = server.backend().clone();
        out.push(Action::Log(Record::Routed {
            request_id: Arc::clone(&open.query.request_id),
            account: open.contract.account.clone(),
            route: open.route.name.clone(),
            attempt: open.attempts.tried().len() + 1,
            choice: decision.explain(&self.fleet).to_string().into(),
            region: backend.region.as_str().into(),
            version: backend.version.as_str().into(),
        }));
        if open.forwarded_at.replace(now).is_none() {
            self.retries.record_attempt(now);
        }
        open.sent = true;
        // The outcome of an earlier attempt says nothing about this one.
        open.outcome = None;
        open.ticket = Some(self.fleet.begin(decision.server));
        open.attempts.record_attempt(decision.server);
        out.push(Action::Forward {
            id: open.query.id,
            server: backend,
            start_by: open.start_by.min(now + MAX_SEND_DELAY),
            deadline: open.deadline,
            new_connection: open.route.replay == Replay::Once,
            record_response: open.route.replay == Replay::Once,
        });
    }

    fn record_attempt(&mut self, now: Time, open: &mut OpenRequest, out: &mut Vec<Action>) {
        if open.outcome == Some(AttemptOutcome::Broken) {
            self.track_broken_attempt(now, open, out);
        }
        let (Some(ticket), Some(outcome)) = (open.ticket.take(), open.outcome) else {
            return;
        };
        self.record_version_outcome(now, open, version_outcome(outcome));
        if let AttemptOutcome::Answered { status, took } = outcome {
            out.push(Action::Log(Record::Answered {
                request_id: Arc::clone(&open.query.request_id),
                account: open.contract.account.clone(),
                route: open.route.name.clone(),
                status,
                took,
            }));
        }
        if let Some(name) = failure_name(outcome) {
            let server = self.fleet.server(ticket.server());
            out.push(Action::Log(Record::Failed {
                request_id: Arc::clone(&open.query.request_id),
                server: server.map_or("-", |s| s.id().as_str()).into(),
                outcome: name,
            }));
        }
        self.fleet.finish(ticket, server_outcome(outcome), now);
    }
}

// Records a refusal and returns the signal for it.
fn refusal_signal(result: Result<(), Refusal>, open: &mut OpenRequest) -> Option<Signal> {
    let refusal = result.err()?;
    open.refusal = Some(refusal);
    Some(Signal::Refused)
}

fn replay(open: &mut OpenRequest, out: &mut Vec<Action>) {
    if let Some(answer) = open.claim_outcome.take() {
        let id = open.query.id;
        out.push(Action::Replay { id, answer });
    }
}

fn send_refusal(open: &OpenRequest, out: &mut Vec<Action>) {
    let Some(refusal) = open.refusal else {
        return;
    };
    out.push(Action::Log(Record::Refused {
        request_id: Arc::clone(&open.query.request_id),
        account: Some(open.contract.account.clone()),
        route: Some(open.route.name.clone()),
        reason: refusal.reason,
        ran: refusal.ran,
    }));
    refuse(open.query.id, refusal, out);
}

fn refusal_for(cause: NoServer, open: &OpenRequest) -> Refusal {
    let reason = match cause {
        NoServer::NoRegion | NoServer::NoServer => Reason::NoServer,
        NoServer::TooLate => Reason::DeadlinePassed,
        NoServer::Overloaded => Reason::Overloaded,
        NoServer::ShiftCapped => Reason::ShiftCapped,
    };
    open.refuse(reason)
}

fn failure(outcome: AttemptOutcome) -> Option<Failure> {
    match outcome {
        AttemptOutcome::Answered { .. } => None,
        AttemptOutcome::Shed => Some(Failure::Shed),
        AttemptOutcome::Unreachable | AttemptOutcome::NotSent => Some(Failure::NotConnected),
        AttemptOutcome::Broken | AttemptOutcome::TimedOut => Some(Failure::Interrupted),
    }
}

fn failure_name(outcome: AttemptOutcome) -> Option<&'static str> {
    match outcome {
        AttemptOutcome::Answered { .. } => None,
        AttemptOutcome::Shed => Some("shed"),
        AttemptOutcome::Unreachable => Some("unreachable"),
        AttemptOutcome::NotSent => Some("not-sent"),
        AttemptOutcome::Broken => Some("broken"),
        AttemptOutcome::TimedOut => Some("timed-out"),
    }
}

fn server_outcome(outcome: AttemptOutcome) -> ServerOutcome {
    match outcome {
        AttemptOutcome::Answered { status, took } if status < 500 => ServerOutcome::Answered(took),
        AttemptOutcome::Answered { .. } | AttemptOutcome::Broken | AttemptOutcome::TimedOut => {
            ServerOutcome::Failed
        }
        AttemptOutcome::Shed => ServerOutcome::Shed,
        AttemptOutcome::NotSent => ServerOutcome::Cancelled,
        AttemptOutcome::Unreachable => ServerOutcome::Refused,
    }
}
