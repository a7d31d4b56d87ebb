//! The attempts of a request, up to the answer or refusal.
//!
//! This module runs the request chart: it evaluates the guards, carries out the
//! effects and records each attempt's outcome for the backend server, the
//! route's service times and the version move. A request that isn't idempotent
//! is never sent again once an attempt may have run.

use std::time::Duration;

use corianderway_model::ServerId;
use corianderway_model::Service;
use corianderway_model::Time;
use corianderway_model::Version;

use crate::choice::FullCause;
use crate::digest::ServerTimes;
use crate::event::Action;
use crate::event::Outcome;
use crate::event::RequestId;
use crate::evidence::RequestResult;
use crate::hash;
use crate::note::Note;
use crate::note::Severity;
use crate::pending_failures::Observation;
use crate::refusal::Reason;
use crate::request::Attempt;
use crate::request::Effect;
use crate::request::Guard;
use crate::request::OpenRequest;
use crate::request::Signal;
use crate::request::State;
use crate::server::millis;
use crate::service_time::Warmth;
use crate::steer::Steer;

/// Time for which a server that reported itself full receives no requests.
const FULL_BACKOFF: Duration = Duration::from_millis(40);

/// Factor over the typical time from which an answer counts as slow.
const SLOW_FACTOR: f64 = 1.5;

/// Share of a route's slack, its target latency minus the expected time, that
/// requests may wait at a backend server.
const TOLERATED_WAIT_SHARE: f64 = 0.4;

/// Lowest HTTP status that counts as a failure of the backend server.
const ERROR_STATUS: u16 = 500;

/// HTTP status of a backend server that did not answer in time. As evidence on
/// a version it counts as slow rather than failed.
const GATEWAY_TIMEOUT: u16 = 504;

impl Steer {
    /// Handles the departure of a caller.
    pub(crate) fn caller_left(&mut self, now: Time, id: RequestId, out: &mut Vec<Action>) {
        if let Some(open) = self.requests.remove(&id) {
            self.advance(now, open, Signal::CallerLeft, out);
        }
    }

    /// Handles the end of an attempt.
    pub(crate) fn attempt_ended(
        &mut self,
        now: Time,
        id: RequestId,
        outcome: Outcome,
        out: &mut Vec<Action>,
    ) {
        let Some(mut open) = self.requests.remove(&id) else {
            return;
        };
        open.outcome = Some(outcome);
        if outcome == Outcome::Outdated {
            // The server got nothing, and may be chosen again.
            open.tried.pop();
        }
        let signal = match outcome {
            Outcome::Answered { status, .. } => {
                open.answered = open.may_deliver(status);
                Signal::Answered
            }
            Outcome::Full { .. }
            | Outcome::Misdirected
            | Outcome::Unreachable
            | Outcome::NotSent
            | Outcome::Outdated
            | Outcome::Broken
            | Outcome::TimedOut => Signal::Failed,
        };
        let service = open.service.clone();
        self.advance(now, open, signal, out);
        self.retry_waiting(now, &service, out);
    }

    /// Applies an event to a request's chart, carries out the effects, and
    /// keeps the request unless it is done.
    pub(crate) fn advance(
        &mut self,
        now: Time,
        mut open: OpenRequest,
        signal: Signal,
        out: &mut Vec<Action>,
    ) {
        let mut signal = Some(signal);
        while let Some(next) = signal.take() {
            let chart = self.request_chart.clone();
            let step = chart.step(open.state, next, |guard| self.holds(now, guard, &mut open));
            open.state = step.to;
            for effect in step.actions {
                signal = self.run_effect(now, *effect, &mut open, out).or(signal);
            }
        }
        if open.state != State::Done {
            self.requests.insert(open.query.id, open);
        } else if open.is_trial {
            let ran = open.possible_runs > 0;
            self.crashes.end_trial(now, open.query.signature, ran);
        }
    }

    fn holds(&mut self, now: Time, guard: Guard, open: &mut OpenRequest) -> bool {
        match guard {
            Guard::Idempotent => open.is_idempotent(),
            Guard::MayRetry => self.may_retry(now, open),
            Guard::MayAskAgain => open.may_ask(now),
            Guard::Ambiguous => !open.answered,
        }
    }

