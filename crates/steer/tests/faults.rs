//! Requests under faults that strike at any moment, in any order.
//!
//! Whatever happens, a request ends once, a refusal is true, and what may not
//! run twice is not sent again after it may have run.

mod rig;

use std::time::Duration;

use corianderway_model::Sorted;
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

/// Events of one run.
const STEPS: usize = 250;

/// The most backend servers that may get a request, by the routes of the rig.
const ATTEMPTS: u32 = 2;

/// The time that the routes of the rig allow.
const TIMEOUT: Duration = Duration::from_secs(2);

/// The rate of the account: small enough that requests are refused for it.
const RATE: f64 = 12.0;

/// How a request stands, as its caller and the backend servers see it.
#[derive(Debug, Default)]
struct Seen {
    once: bool,
    // Whether a backend server has it now.
    sent: bool,
    // Attempts that reached a backend server.
    attempts: u32,
    may_have_run: bool,
    caller: Caller,
    // The end of the time that its route allows.
    deadline: Time,
}

/// How the caller of a request stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Caller {
    #[default]
    Waits,
    Left,
    Told,
}

/// One instance, and what is seen of its requests.
struct Play {
    rig: Rig,
    draw: SmallRng,
    seen: Sorted<RequestId, Seen>,
    broken: Vec<String>,
}

impl Play {
    fn new(seed: u64, rate: Option<f64>) -> Self {
        let mut rig = Rig::new();
        rig.step(Event::Plan(rig::plan(2, rig::routes(), rate).into()));
        Self {
            rig,
            draw: SmallRng::seed_from_u64(seed),
            seen: Sorted::default(),
            broken: Vec::new(),
        }
    }

    fn run(mut self) -> Vec<String> {
        for _ in 0..STEPS {
            match self.draw.random_range(0..20) {
                0..8 => self.ask(),
                8..13 => self.end(),
                13 => self.leave(),
                14 => self.change(),
                15 if self.draw.random_bool(0.05) => self.step(Event::Stop),
                _ => {
                    let span = [1, 10, 200, 1_000][self.draw.random_range(0..4)];
                    self.pass(Duration::from_millis(span));
                }
            }
        }
        // What still runs is answered; nothing may be left open.
        while self.seen.iter().any(|row| row.1.sent) {
            self.end();
        }
        self.pass(Duration::from_secs(10));
        for (id, seen) in self.seen.iter() {
            if seen.caller == Caller::Waits {
                self.broken.push(format!("{id:?} has no end: {seen:?}"));
            }
        }
        self.broken
    }

    fn ask(&mut self) {
        let once = self.draw.random_bool(0.5);
        let path = if once { "/payouts/1" } else { "/bids/1" };
        let object = self.draw.random_range(0..6);
        let query = self.rig.query(path, Some(object));
        let seen = Seen {
            once,
            deadline: self.rig.now + TIMEOUT,
            ..Seen::default()
        };
        self.seen.insert(query.id, seen);
        self.step(Event::Request(query));
    }

    // A request for which something holds, drawn.
    fn pick(&mut self, holds: impl Fn(&Seen) -> bool) -> Option<RequestId> {
        let rows = self.seen.iter().filter(|row| holds(row.1));
        let ids: Vec<RequestId> = rows.map(|row| *row.0).collect();
        let at = self.draw.random_range(0..ids.len().max(1));
        ids.get(at).copied()
    }

    // The attempt of some request ends.
    fn end(&mut self) {
        let Some(id) = self.pick(|seen| seen.sent) else {
            return;
        };
        let load = Some(Load {
            running: self.draw.random_range(0..5),
            waiting: self.draw.random_range(0..3),
            slots: 4,
        });
        let outcome = match self.draw.random_range(0..10) {
            0..4 => Outcome::Answered { status: 200, load },
            4 => Outcome::Answered { status: 500, load },
            5 => Outcome::Full { load },
            6 => Outcome::Misdirected,
            7 => Outcome::Unreachable,
            8 => Outcome::Broken,
            _ => Outcome::TimedOut,
        };
        if let Some(seen) = self.seen.get_mut(&id) {
            seen.sent = false;
            match outcome {
                Outcome::Unreachable | Outcome::NotSent => seen.attempts -= 1,
                Outcome::Full { .. } | Outcome::Misdirected => (),
                Outcome::Answered { .. } | Outcome::Broken | Outcome::TimedOut => {
                    seen.may_have_run = true;
                }
            }
        }
        self.step(Event::Attempted { id, outcome });
    }

