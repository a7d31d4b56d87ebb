//! A simulation of a version move under load: six instances, their callers,
//! servers with service times, and the order in the store.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use corianderway_model::Replay;
use corianderway_model::ServerId;
use corianderway_model::Time;
use corianderway_steer::Event;
use corianderway_steer::Load;
use corianderway_steer::Order;
use corianderway_steer::Outcome;
use corianderway_steer::Plan;
use corianderway_steer::Progress;
use corianderway_steer::RequestId;
use corianderway_steer::ServerChange;
use corianderway_steer::ServerEntry;
use rand::rngs::SmallRng;
use rand::Rng as _;
use rand::SeedableRng as _;

use super::cluster::Cluster;

const REGIONS: [&str; 3] = ["north", "south", "west"];

/// The number of objects that the callers of one region request.
const OBJECTS_PER_REGION: u64 = 32;

/// The number of slots of a server.
const SLOTS_PER_SERVER: usize = 7;

/// The factor by which the service time is longer for an object that the server
/// has not handled.
const NEW_OBJECT_FACTOR: f64 = 3.3;

/// The time for which a new server is cold. The servers of the target start
/// this long before the order.
const COLD_TIME: Duration = Duration::from_secs(3);

/// The factor by which a cold server is slower.
const COLD_FACTOR: f64 = 2.0;

/// The fraction of requests on the route that fails, where one of two does.
const FAILING_ROUTE_FRACTION: f64 = 0.3;

/// The interval between two steps of the simulation.
const TICK: Duration = Duration::from_millis(10);

/// The delay of a change from the store to the instances.
const WATCH_DELAY: Duration = Duration::from_millis(40);

/// The time for which requests are sent before the order.
const WARMUP: Duration = Duration::from_secs(6);

/// The time for which requests are sent after the deadline.
const TAIL: Duration = Duration::from_secs(6);

/// The fault of the target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    Nothing,
    /// A fraction of its answers are failures, from `onset` after the order on.
    Fails {
        fraction: f64,
        onset: Duration,
    },
    /// A fraction of its answers takes `factor` times as long.
    Slow {
        fraction: f64,
        factor: f64,
    },
    /// Each of its servers fails a fraction of its requests while it runs more
    /// than two.
    FailsUnderLoad {
        fraction: f64,
    },
    /// A fraction of its answers on one of two routes are failures.
    FailsOnRoute {
        fraction: f64,
    },
}

/// A disturbance of servers of both versions during a move, beginning `from`
/// after the order.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Disturbance {
    Nothing,
    /// A fraction of the servers is down.
    Down {
        fraction: f64,
        from: Duration,
        span: Duration,
    },
    /// A fraction of the servers takes `factor` times as long.
    Slow {
        fraction: f64,
        factor: f64,
        from: Duration,
        span: Duration,
    },
}

/// The conditions of one move.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub seed: u64,
    /// The time from the order to its deadline.
    pub span: Duration,
    /// The rate of requests to the service, in requests per second.
    pub rate: f64,
    /// The mean service time of a server of the old version for an object that
    /// it has handled, in milliseconds.
    pub work_ms: f64,
    pub fault: Fault,
    /// When the store becomes unreachable, after the order, and for how long.
    pub outage: Option<(Duration, Duration)>,
    /// The number of servers of each version that are five times as slow as the
    /// others.
    pub slow_servers: usize,
    pub disturbance: Disturbance,
}

/// The result of one move.
#[derive(Clone, Debug, Default)]
pub struct MoveResult {
    /// Requests that the target received from the order to the deadline.
    pub exposed: u32,
    /// Requests that the service received in the same period.
    pub sent: u32,
    /// How the move ended according to the store, and how long after the order.
    pub ended: Option<(Progress, Duration)>,
    /// Requests that the target received more than 5 s after its fiftieth bad
    /// answer.
    pub late_requests: u32,
    /// Requests that the old servers were still running when they were stopped.
    pub aborted: u32,
    /// Requests of callers that were refused.
    pub unserved: u32,
    /// All requests of callers.
    pub requests: u32,
}