    fn may_retry(&mut self, now: Time, open: &mut OpenRequest) -> bool {
        let Some(outcome) = open.outcome else {
            return false;
        };
        let (ran, reason) = match outcome {
            Outcome::Answered { status, .. } if !open.may_deliver(status) => {
                (true, Reason::Ambiguous)
            }
            Outcome::Answered { status, .. } if status >= ERROR_STATUS => (true, Reason::Broken),
            Outcome::Answered { .. } => return false,
            Outcome::Full { .. } | Outcome::Outdated => (false, Reason::Overloaded),
            Outcome::Misdirected | Outcome::Unreachable => (false, Reason::NoServer),
            Outcome::NotSent => (false, Reason::TimedOut),
            Outcome::Broken => (true, Reason::Broken),
            Outcome::TimedOut => (true, Reason::TimedOut),
        };
        let safe = !ran || open.is_idempotent();
        let quarantined = self.crashes.is_quarantined(open.query.signature);
        let attempts = open.tried.len() as u32;
        // An attempt that sent nothing doesn't use the retry budget, and
        // may exceed the route's attempts up to twice their number.
        let unsent = matches!(outcome, Outcome::Unreachable | Outcome::Outdated);
        let attempts_left = attempts < open.route.max_attempts
            || (unsent && attempts <= 2 * open.route.max_attempts);
        let has_time = open.time_left(now) > Duration::ZERO && outcome != Outcome::TimedOut;
        let permitted = safe && attempts_left && has_time && !quarantined;
        let service = open.service.clone();
        if permitted && (unsent || self.take_retry(now, &service)) {
            return true;
        }
        let not_run = !ran && open.possible_runs == 0;
        let delay = not_run.then(|| self.retry_after(now, open));
        let refusal = open.refusal_for(reason);
        open.refusal = Some(delay.map_or(refusal, |delay| refusal.with_retry_after(delay)));
        false
    }

    // Carries out an effect. Returns the event that follows from it at once, if
    // any.
    fn run_effect(
        &mut self,
        now: Time,
        effect: Effect,
        open: &mut OpenRequest,
        out: &mut Vec<Action>,
    ) -> Option<Signal> {
        match effect {
            Effect::AskForToken => return self.ask_token(now, open, out),
            Effect::Count => self.count_admitted(now, open),
            Effect::Choose => return Some(self.choose_next(now, open)),
            Effect::Forward => return self.forward(now, open, out),
            Effect::Enqueue => return self.enqueue(now, open, out),
            Effect::Cancel => out.push(Action::Cancel(open.query.id)),
            Effect::EndAttempt => self.end_attempt(now, open, out),
            Effect::Deliver => self.deliver(now, open, out),
            Effect::Refuse => {
                self.queues.remove(&open.service, open.query.id);
                self.refuse(now, open, out);
            }
            Effect::Release => {
                self.queues.remove(&open.service, open.query.id);
                out.push(Action::Release(open.query.id));
            }
            Effect::LogDeparture => {
                let held = now.since(open.received).as_millis();
                let note = self.note(Severity::Routine, "left", open);
                out.push(Action::Log(note.with("after_ms", held)));
            }
        }
        None
    }

