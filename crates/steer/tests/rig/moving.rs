//! A service that moves to another version under load: six instances, their
//! callers, servers that take time, and the store's record of the order.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use corianderway_model::Replay;
use corianderway_model::ServerId;
use corianderway_model::Time;
use corianderway_steer::Event;
use corianderway_steer::Listed;
use corianderway_steer::Load;
use corianderway_steer::Order;
use corianderway_steer::Outcome;
use corianderway_steer::Plan;
use corianderway_steer::Progress;
use corianderway_steer::RequestId;
use corianderway_steer::ServerChange;
use rand::rngs::SmallRng;
use rand::Rng as _;
use rand::SeedableRng as _;

use super::crowd::Crowd;

const REGIONS: [&str; 3] = ["north", "south", "west"];

/// Objects that the callers of one region ask for.
const OBJECTS: u64 = 32;

/// Slots of a server.
const SLOTS: usize = 7;

/// How many times longer a server takes for an object that it has not handled.
const UNPREPARED: f64 = 3.3;

/// How long new servers are cold, and how much slower they are meanwhile. Those
/// of the target start that long before the order.
const COLD: Duration = Duration::from_secs(3);
const COLD_FACTOR: f64 = 2.0;

/// One turn of the clock.
const TURN: Duration = Duration::from_millis(10);

/// The way of a change from the store to the instances.
const WATCH: Duration = Duration::from_millis(40);

/// How long callers are served before the order.
const BEFORE: Duration = Duration::from_secs(6);

/// How long they are served after the deadline.
const AFTER: Duration = Duration::from_secs(6);

/// What is wrong with the target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    Nothing,
    /// A part of its answers are failures, from some time after the order on.
    Fails {
        part: f64,
        onset: Duration,
    },
    /// A part of its answers take longer.
    Slow {
        part: f64,
        factor: f64,
    },
    /// A server of it fails a part of its requests while it runs more than two.
    FailsUnderLoad {
        part: f64,
    },
}

/// What happens to servers of both versions during a move, from some time
/// after the order on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trouble {
    Nothing,
    /// A part of them is down.
    Down {
        part: f64,
        from: Duration,
        span: Duration,
    },
    /// A part of them takes longer.
    Slow {
        part: f64,
        factor: f64,
        from: Duration,
        span: Duration,
    },
}

/// One move.
#[derive(Clone, Copy, Debug)]
pub struct Scene {
    pub seed: u64,
    /// The time from the order to its deadline.
    pub span: Duration,
    /// Requests a second for the service.
    pub rate: f64,
    /// How long a prepared server of the old version takes, in milliseconds.
    pub work: f64,
    pub fault: Fault,
    /// From when after the order, and for how long, the store is out of reach.
    pub outage: Option<(Duration, Duration)>,
    /// How many servers of each version are five times as slow as others.
    pub slow_servers: usize,
    pub trouble: Trouble,
}

/// What became of a move.
#[derive(Clone, Debug, Default)]
pub struct Story {
    /// Requests that the target got from the order to the deadline.
    pub exposed: u32,
    /// Requests that the service got meanwhile.
    pub sent: u32,
    /// How the move ended by the store, and how long after the order.
    pub ended: Option<(Progress, Duration)>,
    /// Requests that the target got more than 5 s after its fiftieth bad answer.
    pub late: u32,
    /// Requests that the old servers still ran when they were stopped.
    pub cut: u32,
    /// Callers' requests that were refused or failed, of all.
    pub unserved: u32,
    pub asked: u32,
}

#[derive(Debug)]
struct Server {
    listed: Listed,
    // When each slot is free again.
    slots: Vec<Time>,
    objects: BTreeSet<u64>,
    factor: f64,
    since: Time,
}

#[derive(Debug)]
struct Run {
    instance: usize,
    id: RequestId,
    server: ServerId,
    outcome: Outcome,
}

