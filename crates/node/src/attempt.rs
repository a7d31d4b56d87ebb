//! Attempts: a request's way along its chart, from server to server.

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
use crate::event::Outcome;
use crate::event::RequestId;
use crate::moves::version_outcome;
use crate::node::Node;
use crate::open::Open;
use crate::record::Record;
use crate::refusal::Ran;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::shifts;

/// Why no backend server could be chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Blocked {
    /// A limit of the client account forbids it for now.
    Quota(Reason),
    /// No backend server can take it.
    Server(NoServer),
}

/// How long after the decision a request may be sent: what was admitted before
/// a pause of the process must not run after it.
const SEND_SPAN: Duration = Duration::from_millis(500);

/// Attempts of one request that may break, so that a request that crashes
/// backend servers takes few of them before it is known.
const MOST_BROKEN: u32 = 1;

impl Node {
    /// Takes the end of an attempt.
    pub(crate) fn attempted(
        &mut self,
        now: Time,
        id: RequestId,
        outcome: Outcome,
        out: &mut Vec<Action>,
    ) {
        let Some(mut open) = self.requests.take(id) else {
            return;
        };
        open.outcome = Some(outcome);
        let signal = match outcome {
            Outcome::Answered { .. } => Signal::Answered,
            Outcome::Shed
            | Outcome::Unreachable
            | Outcome::NotSent
            | Outcome::Broken
            | Outcome::TimedOut => Signal::Failed,
        };
        self.advance(now, open, signal, out);
    }

    /// Takes the end of a request.
    pub(crate) fn ended(
        &mut self,
        now: Time,
        id: RequestId,
        whole: bool,
        answer: Option<Arc<ClaimOutcome>>,
        out: &mut Vec<Action>,
    ) {
        let Some(mut open) = self.requests.take(id) else {
            return;
        };
        self.note_end(now, &open, whole, out);
        open.remembered = answer;
        let service = open.route.service.clone();
        self.advance(now, open, Signal::Ended, out);
        self.serve_slots(now, &service, out);
    }

    /// Moves a request along its chart and keeps it while it is open.
    pub(crate) fn advance(
        &mut self,
        now: Time,
        mut open: Open,
        signal: Signal,
        out: &mut Vec<Action>,
    ) {
        let mut signal = Some(signal);
        while let Some(next) = signal.take() {
            let chart = self.chart.clone();
            let step = chart.step(open.state, next, |guard| self.holds(now, guard, &mut open));
            open.state = step.to;
            for effect in step.actions {
                signal = self.carry_out(now, *effect, &mut open, out).or(signal);
            }
        }
        if open.state != State::Done {
            self.requests.insert(open);
        }
    }

    fn holds(&mut self, now: Time, guard: Guard, open: &mut Open) -> bool {
        match guard {
            Guard::NeedsClaim => open.route.replay == Replay::Once,
            Guard::HasClaim => open.claim.is_some(),
            Guard::MayRetry => self.may_retry(now, open),
        }
    }

    fn may_retry(&mut self, now: Time, open: &mut Open) -> bool {
        let Some(failure) = open.outcome.and_then(failure) else {
            return false;
        };
        let budget = &mut self.retries;
        let deadline = open.deadline;
        let may = || now < deadline && open.broken < MOST_BROKEN && budget.try_take(now);
        let ran = match open.attempts.record_failure(failure, may) {
            Retry::Again => return true,
            Retry::NotRun(_) => Ran::NotRun,
            Retry::MayHaveRun(_) => Ran::MayHaveRun,
        };
        let reason = match open.outcome {
            Some(Outcome::TimedOut | Outcome::NotSent) => Reason::DeadlinePassed,
            Some(Outcome::Shed) => Reason::Overloaded,
            Some(Outcome::Unreachable) => Reason::NoServer,
            Some(Outcome::Broken | Outcome::Answered { .. }) | None => Reason::ServerBroke,
        };
        let retry = None;
        open.refusal = Some(Refusal { reason, ran, retry });
        false
    }

