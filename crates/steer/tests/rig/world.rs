//! A random world around one instance, in which a test sees all attempts and ends.
//!
//! The process pauses between any two actions, rings and queues are full, outcomes come late
//! and in another order, tokens are asked for and lent or not, callers leave, and servers,
//! plans and stops come at any moment.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use corianderway_model::Replay;
use corianderway_model::Secret;
use corianderway_steer::Action;
use corianderway_steer::Event;
use corianderway_steer::Load;
use corianderway_steer::Message;
use corianderway_steer::Outcome;
use corianderway_steer::Plan;
use corianderway_steer::Reach;
use corianderway_steer::RequestId;
use corianderway_steer::ServerChange;
use corianderway_steer::ServerNotice;
use corianderway_steer::TokenReply;
use rand::rngs::SmallRng;
use rand::Rng as _;
use rand::SeedableRng as _;

use super::views::Caller;
use super::views::Seen;
use super::Rig;

/// Number of random events in a run.
const EVENTS: usize = 120;

/// One run in this many has a burst of requests that fills the queues.
const CROWDED_EVERY: u64 = 8;

/// Requests in a burst: more than a queue holds.
const BURST: usize = 320;

/// Signature of requests that break the servers that run them.
const BREAKING: u64 = 1_000_000;

/// Time in which two instances choose a relay, in milliseconds.
const START_MS: u64 = 2_500;

/// The time after which each request has ended, in milliseconds.
const END_MS: u64 = 12_000;

/// What a run contains, so that the test shows that it draws everything.
#[derive(Debug, Default)]
pub struct Drawn {
    pub refused: BTreeMap<(&'static str, u16), usize>,
    pub refusing_answers: usize,
    pub delivered: usize,
    pub cancelled: usize,
    pub nested: usize,
    pub asked: usize,
    pub unforwarded: usize,
}

/// One instance and its world.
pub struct World {
    pub rig: Rig,
    pub relay: Rig,
    pub rng: SmallRng,
    pub version: u64,
    // Whether requests of each route must not run twice.
    pub once: BTreeMap<&'static str, bool>,
    pub seen: BTreeMap<RequestId, Seen>,
    // The requests of which the process holds head and body.
    pub held: BTreeSet<RequestId>,
    // The attempts at the servers, and the outcomes in the ring.
    pub running: Vec<RequestId>,
    pub outcomes: Vec<(RequestId, Outcome)>,
    // Messages under way; true for those to the relay.
    pub messages: Vec<(bool, Message)>,
    pub ring_is_full: bool,
    pub pauses: bool,
    pub drawn: Drawn,
    pub violations: Vec<String>,
}

impl World {
    /// Creates two instances, of which one is the relay, and their inputs.
    pub fn new(seed: u64) -> Self {
        let members = ["entry-2", "entry-1"].map(|name| super::member(name, "north", "north-a"));
        let [me, relay] = members.clone().map(Rig::bare);
        let mut world = Self {
            rig: me,
            relay,
            rng: SmallRng::seed_from_u64(seed),
            version: 0,
            once: BTreeMap::new(),
            seen: BTreeMap::new(),
            held: BTreeSet::new(),
            running: Vec::new(),
            outcomes: Vec::new(),
            messages: Vec::new(),
            ring_is_full: false,
            pauses: false,
            drawn: Drawn::default(),
            violations: Vec::new(),
        };
        let plan = world.next_plan();
        let mut servers = super::servers();
        let slots = world.rng.random_range(1..5);
        for server in &mut servers {
            server.backend.slots = slots;
        }
        let put: Vec<ServerChange> = servers.into_iter().map(ServerChange::Put).collect();
        for event in [
            Event::Members(members.to_vec()),
            Event::ProbeAnswered,
            Event::Reach(Reach::Store),
            Event::Plan(plan.into()),
            Event::Servers(put),
            Event::Orders(Vec::new()),
            Event::Evacuated(Vec::new()),
        ] {
            world.step_relay(event.clone());
            world.step(event);
        }
        for _ in 0..START_MS / 100 {
            world.pass(100);
            world.deliver_messages(usize::MAX);
        }
        world
    }

