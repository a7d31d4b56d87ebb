//! Which backend server runs a request: the one expected to answer first.

use std::fmt;
use std::time::Duration;

use corianderway_model::Region;
use corianderway_model::ServerId;
use corianderway_model::Time;

use crate::fleet::Fleet;
use crate::hash;
use crate::lane::Lane;
use crate::pace::Warmth;
use crate::placement::Scope;
use crate::plan::Route;
use crate::server::millis;
use crate::server::Server;
use crate::server::State;
use crate::shift::Drift;

/// What another failure domain costs, in milliseconds: the way there and back,
/// and what the bytes between failure domains are worth.
const DOMAIN_MS: f64 = 25.0;

/// What another region costs, in milliseconds: the way there and back.
const REGION_MS: f64 = 75.0;

/// By how much the lowest rank for an object counts against a server, in
/// milliseconds, so that all instances spread an object in the same order.
const RANK_MS: f64 = 20.0;

/// By how much the owner of an object is preferred to servers that have its
/// state at hand as well, in milliseconds.
const OWNER_MS: f64 = 40.0;

/// The part of its slots up to which a server is idle enough to build up the
/// state of an object that another server has.
const IDLE_PART: f64 = 0.5;

/// How much slower a cold server is.
const COLD_FACTOR: f64 = 2.0;

/// The least wait for a slot that is accepted, as a part of the objective.
const WAIT_PART: f64 = 0.25;

/// How much longer than expected a request is given to be answered in time.
const LATE_FACTOR: f64 = 1.1;

/// What is asked of the fleet for one request.
#[derive(Debug)]
pub(crate) struct Ask<'a> {
    pub(crate) route: &'a Route,
    pub(crate) servers: &'a [ServerId],
    pub(crate) object: Option<u64>,
    pub(crate) tried: &'a [ServerId],
    /// The regions that may run it; each list binds unless it is empty.
    pub(crate) homes: [&'a [Region]; 2],
    pub(crate) lane: &'a Lane,
    /// Where the owners of the service's objects stand.
    pub(crate) scope: &'a Scope,
    pub(crate) left: Duration,
    pub(crate) drift: Drift,
    /// A random number from 0 to 1.
    pub(crate) draw: f64,
}

/// A backend server, and what it is expected to cost, in milliseconds.
#[derive(Clone, Debug)]
pub(crate) struct Choice {
    pub(crate) server: ServerId,
    pub(crate) warmth: Warmth,
    /// Whether it stands in another region.
    pub(crate) away: bool,
    pub(crate) path: f64,
    pub(crate) wait: f64,
    pub(crate) work: f64,
    /// What its failures and slow requests add, and later requests gain.
    pub(crate) risk: f64,
    /// How long another request for the object, with which the server builds
    /// up its state, still runs there.
    pub(crate) builds: Option<Duration>,
    /// The time that an answer of a sound server of its region takes that has
    /// nothing waiting; none where the way or a cold start adds to it.
    pub(crate) usual: Option<f64>,
    pub(crate) occupancy: f64,
    pub(crate) slots: f64,
    /// The servers it was chosen from.
    pub(crate) candidates: usize,
}

/// Why no backend server is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Blocked {
    /// None may run it.
    NoServer,
    /// None of those that may has room.
    Full(Lack),
    /// The best one builds up the state of the object for this long.
    Building(Duration),
    /// None would answer in the time that is left.
    TooLate,
}

/// What leaves no backend server with room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Lack {
    /// Each is full, cold or left alone for a while.
    Turn,
    /// No more requests may run in other regions now.
    Shift,
    /// Those with a turn are busy and not prepared for the object.
    State,
    /// The one that is expected to answer first has too many before.
    Queue,
}

impl Lack {
    /// A name for the log.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Turn => "turn",
            Self::Shift => "shift",
            Self::State => "state",
            Self::Queue => "queue",
        }
    }
}

impl Choice {
    /// The time to its answer, with what it costs besides.
    fn cost(&self) -> f64 {
        self.path + self.wait + self.work + self.risk
    }

    // Whether a request that takes long, for want of state, harms no other.
    fn is_idle(&self) -> bool {
        self.occupancy < self.slots * IDLE_PART
    }

    /// The time that it is expected to take from the sending to the answer.
    pub(crate) fn expected(&self) -> f64 {
        self.wait + self.work
    }
}

impl fmt::Display for Choice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "of:{}/{:?}/away:{}/path:{:.0}/wait:{:.0}/work:{:.0}/risk:{:.0}/occupied:{:.1}",
            self.candidates,
            self.warmth,
            self.away,
            self.path,
            self.wait,
            self.work,
            self.risk,
            self.occupancy
        )
    }
}

