//! The choice of version and backend server within one region.

use corianderway_model::Priority;

use crate::fleet::Fleet;
use crate::fleet::Handle;
use crate::group::Group;
use crate::group::Occupancy;
use crate::group::Pool;
use crate::hash;
use crate::query::Decision;
use crate::query::Query;
use crate::query::Reach;
use crate::query::Refusal;
use crate::query::Why;
use crate::router::Router;
use crate::server::Server;

// Backend servers drawn for each choice.
const DRAWN: usize = 3;
// Up to this many are compared without a draw.
const SCANNED: usize = 16;
// The latency, in seconds, expected when nothing was measured yet.
const UNKNOWN_LATENCY: f64 = 0.010;
// Latencies up to this many times the pool's mean are taken for the mean.
const NOISE: f64 = 1.5;
// The part of its latency that an idle backend server costs.
const IDLE_PART: f64 = 0.5;
// Round trip in seconds to another failure domain of the same region.
const DOMAIN_TRIP: f64 = 0.002;
// Requests that each class may have in flight, over the slots: a short queue
// costs less than a slot that idles while a request waits far from it.
const URGENT_FILL: f64 = 1.5;
const NORMAL_FILL: f64 = 1.25;
const DEFERRABLE_FILL: f64 = 0.8;

/// One request's search for a backend server.
#[derive(Debug)]
pub(crate) struct Search<'a> {
    router: &'a Router,
    fleet: &'a Fleet,
    query: &'a Query<'a>,
    draw: u64,
    // The place of the drawn version in the query.
    version: usize,
}

impl<'a> Search<'a> {
    pub(crate) fn new(
        router: &'a Router,
        fleet: &'a Fleet,
        query: &'a Query<'a>,
        draw: u64,
    ) -> Self {
        Self {
            router,
            fleet,
            query,
            draw,
            version: draw_version(query, hash::mix(draw)),
        }
    }

    pub(crate) fn within(&self, group: &Group, reach: Reach) -> Result<Decision, Refusal> {
        if group.usable == 0 {
            return Err(Refusal::NoServer);
        }
        let trip = self.router.trip(&group.region);
        if self.query.remaining.as_secs_f64() <= trip {
            return Err(Refusal::TooLate);
        }
        let occupancy = group.occupancy(self.fleet.instances);
        if !has_room(occupancy, self.query.priority) {
            return Err(Refusal::Overloaded);
        }
        let choice = self.pools(group, trip)?;
        Ok(Decision {
            server: choice.best.0,
            reach,
            why: choice.why,
            cost: choice.best.1,
            second: choice.second,
            occupancy,
        })
    }

    // Tries the drawn version, then the proven one.
    fn pools(&self, group: &Group, trip: f64) -> Result<Choice, Refusal> {
        let versions = self.query.versions;
        if versions.is_empty() {
            let pool = any_pool(group, hash::mix(self.draw));
            return self.pool(pool.ok_or(Refusal::NoServer)?, trip);
        }
        let drawn = group.pool(versions[self.version].version);
        let choice = drawn.map_or(Err(Refusal::NoServer), |pool| self.pool(pool, trip));
        match choice {
            Err(refusal) if self.version > 0 => {
                let proven = group.pool(versions[0].version);
                proven.map_or(Err(refusal), |pool| self.pool(pool, trip))
            }
            choice => choice,
        }
    }

    fn pool(&self, pool: &Pool, trip: f64) -> Result<Choice, Refusal> {
        let mut tally = Candidates::default();
        if pool.usable.len() > SCANNED {
            let mut draw = self.draw;
            for _ in 0..DRAWN {
                draw = hash::mix(draw);
                let at = pool.usable[hash::place(draw, pool.usable.len())];
                tally.offer(self.weigh(at, pool, trip));
            }
        }
        if let Some(best) = tally.best {
            return Ok(tally.choice(best, Why::Drawn));
        }
        // Begins anywhere, so that equals share the work.
        let start = hash::place(self.draw, pool.usable.len().max(1));
        let (first, second) = pool.usable.split_at(start);
        for at in second.iter().chain(first) {
            tally.offer(self.weigh(*at, pool, trip));
        }
        match tally.best {
            Some(best) if tally.second.is_none() => Ok(tally.choice(best, Why::Only)),
            Some(best) => Ok(tally.choice(best, Why::Scanned)),
            None if tally.is_full => Err(Refusal::Overloaded),
            None => Err(Refusal::NoServer),
        }
    }