    /// Runs random events; returns what was wrong and what was drawn.
    pub fn run(mut self, seed: u64) -> (Vec<String>, Drawn) {
        self.pauses = seed.is_multiple_of(2);
        let burst_at = self.rng.random_range(0..EVENTS);
        for number in 0..EVENTS {
            if seed.is_multiple_of(CROWDED_EVERY) && number == burst_at {
                self.burst();
            }
            self.pause();
            self.draw_event();
        }
        self.finish();
        (self.violations, self.drawn)
    }

    fn draw_event(&mut self) {
        match self.rng.random_range(0..40) {
            0..13 => self.send_request(),
            13..19 => self.end_attempt(),
            19..25 => self.deliver_outcome(),
            25..27 => self.leave(),
            27 => self.change_server(),
            28 => {
                let plan = self.next_plan();
                self.step(Event::Plan(plan.into()));
            }
            29..31 => self.deliver_messages(3),
            31 => self.send_false_reply(),
            32 => self.ring_is_full = self.rng.random_bool(0.3),
            33 => self.notice(),
            34 => {
                let reach = [Reach::Store, Reach::Store, Reach::Replica, Reach::Nothing];
                let reach = reach[self.rng.random_range(0..4)];
                self.step(Event::Reach(reach));
            }
            35 if self.rng.random_bool(0.2) => self.step(Event::Stop),
            35 if self.rng.random_bool(0.5) => self.evacuate(),
            _ => {
                let ms = [1, 10, 40, 100, 300][self.rng.random_range(0..5)];
                self.pass(ms);
            }
        }
    }

    // Ends what is under way, after which each request must have ended.
    fn finish(&mut self) {
        self.pauses = false;
        self.ring_is_full = false;
        while !self.running.is_empty() || !self.outcomes.is_empty() {
            self.end_attempt();
            self.deliver_outcome();
        }
        for _ in 0..END_MS / 1_000 {
            self.pass(1_000);
            while !self.running.is_empty() || !self.outcomes.is_empty() {
                self.end_attempt();
                self.deliver_outcome();
            }
        }
        for (id, seen) in &self.seen {
            if !seen.has_ended() {
                self.violations
                    .push(format!("never ended: {id:?} {seen:?}"));
            }
        }
        let open = self.rig.steer.open_requests();
        if open > 0 || !self.held.is_empty() {
            let held = self.held.len();
            self.violations.push(format!("{open} open, {held} held"));
        }
    }

    // The process may stand still for a while, without a tick.
    pub fn pause(&mut self) {
        let chance = if self.ring_is_full { 0.1 } else { 0.004 };
        if self.pauses && self.rng.random_bool(chance) {
            let ms = self.rng.random_range(100..5_000);
            self.rig.now = self.rig.now + Duration::from_millis(ms);
            self.relay.now = self.rig.now;
        }
    }

    fn pass(&mut self, ms: u64) {
        let end = self.rig.now + Duration::from_millis(ms);
        loop {
            let due = self.rig.steer.next_tick().max(self.rig.now);
            if due > end {
                break;
            }
            self.rig.now = due;
            self.step(Event::Tick);
        }
        self.rig.now = self.rig.now.max(end);
        self.relay.now = self.rig.now;
        self.step_relay(Event::Tick);
        if self.rng.random_bool(0.7) {
            self.deliver_messages(4);
        }
    }

