//! Selection of the backend server for a request: the one with the lowest
//! expected cost, in milliseconds until its answer.
//!
//! The cost adds network distance, wait for a slot, service time and a penalty
//! for failures, overdue requests and utilization. Requests for one object
//! prefer the object's owner, which caches its state.

use std::fmt;
use std::time::Duration;

use corianderway_model::Region;
use corianderway_model::ServerId;
use corianderway_model::Time;

use crate::fleet::Fleet;
use crate::hash;
use crate::placement::Placement;
use crate::plan::Route;
use crate::server::millis;
use crate::server::Server;
use crate::server::State;
use crate::service_time::Warmth;
use crate::shift::RegionRule;
use crate::version_filter::VersionFilter;

/// Cost of a server in another failure domain of the region, in milliseconds:
/// the round trip and the price of traffic between failure domains.
const OTHER_DOMAIN_MS: f64 = 25.0;

/// Cost of a server in another region, in milliseconds: the round trip.
const OTHER_REGION_MS: f64 = 75.0;

/// Penalty of the lowest rendezvous rank for an object, in milliseconds. It
/// makes all instances try the servers of an object in the same order.
const MAX_RANK_MS: f64 = 20.0;

/// Advantage of an object's owner over other servers that cache the object's
/// state, in milliseconds.
const OWNER_BENEFIT_MS: f64 = 40.0;

/// Share of its slots up to which a server counts as idle, so that it may build
/// the state of an object that another server has cached.
const IDLE_SHARE: f64 = 0.5;

/// Share of its slots up to which a server runs requests that can only be late, so that those
/// of other instances that can be in time find a free one.
const DEFERRED_SHARE: f64 = 0.5;

/// Factor on the service time at a cold server.
const COLD_FACTOR: f64 = 2.0;

/// Wait for a slot that is always accepted, as a share of the route's
/// target latency.
const ACCEPTED_WAIT_SHARE: f64 = 0.25;

/// Factor on the expected time that must fit into the time left.
const TIME_MARGIN_FACTOR: f64 = 1.1;

/// What a request requires of its backend server.
#[derive(Debug)]
pub(crate) struct Criteria<'a> {
    pub(crate) route: &'a Route,
    pub(crate) servers: &'a [ServerId],
    pub(crate) object: Option<u64>,
    pub(crate) tried: &'a [ServerId],
    /// The regions that the route and the client account permit. Each list
    /// restricts the choice unless it is empty.
    pub(crate) regions: [&'a [Region]; 2],
    pub(crate) version_filter: &'a VersionFilter,
    pub(crate) placement: &'a Placement,
    pub(crate) time_left: Duration,
    pub(crate) region_rule: RegionRule,
    /// Time left to the objective, if the request may wait beyond it.
    pub(crate) objective_left: Option<Duration>,
    /// Whether the request may take only room that others leave idle.
    pub(crate) deferred: bool,
    /// A random number from 0 to 1.
    pub(crate) draw: f64,
}

/// A candidate backend server with its expected costs, in milliseconds.
#[derive(Clone, Debug)]
pub(crate) struct Choice {
    pub(crate) server: ServerId,
    pub(crate) warmth: Warmth,
    /// Whether the server is in another region than this instance.
    pub(crate) remote: bool,
    pub(crate) distance: f64,
    pub(crate) wait: f64,
    pub(crate) work: f64,
    /// The factor in `work` for the speed of the server's machine.
    pub(crate) stretch: f64,
    /// Penalty for failures, overdue requests and utilization, less the benefit
    /// of building the object's state at its owner for later requests.
    pub(crate) penalty: f64,
    /// Time until another request has built the object's state at this server,
    /// if one is building it and a further one would take longer beside it.
    pub(crate) build_left: Option<Duration>,
    /// Time that a healthy server of the same region with a free slot takes to
    /// answer; `None` if distance, a wait or a cold start adds to it.
    pub(crate) typical: Option<f64>,
    pub(crate) occupancy: f64,
    pub(crate) slots: f64,
    /// Number of servers from which this one was chosen.
    pub(crate) candidates: usize,
    /// Whether the answer is expected too late, so that it tests the estimate.
    pub(crate) is_probe: bool,
}

/// Why no backend server is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Blocked {
    /// No server is eligible.
    NoServer,
    /// No eligible server has room.
    Full(FullCause),
    /// The best server is still building the state of the object for this long.
    Building(Duration),
    /// Each eligible server wants no requests for at least this long.
    Paused(Duration),
    /// No server is expected to answer in the time left.
    TooLate,
}

/// Why no eligible server has room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FullCause {
    /// Each one is full, cold or ejected.
    Unavailable,
    /// Only servers of other regions are available, and the limit on shifts
    /// between regions is reached.
    ShiftLimit,
    /// Each available server is busy and has not cached the object's state.
    NotCached,
    /// The wait at the best server is too long.
    LongWait,
}

impl FullCause {
    /// Returns the name that is written to the log.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Unavailable => "turn",
            Self::ShiftLimit => "shift",
            Self::NotCached => "state",
            Self::LongWait => "queue",
        }
    }
}

