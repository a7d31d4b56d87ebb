//! A request's way along its chart: attempts, answer or refusal.

use std::time::Duration;

use corianderway_model::Time;
use rand::Rng as _;

use crate::choice::Ask;
use crate::choice::Blocked;
use crate::choice::Choice;
use crate::choice::Lack;
use crate::event::Action;
use crate::event::Outcome;
use crate::event::RequestId;
use crate::evidence::Answer;
use crate::hash;
use crate::lane::Lane;
use crate::note::Note;
use crate::note::Weight;
use crate::pace::Warmth;
use crate::refusal::Reason;
use crate::request::Attempt;
use crate::request::Effect;
use crate::request::Guard;
use crate::request::Open;
use crate::request::Signal;
use crate::request::State;
use crate::server::millis;
use crate::steer::Steer;
use crate::verdicts::Observation;

/// How long a server that said it was full gets nothing.
const FULL_SPAN: Duration = Duration::from_millis(40);

/// How many times longer than usual an answer takes that counts as slow.
const SLOW: f64 = 1.5;

/// How much longer than expected a request waits for a server to build up the
/// state of its object.
const BUILD_PATIENCE: f64 = 1.5;

/// The part of a route's slack, its objective less the usual time, that
/// requests may wait at a backend server.
const WAIT_TOLERATED: f64 = 0.4;

/// The lowest HTTP status that is a failure of the backend server.
const SERVER_FAULT: u16 = 500;

/// The HTTP status of a backend server that did not answer in time.
const TIMEOUT: u16 = 504;

impl Steer {
    /// Takes the departure of a caller.
    pub(crate) fn depart(&mut self, now: Time, id: RequestId, out: &mut Vec<Action>) {
        if let Some(open) = self.requests.remove(&id) {
            self.advance(now, open, Signal::Left, out);
        }
    }

