//! Two instances and a request that crashes backend servers: how many it crashes, in
//! drawn orders of crashes, checks, reports and sendings.

mod rig;

use std::time::Duration;

use corianderway_model::Time;
use corianderway_node::Action;
use corianderway_node::AttemptOutcome;
use corianderway_node::Event;
use corianderway_node::Message;
use corianderway_node::PollResult;
use corianderway_node::Reason;
use corianderway_node::Refusal;
use corianderway_node::RequestId;
use corianderway_node::TICK_INTERVAL;
use rand::rngs::SmallRng;
use rand::Rng as _;
use rand::SeedableRng as _;

use crate::rig::Checks;
use crate::rig::Rig;

const INSTANCES: usize = 2;
const SERVERS: usize = 6;
const SLOTS: u32 = 8;

/// The bound of `daemon/tests/limits.rs`: at least 3 of 6 servers are left.
const MAX_CRASHES: usize = 3;

/// The digest of the crashing request.
const DIGEST: u64 = 0xdead;

/// The number of drawn orders.
const DRAWS: u64 = 1_000;

/// The time in which the instances get to know each other.
const START_TIME: Duration = Duration::from_secs(3);

/// The time in which the caller must get the refusal.
const REFUSAL_TIME: Duration = Duration::from_secs(15);

/// The time after which a caller sends the request again, at the other instance.
const RESEND_DELAY: Duration = Duration::from_millis(5);

/// Upper ends of the drawn times.
#[derive(Clone, Copy, Debug)]
struct Delays {
    /// From an instance to another; none if no message arrives.
    message: Option<Duration>,
    /// From the sending to a server until its connection breaks.
    crash: Duration,
    /// The check of a server.
    check: Duration,
}

/// Times of an idle machine, and of a busy one.
const IDLE: Delays = Delays {
    message: Some(Duration::from_millis(4)),
    crash: Duration::from_millis(4),
    check: Duration::from_millis(4),
};
const BUSY: Delays = Delays {
    message: Some(Duration::from_millis(150)),
    crash: Duration::from_millis(20),
    check: Duration::from_millis(100),
};

/// Times that together stay within the time in which a report must arrive.
const BRISK: Delays = Delays {
    message: Some(Duration::from_millis(60)),
    crash: Duration::from_millis(20),
    check: Duration::from_millis(20),
};

/// Instances that hear nothing of each other.
const CUT: Delays = Delays {
    message: None,
    ..BUSY
};

#[derive(Debug)]
enum Step {
    Tick(usize),
    Message {
        to: usize,
        message: Message,
    },
    Crash {
        at: usize,
        id: RequestId,
        server: usize,
    },
    Checked {
        at: usize,
        server: usize,
    },
    Send(usize),
}

struct World {
    now: Time,
    rigs: Vec<Rig>,
    alive: [bool; SERVERS],
    // Sorted by time, the earliest last.
    steps: Vec<(Time, Step)>,
    // The arrival of the last message from each instance: one connection keeps the order.
    arrived: [Time; INSTANCES],
    delays: Delays,
    rng: SmallRng,
    // The sendings in a row that were refused as quarantined and not run.
    refused: usize,
}

impl World {
    fn start(seed: u64) -> Self {
        let first = Rig::member(0, INSTANCES, 1_000.0, 1_000.0, None);
        let store = first.shared_store();
        let second = Rig::member(1, INSTANCES, 1_000.0, 1_000.0, Some(&store));
        let mut world = Self {
            now: Time::ZERO,
            rigs: vec![first, second],
            alive: [true; SERVERS],
            steps: Vec::new(),
            arrived: [Time::ZERO; INSTANCES],
            delays: IDLE,
            rng: SmallRng::seed_from_u64(seed),
            refused: 0,
        };
        for at in 0..INSTANCES {
            world.rigs[at].checks = Checks::Silent;
            world.rigs[at].list(SLOTS, SERVERS);
            world.take_actions(at);
            let phase = world.draw(TICK_INTERVAL);
            world.plan(phase, Step::Tick(at));
        }
        let end = world.now + START_TIME;
        while world.now < end {
            world.step();
        }
        assert!(world.rigs.iter().all(|rig| rig.node.is_ready()));
        world
    }

    // Lets callers send the request at instances in turn until each instance refuses it as
    // quarantined, and returns the number of crashes.
    fn crashes(&mut self, delays: Delays, first: &[usize]) -> usize {
        self.delays = delays;
        for at in first {
            self.plan(Duration::ZERO, Step::Send(*at));
        }
        let end = self.now + REFUSAL_TIME;
        while self.refused < INSTANCES && self.now < end {
            self.step();
        }
        assert!(self.refused >= INSTANCES, "never refused");
        self.alive.iter().filter(|alive| !**alive).count()
    }