    fn next_plan(&mut self) -> Plan {
        self.version += 1;
        let mut routes = super::routes();
        for (route, name) in routes.iter_mut().zip(["bids", "payouts"]) {
            let once = (name == "payouts") != self.rng.random_bool(0.1);
            route.replay = if once {
                Replay::Once
            } else {
                Replay::Idempotent
            };
            route.max_attempts = self.rng.random_range(1..5);
            let ms = [1_500, 2_000, 5_000][self.rng.random_range(0..3)];
            route.timeout = Some(Duration::from_millis(ms));
            self.once.insert(name, once);
        }
        let rate = self.rng.random_bool(0.6);
        let rate = rate.then(|| self.rng.random_range(4.0..30.0));
        super::plan(self.version, routes, rate)
    }

    fn send_request(&mut self) {
        let name = if self.rng.random_bool(0.7) {
            "payouts"
        } else {
            "bids"
        };
        let object = self.rng.random_range(0..8);
        let object = (object > 0).then_some(object);
        let mut query = self.rig.query(&format!("/{name}/1"), object);
        if self.rng.random_bool(0.3) {
            let ms = self.rng.random_range(300..4_000);
            query.time_limit = Some(Duration::from_millis(ms));
        }
        if self.rng.random_bool(0.2) {
            query.signature = BREAKING;
        }
        if self.rng.random_bool(0.03) {
            query.key = Some(Secret::new("unknown"));
        }
        let seen = Seen {
            once: self.once[name],
            breaks: query.signature == BREAKING,
            ..Seen::default()
        };
        self.seen.insert(query.id, seen);
        self.held.insert(query.id);
        self.step(Event::Request(query));
    }

    // Fills the queues; half of the bursts then find more slots and a full ring.
    fn burst(&mut self) {
        (0..BURST).for_each(|_| self.send_request());
        if self.rng.random_bool(0.5) {
            self.ring_is_full = true;
            let put = super::servers().into_iter().map(|mut server| {
                server.backend.slots = 16;
                ServerChange::Put(server)
            });
            let put = put.collect();
            self.step(Event::Servers(put));
        }
    }

    // A server ends a random attempt, and its outcome goes into the ring.
    fn end_attempt(&mut self) {
        if self.running.is_empty() {
            return;
        }
        let at = self.rng.random_range(0..self.running.len());
        let id = self.running.swap_remove(at);
        let seen = &self.seen[&id];
        if seen.attempts.last().is_some_and(|last| last.cancelled) && self.rng.random_bool(0.5) {
            return;
        }
        let load = Some(Load {
            running: self.rng.random_range(0..5),
            waiting: self.rng.random_range(0..3),
            slots: 4,
            stretch: None,
        });
        let load = load.filter(|_| self.rng.random_bool(0.5));
        let breaks = seen.breaks && self.rng.random_bool(0.7);
        let outcome = match self.rng.random_range(0..17) {
            _ if breaks => Outcome::Broken,
            0..5 => Outcome::Answered { status: 200, load },
            5 => Outcome::Answered { status: 500, load },
            6..8 => {
                let status = [408, 421, 429, 503][self.rng.random_range(0..4)];
                self.drawn.refusing_answers += 1;
                Outcome::Answered { status, load }
            }
            8..10 => Outcome::Full { load },
            10 => Outcome::Misdirected,
            11 => Outcome::Unreachable,
            12 => Outcome::NotSent,
            13 => Outcome::TimedOut,
            14 => Outcome::Outdated,
            _ => Outcome::Broken,
        };
        self.outcomes.push((id, outcome));
    }

    // The process takes a random outcome from the ring.
    fn deliver_outcome(&mut self) {
        if self.outcomes.is_empty() {
            return;
        }
        let at = self.rng.random_range(0..self.outcomes.len());
        let (id, outcome) = self.outcomes.swap_remove(at);
        self.attempt_ended(id, outcome);
    }