#[derive(Debug)]
struct Server {
    listed: ServerEntry,
    // The time at which each slot becomes free.
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

struct Simulation {
    scenario: Scenario,
    rng: SmallRng,
    cluster: Cluster,
    now: Time,
    ordered: Time,
    servers: BTreeMap<ServerId, Server>,
    stopped: BTreeSet<ServerId>,
    // The running requests, by the time at which they end and a sequence
    // number.
    runs: BTreeMap<(Time, u64), Run>,
    number: u64,
    objects: BTreeMap<(usize, RequestId), u64>,
    // The requests on the second route.
    second: BTreeSet<(usize, RequestId)>,
    order: Order,
    events: Vec<(Time, Event)>,
    bad_times: Vec<Time>,
    result: MoveResult,
}

/// Simulates one move.
pub fn simulate(scenario: Scenario) -> MoveResult {
    let mut simulation = Simulation::new(scenario);
    let started = simulation.now;
    while simulation.now < simulation.ordered {
        if simulation.now + COLD_TIME == simulation.ordered {
            simulation.start_servers("v2", COLD_TIME);
        }
        simulation.tick();
    }
    let orders = Event::Orders(vec![simulation.order.clone()]);
    simulation.schedule_event(WATCH_DELAY, &orders);
    let end = started + WARMUP + scenario.span + TAIL;
    while simulation.now < end {
        simulation.tick();
    }
    simulation.result
}

impl MoveResult {
    /// The maximum number of requests that a bad target may receive: a tenth of
    /// all requests, plus 50.
    pub fn max_exposed(&self) -> f64 {
        f64::from(self.sent) * 0.1 + 50.0
    }
}

impl Simulation {
    fn new(scenario: Scenario) -> Self {
        let now = Time::from_millis(10_000);
        let members = (0..6).map(|number| {
            let region = REGIONS[number % 3];
            let domain = format!("{region}-{}", ["a", "b"][number / 3]);
            super::member(&format!("entry-{number}"), region, &domain)
        });
        let mut simulation = Self {
            rng: SmallRng::seed_from_u64(scenario.seed),
            cluster: Cluster::start(members.collect(), now, || plan(scenario)),
            now,
            ordered: now + WARMUP,
            servers: BTreeMap::new(),
            stopped: BTreeSet::new(),
            runs: BTreeMap::new(),
            number: 0,
            objects: BTreeMap::new(),
            second: BTreeSet::new(),
            order: super::order("bids", "v2", scenario.span),
            events: Vec::new(),
            bad_times: Vec::new(),
            result: MoveResult::default(),
            scenario,
        };
        let old: Vec<ServerChange> = super::servers()
            .into_iter()
            .map(|listed| ServerChange::Removed(listed.backend.id))
            .collect();
        simulation.schedule_event(Duration::ZERO, &Event::Servers(old));
        simulation.start_servers("v1", Duration::ZERO);
        simulation
    }