    fn step(&mut self) {
        let (at, step) = self.steps.pop().expect("ticks never end");
        self.now = at;
        let instance = match step {
            Step::Tick(at) => {
                self.plan(TICK_INTERVAL, Step::Tick(at));
                self.rigs[at].now = self.now;
                self.rigs[at].tick();
                at
            }
            Step::Message { to, message } => {
                let from = format!("entry-{}", 2 - to).try_into().unwrap();
                self.pass(to, Event::PeerMessage { from, message })
            }
            Step::Crash { at, id, server } => {
                let outcome = if std::mem::take(&mut self.alive[server]) {
                    AttemptOutcome::Broken
                } else {
                    AttemptOutcome::Unreachable
                };
                self.pass(at, Event::AttemptEnded { id, outcome })
            }
            Step::Checked { at, server } => {
                let alive = self.alive[server];
                let report = PollResult {
                    server: format!("server-{server}").try_into().unwrap(),
                    reached: alive,
                    healthy: alive.then_some(true),
                    draining: false,
                    load: alive.then_some(0),
                };
                self.pass(at, Event::ServerPolled(report))
            }
            Step::Send(at) => {
                self.rigs[at].now = self.now;
                self.rigs[at].send_digest("GET", "/find/poison", None, DIGEST);
                at
            }
        };
        self.take_actions(instance);
    }

    fn pass(&mut self, at: usize, event: Event) -> usize {
        self.rigs[at].now = self.now;
        self.rigs[at].step(event);
        at
    }

    fn take_actions(&mut self, at: usize) {
        for action in std::mem::take(&mut self.rigs[at].sent) {
            match action {
                Action::Forward { id, server, .. } => {
                    let server = usize::from(server.addr.port() - 7_000);
                    let after = self.draw(self.delays.crash);
                    self.plan(after, Step::Crash { at, id, server });
                }
                Action::Probe { addr, .. } => {
                    let server = usize::from(addr.port() - 7_000);
                    let after = self.draw(self.delays.check);
                    self.plan(after, Step::Checked { at, server });
                }
                Action::Send { message, .. } => self.deliver(at, message),
                Action::Refuse { refusal, .. } => {
                    let quarantined = Refusal::not_run(Reason::Quarantined);
                    self.refused = if refusal == quarantined {
                        self.refused + 1
                    } else {
                        0
                    };
                    self.plan(RESEND_DELAY, Step::Send(1 - at));
                }
                _ => (),
            }
        }
    }

    fn deliver(&mut self, from: usize, message: Message) {
        let Some(longest) = self.delays.message else {
            return;
        };
        let arrival = self.now + self.draw(longest);
        self.arrived[from] = self.arrived[from].max(arrival);
        let after = self.arrived[from].since(self.now);
        let to = 1 - from;
        self.plan(after, Step::Message { to, message });
    }

    fn plan(&mut self, after: Duration, step: Step) {
        let due = self.now + after;
        let at = self.steps.partition_point(|(other, _)| *other > due);
        self.steps.insert(at, (due, step));
    }

    fn draw(&mut self, longest: Duration) -> Duration {
        longest.mul_f64(self.rng.random())
    }
}

// The numbers of draws by the number of crashes.
fn draw_orders(delays: Delays, first: &[usize]) -> [u64; SERVERS + 1] {
    let mut counts = [0; SERVERS + 1];
    for seed in 0..DRAWS {
        counts[World::start(seed).crashes(delays, first)] += 1;
    }
    println!("{delays:?} {first:?}: draws by crashes {counts:?}");
    counts
}

fn assert_bound(counts: &[u64]) {
    let above: u64 = counts[MAX_CRASHES + 1..].iter().sum();
    assert_eq!(above, 0, "of {DRAWS} draws; by crashes {counts:?}");
}

// Guards against a second sending before anyone knows of the first one's crashes: each of
// two instances sent the request to two servers.
#[test]
fn a_request_in_turn_at_two_idle_instances_crashes_few_servers() {
    assert_bound(&draw_orders(IDLE, &[0]));
}

#[test]
fn a_request_in_turn_at_two_busy_instances_crashes_few_servers() {
    assert_bound(&draw_orders(BUSY, &[0]));
}

#[test]
fn a_request_at_two_instances_at_once_crashes_few_servers() {
    assert_bound(&draw_orders(BRISK, &[0, 1]));
}

// The bound can't hold here: each instance alone needs two crashes to tell the cause.
#[test]
fn a_request_in_turn_at_two_instances_without_messages_crashes_two_servers_each() {
    let counts = draw_orders(CUT, &[0]);
    let above: u64 = counts[2 * INSTANCES + 1..].iter().sum();
    assert_eq!(above, 0, "of {DRAWS} draws; by crashes {counts:?}");
}