    // Carries out one effect; what comes of it at once is the next signal.
    fn carry_out(
        &mut self,
        now: Time,
        effect: Effect,
        open: &mut Open,
        out: &mut Vec<Action>,
    ) -> Option<Signal> {
        match effect {
            Effect::WaitForQuota => return or_refuse(self.wait_for_quota(now, open), open),
            Effect::Claim => {
                let claimed = self.claim(now, open);
                return or_refuse(claimed, open);
            }
            Effect::Forward => return self.forward(now, open, out),
            Effect::WaitForSlot => {
                open.waits.get_or_insert(now);
                self.wait_for_slot(now, open);
            }
            Effect::Refuse => tell_refusal(open, out),
            Effect::CountAnswer | Effect::CountFailure => self.count(now, open, out),
            Effect::CountDeparture => {
                self.count_version(now, open, VersionOutcome::Inconclusive);
                if let Some(ticket) = open.ticket.take() {
                    self.fleet.finish(ticket, ServerOutcome::Cancelled, now);
                }
            }
            Effect::CountEnd => self.note_hold(now, open),
            Effect::AbandonClaim => self.abandon_claim(now, open),
            Effect::SettleClaim => {
                let answer = open.remembered.take();
                self.settle_claim(now, open, answer);
            }
            Effect::Replay => replay(open, out),
        }
        None
    }

    fn forward(&mut self, now: Time, open: &mut Open, out: &mut Vec<Action>) -> Option<Signal> {
        // A new request does not pass those that wait already.
        let first = open.forwarded.is_none() && open.state == State::Forwarded;
        if first && open.waits.is_none() && self.is_crowded(&open.route.service) {
            return Some(Signal::Full);
        }
        match self.choose(now, open) {
            Ok(decision) => {
                self.send(now, open, &decision, out);
                None
            }
            Err(Blocked::Quota(reason)) => {
                open.refusal = Some(open.refuse(reason));
                Some(Signal::Short)
            }
            Err(Blocked::Server(NoServer::Overloaded)) => Some(Signal::Full),
            // The claim holds on until its time is over.
            Err(Blocked::Server(_)) if open.claim.is_some() && now < open.start_by => {
                Some(Signal::Full)
            }
            Err(Blocked::Server(no)) => or_refuse(Err(refusal(no, open)), open),
        }
    }

    // Chooses a version and a server that runs it.
    fn choose(&mut self, now: Time, open: &mut Open) -> Result<Decision, Blocked> {
        let Some(version) = self.pick_version(open) else {
            return self.route_unmoved(now, open);
        };
        let only = [VersionShare {
            version: &version,
            weight: 1.0,
        }];
        let routed = self.route(now, open, &only);
        if routed.is_ok() {
            return routed;
        }
        self.count_version(now, open, VersionOutcome::Inconclusive);
        // The old version may take over from the new one, never the reverse.
        let Some(old) = self.old_version(&open.route.service, &version) else {
            return routed;
        };
        let only = [VersionShare {
            version: &old,
            weight: 1.0,
        }];
        self.route(now, open, &only)
    }

    // Without a move the version in service takes everything.
    fn route_unmoved(&mut self, now: Time, open: &Open) -> Result<Decision, Blocked> {
        let Some(version) = self.incumbents.find(&open.route.service).cloned() else {
            return self.route(now, open, &[]);
        };
        let only = [VersionShare {
            version: &version,
            weight: 1.0,
        }];
        self.route(now, open, &only)
    }

    fn route(
        &mut self,
        now: Time,
        open: &Open,
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
        let (quota, moved) = (&mut self.quota, &mut self.shifts);
        let (contract, again) = (&open.contract, open.give_up.is_some());
        let allowed = |region: &_| shifts::may_shift(now, quota, moved, contract, region, again);
        let waited = open.waits.map_or(Duration::ZERO, |at| now.since(at));
        let router = &self.router;
        let routed = router.route_waiting(&self.fleet, &query, draw, waited, allowed);
        let decision = routed.map_err(|no| match no {
            NoServer::ShiftCapped => Blocked::Quota(Reason::ShiftCapped),
            NoServer::NoRegion | NoServer::NoServer | NoServer::TooLate | NoServer::Overloaded => {
                Blocked::Server(no)
            }
        })?;
        let account = &open.contract.account;
        let quota = &mut self.quota;
        if decision.region_reason == RegionReason::Home
            && !shifts::has_capacity(now, quota, account, &home, again)
        {
            return Err(Blocked::Quota(Reason::RegionFull));
        }
        Ok(decision)
    }