impl Choice {
    /// Returns the total expected cost, in milliseconds.
    fn cost(&self) -> f64 {
        self.distance + self.wait + self.work + self.penalty
    }

    // Returns whether a request that first builds its object's state delays no
    // others here.
    fn is_idle(&self) -> bool {
        self.occupancy < self.slots * IDLE_SHARE
    }

    /// Returns the expected time from sending to the answer, in milliseconds.
    pub(crate) fn expected(&self) -> f64 {
        self.wait + self.work
    }
}

impl fmt::Display for Choice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "of:{}/{:?}/away:{}/path:{:.0}/wait:{:.0}/work:{:.0}/stretch:{:.2}/risk:{:.0}/\
             occupied:{:.1}/probe:{}",
            self.candidates,
            self.warmth,
            self.remote,
            self.distance,
            self.wait,
            self.work,
            self.stretch,
            self.penalty,
            self.occupancy,
            self.is_probe
        )
    }
}

impl Fleet {
    /// Chooses the backend server with the lowest expected cost.
    ///
    /// # Errors
    ///
    /// Returns why the request can't be sent now.
    pub(crate) fn choose(&self, now: Time, criteria: &Criteria<'_>) -> Result<Choice, Blocked> {
        let permitted = criteria.servers.iter().filter_map(|id| self.server(id));
        let permitted = permitted.filter(|server| self.is_permitted(server, criteria));
        let permitted: Vec<&Server> = permitted.collect();
        let is_out = |server: &Server| matches!(server.state, State::Leaving | State::Resigned);
        let mut eligible = permitted.clone();
        eligible.retain(|server| !is_out(server));
        if eligible.is_empty() {
            // All of them leave at once: those that still serve are better than none.
            eligible = permitted;
            eligible.retain(|server| server.has_just_resigned(now));
        }
        if eligible.is_empty() {
            return Err(Blocked::NoServer);
        }
        let pauses = eligible.iter().map(|server| server.pause_left(now));
        let shortest = pauses.min().unwrap_or_default();
        if !shortest.is_zero() {
            return Err(Blocked::Paused(shortest));
        }
        let mut willing = eligible.clone();
        willing.retain(|server| server.pause_left(now).is_zero());
        let available: Vec<&Server> = willing
            .iter()
            .copied()
            .filter(|server| self.is_available(now, server))
            .collect();
        let object = criteria.object;
        let owner = object.and_then(|o| criteria.placement.owner(&willing, o, self.region()));
        let target_latency = millis(criteria.route.target_latency);
        let choices = available
            .iter()
            .map(|server| self.estimate(now, server, owner, criteria));
        let has_local = eligible
            .iter()
            .any(|server| server.listed.backend.region == *self.region());
        let mut choices: Vec<Choice> = choices.collect();
        let mut cause = FullCause::Unavailable;
        let local_only = has_local && criteria.region_rule == RegionRule::LocalOnly;
        retain_choices(&mut choices, &mut cause, FullCause::ShiftLimit, |choice| {
            !(local_only && choice.remote)
        });
        // A run that first builds the state of an object takes several times the room and drops
        // other objects. One that is late for it anyway waits for the owner.
        let owner_serves = willing
            .iter()
            .any(|server| owner == Some(server.hash) && server.state == State::Serving);
        let objective_left = criteria.objective_left.filter(|_| owner_serves);
        retain_choices(&mut choices, &mut cause, FullCause::NotCached, |choice| {
            let too_late = objective_left.is_some_and(|left| choice.work > millis(left));
            choice.warmth != Warmth::Unknown || (choice.is_idle() && !too_late)
        });
        retain_choices(&mut choices, &mut cause, FullCause::LongWait, |choice| {
            !criteria.deferred || choice.occupancy < choice.slots * DEFERRED_SHARE
        });
        let best = choices.iter().min_by(|a, b| a.cost().total_cmp(&b.cost()));
        let best = best.ok_or(Blocked::Full(cause))?;
        let max_wait = (target_latency - best.work).max(target_latency * ACCEPTED_WAIT_SHARE);
        if best.wait > max_wait {
            return Err(Blocked::Full(FullCause::LongWait));
        }
        let is_probe =
            best.distance + best.expected() * TIME_MARGIN_FACTOR > millis(criteria.time_left);
        if is_probe && !self.may_probe(now, best, criteria) {
            return Err(Blocked::TooLate);
        }
        if let Some(span) = best.build_left {
            return Err(Blocked::Building(span));
        }
        let candidates = choices.len();
        Ok(Choice {
            candidates,
            is_probe,
            // The end of a probe says more about the estimate than about the version.
            typical: best.typical.filter(|_| !is_probe),
            ..best.clone()
        })
    }

    // Returns whether a request that is expected to end too late tests the estimate for its
    // route. What a server's slowness, a wait or a cold period adds passes without a test.
    fn may_probe(&self, now: Time, choice: &Choice, criteria: &Criteria<'_>) -> bool {
        let (route, warmth) = (criteria.route, choice.warmth);
        let times = &self.service_times;
        let estimate = times.expected(&route.name, millis(route.target_latency), warmth);
        let estimated = choice.distance + estimate * TIME_MARGIN_FACTOR;
        estimated > millis(criteria.time_left) && times.may_probe(now, &route.name, warmth)
    }

