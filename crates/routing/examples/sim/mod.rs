//! A discrete-event simulation of backend servers with slots and a queue, and of
//! instances that route by one policy.
//!
//! It runs the routing code of this package on simulated time. The network has
//! fixed delays and loses nothing.

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
use crate::sim::report::Results;
use crate::sim::scenario::Scenario;
use crate::sim::scenario::ARRIVALS_END;
use crate::sim::scenario::FAULT_AT;

/// The number of regions.
pub const REGIONS: usize = 3;
const SERVERS: usize = 13;
const INSTANCES: usize = 10;
const SLOTS: [u32; 4] = [3, 9, 6, 5];
// Mean service time of a request.
const SERVICE_TIME_S: f64 = 0.020;
// Maximum length of the queue of each backend server.
const QUEUE_LENGTH: usize = 100;
const CALLER_RTT: Duration = Duration::from_millis(6);
// One-way delays between an instance and a backend server.
const DOMAIN_DELAY: Duration = Duration::from_millis(1);
const REGION_DELAY: Duration = Duration::from_millis(35);
const LOCAL_DELAY: Duration = Duration::from_micros(100);
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
const REPORT_DELAY: Duration = Duration::from_millis(300);
const TICK_INTERVAL: Duration = Duration::from_millis(100);
// Time from the loss of a region to the instance list without its backend servers.
const LIST_DELAY: Duration = Duration::from_secs(4);
// A request that can't be routed waits at its instance for up to this long.
const WAIT_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_ATTEMPTS: usize = 3;

/// How instances choose a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Each backend server in turn.
    RoundRobin,
    /// The fewest of the instance's own requests in flight over the slots.
    LeastConnections,
    /// The routing of this package.
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
    Arrival,
    AtServer(usize),
    Completed(usize),
    Response(usize),
    Report(usize, u32),
    SendReports,
    Tick,
    LoseRegion,
    InstanceList,
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
    is_down: bool,
}

/// The state of one run.
#[derive(Debug)]
pub struct Sim {
    scenario: Scenario,
    // Used for nothing else, so that every policy gets the same arrivals.
    arrivals: SmallRng,
    rng: SmallRng,
    now: Time,
    count: u64,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    backends: Vec<Backend>,
    servers: Vec<Server>,
    instances: Vec<Instance>,
    requests: Vec<Request>,
    // The requests that wait at each instance, oldest first.
    waiting: Vec<VecDeque<usize>>,
    results: Results,
}