    // Records the end of an attempt for its backend server, its route and its
    // version.
    fn end_attempt(&mut self, now: Time, open: &mut OpenRequest, out: &mut Vec<Action>) {
        let Some(attempt) = open.attempt.take() else {
            return;
        };
        let Attempt {
            server,
            start,
            version,
            choice,
        } = attempt;
        let ended = self.fleet.end(now, &server, open.query.id);
        // A request that isn't known there was sent to an earlier start, which has died.
        let is_listed = ended.is_some();
        let (took, expected) = ended.unwrap_or((0.0, 1.0));
        let outcome = self.take_outcome(open);
        let object = open.query.object.filter(|_| open.route.sticky);
        let target_latency = millis(open.route.target_latency);
        let name_hash = hash::short(server.as_str());
        let service_times = &self.fleet.service_times;
        let known = service_times.expected(&open.route.name, target_latency, Warmth::Known);
        let tolerated = ((target_latency - known) * TOLERATED_WAIT_SHARE / known.max(1.0)).max(0.0);
        let observation = |evidence| Observation {
            service: open.service.clone(),
            version: version.clone(),
            server_hash: name_hash,
            route: open.route.name.clone(),
            elapsed_ms: took,
            result: evidence,
        };
        match outcome {
            Outcome::Answered { status, load } => {
                let failed = status >= ERROR_STATUS;
                self.fleet.record_load(now, &server, load, tolerated);
                if load.is_none() && !failed {
                    self.fleet.record_unreported_load(&server);
                }
                self.urgent |= self.crashes.answered(now, open.query.signature);
                // What the speed of the machine explains is no slowness of the server.
                let stretch = self.fleet.stretch_of_answer(now, choice.stretch, load);
                let ratio = took / expected.max(1.0) * choice.stretch / stretch;
                self.fleet.record_answer(now, &server, ratio, failed);
                self.fleet.record_object(now, &server, object, failed);
                if choice.wait <= 0.0 && !failed {
                    let (name, took) = (&open.route.name, took / stretch);
                    let (warmth, is_probe) = (choice.warmth, choice.is_probe);
                    self.fleet
                        .service_times
                        .record(name, target_latency, warmth, took, is_probe);
                }
                let earlier = self.pending_failures.release(&server);
                self.count_observations(earlier);
                if let Some(evidence) = result_of(status, choice.typical, took) {
                    self.count(&observation(evidence));
                }
            }
            Outcome::Full { load } => {
                self.fleet.record_load(now, &server, load, tolerated);
                self.fleet.mark_full(now, &server, FULL_BACKOFF);
            }
            Outcome::Misdirected => self.fleet.mark_misdirected(now, &server),
            Outcome::Unreachable => {
                self.fleet.record_failure(now, &server, true);
                self.urgent |= self.crashes.unreachable(now, name_hash);
                self.moves.record_unsent(&open.service, &version);
                self.pending_failures.discard(&server);
            }
            Outcome::NotSent | Outcome::Outdated => {
                self.moves.record_unsent(&open.service, &version);
            }
            Outcome::Broken => {
                self.fleet.record_failure(now, &server, false);
                self.crashes
                    .connection_broke(now, open.query.signature, start);
                self.check_server(&server, out);
                let failure = observation(RequestResult::Failed);
                self.pending_failures
                    .hold(now, server.clone(), is_listed, failure);
            }
            Outcome::TimedOut => {
                if now >= open.deadline {
                    // A dead server answers nothing, whatever its version.
                    if is_listed {
                        self.fleet.record_timeout(now, &server, took, expected);
                    }
                    if is_listed && choice.typical.is_some() {
                        let slow = observation(RequestResult::Slow);
                        self.pending_failures
                            .hold(now, server.clone(), is_listed, slow);
                    }
                }
            }
        }
        let severity = match outcome {
            Outcome::Answered { status, .. } if status < ERROR_STATUS => Severity::Routine,
            _ => Severity::Notable,
        };
        let note = self
            .note(severity, "attempted", open)
            .with("server", &server)
            .with("outcome", format!("{outcome:?}"))
            .with("took_ms", took.round())
            .with("expected_ms", expected.round());
        out.push(Action::Log(note));
    }

    // Checks whether a server crashed, since it gets no request soon that would show it.
    fn check_server(&self, server: &ServerId, out: &mut Vec<Action>) {
        if let Some(known) = self.fleet.server(server) {
            let (server, addr) = (server.clone(), known.listed.backend.addr);
            out.push(Action::CheckServer { server, addr });
        }
    }

    /// Counts observations as evidence for the versions concerned.
    pub(crate) fn count_observations(&mut self, observations: Vec<Observation>) {
        for observation in observations {
            self.count(&observation);
        }
    }