    fn start_servers(&mut self, version: &str, cold: Duration) {
        let mut put = Vec::new();
        for region in REGIONS {
            for number in 0..4 {
                let domain = format!("{region}-{}", ["a", "b"][number % 2]);
                let name = format!("{version}-{region}-{number}");
                let mut listed = super::server(&name, "bids", region, &domain);
                listed.backend.version = version.try_into().unwrap();
                listed.backend.slots = SLOTS_PER_SERVER as u32;
                listed.cold_left = cold;
                let index = put.len();
                let slow = index % 4 == 1 && index / 4 < self.scenario.slow_servers;
                let server = Server {
                    listed: listed.clone(),
                    slots: vec![self.now; SLOTS_PER_SERVER],
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
        self.schedule_event(WATCH_DELAY, &Event::Servers(put));
    }

    fn schedule_event(&mut self, after: Duration, event: &Event) {
        self.events.push((self.now + after, event.clone()));
    }

    fn tick(&mut self) {
        self.now = self.now + TICK;
        let outage = self.in_outage();
        self.cluster.without_store = if outage { (0..6).collect() } else { Vec::new() };
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.events)
            .into_iter()
            .partition(|row| row.0 <= self.now && !outage);
        self.events = later;
        for (_, event) in due {
            for instance in 0..self.cluster.rigs.len() {
                self.cluster.step(instance, event.clone());
            }
        }
        self.break_runs();
        self.cluster.turn(self.now);
        self.send_requests();
        self.end_runs();
        self.apply_reports(outage);
        self.start_runs();
        self.result.unserved += std::mem::take(&mut self.cluster.refused).len() as u32;
    }

    fn in_outage(&self) -> bool {
        let age = self.now.since(self.ordered);
        let out = |(from, span): (Duration, Duration)| age >= from && age < from + span;
        self.now > self.ordered && self.scenario.outage.is_some_and(out)
    }

    fn send_requests(&mut self) {
        for instance in 0..self.cluster.rigs.len() {
            let mut expected = self.scenario.rate / 6.0 * TICK.as_secs_f64();
            while self.rng.random::<f64>() < expected {
                expected -= 1.0;
                let object =
                    instance as u64 % 3 * 1_000 + self.rng.random_range(0..OBJECTS_PER_REGION);
                let second = matches!(self.scenario.fault, Fault::FailsOnRoute { .. })
                    && self.rng.random::<f64>() < FAILING_ROUTE_FRACTION;
                let path = if second { "/offers/1" } else { "/bids/1" };
                let id = self.cluster.rigs[instance].request(path, Some(object));
                if second {
                    self.second.insert((instance, id));
                }
                self.objects.insert((instance, id), object);
                self.result.requests += 1;
                self.cluster.collect(instance);
            }
        }
    }

    fn start_runs(&mut self) {
        for (instance, id, server) in std::mem::take(&mut self.cluster.forwarded) {
            // The servers of the default listing don't exist here.
            let is_up = self.servers.contains_key(&server) && !self.stopped.contains(&server);
            if !is_up || self.is_down(&server) {
                let outcome = Outcome::Unreachable;
                self.schedule(self.now, instance, id, server, outcome);
                continue;
            }
            let target = server.as_str().starts_with("v2");
            let age = self.now.since(self.ordered);
            if self.now > self.ordered && age <= self.scenario.span {
                self.result.sent += 1;
                self.result.exposed += u32::from(target);
            }
            if self.bad_times.len() >= 50
                && self.now.since(self.bad_times[49]) > Duration::from_secs(5)
            {
                self.result.late_requests += u32::from(target);
            }
            let object = self.objects[&(instance, id)];
            let second = self.second.contains(&(instance, id));
            let (end, status, waits) = self.run(&server, object, (target, second), age);
            let load = Load {
                running: waits.min(SLOTS_PER_SERVER as u32),
                waiting: waits.saturating_sub(SLOTS_PER_SERVER as u32),
                slots: SLOTS_PER_SERVER as u32,
                stretch: None,
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

    // Returns when a server ends a request, with what status, and how many
    // requests it is running then.
    fn run(
        &mut self,
        id: &ServerId,
        object: u64,
        (target, second): (bool, bool),
        age: Duration,
    ) -> (Time, u16, u32) {
        let spread = 1.0 + (self.rng.random::<f64>() - 0.5) * 0.5;
        let chance = self.rng.random::<f64>();
        let now = self.now;
        let slowed = match self.scenario.disturbance {
            Disturbance::Slow {
                fraction,
                factor,
                from,
                span,
            } if age >= from && age < from + span && is_disturbed(id, fraction) => factor,
            Disturbance::Slow { .. } | Disturbance::Down { .. } | Disturbance::Nothing => 1.0,
        };
        let server = self.servers.get_mut(id).unwrap();
        let is_known = !server.objects.insert(object);
        let mut work = self.scenario.work_ms * spread * server.factor;
        if !is_known {
            work *= NEW_OBJECT_FACTOR;
        }
        if now.since(server.since) < COLD_TIME {
            work *= COLD_FACTOR;
        }
        work *= slowed;
        let busy = server.slots.iter().filter(|free| **free > now).count();
        let (mut status, mut bad) = (200, false);
        match self.scenario.fault {
            _ if !target => (),
            Fault::Fails { fraction, onset } => bad = age >= onset && chance < fraction,
            Fault::FailsUnderLoad { fraction } => bad = busy > 2 && chance < fraction,
            Fault::FailsOnRoute { fraction } => bad = second && chance < fraction,
            Fault::Slow { fraction, factor } if chance < fraction => {
                work *= factor;
                self.bad_times.push(now);
            }
            Fault::Nothing | Fault::Slow { .. } => (),
        }
        if bad {
            status = 500;
            work *= 0.3;
            self.bad_times.push(now);
        }
        let slot = server.slots.iter_mut().min().unwrap();
        let start = (*slot).max(now);
        *slot = start + Duration::from_secs_f64(work / 1_000.0);
        (*slot, status, busy as u32 + 1)
    }

    fn is_down(&self, id: &ServerId) -> bool {
        let Disturbance::Down {
            fraction,
            from,
            span,
        } = self.scenario.disturbance
        else {
            return false;
        };
        let begins = self.ordered + from;
        self.now >= begins && self.now < begins + span && is_disturbed(id, fraction)
    }

    // Breaks the running requests of servers that go down. The servers are cold
    // when they come back.
    fn break_runs(&mut self) {
        let Disturbance::Down {
            fraction,
            from,
            span,
        } = self.scenario.disturbance
        else {
            return;
        };
        if self.now == self.ordered + from {
            self.abort_runs(|id| is_disturbed(id, fraction));
        }
        if self.now == self.ordered + from + span {
            let now = self.now;
            let disturbed = self
                .servers
                .iter_mut()
                .filter(|row| is_disturbed(row.0, fraction));
            let mut put = Vec::new();
            for (_, server) in disturbed {
                server.since = now;
                server.objects.clear();
                server.slots = vec![now; SLOTS_PER_SERVER];
                server.listed.started_ms += 1;
                server.listed.cold_left = COLD_TIME;
                put.push(ServerChange::Put(server.listed.clone()));
            }
            self.schedule_event(WATCH_DELAY, &Event::Servers(put));
        }
    }

    fn abort_runs(&mut self, at: impl Fn(&ServerId) -> bool) -> u32 {
        let rows = self.runs.iter().filter(|row| at(&row.1.server));
        let aborted: Vec<(Time, u64)> = rows.map(|row| *row.0).collect();
        for key in &aborted {
            let run = self.runs.remove(key).unwrap();
            self.schedule(self.now, run.instance, run.id, run.server, Outcome::Broken);
        }
        aborted.len() as u32
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
            self.cluster
                .step(run.instance, Event::AttemptEnded { id, outcome });
        }
    }

    fn apply_reports(&mut self, outage: bool) {
        for (order, progress) in std::mem::take(&mut self.cluster.reports) {
            if outage || order.revision != self.order.revision {
                continue;
            }
            self.order.revision = self.order.revision.next();
            self.order.progress = Some(progress);
            let orders = Event::Orders(vec![self.order.clone()]);
            self.schedule_event(WATCH_DELAY, &orders);
            if progress > Progress::Running {
                let age = self.now.since(self.ordered);
                self.result.ended.get_or_insert((progress, age));
            }
            if progress == Progress::Completed {
                self.stop_old_servers();
            }
        }
    }

    fn stop_old_servers(&mut self) {
        let old: Vec<ServerId> = self.servers.keys().cloned().collect();
        for id in old.into_iter().filter(|id| id.as_str().starts_with("v1")) {
            self.result.aborted += self.abort_runs(|server| *server == id);
            self.schedule_event(
                WATCH_DELAY,
                &Event::Servers(vec![ServerChange::Removed(id.clone())]),
            );
            self.stopped.insert(id);
        }
    }
}

// Returns whether a server is in the fraction of each version's servers that a
// disturbance affects.
fn is_disturbed(id: &ServerId, fraction: f64) -> bool {
    let text = id.as_str();
    let region = REGIONS.iter().position(|region| text.contains(region));
    let number = text.chars().last().and_then(|c| c.to_digit(10)).unwrap();
    let rank = number as usize * REGIONS.len() + region.unwrap();
    (rank as f64) < fraction * 12.0
}

fn plan(scenario: Scenario) -> Plan {
    let mut route = super::route("bids", "/bids/", "bids", Replay::Idempotent);
    route.target_latency = Duration::from_secs_f64(scenario.work_ms * 2.3 / 1_000.0);
    route.timeout = Some(Duration::from_secs_f64(scenario.work_ms * 7.6 / 1_000.0));
    let mut routes = vec![route.clone()];
    if matches!(scenario.fault, Fault::FailsOnRoute { .. }) {
        route.name = "offers".try_into().unwrap();
        route.prefix = "/offers/".into();
        routes.push(route);
    }
    super::plan(1, routes, None)
}