    // Returns whether the server may run the request, regardless of its state and its
    // current load.
    fn is_permitted(&self, server: &Server, criteria: &Criteria<'_>) -> bool {
        let backend = &server.listed.backend;
        let permits = |regions: &[Region]| regions.is_empty() || regions.contains(&backend.region);
        criteria.version_filter.admits(&backend.version)
            && criteria.regions.into_iter().all(permits)
            && !self.is_evacuated(&backend.domain)
            && !criteria.tried.contains(&backend.id)
    }

    // Returns whether the server can accept a request now.
    fn is_available(&self, now: Time, server: &Server) -> bool {
        if !server.has_window() {
            return false;
        }
        match server.state {
            // A resigned one is eligible only if the service has no other.
            State::Serving | State::Resigned => !server.is_full(now),
            State::Warming => server.cold_next <= now && self.cold_wait(server).is_some(),
            State::Ejected | State::Leaving => false,
        }
    }

    fn estimate(
        &self,
        now: Time,
        server: &Server,
        owner: Option<u64>,
        criteria: &Criteria<'_>,
    ) -> Choice {
        let backend = &server.listed.backend;
        let owns = owner == Some(server.hash);
        let warmth = warmth(server, criteria.object, owns);
        let target_latency = millis(criteria.route.target_latency);
        let remote = backend.region != *self.region();
        let distance = match (remote, backend.domain == *self.domain()) {
            _ if owns => 0.0,
            // No distance penalty: requests must not return to this region
            // faster than the limit on shifts permits.
            (true, _) if criteria.region_rule == RegionRule::RemoteFirst => 0.0,
            (true, _) => OTHER_REGION_MS,
            (false, true) => 0.0,
            (false, false) => OTHER_DOMAIN_MS,
        };
        let service_time = |warmth| {
            self.service_times
                .expected(&criteria.route.name, target_latency, warmth)
        };
        let stretch = self.machine_speeds.factor(now, server.stretch());
        let slowness = server.slowness(now) * stretch;
        let known = service_time(Warmth::Known) * slowness;
        let build_left = criteria
            .object
            .filter(|_| warmth != Warmth::Known)
            .and_then(|object| server.build_left(object, now));
        let (warmth, build_left) = match build_left {
            // A request that runs beside the first one may be as fast as later ones.
            Some(remaining) if service_time(Warmth::Building) * slowness <= remaining + known => {
                (Warmth::Building, None)
            }
            _ => (warmth, build_left),
        };
        let mut work = build_left.map_or_else(
            || service_time(warmth) * slowness,
            |remaining| remaining + known,
        );
        if server.state == State::Warming {
            work *= COLD_FACTOR;
        }
        let occupancy = server.occupancy(now, criteria.placement.utilization(&backend.region));
        let slots = f64::from(backend.slots.max(1));
        let wait = (occupancy - slots + 1.0).max(0.0) * known / slots;
        // Breaks ties by the rank for the object or, without one, by utilization
        // and then at random.
        let tie_break = criteria.object.map_or(criteria.draw, |object| {
            let rank = hash::rank(object, server.hash);
            MAX_RANK_MS * (1.0 - rank as f64 / u64::MAX as f64)
        });
        let load_penalty = occupancy / slots + tie_break;
        // The extra time of the first request at the owner pays off for later
        // requests.
        let owner_benefit = if owns {
            (work - known).max(0.0) + OWNER_BENEFIT_MS
        } else {
            0.0
        };
        let measured = self.service_times.is_measured(&criteria.route.name);
        let comparable = measured && !remote && wait <= 0.0 && server.state == State::Serving;
        let typical = self
            .service_times
            .typical(&criteria.route.name, target_latency, warmth);
        let typical = comparable.then_some(typical);
        let penalty = server.failure_rate() * target_latency + server.overdue(now) + load_penalty
            - owner_benefit;
        Choice {
            server: backend.id.clone(),
            warmth,
            remote,
            distance,
            wait,
            work,
            stretch,
            penalty,
            build_left: build_left.map(|remaining| Duration::from_secs_f64(remaining / 1_000.0)),
            typical,
            occupancy,
            slots,
            candidates: 0,
            is_probe: false,
        }
    }
}

// Drops the choices for which `holds` is false; if that leaves none, sets the
// cause.
fn retain_choices(
    choices: &mut Vec<Choice>,
    cause: &mut FullCause,
    cause_if_none: FullCause,
    holds: impl Fn(&Choice) -> bool,
) {
    if choices.is_empty() {
        return;
    }
    choices.retain(holds);
    if choices.is_empty() {
        *cause = cause_if_none;
    }
}

fn warmth(server: &Server, object: Option<u64>, owns: bool) -> Warmth {
    match object {
        // Without an object no server has an advantage.
        None => Warmth::Known,
        Some(object) if server.has_object(object) => Warmth::Known,
        Some(_) if owns => Warmth::Likely,
        Some(_) => Warmth::Unknown,
    }
}
