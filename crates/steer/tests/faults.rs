//! Random faults at any moment and in any order.
//!
//! Every request ends exactly once, every refusal is true, and a request that
//! may run only once is not sent again after it may have run.

mod rig;

use std::time::Duration;

use corianderway_model::SortedMap;
use corianderway_model::Time;
use corianderway_steer::Action;
use corianderway_steer::Event;
use corianderway_steer::Load;
use corianderway_steer::Outcome;
use corianderway_steer::Refusal;
use corianderway_steer::RequestId;
use corianderway_steer::ServerChange;
use quickcheck::QuickCheck;
use rand::rngs::SmallRng;
use rand::Rng as _;
use rand::SeedableRng as _;

use crate::rig::Rig;

/// Number of events in a run.
const EVENTS_PER_RUN: usize = 250;

/// Maximum number of backend servers that may get a request, by the rig's
/// routes.
const MAX_ATTEMPTS: u32 = 2;

/// Timeout of the rig's routes.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Rate of the client account, in requests per second: low enough to refuse
/// requests.
const REQUESTS_PER_S: f64 = 12.0;

/// A request as observed by its caller and the backend servers.
#[derive(Debug, Default)]
struct Observed {
    once: bool,
    // Whether an attempt is in flight.
    sent: bool,
    // Attempts that reached a backend server.
    attempts: u32,
    may_have_run: bool,
    caller: Caller,
    // The end of its route's timeout.
    deadline: Time,
}

/// The caller's view of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Caller {
    #[default]
    Waiting,
    Left,
    Ended,
}

/// A random run of one instance, with what was observed of its requests.
struct Simulation {
    rig: Rig,
    rng: SmallRng,
    observed: SortedMap<RequestId, Observed>,
    violations: Vec<String>,
}

impl Simulation {
    fn new(seed: u64, rate: Option<f64>) -> Self {
        let mut rig = Rig::new();
        rig.step(Event::Plan(rig::plan(2, rig::routes(), rate).into()));
        Self {
            rig,
            rng: SmallRng::seed_from_u64(seed),
            observed: SortedMap::default(),
            violations: Vec::new(),
        }
    }

    fn run(mut self) -> Vec<String> {
        for _ in 0..EVENTS_PER_RUN {
            match self.rng.random_range(0..20) {
                0..8 => self.send_request(),
                8..13 => self.end_attempt(),
                13 => self.disconnect(),
                14 => self.change_listing(),
                15 if self.rng.random_bool(0.05) => self.step(Event::Stop),
                _ => {
                    let span = [1, 10, 200, 1_000][self.rng.random_range(0..4)];
                    self.pass(Duration::from_millis(span));
                }
            }
        }
        // Ends the attempts in flight; then every request must have ended.
        while self.observed.iter().any(|row| row.1.sent) {
            self.end_attempt();
        }
        self.pass(Duration::from_secs(10));
        for (id, observed) in self.observed.iter() {
            if observed.caller == Caller::Waiting {
                self.violations
                    .push(format!("{id:?} never ended: {observed:?}"));
            }
        }
        self.violations
    }

    fn send_request(&mut self) {
        let once = self.rng.random_bool(0.5);
        let path = if once { "/payouts/1" } else { "/bids/1" };
        let object = self.rng.random_range(0..6);
        let query = self.rig.query(path, Some(object));
        let observed = Observed {
            once,
            deadline: self.rig.now + TIMEOUT,
            ..Observed::default()
        };
        self.observed.insert(query.id, observed);
        self.step(Event::Request(query));
    }

    // Draws a request for which `holds` is true.
    fn draw_request(&mut self, holds: impl Fn(&Observed) -> bool) -> Option<RequestId> {
        let rows = self.observed.iter().filter(|row| holds(row.1));
        let ids: Vec<RequestId> = rows.map(|row| *row.0).collect();
        let at = self.rng.random_range(0..ids.len().max(1));
        ids.get(at).copied()
    }

    // Ends a random attempt with a random outcome.
    fn end_attempt(&mut self) {
        let Some(id) = self.draw_request(|observed| observed.sent) else {
            return;
        };
        let load = Some(Load {
            running: self.rng.random_range(0..5),
            waiting: self.rng.random_range(0..3),
            slots: 4,
            stretch: None,
        });
        let outcome = match self.rng.random_range(0..10) {
            0..4 => Outcome::Answered { status: 200, load },
            4 => Outcome::Answered { status: 500, load },
            5 => Outcome::Full { load },
            6 => Outcome::Misdirected,
            7 => Outcome::Unreachable,
            8 => Outcome::Broken,
            _ => Outcome::TimedOut,
        };
        if let Some(observed) = self.observed.get_mut(&id) {
            observed.sent = false;
            match outcome {
                Outcome::Unreachable | Outcome::NotSent | Outcome::Outdated => {
                    observed.attempts -= 1;
                }
                Outcome::Full { .. } | Outcome::Misdirected => (),
                Outcome::Answered { .. } | Outcome::Broken | Outcome::TimedOut => {
                    observed.may_have_run = true;
                }
            }
        }
        self.step(Event::AttemptEnded { id, outcome });
    }