impl Sim {
    /// Creates a run.
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
            results: Results::default(),
            backends,
        };
        sim.schedule(Duration::ZERO, Event::Arrival);
        sim.schedule(Duration::ZERO, Event::SendReports);
        sim.schedule(TICK_INTERVAL, Event::Tick);
        if scenario == Scenario::RegionLost {
            sim.schedule(FAULT_AT, Event::LoseRegion);
            sim.schedule(FAULT_AT + LIST_DELAY, Event::InstanceList);
        }
        sim
    }

    /// Runs until every request has ended.
    pub fn run(mut self) -> Results {
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            self.handle(event);
        }
        self.results
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => self.arrive(),
            Event::AtServer(request) => self.reach_server(request),
            Event::Completed(request) => self.complete(request),
            Event::Response(request) => self.respond(request),
            Event::Report(server, load) => {
                let now = self.now;
                let instances = self.instances.iter_mut();
                instances.for_each(|i| i.report(server, load, now));
            }
            Event::SendReports => self.send_reports(),
            Event::Tick => {
                let now = self.now;
                self.instances.iter_mut().for_each(|i| i.tick(now));
                (0..INSTANCES).for_each(|instance| self.send_waiting(instance));
                self.schedule_until_end(TICK_INTERVAL, Event::Tick);
            }
            Event::LoseRegion => self.lose_region(),
            Event::InstanceList => {
                let remaining: Vec<_> = self.remaining_backends();
                let now = self.now;
                self.instances
                    .iter_mut()
                    .for_each(|i| i.sync(&remaining, now));
            }
        }
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.count += 1;
        let row = (self.now + after, self.count, event);
        self.events.push(Reverse(row));
    }

    fn schedule_until_end(&mut self, after: Duration, event: Event) {
        if self.now.since(Time::ZERO) < ARRIVALS_END {
            self.schedule(after, event);
        }
    }

    fn arrive(&mut self) {
        let slots: u32 = self.backends.iter().map(|b| b.slots).sum();
        let rate = self.scenario.utilization() * f64::from(slots) / SERVICE_TIME_S;
        let gap = -self.arrivals.random::<f64>().max(f64::MIN_POSITIVE).ln() / rate;
        self.schedule_until_end(Duration::from_secs_f64(gap), Event::Arrival);
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

    // Adds a new request behind those that already wait.
    fn send(&mut self, at: usize) {
        let instance = self.requests[at].instance;
        self.waiting[instance].push_back(at);
        self.send_waiting(instance);
    }

    fn send_waiting(&mut self, instance: usize) {
        while let Some(at) = self.waiting[instance].pop_front() {
            let start = self.requests[at].start;
            if self.try_send(at) {
                continue;
            }
            if self.now.since(start) < WAIT_TIMEOUT {
                return self.waiting[instance].push_front(at);
            }
            self.results.refused += 1;
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
        let delay = self.delay(at, server);
        self.schedule(delay, Event::AtServer(at));
        true
    }

    fn delay(&self, request: usize, server: usize) -> Duration {
        let instance = &self.instances[self.requests[request].instance];
        let backend = &self.backends[server];
        if *instance.region() != backend.region {
            REGION_DELAY
        } else if *instance.domain() == backend.domain {
            LOCAL_DELAY
        } else {
            DOMAIN_DELAY
        }
    }

    fn server_of(&self, request: usize) -> usize {
        self.requests[request]
            .routed
            .as_ref()
            .map_or(0, |r| r.server)
    }

    fn reach_server(&mut self, at: usize) {
        let server = self.server_of(at);
        let row = &mut self.servers[server];
        if row.is_down {
            self.reply(at, Outcome::Refused);
        } else if row.running < self.backends[server].slots {
            row.running += 1;
            self.start(at, server);
        } else if row.queue.len() < QUEUE_LENGTH {
            row.queue.push_back(at);
        } else {
            self.reply(at, Outcome::Failed);
        }
        self.record_utilization(server);
    }

    fn start(&mut self, at: usize, server: usize) {
        let slowdown = self.scenario.slowdown(server, self.now.since(Time::ZERO));
        let tail = -self.rng.random::<f64>().max(f64::MIN_POSITIVE).ln();
        let time = SERVICE_TIME_S * (0.5 + 0.5 * tail) * slowdown;
        self.schedule(Duration::from_secs_f64(time), Event::Completed(at));
    }

    fn complete(&mut self, at: usize) {
        let server = self.server_of(at);
        if self.servers[server].is_down {
            return self.reply(at, Outcome::Failed);
        }
        match self.servers[server].queue.pop_front() {
            Some(next) => self.start(next, server),
            None => self.servers[server].running -= 1,
        }
        let now = self.now.since(Time::ZERO);
        let fails = self.scenario == Scenario::Failing && self.scenario.affects(server);
        if fails && now >= FAULT_AT && self.rng.random::<f64>() < 0.8 {
            return self.reply(at, Outcome::Failed);
        }
        self.reply(at, Outcome::Answered(Duration::ZERO));
    }

    fn reply(&mut self, at: usize, outcome: Outcome) {
        self.requests[at].outcome = outcome;
        let delay = self.delay(at, self.server_of(at));
        self.schedule(delay, Event::Response(at));
    }

    fn respond(&mut self, at: usize) {
        let request = &mut self.requests[at];
        let (start, sent) = (request.start, request.sent);
        let outcome = match request.outcome {
            Outcome::Answered(_) => Outcome::Answered(self.now.since(sent)),
            other => other,
        };
        let attempts = request.tried.len();
        let instance = request.instance;
        if let Some(routed) = request.routed.take() {
            self.instances[request.instance].finish(routed, outcome, self.now);
        }
        match outcome {
            Outcome::Answered(_) => {
                let latency = self.now.since(start) + CALLER_RTT;
                self.results.latencies.push(latency);
            }
            Outcome::Refused if attempts < MAX_ATTEMPTS => self.send(at),
            _ => self.results.failed += 1,
        }
        self.send_waiting(instance);
    }

    fn send_reports(&mut self) {
        let now = self.now.since(Time::ZERO);
        let has_fault = now >= FAULT_AT;
        for server in 0..SERVERS {
            let row = &self.servers[server];
            let mut load = row.running + row.queue.len() as u32;
            if has_fault && self.scenario == Scenario::FalseReports && self.scenario.affects(server)
            {
                load = 0;
            }
            let is_silent = has_fault && self.scenario == Scenario::NoReports;
            if !row.is_down && !is_silent {
                self.schedule(REPORT_DELAY, Event::Report(server, load));
            }
        }
        self.schedule_until_end(REPORT_INTERVAL, Event::SendReports);
    }

    fn lose_region(&mut self) {
        let scenario = self.scenario;
        for server in (0..SERVERS).filter(|s| scenario.affects(*s)) {
            self.servers[server].is_down = true;
            for request in std::mem::take(&mut self.servers[server].queue) {
                self.reply(request, Outcome::Failed);
            }
        }
    }

    fn remaining_backends(&self) -> Vec<Backend> {
        let remaining = self.backends.iter().zip(&self.servers);
        let remaining = remaining.filter(|(_, server)| !server.is_down);
        remaining.map(|(backend, _)| backend.clone()).collect()
    }

    fn is_lost(&self, region: usize) -> bool {
        self.servers[region].is_down
    }

    fn record_utilization(&mut self, server: usize) {
        let region = &self.backends[server].region;
        let (mut in_flight, mut slots) = (0, 0);
        for (backend, server) in self.backends.iter().zip(&self.servers) {
            if backend.region == *region && !server.is_down {
                in_flight += server.running + server.queue.len() as u32;
                slots += backend.slots;
            }
        }
        if slots > 0 {
            let utilization = f64::from(in_flight) / f64::from(slots);
            self.results.max_utilization = self.results.max_utilization.max(utilization);
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
