//! Random faults at any moment and in any order.
//!
//! No refusal says that a request has not run if an attempt of it may have run or may
//! run later; `not-run` speaks for every sending under its idempotency key. A request that
//! may run only once is not sent again after it may have run, whichever of its sendings that
//! was.

mod rig;

use std::sync::Arc;
use std::time::Duration;

use corianderway_control::ClaimOutcome;
use corianderway_model::SortedMap;
use corianderway_node::AttemptOutcome;
use corianderway_node::Event;
use corianderway_node::RequestId;
use quickcheck::QuickCheck;
use rand::rngs::SmallRng;
use rand::Rng as _;
use rand::SeedableRng as _;

use crate::rig::numbered_token;
use crate::rig::Observed;
use crate::rig::Platform;
use crate::rig::Rig;

/// Number of events in a run.
const EVENTS_PER_RUN: usize = 250;

/// Number of idempotency keys, few enough that most are sent several times.
const TOKENS: u32 = 6;

/// Rate of the client account, in requests per second: low enough to refuse requests.
const REQUESTS_PER_S: f64 = 12.0;

/// Slots of a backend server: few enough to queue requests.
const SLOTS: u32 = 3;

/// Number of backend servers while all are listed.
const SERVERS: usize = 3;

/// The time after which every request has ended: longer than the deadlines of the routes.
const SETTLE_TIME: Duration = Duration::from_secs(12);

/// One sending of a request, as its caller and the backend servers see it.
#[derive(Debug, Default)]
struct Sending {
    /// The number of its idempotency key, if it may run only once.
    token: Option<u32>,
    stage: Stage,
    may_have_run: bool,
    // How many of the rig's observations were checked.
    checked: usize,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Stage {
    /// No attempt is in flight.
    #[default]
    Held,
    /// An attempt is in flight.
    InFlight,
    /// The head of a response was received.
    Answering,
    Ended,
}

/// A random run of one instance, with what was observed of its requests.
struct Simulation {
    rig: Rig,
    rng: SmallRng,
    sendings: SortedMap<RequestId, Sending>,
    violations: Vec<String>,
}

impl Simulation {
    fn new(seed: u64, limited: bool) -> Self {
        let rate = if limited { REQUESTS_PER_S } else { 1_000.0 };
        Self {
            rig: Rig::start(rate, SLOTS, SERVERS),
            rng: SmallRng::seed_from_u64(seed),
            sendings: SortedMap::default(),
            violations: Vec::new(),
        }
    }

    fn run(mut self) -> Vec<String> {
        for _ in 0..EVENTS_PER_RUN {
            match self.rng.random_range(0..20) {
                0..7 => self.send_request(),
                7..12 => self.end_attempt(),
                12 => self.end_answer(),
                13 => self.disconnect(),
                14 => self.change_listing(),
                15 => self.change_platform(),
                16 if self.rng.random_bool(0.05) => self.rig.step(Event::Stop),
                _ => {
                    let span = [1, 10, 200, 1_000][self.rng.random_range(0..4)];
                    self.rig.run(Duration::from_millis(span));
                }
            }
            self.check();
        }
        self.settle();
        self.violations
    }

    // Ends all attempts and answers; then every request must have ended.
    fn settle(&mut self) {
        self.rig.answer_held();
        self.rig.list(SLOTS, SERVERS);
        self.check();
        while self.draw(|seen| seen.stage == Stage::InFlight).is_some() {
            self.end_attempt();
            self.check();
        }
        while self.draw(|seen| seen.stage == Stage::Answering).is_some() {
            self.end_answer();
        }
        self.rig.run(SETTLE_TIME);
        self.check();
        for (id, seen) in self.sendings.iter() {
            if !matches!(seen.stage, Stage::Ended | Stage::InFlight) {
                self.violations
                    .push(format!("{id:?} never ended: {seen:?}"));
            }
        }
    }

    fn send_request(&mut self) {
        let token = self
            .rng
            .random_bool(0.6)
            .then(|| self.rng.random_range(0..TOKENS));
        let id = match token {
            Some(token) => {
                let path = format!("/move/{token}");
                self.rig.send("POST", &path, Some(&numbered_token(token)))
            }
            None => self.rig.send("GET", "/find/1", None),
        };
        let sending = Sending {
            token,
            ..Sending::default()
        };
        self.sendings.insert(id, sending);
    }

    // Draws a sending for which `holds` is true.
    fn draw(&mut self, holds: impl Fn(&Sending) -> bool) -> Option<RequestId> {
        let rows = self.sendings.iter().filter(|row| holds(row.1));
        let ids: Vec<RequestId> = rows.map(|row| *row.0).collect();
        let at = self.rng.random_range(0..ids.len().max(1));
        ids.get(at).copied()
    }

    // Ends a random attempt with a random outcome.
    fn end_attempt(&mut self) {
        let Some(id) = self.draw(|seen| seen.stage == Stage::InFlight) else {
            return;
        };
        let took = Duration::from_millis(5);
        let outcome = match self.rng.random_range(0..10) {
            0..3 => AttemptOutcome::Answered { status: 200, took },
            3 => AttemptOutcome::Answered { status: 503, took },
            4..6 => AttemptOutcome::Shed,
            6 => AttemptOutcome::Unreachable,
            7 => AttemptOutcome::NotSent,
            8 => AttemptOutcome::Broken,
            _ => AttemptOutcome::TimedOut,
        };
        if let Some(seen) = self.sendings.get_mut(&id) {
            seen.stage = Stage::Held;
            match outcome {
                AttemptOutcome::Shed | AttemptOutcome::Unreachable | AttemptOutcome::NotSent => (),
                AttemptOutcome::Broken | AttemptOutcome::TimedOut => seen.may_have_run = true,
                AttemptOutcome::Answered { .. } => {
                    (seen.stage, seen.may_have_run) = (Stage::Answering, true);
                }
            }
        }
        self.rig.end(id, outcome);
    }