    /// Takes the end of an attempt.
    pub(crate) fn attempted(
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
        let signal = match outcome {
            Outcome::Answered { .. } => {
                open.answered = true;
                Signal::Answered
            }
            Outcome::Full { .. }
            | Outcome::Misdirected
            | Outcome::Unreachable
            | Outcome::NotSent
            | Outcome::Broken
            | Outcome::TimedOut => Signal::Failed,
        };
        if matches!(outcome, Outcome::Broken | Outcome::TimedOut) || open.answered {
            open.runs += 1;
        }
        let service = open.service.clone();
        self.advance(now, open, signal, out);
        self.serve_room(now, &service, out);
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
            self.requests.insert(open.query.id, open);
        }
    }

    fn holds(&mut self, now: Time, guard: Guard, open: &mut Open) -> bool {
        match guard {
            Guard::Idempotent => open.is_idempotent(),
            Guard::MayRetry => self.may_retry(now, open),
            Guard::MayAsk => open.may_ask(now),
        }
    }

    fn may_retry(&mut self, now: Time, open: &mut Open) -> bool {
        let Some(outcome) = open.outcome else {
            return false;
        };
        let (ran, reason) = match outcome {
            Outcome::Answered { status, .. } if status >= SERVER_FAULT => (true, Reason::Broken),
            Outcome::Answered { .. } => return false,
            Outcome::Full { .. } => (false, Reason::Overloaded),
            Outcome::Misdirected | Outcome::Unreachable => (false, Reason::NoServer),
            Outcome::NotSent => (false, Reason::TimedOut),
            Outcome::Broken => (true, Reason::Broken),
            Outcome::TimedOut => (true, Reason::TimedOut),
        };
        let harmless = !ran || open.is_idempotent();
        let condemned = self.crashes.condemns(open.query.signature);
        let sends = open.tried.len() as u32;
        // An attempt that reached no backend server is none.
        let unsent = outcome == Outcome::Unreachable;
        let more = sends < open.route.attempts || (unsent && sends <= 2 * open.route.attempts);
        let time = open.left(now) > Duration::ZERO && outcome != Outcome::TimedOut;
        let may = harmless && more && time && !condemned;
        let service = open.service.clone();
        if may && (unsent || self.budget(&service).try_take(now)) {
            return true;
        }
        let after = (!ran && open.runs == 0).then(|| Self::retry_after(open));
        let refusal = open.refuse(reason);
        open.refusal = Some(after.map_or(refusal, |after| refusal.after(after)));
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
            Effect::Ask => return self.ask(now, open, out),
            Effect::Count => self.count_in(now, open),
            Effect::Send => return self.send(now, open, out),
            Effect::Wait => self.wait(now, open),
            Effect::Cancel => out.push(Action::Cancel(open.query.id)),
            Effect::Settle => self.settle(now, open, out),
            Effect::Deliver => self.deliver(now, open, out),
            Effect::Refuse => self.refuse(now, open, out),
            Effect::NoteDeparture => {
                let held = now.since(open.received).as_millis();
                let note = self.note(Weight::Plain, "left", open);
                out.push(Action::Log(note.with("after_ms", held)));
            }
        }
        None
    }

    fn send(&mut self, now: Time, open: &mut Open, out: &mut Vec<Action>) -> Option<Signal> {
        let choice = match self.choose(now, open) {
            Ok(choice) => choice,
            Err(blocked) => return Some(block(now, open, blocked)),
        };
        let server = self.fleet.server(&choice.server)?;
        let (id, addr) = (open.query.id, server.listed.backend.addr);
        let version = server.listed.backend.version.clone();
        self.shifts.count(now, choice.away);
        self.moves.note_sent(&open.service, &version);
        let object = open.query.object.filter(|_| open.route.sticky);
        let builds = object.filter(|_| choice.warmth != Warmth::Known);
        self.fleet
            .begin(now, &choice.server, id, choice.expected(), builds);
        let note = self
            .note(Weight::Plain, "sent", open)
            .with("attempt", open.tried.len() + 1)
            .with("object", object.map_or(0, |hash| hash as u32))
            .with("server", &choice.server)
            .with("version", &version)
            .with("choice", &choice)
            .with("left_ms", open.left(now).as_millis());
        out.push(Action::Log(note));
        open.tried.push(choice.server.clone());
        out.push(Action::Forward {
            id,
            server: choice.server.clone(),
            addr,
            account: open.account.as_ref().map(|terms| terms.account.clone()),
            deadline: open.deadline,
            once: !open.is_idempotent(),
        });
        open.attempt = Some(Attempt {
            server: choice.server.clone(),
            version,
            choice,
        });
        None
    }

    fn choose(&mut self, now: Time, open: &Open) -> Result<Choice, Blocked> {
        let object = open.query.object.filter(|_| open.route.sticky);
        let fleet = &self.fleet;
        let knows = |version: &_| object.map(|o| fleet.knows(&open.service, version, o));
        let draw = self.rng.random();
        let lane = self.moves.lane(now, &open.service, draw, knows);
        let first = self.choose_in(now, open, &lane);
        let fallback = self.moves.fallback(now, &open.service, &lane);
        match (first, fallback) {
            (Err(_), Some(lane)) => self.choose_in(now, open, &lane),
            (first, _) => first,
        }
    }

    fn choose_in(&mut self, now: Time, open: &Open, lane: &Lane) -> Result<Choice, Blocked> {
        let drift = self.shifts.drift(now);
        let account = open.account.as_ref();
        let ask = Ask {
            route: &open.route,
            servers: self.fleet.of(&open.service),
            object: open.query.object.filter(|_| open.route.sticky),
            tried: &open.tried,
            homes: [
                &open.route.homes,
                account.map_or(&[], |terms| terms.homes.as_slice()),
            ],
            lane,
            scope: self.fleet.scope(&open.service),
            left: open.left(now),
            drift,
            draw: self.rng.random(),
        };
        self.fleet.choose(now, &ask)
    }

    // Counts the end of an attempt for its backend server and its version.
    fn settle(&mut self, now: Time, open: &mut Open, out: &mut Vec<Action>) {
        let Some(attempt) = open.attempt.take() else {
            return;
        };
        let Attempt {
            server,
            version,
            choice,
        } = attempt;
        let ended = self.fleet.end(now, &server, open.query.id);
        let (took, expected) = ended.unwrap_or((0.0, 1.0));
        // A request that its caller or its deadline ended has no outcome.
        let outcome = open.outcome.take().unwrap_or(Outcome::TimedOut);
        let object = open.query.object.filter(|_| open.route.sticky);
        let objective = millis(open.route.objective);
        let short = hash::short(server.as_str());
        let paces = &self.fleet.paces;
        let known = paces.expect(&open.route.name, objective, Warmth::Known);
        let tolerated = ((objective - known) * WAIT_TOLERATED / known.max(1.0)).max(0.0);
        let about = |answer| Observation {
            service: open.service.clone(),
            version: version.clone(),
            server: short,
            route: open.route.name.clone(),
            took,
            answer,
        };
        match outcome {
            Outcome::Answered { status, load } => {
                let failed = status >= SERVER_FAULT;
                self.fleet.tell(now, &server, load, tolerated);
                self.crashes.answered(now, open.query.signature);
                let ratio = took / expected.max(1.0);
                self.fleet.pass(now, &server, ratio, failed);
                self.fleet.learn(now, &server, object, failed);
                if choice.wait <= 0.0 && !failed {
                    let name = &open.route.name;
                    self.fleet.paces.learn(name, objective, choice.warmth, took);
                }
                let earlier = self.verdicts.take_alive(&server);
                self.count_all(earlier);
                let answer = match (status, choice.usual) {
                    (TIMEOUT, usual) => usual.map(|_| Answer::Slow),
                    (SERVER_FAULT.., _) => Some(Answer::Failed),
                    (_, Some(usual)) if took > SLOW * usual.max(1.0) => Some(Answer::Slow),
                    (_, Some(_)) => Some(Answer::Usual),
                    (_, None) => Some(Answer::Whole),
                };
                if let Some(answer) = answer {
                    self.count(&about(answer));
                }
            }
            Outcome::Full { load } => {
                self.fleet.tell(now, &server, load, tolerated);
                self.fleet.fill(now, &server, FULL_SPAN);
            }
            Outcome::Misdirected => self.fleet.misdirect(now, &server),
            Outcome::Unreachable => {
                self.fleet.fault(now, &server, true);
                self.crashes.unreachable(now, short);
                self.moves.note_unsent(&open.service, &version);
                self.verdicts.drop_dead(&server);
            }
            Outcome::NotSent => self.moves.note_unsent(&open.service, &version),
            Outcome::Broken => {
                self.fleet.fault(now, &server, false);
                self.crashes.broke(now, open.query.signature, short);
                let failure = about(Answer::Failed);
                self.verdicts.hold(now, server.clone(), failure);
            }
            Outcome::TimedOut => {
                if now >= open.deadline {
                    let ratio = took / expected.max(1.0);
                    self.fleet.pass(now, &server, ratio, false);
                    if choice.usual.is_some() {
                        let slow = about(Answer::Slow);
                        self.verdicts.hold(now, server.clone(), slow);
                    }
                }
            }
        }
        let weight = match outcome {
            Outcome::Answered { status, .. } if status < SERVER_FAULT => Weight::Plain,
            _ => Weight::Notable,
        };
        let note = self
            .note(weight, "attempted", open)
            .with("server", &server)
            .with("outcome", format!("{outcome:?}"))
            .with("took_ms", took.round())
            .with("expected_ms", expected.round());
        out.push(Action::Log(note));
    }

    /// Counts observations for the versions that they are about.
    pub(crate) fn count_all(&mut self, observations: Vec<Observation>) {
        for observation in observations {
            self.count(&observation);
        }
    }

    fn count(&mut self, observation: &Observation) {
        let urgent = self.moves.count(observation);
        self.urgent |= urgent;
    }

    fn deliver(&self, now: Time, open: &Open, out: &mut Vec<Action>) {
        let held = now.since(open.received).as_millis();
        let note = self.note(Weight::Plain, "delivered", open);
        out.push(Action::Log(note.with("held_ms", held)));
        out.push(Action::Deliver(open.query.id));
    }

    fn refuse(&self, now: Time, open: &Open, out: &mut Vec<Action>) {
        // An answer that is a failure says more than a refusal.
        if open.answered {
            self.deliver(now, open, out);
            return;
        }
        let refusal = open.refusal.unwrap_or(open.refuse(Reason::TimedOut));
        let refusal = if refusal.status() == 503 && refusal.retry_after.is_none() {
            refusal.after(Self::retry_after(open))
        } else {
            refusal
        };
        let note = self
            .note(Weight::Notable, "refused", open)
            .with("reason", refusal.reason.as_str())
            .with("status", refusal.status())
            .with("tried", open.tried.len())
            .with("held_ms", now.since(open.received).as_millis());
        let terms = open.account.as_ref();
        let note = match terms.filter(|_| refusal.reason == Reason::OverRate) {
            Some(terms) => note
                .with("asks", open.asks)
                .with("quota", self.quotas.explain(&terms.account)),
            None => note
                .with("lack", open.lack.map_or("-", Lack::as_str))
                .with("servers", self.fleet.explain(now, &open.service)),
        };
        out.push(Action::Log(note));
        let id = open.query.id;
        out.push(Action::Refuse { id, refusal });
    }

    // Begins a note about a request with what every line of it says.
    fn note(&self, weight: Weight, event: &'static str, open: &Open) -> Note {
        let account = open.account.as_ref().map(|terms| terms.account.as_str());
        Note::new(weight, event)
            .about(&open.query.trace)
            .with("route", &open.route.name)
            .with("service", &open.service)
            .with("account", account.unwrap_or("-"))
            .with("config", self.plan.as_ref().map_or(0, |p| p.version()))
    }
}

// What becomes of a request for which no backend server was found.
fn block(now: Time, open: &mut Open, blocked: Blocked) -> Signal {
    let reason = match blocked {
        Blocked::Building(span) => {
            // It is answered faster after that than by a server of its own.
            let until = (now + span.mul_f64(BUILD_PATIENCE)).min(open.deadline);
            open.wait_until = open.wait_until.max(Some(until));
            open.lack = Some(Lack::State);
            return Signal::Full;
        }
        Blocked::Full(lack) => {
            open.lack = Some(lack);
            if open.tried.is_empty() {
                return Signal::Full;
            }
            Reason::Overloaded
        }
        Blocked::NoServer => Reason::NoServer,
        Blocked::TooLate => Reason::TimedOut,
    };
    open.refusal = Some(open.refuse(reason));
    Signal::Refused
}
