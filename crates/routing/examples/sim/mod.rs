//! A logical clock, backend servers with slots and a queue, and instances
//! that route by one of the policies. It drives the decision code and models
//! no network beyond fixed delays.

pub mod instance;
pub mod report;
pub mod scenario;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::time::Duration;

use corianderway_model::Backend;
use corianderway_model::Presence;
use corianderway_model::Time;
use corianderway_routing::Outcome;
use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;

use crate::sim::instance::Instance;
use crate::sim::instance::Routed;
use crate::sim::report::Figures;
use crate::sim::scenario::Scenario;
use crate::sim::scenario::END;
use crate::sim::scenario::FAULT_AT;

/// Regions.
pub const REGIONS: usize = 3;
const SERVERS: usize = 13;
const INSTANCES: usize = 10;
const SLOTS: [u32; 4] = [3, 9, 6, 5];
const SERVICE: f64 = 0.020;
const QUEUE: usize = 100;
const CALLER_TRIP: Duration = Duration::from_millis(6);
const DOMAIN_WAY: Duration = Duration::from_millis(1);
const REGION_WAY: Duration = Duration::from_millis(35);
const LOCAL_WAY: Duration = Duration::from_micros(100);
const REPORT_EVERY: Duration = Duration::from_millis(500);
const REPORT_LAG: Duration = Duration::from_millis(300);
const TICK: Duration = Duration::from_millis(100);
// How late the instance list is.
const LIST_LAG: Duration = Duration::from_secs(4);
// A request that no backend server may take waits at its instance.
const PATIENCE: Duration = Duration::from_secs(2);
const MOST_ATTEMPTS: usize = 3;

/// How instances choose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// In turn.
    RoundRobin,
    /// The fewest of the instance's own requests over the slots.
    LeastConnections,
    /// This package.
    Routing,
}

impl Policy {
    /// Every policy.
    pub const ALL: [Self; 3] = [Self::RoundRobin, Self::LeastConnections, Self::Routing];

    /// The name in the table.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::RoundRobin => "round robin",
            Self::LeastConnections => "least connections",
            Self::Routing => "routing",
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Reach(usize),
    Done(usize),
    Answer(usize),
    Report(usize, u32),
    Measure,
    Tick,
    Lose,
    List,
}

#[derive(Debug)]
struct Request {
    start: Time,
    sent: Time,
    instance: usize,
    routed: Option<Routed>,
    tried: Vec<usize>,
    outcome: Outcome,
}

#[derive(Debug, Default)]
struct Server {
    running: u32,
    queue: VecDeque<usize>,
    lost: bool,
}

/// One run.
#[derive(Debug)]
pub struct Sim {
    scenario: Scenario,
    // Apart from the rest, so that every policy gets the same arrivals.
    arrivals: SmallRng,
    rng: SmallRng,
    now: Time,
    count: u64,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    backends: Vec<Backend>,
    servers: Vec<Server>,
    instances: Vec<Instance>,
    requests: Vec<Request>,
    // Requests that wait at each instance, first come first.
    waiting: Vec<VecDeque<usize>>,
    figures: Figures,
}

impl Sim {
    /// Sets up a run.
    pub fn new(scenario: Scenario, policy: Policy, seed: u64) -> Self {
        let backends: Vec<_> = (0..SERVERS).map(backend).collect();
        let peers = |at: usize| (0..INSTANCES).filter(move |i| i % REGIONS == at % REGIONS);
        let instance = |at| Instance::new(policy, at % REGIONS, peers(at).count(), &backends);
        let mut sim = Self {
            scenario,
            arrivals: SmallRng::seed_from_u64(seed),
            rng: SmallRng::seed_from_u64(!seed),
            now: Time::ZERO,
            count: 0,
            events: BinaryHeap::new(),
            servers: (0..SERVERS).map(|_| Server::default()).collect(),
            instances: (0..INSTANCES).map(instance).collect(),
            requests: Vec::new(),
            waiting: vec![VecDeque::new(); INSTANCES],
            figures: Figures::default(),
            backends,
        };
        sim.plan(Duration::ZERO, Event::Arrive);
        sim.plan(Duration::ZERO, Event::Measure);
        sim.plan(TICK, Event::Tick);
        if scenario == Scenario::RegionLost {
            sim.plan(FAULT_AT, Event::Lose);
            sim.plan(FAULT_AT + LIST_LAG, Event::List);
        }
        sim
    }