    // Ends a response, whole or broken off.
    fn end_answer(&mut self) {
        let Some(id) = self.draw(|seen| seen.stage == Stage::Answering) else {
            return;
        };
        let complete = self.rng.random_bool(0.8);
        let is_claimed = self
            .sendings
            .get(&id)
            .is_some_and(|seen| seen.token.is_some());
        let answer =
            (complete && is_claimed).then(|| Arc::new(ClaimOutcome::new(200, Vec::new(), b"ran")));
        self.end(id, complete, answer);
    }

    fn disconnect(&mut self) {
        if let Some(id) = self.draw(|seen| seen.stage != Stage::Ended) {
            self.end(id, false, None);
        }
    }

    fn end(&mut self, id: RequestId, complete: bool, answer: Option<Arc<ClaimOutcome>>) {
        if let Some(seen) = self.sendings.get_mut(&id) {
            // The backend server may still run it.
            seen.may_have_run |= seen.stage == Stage::InFlight;
            seen.stage = Stage::Ended;
        }
        self.rig.step(Event::RequestEnded {
            id,
            complete,
            answer,
        });
    }

    fn change_listing(&mut self) {
        let servers = self.rng.random_range(0..=SERVERS);
        self.rig.list(SLOTS, servers);
    }

    fn change_platform(&mut self) {
        match self.rng.random_range(0..4) {
            0 => self.rig.platform = Platform::Silent,
            1 => self.rig.platform = Platform::Lost,
            _ => self.rig.answer_held(),
        }
    }

    // Checks what was done since the last check, in the order in which it was done.
    fn check(&mut self) {
        let ids: Vec<RequestId> = self.sendings.iter().map(|row| *row.0).collect();
        for id in ids {
            let observed = self.rig.observed(id);
            let checked = self.sendings.get(&id).map_or(0, |seen| seen.checked);
            for one in &observed[checked..] {
                if let Some(violation) = self.check_one(id, one) {
                    let seen = self.sendings.get(&id);
                    self.violations
                        .push(format!("{id:?} {violation}: {one:?} {seen:?}"));
                }
            }
            if let Some(seen) = self.sendings.get_mut(&id) {
                seen.checked = observed.len();
            }
        }
    }

    fn check_one(&mut self, id: RequestId, one: &Observed) -> Option<&'static str> {
        let same_may_run = self.same_may_run(id);
        let seen = self.sendings.get_mut(&id)?;
        let (stage, may_have_run) = (seen.stage, seen.may_have_run);
        let in_flight = stage == Stage::InFlight;
        let is_once = seen.token.is_some();
        match one {
            Observed::Sent => {
                seen.stage = Stage::InFlight;
                first_violation(&[
                    (stage == Stage::Ended, "sent after its end"),
                    (in_flight, "sent to two servers at once"),
                    (is_once && same_may_run, "sent again though it may have run"),
                ])
            }
            Observed::Refused(_, ran) => {
                seen.stage = Stage::Ended;
                let denies = matches!(*ran, "not-run" | "not-started");
                first_violation(&[
                    (stage == Stage::Ended, "ended twice"),
                    (in_flight, "refused during an attempt"),
                    (
                        denies && may_have_run,
                        "refused as not run though it may have run",
                    ),
                    (
                        *ran == "not-run" && same_may_run,
                        "refused as not run though a sending under its key may have run",
                    ),
                ])
            }
            Observed::Replayed => {
                seen.stage = Stage::Ended;
                first_violation(&[
                    (stage == Stage::Ended, "ended twice"),
                    (in_flight, "replayed during an attempt"),
                    (!same_may_run, "replayed though it never ran"),
                ])
            }
        }
    }

    // Whether a sending under the idempotency key of this one may have run, or is on its way.
    fn same_may_run(&self, id: RequestId) -> bool {
        let Some(token) = self.sendings.get(&id).and_then(|seen| seen.token) else {
            return false;
        };
        let mut same = self
            .sendings
            .iter()
            .filter(|row| row.1.token == Some(token));
        same.any(|(_, seen)| {
            seen.may_have_run || matches!(seen.stage, Stage::InFlight | Stage::Answering)
        })
    }
}

fn first_violation(checks: &[(bool, &'static str)]) -> Option<&'static str> {
    checks.iter().find(|row| row.0).map(|row| row.1)
}

#[test]
fn no_request_is_refused_as_not_run_if_it_may_run_under_random_faults() {
    fn holds(seed: u64, limited: bool) -> bool {
        let violations = Simulation::new(seed, limited).run();
        assert!(
            violations.is_empty(),
            "seed {seed}, limited {limited}: {violations:#?}"
        );
        true
    }
    QuickCheck::new()
        .tests(300)
        .quickcheck(holds as fn(u64, bool) -> bool);
}