    fn weigh(&self, at: u32, pool: &Pool, trip: f64) -> Offer {
        let handle = Handle(at);
        let Some(server) = self.fleet.server(handle) else {
            return Offer::Tried;
        };
        if self.query.tried.contains(&handle) {
            return Offer::Tried;
        }
        if server.is_full() {
            return Offer::Full;
        }
        Offer::Fits(handle, trip + self.cost(server, pool))
    }

    // Expected seconds, weighted by load, to an answer.
    fn cost(&self, server: &Server, pool: &Pool) -> f64 {
        let latency = expected_latency(server.latency, pool.latency);
        let near = server.backend.domain == *self.router.domain();
        let trip = if near { 0.0 } else { DOMAIN_TRIP };
        latency * (IDLE_PART + server.fill()) + trip
    }
}

#[derive(Clone, Copy, Debug)]
enum Offer {
    Tried,
    Full,
    Fits(Handle, f64),
}

#[derive(Debug)]
struct Choice {
    best: (Handle, f64),
    second: Option<(Handle, f64)>,
    why: Why,
}

#[derive(Debug, Default)]
struct Candidates {
    best: Option<(Handle, f64)>,
    second: Option<(Handle, f64)>,
    is_full: bool,
}

impl Candidates {
    fn offer(&mut self, offer: Offer) {
        let (handle, cost) = match offer {
            Offer::Tried => return,
            Offer::Full => {
                self.is_full = true;
                return;
            }
            Offer::Fits(handle, cost) => (handle, cost),
        };
        match self.best {
            Some((best, _)) if best == handle => {}
            Some((_, least)) if least <= cost => {
                if self.second.is_none_or(|(_, second)| cost < second) {
                    self.second = Some((handle, cost));
                }
            }
            best => {
                self.second = best;
                self.best = Some((handle, cost));
            }
        }
    }

    fn choice(&self, best: (Handle, f64), why: Why) -> Choice {
        Choice {
            best,
            second: self.second,
            why,
        }
    }
}

// Seconds; faster than usual and a little slower count as usual, since choosing
// by noise crowds the backend servers that it favours.
fn expected_latency(own: f64, usual: f64) -> f64 {
    let usual = if usual > 0.0 { usual } else { UNKNOWN_LATENCY };
    if own > NOISE * usual {
        own
    } else {
        usual
    }
}

fn has_room(occupancy: Occupancy, priority: Priority) -> bool {
    let fill = match priority {
        Priority::Urgent => URGENT_FILL,
        Priority::Normal => NORMAL_FILL,
        Priority::Deferrable => DEFERRABLE_FILL,
    };
    occupancy.taken + 1.0 <= (occupancy.slots * fill).max(1.0)
}

fn draw_version(query: &Query<'_>, draw: u64) -> usize {
    let total: f64 = query.versions.iter().map(|v| v.weight.max(0.0)).sum();
    let mut left = hash::unit(draw) * total;
    for (at, share) in query.versions.iter().enumerate() {
        left -= share.weight.max(0.0);
        if left < 0.0 {
            return at;
        }
    }
    0
}

// A pool drawn by its part of the usable backend servers.
fn any_pool(group: &Group, draw: u64) -> Option<&Pool> {
    let mut left = hash::place(draw, group.usable.max(1));
    group.pools.iter().find(|pool| {
        let found = left < pool.usable.len();
        left = left.saturating_sub(pool.usable.len());
        found
    })
}