struct World {
    scene: Scene,
    rng: SmallRng,
    crowd: Crowd,
    now: Time,
    ordered: Time,
    servers: BTreeMap<ServerId, Server>,
    stopped: BTreeSet<ServerId>,
    // What ends, by time and number.
    runs: BTreeMap<(Time, u64), Run>,
    number: u64,
    objects: BTreeMap<(usize, RequestId), u64>,
    order: Order,
    news: Vec<(Time, Event)>,
    bad: Vec<Time>,
    story: Story,
}

/// Plays a move.
pub fn play(scene: Scene) -> Story {
    let mut world = World::new(scene);
    let begun = world.now;
    while world.now < world.ordered {
        if world.now + COLD == world.ordered {
            world.start_servers("v2", COLD);
        }
        world.turn();
    }
    let orders = Event::Orders(vec![world.order.clone()]);
    world.announce(WATCH, &orders);
    let end = begun + BEFORE + scene.span + AFTER;
    while world.now < end {
        world.turn();
    }
    world.story
}

impl Story {
    /// The most requests that a bad target may get: a tenth, and fifty.
    pub fn allowed(&self) -> f64 {
        f64::from(self.sent) * 0.1 + 50.0
    }
}

impl World {
    fn new(scene: Scene) -> Self {
        let now = Time::from_millis(10_000);
        let members = (0..6).map(|number| {
            let region = REGIONS[number % 3];
            let domain = format!("{region}-{}", ["a", "b"][number / 3]);
            super::member(&format!("entry-{number}"), region, &domain)
        });
        let mut world = Self {
            rng: SmallRng::seed_from_u64(scene.seed),
            crowd: Crowd::start(members.collect(), now, || plan(scene)),
            now,
            ordered: now + BEFORE,
            servers: BTreeMap::new(),
            stopped: BTreeSet::new(),
            runs: BTreeMap::new(),
            number: 0,
            objects: BTreeMap::new(),
            order: super::order("bids", "v2", scene.span),
            news: Vec::new(),
            bad: Vec::new(),
            story: Story::default(),
            scene,
        };
        let old: Vec<ServerChange> = super::servers()
            .into_iter()
            .map(|listed| ServerChange::Removed(listed.backend.id))
            .collect();
        world.announce(Duration::ZERO, &Event::Servers(old));
        world.start_servers("v1", Duration::ZERO);
        world
    }

    fn start_servers(&mut self, version: &str, cold: Duration) {
        let mut put = Vec::new();
        for region in REGIONS {
            for number in 0..4 {
                let domain = format!("{region}-{}", ["a", "b"][number % 2]);
                let name = format!("{version}-{region}-{number}");
                let mut listed = super::server(&name, "bids", region, &domain);
                listed.backend.version = version.try_into().unwrap();
                listed.backend.slots = SLOTS as u32;
                listed.cold_left = cold;
                let index = put.len();
                let slow = index % 4 == 1 && index / 4 < self.scene.slow_servers;
                let server = Server {
                    listed: listed.clone(),
                    slots: vec![self.now; SLOTS],
                    objects: BTreeSet::new(),
                    factor: if slow { 5.0 } else { 1.0 },
                    since: self.now,
                };
                self.servers.insert(listed.backend.id.clone(), server);
                put.push(ServerChange::Put(listed));
            }
        }
        if cold.is_zero() {
            for server in self.servers.values_mut() {
                server.since = Time::ZERO;
            }
        }
        self.announce(WATCH, &Event::Servers(put));
    }

    fn announce(&mut self, after: Duration, event: &Event) {
        self.news.push((self.now + after, event.clone()));
    }