    /// Returns the requests of a service that have taken longer than an answer on time
    /// and have not been counted, each with its version.
    pub(crate) fn overdue(&self, now: Time, service: &Service) -> Vec<(Version, ServerTimes)> {
        let open = self.requests.iter().filter_map(|(id, open)| {
            let attempt = open.attempt.as_ref().filter(|_| open.service == *service)?;
            let limit = SLOW_FACTOR * attempt.choice.typical?.max(1.0);
            let took = self.fleet.server(&attempt.server)?.elapsed(*id, now)?;
            let hash = hash::short(attempt.server.as_str());
            (took > limit).then(|| (attempt.version.clone(), ServerTimes::new(hash, true)))
        });
        let unanswered = self.pending_failures.slow();
        let unanswered = unanswered.filter(|row| row.service == *service);
        let unanswered = unanswered.map(|row| {
            let timed = ServerTimes::new(row.server_hash, true);
            (row.version.clone(), timed)
        });
        open.chain(unanswered).collect()
    }

    fn count(&mut self, observation: &Observation) {
        let urgent = self.moves.record(observation);
        self.urgent |= urgent;
    }

    fn deliver(&mut self, now: Time, open: &OpenRequest, out: &mut Vec<Action>) {
        let held = now.since(open.received).as_millis();
        let note = self.note(Severity::Routine, "delivered", open);
        out.push(Action::Log(note.with("held_ms", held)));
        out.extend(self.startup.served(now).map(Action::Log));
        out.push(Action::Deliver(open.query.id));
    }

    fn refuse(&mut self, now: Time, open: &OpenRequest, out: &mut Vec<Action>) {
        // A backend server's failure answer tells the caller more than a
        // refusal.
        if open.answered {
            self.deliver(now, open, out);
            return;
        }
        let mut refusal = open.refusal.unwrap_or(open.refusal_for(Reason::TimedOut));
        // The reason may have been set before the attempt ended.
        refusal.may_have_run |= open.possible_runs > 0;
        let refusal = if refusal.status() == 503 && refusal.retry_after.is_none() {
            refusal.with_retry_after(self.retry_after(now, open))
        } else {
            refusal
        };
        let note = self
            .note(Severity::Notable, "refused", open)
            .with("reason", refusal.reason.as_str())
            .with("status", refusal.status())
            .with("tried", open.tried.len())
            .with("held_ms", now.since(open.received).as_millis());
        let terms = open.account.as_ref();
        let note = match terms.filter(|_| refusal.reason == Reason::OverRate) {
            Some(terms) => note
                .with("asks", open.token_requests)
                .with("quota", self.quotas.explain(&terms.account)),
            None => note
                .with("lack", open.full_cause.map_or("-", FullCause::as_str))
                .with("servers", self.fleet.explain(now, &open.service)),
        };
        out.push(Action::Log(note));
        let id = open.query.id;
        out.push(Action::Refuse { id, refusal });
    }

    /// Creates a log line with the fields common to all lines about a request.
    pub(crate) fn note(&self, severity: Severity, event: &'static str, open: &OpenRequest) -> Note {
        let account = open.account.as_ref().map(|terms| terms.account.as_str());
        Note::new(severity, event)
            .for_request(&open.query.trace)
            .with("route", &open.route.name)
            .with("service", &open.service)
            .with("account", account.unwrap_or("-"))
            .with("config", self.plan.as_ref().map_or(0, |p| p.version()))
    }
}

// Returns what an answer is evidence of. `typical` is the usual time of comparable answers, in
// milliseconds.
fn result_of(status: u16, typical: Option<f64>, took: f64) -> Option<RequestResult> {
    match (status, typical) {
        (GATEWAY_TIMEOUT, typical) => typical.map(|_| RequestResult::Slow),
        (ERROR_STATUS.., _) => Some(RequestResult::Failed),
        (_, Some(typical)) if took > SLOW_FACTOR * typical.max(1.0) => Some(RequestResult::Slow),
        (_, Some(_)) => Some(RequestResult::OnTime),
        (_, None) => Some(RequestResult::Untimed),
    }
}
