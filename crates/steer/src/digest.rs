//! What instances tell each other.
//!
//! An instance sends its [`Digest`] to the relay of its failure domain, which
//! merges those of the domain into one [`Summary`] for the other domains and
//! passes theirs on. Field names are short, since bytes between failure
//! domains cost.

use std::sync::Arc;

use corianderway_model::FailureDomain;
use corianderway_model::InstanceId;
use corianderway_model::Presence;
use corianderway_model::Service;
use serde::Deserialize;
use serde::Serialize;

/// Requests a second that callers want, by the hash of the client account.
pub type Demands = Vec<(u32, f32)>;

/// The work that callers offer, in slots that it keeps busy, by the hash of
/// the service.
pub type Works = Vec<(u32, f32)>;

/// Signatures of requests that broke connections, with the hashes of the
/// backend servers at which they did.
pub type Breaks = Vec<(u64, Vec<u32>)>;

/// What one instance tells another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// An instance's own state, for the relay of its failure domain.
    #[serde(rename = "d")]
    Digest(Arc<Digest>),
    /// The state of a failure domain.
    #[serde(rename = "s")]
    Summary(Arc<Summary>),
    /// A request for a token, to the relay of the failure domain.
    #[serde(rename = "a")]
    Ask(Ask),
    /// What the relay answers.
    #[serde(rename = "l")]
    Lend(Lend),
}

/// Asks for a token of a client account for one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// The instance that asks.
    #[serde(rename = "i")]
    pub from: InstanceId,
    /// The number of its request.
    #[serde(rename = "r")]
    pub request: u64,
    /// The hash of the client account.
    #[serde(rename = "a")]
    pub account: u32,
}

/// Says whether a token is lent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lend {
    /// The number of the request, as it was asked.
    #[serde(rename = "r")]
    pub request: u64,
    /// The hash of the client account.
    #[serde(rename = "a")]
    pub account: u32,
    /// The time until there may be a token, in milliseconds; none if one is lent.
    #[serde(rename = "w")]
    pub wait_ms: Option<u32>,
}

/// One instance's state, as it tells it once a second and after important changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// The instance.
    #[serde(rename = "i")]
    pub from: InstanceId,
    /// Drawn at its start.
    #[serde(rename = "r")]
    pub run: u64,
    /// The number of the digest within the run.
    #[serde(rename = "n")]
    pub number: u64,
    /// Whether it stays.
    #[serde(rename = "p")]
    pub presence: Presence,
    /// Whether it serves callers.
    #[serde(rename = "s")]
    pub ready: bool,
    /// Whether it reaches the store itself.
    #[serde(rename = "k")]
    pub stored: bool,
    /// The latest change in the store that it has seen.
    #[serde(rename = "v")]
    pub revision: u64,
    /// Requests a second that it takes, of all client accounts and of none.
    #[serde(rename = "q")]
    pub rate: f32,
    /// What callers want of it.
    #[serde(rename = "d")]
    pub demands: Demands,
    /// The work that they offer.
    #[serde(rename = "w")]
    pub works: Works,
    /// What it has seen of moves to new versions.
    #[serde(rename = "m")]
    pub moves: Vec<Sighting>,
    /// Requests that broke connections.
    #[serde(rename = "c")]
    pub crashes: Breaks,
}

/// The state of a failure domain, as its relay tells it twice a second and
/// after important changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// The relay.
    #[serde(rename = "i")]
    pub from: InstanceId,
    /// Drawn at the relay's start.
    #[serde(rename = "r")]
    pub run: u64,
    /// The number of the summary within the run.
    #[serde(rename = "n")]
    pub number: u64,
    /// The failure domain.
    #[serde(rename = "z")]
    pub domain: FailureDomain,
    /// Whether the relay has not heard the whole domain yet.
    #[serde(rename = "g")]
    pub partial: bool,
    /// The instances that were heard lately, sorted by hash.
    #[serde(rename = "s")]
    pub standings: Vec<Standing>,
    /// The latest change in the store that one of them has seen.
    #[serde(rename = "v")]
    pub revision: u64,
    /// Requests a second that they take together.
    #[serde(rename = "q")]
    pub rate: f32,
    /// What callers want of them together.
    #[serde(rename = "d")]
    pub demands: Demands,
    /// The work that they offer together.
    #[serde(rename = "w")]
    pub works: Works,
    /// What they have seen of moves, together.
    #[serde(rename = "m")]
    pub moves: Vec<Sighting>,
    /// Requests that broke connections.
    #[serde(rename = "c")]
    pub crashes: Breaks,
}

/// How an instance stands: the hash of its name, the number of its last digest
/// in the summary, and flags.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Standing(u32, u64, u8);

/// The flag of an instance that serves callers and stays.
const SERVES: u8 = 1;

/// The flag of an instance that reaches the store itself.
const STORED: u8 = 2;

/// The flag of an instance that stops.
const LEAVES: u8 = 4;