    /// Runs until every request has ended.
    pub fn run(mut self) -> Figures {
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            self.handle(event);
        }
        self.figures
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Reach(request) => self.reach(request),
            Event::Done(request) => self.done(request),
            Event::Answer(request) => self.answer(request),
            Event::Report(server, load) => {
                let now = self.now;
                let instances = self.instances.iter_mut();
                instances.for_each(|i| i.report(server, load, now));
            }
            Event::Measure => self.measure(),
            Event::Tick => {
                let now = self.now;
                self.instances.iter_mut().for_each(|i| i.tick(now));
                (0..INSTANCES).for_each(|instance| self.drain(instance));
                self.repeat(TICK, Event::Tick);
            }
            Event::Lose => self.lose(),
            Event::List => {
                let left: Vec<_> = self.left_over();
                let now = self.now;
                self.instances.iter_mut().for_each(|i| i.sync(&left, now));
            }
        }
    }

    fn plan(&mut self, after: Duration, event: Event) {
        self.count += 1;
        let row = (self.now + after, self.count, event);
        self.events.push(Reverse(row));
    }

    fn repeat(&mut self, after: Duration, event: Event) {
        if self.now.since(Time::ZERO) < END {
            self.plan(after, event);
        }
    }

    fn arrive(&mut self) {
        let slots: u32 = self.backends.iter().map(|b| b.slots).sum();
        let rate = self.scenario.fill() * f64::from(slots) / SERVICE;
        let gap = -self.arrivals.random::<f64>().max(f64::MIN_POSITIVE).ln() / rate;
        self.repeat(Duration::from_secs_f64(gap), Event::Arrive);
        let mut instance = self.arrivals.random_range(0..INSTANCES);
        while self.is_lost(instance % REGIONS) {
            instance = self.arrivals.random_range(0..INSTANCES);
        }
        self.requests.push(Request {
            start: self.now,
            sent: self.now,
            instance,
            routed: None,
            tried: Vec::new(),
            outcome: Outcome::Failed,
        });
        self.send(self.requests.len() - 1);
    }

    // A new request goes behind those that wait already.
    fn send(&mut self, at: usize) {
        let instance = self.requests[at].instance;
        self.waiting[instance].push_back(at);
        self.drain(instance);
    }

    fn drain(&mut self, instance: usize) {
        while let Some(at) = self.waiting[instance].pop_front() {
            let start = self.requests[at].start;
            if self.try_send(at) {
                continue;
            }
            if self.now.since(start) < PATIENCE {
                return self.waiting[instance].push_front(at);
            }
            self.figures.refused += 1;
        }
    }

    fn try_send(&mut self, at: usize) -> bool {
        let draw = self.rng.random();
        let request = &mut self.requests[at];
        let instance = &mut self.instances[request.instance];
        let routed = instance.route(draw, &request.tried, request.start, self.now);
        let Some(routed) = routed else { return false };
        let server = routed.server;
        request.tried.push(server);
        request.routed = Some(routed);
        request.sent = self.now;
        let way = self.way(at, server);
        self.plan(way, Event::Reach(at));
        true
    }

    fn way(&self, request: usize, server: usize) -> Duration {
        let instance = &self.instances[self.requests[request].instance];
        let backend = &self.backends[server];
        if *instance.region() != backend.region {
            REGION_WAY
        } else if *instance.domain() == backend.domain {
            LOCAL_WAY
        } else {
            DOMAIN_WAY
        }
    }

    fn server_of(&self, request: usize) -> usize {
        self.requests[request]
            .routed
            .as_ref()
            .map_or(0, |r| r.server)
    }

    fn reach(&mut self, at: usize) {
        let server = self.server_of(at);
        let row = &mut self.servers[server];
        if row.lost {
            self.reply(at, Outcome::Refused);
        } else if row.running < self.backends[server].slots {
            row.running += 1;
            self.start(at, server);
        } else if row.queue.len() < QUEUE {
            row.queue.push_back(at);
        } else {
            self.reply(at, Outcome::Failed);
        }
        self.note_fill(server);
    }

    fn start(&mut self, at: usize, server: usize) {
        let slowdown = self.scenario.slowdown(server, self.now.since(Time::ZERO));
        let tail = -self.rng.random::<f64>().max(f64::MIN_POSITIVE).ln();
        let time = SERVICE * (0.5 + 0.5 * tail) * slowdown;
        self.plan(Duration::from_secs_f64(time), Event::Done(at));
    }

    fn done(&mut self, at: usize) {
        let server = self.server_of(at);
        if self.servers[server].lost {
            return self.reply(at, Outcome::Failed);
        }
        match self.servers[server].queue.pop_front() {
            Some(next) => self.start(next, server),
            None => self.servers[server].running -= 1,
        }
        let now = self.now.since(Time::ZERO);
        let fails = self.scenario == Scenario::Failing && self.scenario.hits(server);
        if fails && now >= FAULT_AT && self.rng.random::<f64>() < 0.8 {
            return self.reply(at, Outcome::Failed);
        }
        self.reply(at, Outcome::Answered(Duration::ZERO));
    }

    fn reply(&mut self, at: usize, outcome: Outcome) {
        self.requests[at].outcome = outcome;
        let way = self.way(at, self.server_of(at));
        self.plan(way, Event::Answer(at));
    }

    fn answer(&mut self, at: usize) {
        let request = &mut self.requests[at];
        let (start, sent) = (request.start, request.sent);
        let outcome = match request.outcome {
            Outcome::Answered(_) => Outcome::Answered(self.now.since(sent)),
            other => other,
        };
        let tries = request.tried.len();
        let instance = request.instance;
        if let Some(routed) = request.routed.take() {
            self.instances[request.instance].finish(routed, outcome, self.now);
        }
        match outcome {
            Outcome::Answered(_) => {
                let latency = self.now.since(start) + CALLER_TRIP;
                self.figures.latencies.push(latency);
            }
            Outcome::Refused if tries < MOST_ATTEMPTS => self.send(at),
            _ => self.figures.failed += 1,
        }
        self.drain(instance);
    }

    fn measure(&mut self) {
        let now = self.now.since(Time::ZERO);
        let faulty = now >= FAULT_AT;
        for server in 0..SERVERS {
            let row = &self.servers[server];
            let mut load = row.running + row.queue.len() as u32;
            if faulty && self.scenario == Scenario::Lying && self.scenario.hits(server) {
                load = 0;
            }
            let blind = faulty && self.scenario == Scenario::Blind;
            if !row.lost && !blind {
                self.plan(REPORT_LAG, Event::Report(server, load));
            }
        }
        self.repeat(REPORT_EVERY, Event::Measure);
    }

    fn lose(&mut self) {
        let scenario = self.scenario;
        for server in (0..SERVERS).filter(|s| scenario.hits(*s)) {
            self.servers[server].lost = true;
            for request in std::mem::take(&mut self.servers[server].queue) {
                self.reply(request, Outcome::Failed);
            }
        }
    }

    fn left_over(&self) -> Vec<Backend> {
        let kept = self.backends.iter().zip(&self.servers);
        let kept = kept.filter(|(_, server)| !server.lost);
        kept.map(|(backend, _)| backend.clone()).collect()
    }

    fn is_lost(&self, region: usize) -> bool {
        self.servers[region].lost
    }

    fn note_fill(&mut self, server: usize) {
        let region = &self.backends[server].region;
        let (mut taken, mut slots) = (0, 0);
        for (backend, server) in self.backends.iter().zip(&self.servers) {
            if backend.region == *region && !server.lost {
                taken += server.running + server.queue.len() as u32;
                slots += backend.slots;
            }
        }
        if slots > 0 {
            let fill = f64::from(taken) / f64::from(slots);
            self.figures.fill = self.figures.fill.max(fill);
        }
    }
}

fn backend(at: usize) -> Backend {
    let region = format!("r{}", at % REGIONS);
    let side = at / REGIONS % 2;
    Backend {
        id: format!("finder-{at}")
            .as_str()
            .try_into()
            .expect("a plain name"),
        addr: ([10, 0, 0, at as u8], 80).into(),
        service: "finder".try_into().expect("a plain name"),
        version: "v1".try_into().expect("a plain name"),
        domain: format!("{region}-{side}")
            .as_str()
            .try_into()
            .expect("a plain name"),
        region: region.as_str().try_into().expect("a plain name"),
        slots: SLOTS[at % SLOTS.len()],
        presence: Presence::Live,
    }
}