impl Fleet {
    /// Chooses the backend server for a request.
    pub(crate) fn choose(&self, now: Time, ask: &Ask<'_>) -> Result<Choice, Blocked> {
        let listed: Vec<&Server> = ask
            .servers
            .iter()
            .filter_map(|id| self.server(id))
            .filter(|server| self.may_run(server, ask))
            .collect();
        if listed.is_empty() {
            return Err(Blocked::NoServer);
        }
        let open: Vec<&Server> = listed
            .iter()
            .copied()
            .filter(|server| self.has_turn(now, server))
            .collect();
        let object = ask.object;
        let owner = object.and_then(|o| ask.scope.owner(&listed, o, self.region()));
        let objective = millis(ask.route.objective);
        let choices = open
            .iter()
            .map(|server| self.weigh(now, server, owner, ask));
        let homely = listed
            .iter()
            .any(|server| server.listed.backend.region == *self.region());
        let mut choices: Vec<Choice> = choices.collect();
        let mut lack = Lack::Turn;
        let homebound = homely && ask.drift == Drift::HomeOnly;
        keep(&mut choices, &mut lack, Lack::Shift, |choice| {
            !(homebound && choice.away)
        });
        keep(&mut choices, &mut lack, Lack::State, |choice| {
            choice.warmth != Warmth::Unknown || choice.is_idle()
        });
        let best = choices.iter().min_by(|a, b| a.cost().total_cmp(&b.cost()));
        let best = best.ok_or(Blocked::Full(lack))?;
        let wait_most = (objective - best.work).max(objective * WAIT_PART);
        if best.wait > wait_most {
            return Err(Blocked::Full(Lack::Queue));
        }
        if best.path + best.expected() * LATE_FACTOR > millis(ask.left) {
            return Err(Blocked::TooLate);
        }
        if let Some(span) = best.builds {
            return Err(Blocked::Building(span));
        }
        let candidates = choices.len();
        Ok(Choice {
            candidates,
            ..best.clone()
        })
    }

    // Whether the rules let a server run the request, now or later.
    fn may_run(&self, server: &Server, ask: &Ask<'_>) -> bool {
        let backend = &server.listed.backend;
        let home = |homes: &[Region]| homes.is_empty() || homes.contains(&backend.region);
        server.state != State::Leaving
            && ask.lane.admits(&backend.version)
            && ask.homes.into_iter().all(home)
            && !self.is_evacuated(&backend.domain)
            && !ask.tried.contains(&backend.id)
    }

    // Whether a server may be given a request right now.
    fn has_turn(&self, now: Time, server: &Server) -> bool {
        if !server.has_window() {
            return false;
        }
        match server.state {
            State::Serving => !server.is_full(now),
            State::Warming => server.cold_next <= now && self.cold_gap(server).is_some(),
            State::Ejected | State::Leaving => false,
        }
    }

    fn weigh(&self, now: Time, server: &Server, owner: Option<u64>, ask: &Ask<'_>) -> Choice {
        let backend = &server.listed.backend;
        let owns = owner == Some(server.hash);
        let warmth = warmth(server, ask.object, owns);
        let objective = millis(ask.route.objective);
        let away = backend.region != *self.region();
        let path = match (away, backend.domain == *self.domain()) {
            _ if owns => 0.0,
            // Requests that run away come home no faster than the shift allows.
            (true, _) if ask.drift == Drift::AwayFirst => 0.0,
            (true, _) => REGION_MS,
            (false, true) => 0.0,
            (false, false) => DOMAIN_MS,
        };
        let pace = |warmth| self.paces.expect(&ask.route.name, objective, warmth);
        let mut work = pace(warmth) * server.slowness(now);
        let known = pace(Warmth::Known) * server.slowness(now);
        let builds = ask
            .object
            .filter(|_| warmth != Warmth::Known)
            .and_then(|object| server.builds(object, now));
        if let Some(rest) = builds {
            work = rest + known;
        }
        if server.state == State::Warming {
            work *= COLD_FACTOR;
        }
        let occupancy = server.occupancy(now, ask.scope.busy(&backend.region));
        let slots = f64::from(backend.slots.max(1));
        let wait = (occupancy - slots + 1.0).max(0.0) * known / slots;
        // Between equals, the server wins that ranks higher for the object, or
        // else one that runs few requests.
        let tie = ask.object.map_or(ask.draw, |object| {
            let rank = hash::rank(object, server.hash);
            RANK_MS * (1.0 - rank as f64 / u64::MAX as f64)
        });
        let crowd = occupancy / slots + tie;
        // What its owner takes longer for an object at first is made up for later.
        let invested = if owns {
            (work - known).max(0.0) + OWNER_MS
        } else {
            0.0
        };
        let learnt = self.paces.is_learnt(&ask.route.name);
        let typical = learnt && !away && wait <= 0.0 && server.state == State::Serving;
        let usual = self.paces.usual(&ask.route.name, objective, warmth);
        let usual = typical.then_some(usual);
        let risk = server.faults() * objective + server.overdue(now) + crowd - invested;
        Choice {
            server: backend.id.clone(),
            warmth,
            away,
            path,
            wait,
            work,
            risk,
            builds: builds.map(|rest| Duration::from_secs_f64(rest / 1_000.0)),
            usual,
            occupancy,
            slots,
            candidates: 0,
        }
    }
}

// Keeps the choices that hold; notes what is lacking if none of them does.
fn keep(
    choices: &mut Vec<Choice>,
    lack: &mut Lack,
    without: Lack,
    holds: impl Fn(&Choice) -> bool,
) {
    if choices.is_empty() {
        return;
    }
    choices.retain(holds);
    if choices.is_empty() {
        *lack = without;
    }
}

fn warmth(server: &Server, object: Option<u64>, owns: bool) -> Warmth {
    match object {
        // Without an object no server is better prepared than another.
        None => Warmth::Known,
        Some(object) if server.knows(object) => Warmth::Known,
        Some(_) if owns => Warmth::Likely,
        Some(_) => Warmth::Unknown,
    }
}