    fn send(&mut self, now: Time, open: &mut Open, decision: &Decision, out: &mut Vec<Action>) {
        let Some(server) = self.fleet.server(decision.server) else {
            return;
        };
        let found = self.backends.binary_search_by(|b| b.id.cmp(server.id()));
        let Some(backend) = found.ok().map(|at| self.backends[at].clone()) else {
            return;
        };
        out.push(Action::Log(Record::Routed {
            trace: Arc::clone(&open.query.trace),
            account: open.contract.account.clone(),
            route: open.route.name.clone(),
            attempt: open.attempts.tried().len() + 1,
            choice: decision.explain(&self.fleet).to_string().into(),
            region: backend.region.as_str().into(),
            version: backend.version.as_str().into(),
        }));
        if open.forwarded.replace(now).is_none() {
            self.retries.record_attempt(now);
        }
        open.sent = true;
        open.ticket = Some(self.fleet.begin(decision.server));
        open.attempts.record_attempt(decision.server);
        out.push(Action::Forward {
            id: open.query.id,
            server: backend,
            start_by: open.start_by.min(now + SEND_SPAN),
            deadline: open.deadline,
            fresh: open.route.replay == Replay::Once,
            keep: open.route.replay == Replay::Once,
        });
    }

    fn count(&mut self, now: Time, open: &mut Open, out: &mut Vec<Action>) {
        if open.outcome == Some(Outcome::Broken) {
            open.broken += 1;
            self.note_cut(now, open, out);
        }
        let (Some(ticket), Some(outcome)) = (open.ticket.take(), open.outcome) else {
            return;
        };
        self.count_version(now, open, version_outcome(outcome));
        if let Outcome::Answered { status, took } = outcome {
            out.push(Action::Log(Record::Answered {
                trace: Arc::clone(&open.query.trace),
                account: open.contract.account.clone(),
                route: open.route.name.clone(),
                status,
                took,
            }));
        }
        if let Some(name) = failure_name(outcome) {
            let server = self.fleet.server(ticket.server());
            out.push(Action::Log(Record::Failed {
                trace: Arc::clone(&open.query.trace),
                server: server.map_or("-", |s| s.id().as_str()).into(),
                outcome: name,
            }));
        }
        self.fleet.finish(ticket, server_outcome(outcome), now);
    }
}

// A refusal becomes the next signal.
fn or_refuse(result: Result<(), Refusal>, open: &mut Open) -> Option<Signal> {
    let refusal = result.err()?;
    open.refusal = Some(refusal);
    Some(Signal::Refused)
}

fn replay(open: &mut Open, out: &mut Vec<Action>) {
    if let Some(answer) = open.remembered.take() {
        let id = open.query.id;
        out.push(Action::Replay { id, answer });
    }
}

fn tell_refusal(open: &Open, out: &mut Vec<Action>) {
    let Some(refusal) = open.refusal else {
        return;
    };
    out.push(Action::Log(Record::Refused {
        trace: Arc::clone(&open.query.trace),
        account: Some(open.contract.account.clone()),
        route: Some(open.route.name.clone()),
        reason: refusal.reason,
        ran: refusal.ran,
    }));
    refuse(open.query.id, refusal, out);
}

fn refusal(no: NoServer, open: &Open) -> Refusal {
    let reason = match no {
        NoServer::NoRegion | NoServer::NoServer => Reason::NoServer,
        NoServer::TooLate => Reason::DeadlinePassed,
        NoServer::Overloaded => Reason::Overloaded,
        NoServer::ShiftCapped => Reason::ShiftCapped,
    };
    open.refuse(reason)
}

fn failure(outcome: Outcome) -> Option<Failure> {
    match outcome {
        Outcome::Answered { .. } => None,
        Outcome::Shed => Some(Failure::Shed),
        Outcome::Unreachable | Outcome::NotSent => Some(Failure::NotConnected),
        Outcome::Broken | Outcome::TimedOut => Some(Failure::Interrupted),
    }
}

fn failure_name(outcome: Outcome) -> Option<&'static str> {
    match outcome {
        Outcome::Answered { .. } => None,
        Outcome::Shed => Some("shed"),
        Outcome::Unreachable => Some("unreachable"),
        Outcome::NotSent => Some("not-sent"),
        Outcome::Broken => Some("broken"),
        Outcome::TimedOut => Some("timed-out"),
    }
}

fn server_outcome(outcome: Outcome) -> ServerOutcome {
    match outcome {
        Outcome::Answered { status, took } if status < 500 => ServerOutcome::Answered(took),
        Outcome::Answered { .. } | Outcome::Broken | Outcome::TimedOut => ServerOutcome::Failed,
        Outcome::Shed => ServerOutcome::Shed,
        Outcome::NotSent => ServerOutcome::Cancelled,
        Outcome::Unreachable => ServerOutcome::Refused,
    }
}
