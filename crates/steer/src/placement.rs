//! Which server is the owner of an object for the callers of one place.
//!
//! An owner keeps the state of its objects at hand, so the callers of a region
//! have one for each object. It stands in their region, but for the part of
//! the objects that the region's servers can't carry and others can. Which
//! objects these are follows from hashes, so that all instances agree and few
//! objects move when the work changes.

use corianderway_model::Region;
use corianderway_model::Sorted;

use crate::hash;
use crate::server::Server;
use crate::server::State;
use crate::workload::Offered;

/// The part of its slots that a region's own work may keep busy in any case.
/// Beyond that its servers have more objects than they keep at hand sooner than
/// those of other regions.
const BUSY_LEAST: f64 = 0.3;

/// How much busier than the mean of all regions a region may be.
const BUSY_SPREAD: f64 = 1.1;

/// The part of its slots that a server is taken to be busy with while the work
/// that is offered is not known.
const BUSY_UNKNOWN: f64 = 0.3;

/// A salt, so that whether an object leaves its region is independent of its ranks.
const REGION_SALT: u64 = 0x7265_6769_6f6e;

/// Where the owners of a service's objects stand, for the callers of one place.
#[derive(Clone, Debug, Default)]
pub(crate) struct Scope {
    /// The part of the objects whose owners stand in another region.
    away: f64,
    /// The regions that have room for them.
    open: Vec<Region>,
    /// The part of its slots that the work of its callers keeps busy in each region.
    busy: Sorted<Region, f64>,
    // The part away that the log was last told.
    noted: f64,
}

/// The least change of the part away that is worth a log line.
const NOTED: f64 = 0.05;

impl Scope {
    /// Works out where owners stand, by the work that is offered and the
    /// servers that may carry it.
    ///
    /// The part in other regions changes by no more than `step` from `before`.
    pub(crate) fn new(
        servers: &[&Server],
        offered: &Offered,
        region: &Region,
        before: Option<&Self>,
        step: f64,
    ) -> Self {
        let slots = slots(servers);
        let (wanted, mut open) = spill(&slots, offered, region);
        if open.is_empty() {
            // Those that left come home step by step.
            open = before.map_or(Vec::new(), |before| before.open.clone());
        }
        let away = before.map_or(wanted, |before| {
            wanted.clamp(before.away - step, before.away + step)
        });
        let busy = slots.iter().map(|(region, slots)| {
            let work = offered.regions.get(region).copied().unwrap_or(0.0);
            (region.clone(), (work / slots.max(1.0)).min(1.0))
        });
        let busy = busy.collect();
        let noted = before.map_or(0.0, |before| before.noted);
        Self {
            away,
            open,
            busy,
            noted,
        }
    }

    /// The part away, if it has changed enough to be told.
    pub(crate) fn news(&mut self) -> Option<f64> {
        let news = (self.away - self.noted).abs() >= NOTED;
        news.then(|| {
            self.noted = self.away;
            self.away
        })
    }

    /// The part of its slots that a server of a region is usually busy with.
    pub(crate) fn busy(&self, region: &Region) -> f64 {
        self.busy.get(region).copied().unwrap_or(BUSY_UNKNOWN)
    }

    /// The owner of an object among the servers that may run its requests, by
    /// the hash of its name.
    pub(crate) fn owner(&self, listed: &[&Server], object: u64, home: &Region) -> Option<u64> {
        let serving = || listed.iter().copied().filter(|s| s.state != State::Ejected);
        let first = |servers: &mut dyn Iterator<Item = &Server>| {
            let hashes = servers.map(|server| server.hash);
            hashes.max_by_key(|hash| hash::rank(object, *hash))
        };
        let region = |s: &&Server| s.listed.backend.region == *home;
        let open = |s: &&Server| self.open.contains(&s.listed.backend.region);
        let draw = hash::rank(object, REGION_SALT) as f64 / u64::MAX as f64;
        let leaves = draw < self.away;
        let owner = leaves.then(|| first(&mut serving().filter(open))).flatten();
        let owner = owner.or_else(|| first(&mut serving().filter(region)));
        owner.or_else(|| first(&mut serving()))
    }
}

// The part of the work that a region can't carry and others have room for, and
// those others.
fn spill(slots: &Sorted<Region, f64>, offered: &Offered, own: &Region) -> (f64, Vec<Region>) {
    let of = |region: &Region| offered.regions.get(region).copied().unwrap_or(0.0);
    let all_work: f64 = slots.iter().map(|row| of(row.0)).sum();
    let all_slots: f64 = slots.iter().map(|row| row.1).sum();
    let busy = (all_work / all_slots.max(1.0) * BUSY_SPREAD).max(BUSY_LEAST);
    let excess = |region: &Region| {
        let slots = slots.get(region).copied().unwrap_or(0.0);
        of(region) - busy * slots
    };
    let mine = excess(own);
    if mine <= 0.0 {
        return (0.0, Vec::new());
    }
    let others = || slots.iter().map(|row| row.0).filter(|r| *r != own);
    let open: Vec<Region> = others().filter(|r| excess(r) < 0.0).cloned().collect();
    let room: f64 = open.iter().map(|r| -excess(r)).sum();
    let all = mine + others().map(|r| excess(r).max(0.0)).sum::<f64>();
    (mine / of(own) * (room / all).min(1.0), open)
}

fn slots(servers: &[&Server]) -> Sorted<Region, f64> {
    let mut slots = Sorted::default();
    for server in servers {
        *slots.get_or(server.listed.backend.region.clone(), || 0.0) += capacity(server);
    }
    slots
}

// A cold server carries next to nothing.
fn capacity(server: &Server) -> f64 {
    match server.state {
        State::Serving => f64::from(server.listed.backend.slots),
        State::Warming | State::Ejected | State::Leaving => 0.0,
    }
}
