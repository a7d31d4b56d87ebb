//! Chooses a version and a backend server within one region.
//!
//! The version is drawn by weight. Among the usable backend servers of that
//! version the one of lowest cost is chosen: among a random sample where they
//! are many, and among all of them otherwise.

use corianderway_model::Priority;

use crate::fleet::Fleet;
use crate::fleet::Handle;
use crate::group::Group;
use crate::group::Occupancy;
use crate::group::Pool;
use crate::hash;
use crate::query::Decision;
use crate::query::Query;
use crate::query::Refusal;
use crate::query::RegionReason;
use crate::query::ServerReason;
use crate::router::Router;
use crate::server::Server;

// Number of backend servers in a random sample.
const SAMPLE_SIZE: usize = 3;
// Pools up to this size are scanned instead of sampled.
const MAX_SCANNED: usize = 16;
// Assumed for a pool without a measured latency.
const DEFAULT_LATENCY_S: f64 = 0.010;
// A latency up to this multiple of the pool's mean counts as the mean.
const LATENCY_NOISE_FACTOR: f64 = 1.5;
// Added to the utilization in a cost, so that latency also counts while idle.
const IDLE_UTILIZATION: f64 = 0.5;
// Assumed round-trip time to another failure domain of the same region.
const CROSS_DOMAIN_RTT_S: f64 = 0.002;
// Limits of a region's requests in flight over its slots, by priority. They
// exceed 1 for some priorities since a short queue at the backend servers
// costs less than a slot that idles while a request waits at an instance.
const URGENT_MAX_UTILIZATION: f64 = 1.5;
const NORMAL_MAX_UTILIZATION: f64 = 1.25;
const DEFERRABLE_MAX_UTILIZATION: f64 = 0.8;

/// The inputs that stay the same while one request is routed.
#[derive(Debug)]
pub(crate) struct Search<'a> {
    router: &'a Router,
    fleet: &'a Fleet,
    query: &'a Query<'a>,
    random: u64,
    // Index in `query.versions`.
    version: usize,
}

impl<'a> Search<'a> {
    pub(crate) fn new(
        router: &'a Router,
        fleet: &'a Fleet,
        query: &'a Query<'a>,
        random: u64,
    ) -> Self {
        Self {
            router,
            fleet,
            query,
            random,
            version: pick_version(query, hash::mix(random)),
        }
    }

    pub(crate) fn choose_in(
        &self,
        group: &Group,
        reach: RegionReason,
    ) -> Result<Decision, Refusal> {
        if group.usable == 0 {
            return Err(Refusal::NoServer);
        }
        let rtt = self.router.rtt(&group.region);
        if self.query.remaining.as_secs_f64() <= rtt {
            return Err(Refusal::TooLate);
        }
        let occupancy = group.occupancy(self.fleet.instance_count);
        if !has_room(occupancy, self.query.priority) {
            return Err(Refusal::Overloaded);
        }
        let choice = self.choose_version(group, rtt)?;
        Ok(Decision {
            server: choice.best.0,
            region_reason: reach,
            server_reason: choice.server_reason,
            cost: choice.best.1,
            runner_up: choice.runner_up,
            occupancy,
        })
    }

    // Tries the picked version, then the first one of the query.
    fn choose_version(&self, group: &Group, rtt: f64) -> Result<Choice, Refusal> {
        let versions = self.query.versions;
        if versions.is_empty() {
            let pool = pick_pool(group, hash::mix(self.random));
            return self.choose_server(pool.ok_or(Refusal::NoServer)?, rtt);
        }
        let picked = group.pool(versions[self.version].version);
        let choice = picked.map_or(Err(Refusal::NoServer), |pool| self.choose_server(pool, rtt));
        match choice {
            Err(refusal) if self.version > 0 => {
                let fallback = group.pool(versions[0].version);
                fallback.map_or(Err(refusal), |pool| self.choose_server(pool, rtt))
            }
            choice => choice,
        }
    }

    fn choose_server(&self, pool: &Pool, rtt: f64) -> Result<Choice, Refusal> {
        let mut top = Ranking::default();
        if pool.usable.len() > MAX_SCANNED {
            let mut random = self.random;
            for _ in 0..SAMPLE_SIZE {
                random = hash::mix(random);
                let index = pool.usable[hash::index_below(random, pool.usable.len())];
                top.add(self.evaluate(index, pool, rtt));
            }
        }
        if let Some(best) = top.best {
            return Ok(top.choice(best, ServerReason::Drawn));
        }
        // Starts at a random index, so that ties don't always go to the same one.
        let offset = hash::index_below(self.random, pool.usable.len().max(1));
        let (head, tail) = pool.usable.split_at(offset);
        for index in tail.iter().chain(head) {
            top.add(self.evaluate(*index, pool, rtt));
        }
        match top.best {
            Some(best) if top.runner_up.is_none() => Ok(top.choice(best, ServerReason::Only)),
            Some(best) => Ok(top.choice(best, ServerReason::Scanned)),
            None if top.is_full => Err(Refusal::Overloaded),
            None => Err(Refusal::NoServer),
        }
    }