    pub fn attempt_ended(&mut self, id: RequestId, outcome: Outcome) {
        if let Some(seen) = self.seen.get_mut(&id) {
            let last = seen.attempts.last_mut().expect("an attempt");
            last.never_runs = match outcome {
                Outcome::Full { .. }
                | Outcome::Misdirected
                | Outcome::Unreachable
                | Outcome::NotSent
                | Outcome::Outdated => !last.cancelled,
                Outcome::Answered { .. } | Outcome::Broken | Outcome::TimedOut => false,
            };
            if let Outcome::Answered { status, .. } = outcome {
                seen.status = Some(status);
            }
        }
        self.step(Event::AttemptEnded { id, outcome });
    }

    fn draw_id(&mut self, holds: impl Fn(&Seen) -> bool) -> Option<RequestId> {
        let rows = self.seen.iter().filter(|row| holds(row.1));
        let ids: Vec<RequestId> = rows.map(|row| *row.0).collect();
        let at = self.rng.random_range(0..ids.len().max(1));
        ids.get(at).copied()
    }

    fn leave(&mut self) {
        if let Some(id) = self.draw_id(|seen| seen.caller == Caller::Waiting) {
            self.seen.get_mut(&id).expect("a request").caller = Caller::Left;
            self.step(Event::CallerGone(id));
        }
    }

    // Removes servers, lists them again, or lists a new start with other slots.
    fn change_server(&mut self) {
        let mut servers = super::servers();
        let all = self.rng.random_bool(0.2);
        let at = self.rng.random_range(0..servers.len());
        let removed = self.rng.random_bool(0.4);
        let slots = self.rng.random_range(1..5);
        let started_ms = self.rng.random_range(1_000..1_005);
        servers.rotate_left(at);
        servers.truncate(if all { servers.len() } else { 1 });
        let changes = servers.into_iter().map(|mut server| {
            server.backend.slots = slots;
            server.started_ms = started_ms;
            if removed {
                ServerChange::Removed(server.backend.id)
            } else {
                ServerChange::Put(server)
            }
        });
        let changes = changes.collect();
        self.step(Event::Servers(changes));
    }

    fn evacuate(&mut self) {
        let domains = ["north-a", "north-b", "south-a"];
        let count = self.rng.random_range(0..=domains.len());
        let domains = domains[..count].iter().map(|name| (*name).try_into());
        let domains = domains.collect::<Result<_, _>>().expect("valid names");
        self.step(Event::Evacuated(domains));
    }

    fn notice(&mut self) {
        let notice = if self.rng.random_bool(0.5) {
            ServerNotice::Leaving
        } else {
            ServerNotice::Pause(Duration::from_millis(300))
        };
        if let Some(id) = self.draw_id(|seen| !seen.has_ended() && !seen.attempts.is_empty()) {
            self.step(Event::ServerNotice { id, notice });
        }
    }

    // Delivers messages in random order; some are lost, and some come again later.
    fn deliver_messages(&mut self, most: usize) {
        for _ in 0..most.min(self.messages.len()) {
            let at = self.rng.random_range(0..self.messages.len());
            let (to_relay, message) = self.messages.swap_remove(at);
            match self.rng.random_range(0..10) {
                0 => continue,
                1..3 => self.messages.push((to_relay, message.clone())),
                _ => (),
            }
            let event = Event::Message(message);
            if to_relay {
                self.step_relay(event);
            } else {
                self.step(event);
            }
        }
    }

    // A reply of a relay that has mistaken the request.
    fn send_false_reply(&mut self) {
        let Some(id) = self.draw_id(|_| true) else {
            return;
        };
        let wait_ms = self.rng.random_bool(0.5).then_some(20);
        let reply = TokenReply {
            request: id.0,
            account: 1,
            wait_ms,
        };
        self.step(Event::Message(Message::TokenReply(reply)));
    }

    fn step_relay(&mut self, event: Event) {
        self.relay.now = self.rig.now;
        for action in self.relay.step(event).to_vec() {
            if let Action::Send { message, .. } = action {
                self.messages.push((false, message));
            }
        }
    }
}
