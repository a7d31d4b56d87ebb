//! An entry instance that routes by one policy.

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

// How long the plain policies leave out a backend server that refused.
const DOWN: Duration = Duration::from_secs(10);
// Requests a second that one instance may send to other regions.
const SHIFT: f64 = 30.0;

/// A request that is about to be sent.
#[derive(Debug)]
pub struct Routed {
    /// The place of the backend server.
    pub server: usize,
    ticket: Option<Ticket>,
}

/// An entry instance.
#[derive(Debug)]
pub struct Instance {
    policy: Policy,
    region: Region,
    domain: FailureDomain,
    backends: Vec<Backend>,
    fleet: Fleet,
    router: Router,
    turn: usize,
    own: Vec<u32>,
    down: Vec<Time>,
    shift: f64,
    filled: Time,
}

impl Instance {
    /// Sets up an instance in a region.
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
            turn: 0,
            own: vec![0; list.len()],
            down: vec![Time::ZERO; list.len()],
            shift: 0.0,
            filled: Time::ZERO,
            backends: list.to_vec(),
        }
    }

    /// Its region.
    pub fn region(&self) -> &Region {
        &self.region
    }

    /// Its failure domain.
    pub fn domain(&self) -> &FailureDomain {
        &self.domain
    }

    /// Chooses a backend server.
    pub fn route(&mut self, draw: u64, tried: &[usize], start: Time, now: Time) -> Option<Routed> {
        if self.policy == Policy::Routing {
            return self.decide(draw, tried, start, now);
        }
        let server = self.plain(tried, now)?;
        self.own[server] += 1;
        let ticket = None;
        Some(Routed { server, ticket })
    }

    /// Notes the end of a request.
    pub fn finish(&mut self, routed: Routed, outcome: Outcome, now: Time) {
        if let Some(ticket) = routed.ticket {
            self.fleet.finish(ticket, outcome, now);
            return;
        }
        self.own[routed.server] -= 1;
        if outcome == Outcome::Refused {
            self.down[routed.server] = now + DOWN;
        }
    }

    /// Takes a load report.
    pub fn report(&mut self, server: usize, load: u32, now: Time) {
        let id = &self.backends[server].id;
        self.fleet.report(id, Report::Load(load), now);
    }

    /// Takes an instance list.
    pub fn sync(&mut self, list: &[Backend], now: Time) {
        self.fleet.sync(list, now);
        for (at, backend) in self.backends.iter().enumerate() {
            if !list.contains(backend) {
                self.down[at] = Time::from_nanos(u64::MAX);
            }
        }
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Time) {
        self.fleet.tick(now);
    }

    fn decide(&mut self, draw: u64, tried: &[usize], start: Time, now: Time) -> Option<Routed> {
        let passed = now.since(self.filled).as_secs_f64();
        self.shift = (self.shift + passed * SHIFT).min(SHIFT);
        self.filled = now;
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
        let shift = &mut self.shift;
        let may_shift = |_: &Region| {
            let allowed = *shift >= 1.0;
            *shift -= f64::from(u8::from(allowed));
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

    // Round robin or least connections over the live ones of the region, and
    // over all live ones when the region has none.
    fn plain(&mut self, tried: &[usize], now: Time) -> Option<usize> {
        self.turn += 1;
        let count = self.backends.len();
        let live = |at: &usize| self.down[*at] <= now && !tried.contains(at);
        let all: Vec<usize> = (0..count).filter(live).collect();
        let near = |at: &usize| self.backends[*at].region == self.region;
        let mut home: Vec<usize> = all.iter().copied().filter(near).collect();
        if home.is_empty() {
            home = all;
        }
        let turn = self.turn % home.len().max(1);
        home.rotate_left(turn);
        let fill = |at: &usize| f64::from(self.own[*at]) / f64::from(self.backends[*at].slots);
        match self.policy {
            Policy::LeastConnections => home.into_iter().min_by(|a, b| fill(a).total_cmp(&fill(b))),
            _ => home.first().copied(),
        }
    }
}