    fn disconnect(&mut self) {
        let Some(id) = self.draw_request(|observed| observed.caller == Caller::Waiting) else {
            return;
        };
        if let Some(observed) = self.observed.get_mut(&id) {
            observed.caller = Caller::Left;
        }
        self.step(Event::CallerGone(id));
    }

    // Removes a random server or lists it again.
    fn change_listing(&mut self) {
        let servers = rig::servers();
        let at = self.rng.random_range(0..servers.len());
        let server = servers[at].clone();
        let change = if self.rng.random_bool(0.5) {
            ServerChange::Removed(server.backend.id)
        } else {
            ServerChange::Put(server)
        };
        self.step(Event::Servers(vec![change]));
    }

    fn pass(&mut self, span: Duration) {
        let actions = self.rig.pass(span);
        self.check(&actions);
    }

    fn step(&mut self, event: Event) {
        let actions = self.rig.step(event).to_vec();
        self.check(&actions);
    }

    fn check(&mut self, actions: &[Action]) {
        let now = self.rig.now;
        for action in actions {
            let violation = match action {
                Action::Forward { id, .. } => self.observed.get_mut(id).and_then(check_forward),
                Action::Cancel(id) => {
                    let observed = self.observed.get_mut(id);
                    observed.and_then(|observed| check_cancel(now, observed))
                }
                Action::Deliver(id) => self.observed.get_mut(id).and_then(check_end),
                Action::Refuse { id, refusal } => {
                    let seen = self.observed.get_mut(id);
                    seen.and_then(|seen| check_refusal(seen, refusal).or_else(|| check_end(seen)))
                }
                _ => None,
            };
            if let Some(violation) = violation {
                self.violations.push(format!("{violation}: {action:?}"));
            }
        }
    }
}

fn check_forward(observed: &mut Observed) -> Option<&'static str> {
    let checks = [
        (observed.caller == Caller::Ended, "sent after its end"),
        (
            observed.caller == Caller::Left,
            "sent after its caller left",
        ),
        (observed.sent, "sent to two servers at once"),
        (
            observed.once && observed.may_have_run,
            "sent again though it may have run",
        ),
        (
            observed.attempts >= MAX_ATTEMPTS,
            "sent to too many servers",
        ),
    ];
    observed.sent = true;
    observed.attempts += 1;
    first_violation(&checks)
}

fn check_cancel(now: Time, observed: &mut Observed) -> Option<&'static str> {
    let checks = [
        (!observed.sent, "cancelled without an attempt"),
        (
            observed.caller == Caller::Left && observed.once && now < observed.deadline,
            "cancelled though it must run to its end",
        ),
    ];
    // The server may have started the request.
    (observed.sent, observed.may_have_run) = (false, true);
    first_violation(&checks)
}

fn check_end(observed: &mut Observed) -> Option<&'static str> {
    let checks = [
        (observed.caller == Caller::Ended, "ended twice"),
        (
            observed.caller == Caller::Left,
            "answered though its caller left",
        ),
        (observed.sent, "ended during an attempt"),
    ];
    observed.caller = Caller::Ended;
    first_violation(&checks)
}

fn check_refusal(observed: &Observed, refusal: &Refusal) -> Option<&'static str> {
    let may_repeat = matches!(refusal.status(), 429 | 503);
    let checks = [
        (
            observed.may_have_run && !refusal.may_have_run,
            "refused as not run though it may have run",
        ),
        (
            may_repeat && refusal.retry_after.is_none(),
            "no retry delay",
        ),
    ];
    first_violation(&checks)
}

fn first_violation(checks: &[(bool, &'static str)]) -> Option<&'static str> {
    checks.iter().find(|row| row.0).map(|row| row.1)
}

#[test]
fn requests_end_once_with_true_refusals_under_random_faults() {
    fn holds(seed: u64, limited: bool) -> bool {
        let violations = Simulation::new(seed, limited.then_some(REQUESTS_PER_S)).run();
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