    fn leave(&mut self) {
        let Some(id) = self.pick(|seen| seen.caller == Caller::Waits) else {
            return;
        };
        if let Some(seen) = self.seen.get_mut(&id) {
            seen.caller = Caller::Left;
        }
        self.step(Event::Left(id));
    }

    // A server goes, or is listed anew.
    fn change(&mut self) {
        let servers = rig::servers();
        let at = self.draw.random_range(0..servers.len());
        let server = servers[at].clone();
        let change = if self.draw.random_bool(0.5) {
            ServerChange::Removed(server.backend.id)
        } else {
            ServerChange::Put(server)
        };
        self.step(Event::Servers(vec![change]));
    }

    fn pass(&mut self, span: Duration) {
        let done = self.rig.pass(span);
        self.watch(&done);
    }

    fn step(&mut self, event: Event) {
        let done = self.rig.step(event).to_vec();
        self.watch(&done);
    }

    fn watch(&mut self, done: &[Action]) {
        let now = self.rig.now;
        for action in done {
            let wrong = match action {
                Action::Forward { id, .. } => self.seen.get_mut(id).and_then(forwarded),
                Action::Cancel(id) => {
                    let seen = self.seen.get_mut(id);
                    seen.and_then(|seen| cancelled(now, seen))
                }
                Action::Deliver(id) => self.seen.get_mut(id).and_then(ended),
                Action::Refuse { id, refusal } => {
                    let seen = self.seen.get_mut(id);
                    seen.and_then(|seen| untrue(seen, refusal).or_else(|| ended(seen)))
                }
                _ => None,
            };
            if let Some(wrong) = wrong {
                self.broken.push(format!("{wrong}: {action:?}"));
            }
        }
    }
}

fn forwarded(seen: &mut Seen) -> Option<&'static str> {
    let wrong = [
        (seen.caller == Caller::Told, "sent after its end"),
        (seen.caller == Caller::Left, "sent after its caller left"),
        (seen.sent, "sent to two servers at once"),
        (
            seen.once && seen.may_have_run,
            "sent again though it may have run",
        ),
        (seen.attempts >= ATTEMPTS, "sent to too many servers"),
    ];
    seen.sent = true;
    seen.attempts += 1;
    first(&wrong)
}

fn cancelled(now: Time, seen: &mut Seen) -> Option<&'static str> {
    let wrong = [
        (!seen.sent, "cancelled though nothing runs"),
        (
            seen.caller == Caller::Left && seen.once && now < seen.deadline,
            "cancelled though it runs to its end",
        ),
    ];
    // Its server may have begun.
    (seen.sent, seen.may_have_run) = (false, true);
    first(&wrong)
}

fn ended(seen: &mut Seen) -> Option<&'static str> {
    let wrong = [
        (seen.caller == Caller::Told, "ended twice"),
        (
            seen.caller == Caller::Left,
            "answered though its caller left",
        ),
        (seen.sent, "ended while it runs"),
    ];
    seen.caller = Caller::Told;
    first(&wrong)
}

fn untrue(seen: &Seen, refusal: &Refusal) -> Option<&'static str> {
    let may_repeat = matches!(refusal.status(), 429 | 503);
    let wrong = [
        (
            seen.may_have_run && !refusal.may_have_run,
            "said not to have run",
        ),
        (
            may_repeat && refusal.retry_after.is_none(),
            "no time to come back",
        ),
    ];
    first(&wrong)
}

fn first(wrong: &[(bool, &'static str)]) -> Option<&'static str> {
    wrong.iter().find(|row| row.0).map(|row| row.1)
}

#[test]
fn requests_end_once_and_truly_whatever_happens() {
    fn holds(seed: u64, limited: bool) -> bool {
        let broken = Play::new(seed, limited.then_some(RATE)).run();
        assert!(
            broken.is_empty(),
            "seed {seed}, limited {limited}: {broken:#?}"
        );
        true
    }
    QuickCheck::new()
        .tests(300)
        .quickcheck(holds as fn(u64, bool) -> bool);
}