    fn evaluate(&self, index: u32, pool: &Pool, rtt: f64) -> Candidate {
        let handle = Handle(index);
        let Some(server) = self.fleet.server(handle) else {
            return Candidate::Excluded;
        };
        if self.query.tried.contains(&handle) {
            return Candidate::Excluded;
        }
        if server.is_full() {
            return Candidate::Full;
        }
        Candidate::Eligible(handle, rtt + self.cost(server, pool))
    }

    // The expected latency in seconds, weighted by utilization, plus the trip to
    // another failure domain.
    fn cost(&self, server: &Server, pool: &Pool) -> f64 {
        let latency = expected_latency(server.latency, pool.latency);
        let is_same_domain = server.backend.domain == *self.router.domain();
        let rtt = if is_same_domain {
            0.0
        } else {
            CROSS_DOMAIN_RTT_S
        };
        latency * (IDLE_UTILIZATION + server.utilization()) + rtt
    }
}

// What a search makes of one backend server.
#[derive(Clone, Copy, Debug)]
enum Candidate {
    Excluded,
    Full,
    Eligible(Handle, f64),
}

#[derive(Debug)]
struct Choice {
    best: (Handle, f64),
    runner_up: Option<(Handle, f64)>,
    server_reason: ServerReason,
}

// The two candidates of lowest cost so far.
#[derive(Debug, Default)]
struct Ranking {
    best: Option<(Handle, f64)>,
    runner_up: Option<(Handle, f64)>,
    is_full: bool,
}

impl Ranking {
    fn add(&mut self, candidate: Candidate) {
        let (handle, cost) = match candidate {
            Candidate::Excluded => return,
            Candidate::Full => {
                self.is_full = true;
                return;
            }
            Candidate::Eligible(handle, cost) => (handle, cost),
        };
        match self.best {
            Some((best, _)) if best == handle => {}
            Some((_, lowest)) if lowest <= cost => {
                if self.runner_up.is_none_or(|(_, runner_up)| cost < runner_up) {
                    self.runner_up = Some((handle, cost));
                }
            }
            best => {
                self.runner_up = best;
                self.best = Some((handle, cost));
            }
        }
    }

    fn choice(&self, best: (Handle, f64), server_reason: ServerReason) -> Choice {
        Choice {
            best,
            runner_up: self.runner_up,
            server_reason,
        }
    }
}

// Returns the mean latency of the pool in seconds unless the measured one is
// clearly higher. Choosing by smaller differences, which are mostly noise, would
// crowd the backend servers that they favour.
fn expected_latency(measured: f64, typical: f64) -> f64 {
    let typical = if typical > 0.0 {
        typical
    } else {
        DEFAULT_LATENCY_S
    };
    if measured > LATENCY_NOISE_FACTOR * typical {
        measured
    } else {
        typical
    }
}

fn has_room(occupancy: Occupancy, priority: Priority) -> bool {
    let limit = match priority {
        Priority::Urgent => URGENT_MAX_UTILIZATION,
        Priority::Normal => NORMAL_MAX_UTILIZATION,
        Priority::Deferrable => DEFERRABLE_MAX_UTILIZATION,
    };
    occupancy.in_flight + 1.0 <= (occupancy.slots * limit).max(1.0)
}

fn pick_version(query: &Query<'_>, random: u64) -> usize {
    let total: f64 = query.versions.iter().map(|v| v.weight.max(0.0)).sum();
    let mut rest = hash::unit(random) * total;
    for (index, share) in query.versions.iter().enumerate() {
        rest -= share.weight.max(0.0);
        if rest < 0.0 {
            return index;
        }
    }
    0
}

// Picks a pool with a probability proportional to its usable backend servers.
fn pick_pool(group: &Group, random: u64) -> Option<&Pool> {
    let mut rest = hash::index_below(random, group.usable.max(1));
    group.pools.iter().find(|pool| {
        let found = rest < pool.usable.len();
        rest = rest.saturating_sub(pool.usable.len());
        found
    })
}