/// What has been seen of one move to a new version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sighting {
    /// The service.
    #[serde(rename = "s")]
    pub service: Service,
    /// The identity of the order.
    #[serde(rename = "o")]
    pub order: u64,
    /// The time since the order was first seen, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u64,
    /// The number of the phase, in the order in which they follow.
    #[serde(rename = "p")]
    pub phase: u8,
    /// Answers of the target, by route.
    #[serde(rename = "t")]
    pub target: Vec<Tally>,
    /// Answers of the old version, by route.
    #[serde(rename = "b")]
    pub base: Vec<Tally>,
    /// Requests that the old version runs.
    #[serde(rename = "f")]
    pub old_open: u32,
    /// Requests sent to the target since the order.
    #[serde(rename = "x", default)]
    pub exposed: u32,
    /// Requests sent to the service since the order.
    #[serde(rename = "n", default)]
    pub sent: u32,
    /// Requests since the order whose times can be compared, by the target's servers.
    #[serde(rename = "y", default)]
    pub target_times: Vec<Timed>,
    /// The same of the old version's servers.
    #[serde(rename = "z", default)]
    pub base_times: Vec<Timed>,
}

/// Requests of one backend server whose times can be compared with the usual
/// one: the hash of its name, all of them, and those that took much longer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Timed(u32, u32, u32);

/// Answers of one version on one route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// The hash of the route's name.
    #[serde(rename = "r")]
    pub route: u32,
    /// All answers and failures.
    #[serde(rename = "n")]
    pub all: u32,
    /// Those that were failures.
    #[serde(rename = "x")]
    pub bad: u32,
    /// Requests whose time can be compared with the usual one.
    #[serde(rename = "t", default)]
    pub timed: u32,
    /// Those that took much longer than usual.
    #[serde(rename = "s", default)]
    pub slow: u32,
}

impl Standing {
    /// How the sender of a digest stands; `hash` is that of its name.
    pub(crate) fn new(hash: u32, digest: &Digest) -> Self {
        let leaves = digest.presence == Presence::Leaving;
        let flag = |holds: bool, flag: u8| if holds { flag } else { 0 };
        let flags = flag(digest.ready && !leaves, SERVES)
            | flag(digest.stored, STORED)
            | flag(leaves, LEAVES);
        Self(hash, digest.number, flags)
    }

    /// The hash of the instance's name.
    pub fn hash(self) -> u32 {
        self.0
    }

    /// The number of its last digest in the summary.
    pub fn number(self) -> u64 {
        self.1
    }

    /// Whether it serves callers, and stays.
    pub fn serves(self) -> bool {
        self.2 & SERVES != 0
    }

    /// Whether it reaches the store itself.
    pub fn is_stored(self) -> bool {
        self.2 & STORED != 0
    }

    /// Whether it stops.
    pub fn leaves(self) -> bool {
        self.2 & LEAVES != 0
    }
}

impl Summary {
    /// How an instance stands, by the hash of its name.
    pub fn standing(&self, hash: u32) -> Option<Standing> {
        let at = self.standings.binary_search_by_key(&hash, |s| s.hash());
        at.ok().map(|at| self.standings[at])
    }
}

impl Sighting {
    /// Adds what another instance has seen of the same move.
    pub(crate) fn absorb(&mut self, other: &Self) {
        self.age_ms = self.age_ms.max(other.age_ms);
        self.exposed += other.exposed;
        self.sent += other.sent;
        for timed in &other.target_times {
            timed.add_to(&mut self.target_times);
        }
        for timed in &other.base_times {
            timed.add_to(&mut self.base_times);
        }
        if other.phase == self.phase {
            self.old_open += other.old_open;
            for tally in &other.target {
                tally.add_to(&mut self.target);
            }
            for tally in &other.base {
                tally.add_to(&mut self.base);
            }
        } else {
            // One that is still in an earlier phase may send to the old version.
            self.old_open += other.old_open.max(1);
        }
    }
}

impl Timed {
    /// One request of a server; `hash` is that of its name.
    pub(crate) fn new(hash: u32, slow: bool) -> Self {
        Self(hash, 1, u32::from(slow))
    }

    /// The hash of the server's name.
    pub(crate) fn server(self) -> u32 {
        self.0
    }

    /// All requests.
    pub(crate) fn all(self) -> u32 {
        self.1
    }

    /// Those that took much longer than usual.
    pub(crate) fn slow(self) -> u32 {
        self.2
    }

    /// The part of them that did.
    pub(crate) fn ratio(self) -> f64 {
        f64::from(self.2) / f64::from(self.1.max(1))
    }

    /// Adds to the row of the same server; rows are sorted by server.
    pub(crate) fn add_to(self, rows: &mut Vec<Self>) {
        match rows.binary_search_by_key(&self.0, |row| row.0) {
            Ok(at) => {
                rows[at].1 += self.1;
                rows[at].2 += self.2;
            }
            Err(at) => rows.insert(at, self),
        }
    }
}

impl Tally {
    /// Adds to the tally of the same route.
    pub(crate) fn add_to(self, tallies: &mut Vec<Self>) {
        match tallies.iter_mut().find(|t| t.route == self.route) {
            Some(tally) => {
                tally.all += self.all;
                tally.bad += self.bad;
                tally.timed += self.timed;
                tally.slow += self.slow;
            }
            None => tallies.push(self),
        }
    }
}