    fn turn(&mut self) {
        self.now = self.now + TURN;
        let outage = self.is_out();
        self.crowd.away = if outage { (0..6).collect() } else { Vec::new() };
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.news)
            .into_iter()
            .partition(|row| row.0 <= self.now && !outage);
        self.news = later;
        for (_, event) in due {
            for instance in 0..self.crowd.rigs.len() {
                self.crowd.step(instance, event.clone());
            }
        }
        self.break_runs();
        self.crowd.turn(self.now);
        self.ask();
        self.end_runs();
        self.take_reports(outage);
        self.begin_runs();
        self.story.unserved += std::mem::take(&mut self.crowd.refused).len() as u32;
    }

    fn is_out(&self) -> bool {
        let age = self.now.since(self.ordered);
        let out = |(from, span): (Duration, Duration)| age >= from && age < from + span;
        self.now > self.ordered && self.scene.outage.is_some_and(out)
    }

    fn ask(&mut self) {
        for instance in 0..self.crowd.rigs.len() {
            let mut expected = self.scene.rate / 6.0 * TURN.as_secs_f64();
            while self.rng.random::<f64>() < expected {
                expected -= 1.0;
                let object = instance as u64 % 3 * 1_000 + self.rng.random_range(0..OBJECTS);
                let id = self.crowd.rigs[instance].ask("/bids/1", Some(object));
                self.objects.insert((instance, id), object);
                self.story.asked += 1;
                self.crowd.collect(instance);
            }
        }
    }

    fn begin_runs(&mut self) {
        for (instance, id, server) in std::mem::take(&mut self.crowd.forwarded) {
            // The servers of the usual listing are not there, either.
            let there = self.servers.contains_key(&server) && !self.stopped.contains(&server);
            if !there || self.is_down(&server) {
                let outcome = Outcome::Unreachable;
                self.schedule(self.now, instance, id, server, outcome);
                continue;
            }
            let target = server.as_str().starts_with("v2");
            let age = self.now.since(self.ordered);
            if self.now > self.ordered && age <= self.scene.span {
                self.story.sent += 1;
                self.story.exposed += u32::from(target);
            }
            if self.bad.len() >= 50 && self.now.since(self.bad[49]) > Duration::from_secs(5) {
                self.story.late += u32::from(target);
            }
            let object = self.objects[&(instance, id)];
            let (end, status, waits) = self.run(&server, object, target, age);
            let load = Load {
                running: waits.min(SLOTS as u32),
                waiting: waits.saturating_sub(SLOTS as u32),
                slots: SLOTS as u32,
            };
            let load = Some(load);
            self.schedule(
                end,
                instance,
                id,
                server,
                Outcome::Answered { status, load },
            );
        }
    }

    // When a server ends a request, with what status, and what it runs then.
    fn run(&mut self, id: &ServerId, object: u64, target: bool, age: Duration) -> (Time, u16, u32) {
        let spread = 1.0 + (self.rng.random::<f64>() - 0.5) * 0.5;
        let chance = self.rng.random::<f64>();
        let now = self.now;
        let slowed = match self.scene.trouble {
            Trouble::Slow {
                part,
                factor,
                from,
                span,
            } if age >= from && age < from + span && hits(id, part) => factor,
            Trouble::Slow { .. } | Trouble::Down { .. } | Trouble::Nothing => 1.0,
        };
        let server = self.servers.get_mut(id).unwrap();
        let known = !server.objects.insert(object);
        let mut work = self.scene.work * spread * server.factor;
        if !known {
            work *= UNPREPARED;
        }
        if now.since(server.since) < COLD {
            work *= COLD_FACTOR;
        }
        work *= slowed;
        let busy = server.slots.iter().filter(|free| **free > now).count();
        let (mut status, mut bad) = (200, false);
        match self.scene.fault {
            _ if !target => (),
            Fault::Fails { part, onset } => bad = age >= onset && chance < part,
            Fault::FailsUnderLoad { part } => bad = busy > 2 && chance < part,
            Fault::Slow { part, factor } if chance < part => {
                work *= factor;
                self.bad.push(now);
            }
            Fault::Nothing | Fault::Slow { .. } => (),
        }
        if bad {
            status = 500;
            work *= 0.3;
            self.bad.push(now);
        }
        let slot = server.slots.iter_mut().min().unwrap();
        let start = (*slot).max(now);
        *slot = start + Duration::from_secs_f64(work / 1_000.0);
        (*slot, status, busy as u32 + 1)
    }

    fn is_down(&self, id: &ServerId) -> bool {
        let Trouble::Down { part, from, span } = self.scene.trouble else {
            return false;
        };
        let begins = self.ordered + from;
        self.now >= begins && self.now < begins + span && hits(id, part)
    }

    // What runs at a server breaks when it goes down; it comes back cold.
    fn break_runs(&mut self) {
        let Trouble::Down { part, from, span } = self.scene.trouble else {
            return;
        };
        if self.now == self.ordered + from {
            self.cut_runs(|id| hits(id, part));
        }
        if self.now == self.ordered + from + span {
            let now = self.now;
            let hit = self.servers.iter_mut().filter(|row| hits(row.0, part));
            let mut put = Vec::new();
            for (_, server) in hit {
                server.since = now;
                server.objects.clear();
                server.slots = vec![now; SLOTS];
                server.listed.born += 1;
                server.listed.cold_left = COLD;
                put.push(ServerChange::Put(server.listed.clone()));
            }
            self.announce(WATCH, &Event::Servers(put));
        }
    }

    fn cut_runs(&mut self, at: impl Fn(&ServerId) -> bool) -> u32 {
        let rows = self.runs.iter().filter(|row| at(&row.1.server));
        let cut: Vec<(Time, u64)> = rows.map(|row| *row.0).collect();
        for key in &cut {
            let run = self.runs.remove(key).unwrap();
            self.schedule(self.now, run.instance, run.id, run.server, Outcome::Broken);
        }
        cut.len() as u32
    }

    fn schedule(
        &mut self,
        at: Time,
        instance: usize,
        id: RequestId,
        server: ServerId,
        outcome: Outcome,
    ) {
        self.number += 1;
        let run = Run {
            instance,
            id,
            server,
            outcome,
        };
        self.runs.insert((at, self.number), run);
    }

    fn end_runs(&mut self) {
        while let Some(row) = self.runs.first_entry() {
            if row.key().0 > self.now {
                return;
            }
            let run = row.remove();
            let (id, outcome) = (run.id, run.outcome);
            self.crowd
                .step(run.instance, Event::Attempted { id, outcome });
        }
    }

    fn take_reports(&mut self, outage: bool) {
        for (order, progress) in std::mem::take(&mut self.crowd.reports) {
            if outage || order.revision != self.order.revision {
                continue;
            }
            self.order.revision += 1;
            self.order.progress = Some(progress);
            let orders = Event::Orders(vec![self.order.clone()]);
            self.announce(WATCH, &orders);
            if progress > Progress::Running {
                let age = self.now.since(self.ordered);
                self.story.ended.get_or_insert((progress, age));
            }
            if progress == Progress::Completed {
                self.stop_old_servers();
            }
        }
    }

    fn stop_old_servers(&mut self) {
        let old: Vec<ServerId> = self.servers.keys().cloned().collect();
        for id in old.into_iter().filter(|id| id.as_str().starts_with("v1")) {
            self.story.cut += self.cut_runs(|server| *server == id);
            self.announce(
                WATCH,
                &Event::Servers(vec![ServerChange::Removed(id.clone())]),
            );
            self.stopped.insert(id);
        }
    }
}

// Whether a server is among the part of a version's servers that a trouble hits.
fn hits(id: &ServerId, part: f64) -> bool {
    let text = id.as_str();
    let region = REGIONS.iter().position(|region| text.contains(region));
    let number = text.chars().last().and_then(|c| c.to_digit(10)).unwrap();
    let place = number as usize * REGIONS.len() + region.unwrap();
    (place as f64) < part * 12.0
}

fn plan(scene: Scene) -> Plan {
    let mut route = super::route("bids", "/bids/", "bids", Replay::Idempotent);
    route.objective = Duration::from_secs_f64(scene.work * 2.3 / 1_000.0);
    route.timeout = Some(Duration::from_secs_f64(scene.work * 7.6 / 1_000.0));
    super::plan(1, vec![route], None)
}
