//! A simulated entry instance that routes by one policy.

use std::time::Duration;

use corianderway_model::Backend;
use corianderway_model::FailureDomain;
use corianderway_model::Priority;
use corianderway_model::Region;
use corianderway_model::Time;
use corianderway_routing::Fleet;
use corianderway_routing::Handle;
use corianderway_routing::Outcome;
use corianderway_routing::Query;
use corianderway_routing::Report;
use corianderway_routing::Router;
use corianderway_routing::Ticket;

use crate::sim::Policy;

// How long the simple policies leave out a backend server that refused a connection.
const REFUSED_TIMEOUT: Duration = Duration::from_secs(10);
// Rate and burst of the requests that one instance may send to other regions.
const SHIFT_PER_S: f64 = 30.0;

/// A routed request that is about to be sent.
#[derive(Debug)]
pub struct Routed {
    /// The index of the backend server.
    pub server: usize,
    ticket: Option<Ticket>,
}

/// A simulated entry instance.
#[derive(Debug)]
pub struct Instance {
    policy: Policy,
    region: Region,
    domain: FailureDomain,
    backends: Vec<Backend>,
    fleet: Fleet,
    router: Router,
    next_turn: usize,
    in_flight: Vec<u32>,
    down_until: Vec<Time>,
    shift_tokens: f64,
    last_refill: Time,
}

impl Instance {
    /// Creates an instance in a region with `peers` instances, this one included.
    pub fn new(policy: Policy, region: usize, peers: usize, list: &[Backend]) -> Self {
        let mut fleet = Fleet::new().expect("the chart loads");
        fleet.set_instances(peers);
        fleet.sync(list, Time::ZERO);
        let (region, domain) = (list[region].region.clone(), list[region].domain.clone());
        Self {
            policy,
            router: Router::new(region.clone(), domain.clone()),
            region,
            domain,
            fleet,
            next_turn: 0,
            in_flight: vec![0; list.len()],
            down_until: vec![Time::ZERO; list.len()],
            shift_tokens: 0.0,
            last_refill: Time::ZERO,
            backends: list.to_vec(),
        }
    }

    /// Returns its region.
    pub fn region(&self) -> &Region {
        &self.region
    }

    /// Returns its failure domain.
    pub fn domain(&self) -> &FailureDomain {
        &self.domain
    }

    /// Chooses a backend server.
    pub fn route(&mut self, draw: u64, tried: &[usize], start: Time, now: Time) -> Option<Routed> {
        if self.policy == Policy::Routing {
            return self.route_by_package(draw, tried, start, now);
        }
        let server = self.route_simply(tried, now)?;
        self.in_flight[server] += 1;
        let ticket = None;
        Some(Routed { server, ticket })
    }

    /// Records the outcome of a request.
    pub fn finish(&mut self, routed: Routed, outcome: Outcome, now: Time) {
        if let Some(ticket) = routed.ticket {
            self.fleet.finish(ticket, outcome, now);
            return;
        }
        self.in_flight[routed.server] -= 1;
        if outcome == Outcome::Refused {
            self.down_until[routed.server] = now + REFUSED_TIMEOUT;
        }
    }

    /// Records a load report.
    pub fn report(&mut self, server: usize, load: u32, now: Time) {
        let id = &self.backends[server].id;
        self.fleet.record_report(id, Report::Load(load), now);
    }

    /// Merges an instance list.
    pub fn sync(&mut self, list: &[Backend], now: Time) {
        self.fleet.sync(list, now);
        for (at, backend) in self.backends.iter().enumerate() {
            if !list.contains(backend) {
                self.down_until[at] = Time::from_nanos(u64::MAX);
            }
        }
    }

    /// Updates what depends on the time.
    pub fn tick(&mut self, now: Time) {
        self.fleet.tick(now);
    }

    fn route_by_package(
        &mut self,
        draw: u64,
        tried: &[usize],
        start: Time,
        now: Time,
    ) -> Option<Routed> {
        let passed = now.since(self.last_refill).as_secs_f64();
        self.shift_tokens = (self.shift_tokens + passed * SHIFT_PER_S).min(SHIFT_PER_S);
        self.last_refill = now;
        let handle = |at: &usize| self.fleet.find(&self.backends[*at].id);
        let tried: Vec<Handle> = tried.iter().filter_map(handle).collect();
        let query = Query {
            service: &self.backends[0].service,
            home: &self.region,
            versions: &[],
            priority: Priority::Urgent,
            remaining: Duration::from_secs(2),
            tried: &tried,
        };
        let shift_tokens = &mut self.shift_tokens;
        let may_shift = |_: &Region| {
            let allowed = *shift_tokens >= 1.0;
            *shift_tokens -= f64::from(u8::from(allowed));
            allowed
        };
        let waited = now.since(start);
        let router = &self.router;
        let decision = router.route_waiting(&self.fleet, &query, draw, waited, may_shift);
        let chosen = decision.ok()?.server;
        let id = self.fleet.server(chosen)?.id();
        let server = self.backends.iter().position(|b| b.id == *id)?;
        let ticket = Some(self.fleet.begin(chosen));
        Some(Routed { server, ticket })
    }

    // Chooses by round robin or least connections among the live backend servers
    // of the region, or among all live ones when the region has none.
    fn route_simply(&mut self, tried: &[usize], now: Time) -> Option<usize> {
        self.next_turn += 1;
        let count = self.backends.len();
        let live = |at: &usize| self.down_until[*at] <= now && !tried.contains(at);
        let all: Vec<usize> = (0..count).filter(live).collect();
        let near = |at: &usize| self.backends[*at].region == self.region;
        let mut home: Vec<usize> = all.iter().copied().filter(near).collect();
        if home.is_empty() {
            home = all;
        }
        let next_turn = self.next_turn % home.len().max(1);
        home.rotate_left(next_turn);
        let utilization =
            |at: &usize| f64::from(self.in_flight[*at]) / f64::from(self.backends[*at].slots);
        match self.policy {
            Policy::LeastConnections => home
                .into_iter()
                .min_by(|a, b| utilization(a).total_cmp(&utilization(b))),
            _ => home.first().copied(),
        }
    }
}
