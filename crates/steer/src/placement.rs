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
    /// The parts of the objects whose owners stand in other regions.
    parts: Sorted<Region, f64>,
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
    /// No more than `step` of the objects change their region from `before`.
    pub(crate) fn new(
        servers: &[&Server],
        offered: &Offered,
        region: &Region,
        before: Option<&Self>,
        step: f64,
    ) -> Self {
        let slots = slots(servers);
        let wanted = spill(&slots, offered, region);
        let parts = match before {
            Some(before) => approach(&before.parts, &wanted, step),
            None => wanted,
        };
        let busy = slots.iter().map(|(region, slots)| {
            let work = offered.regions.get(region).copied().unwrap_or(0.0);
            (region.clone(), (work / slots.max(1.0)).min(1.0))
        });
        let busy = busy.collect();
        let noted = before.map_or(0.0, |before| before.noted);
        Self { parts, busy, noted }
    }

    /// The part away, if it has changed enough to be told.
    pub(crate) fn news(&mut self) -> Option<f64> {
        let away = self.away();
        let news = (away - self.noted).abs() >= NOTED;
        news.then(|| {
            self.noted = away;
            away
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
        let within = |region: &Region| {
            let mut there = serving().filter(|s| s.listed.backend.region == *region);
            first(&mut there)
        };
        let owner = within(self.region_of(object, home));
        let owner = owner.or_else(|| within(home));
        owner.or_else(|| first(&mut serving()))
    }

    fn away(&self) -> f64 {
        self.parts.iter().map(|row| row.1).sum()
    }

    // The region of an object's owner, by weighted rendezvous: a part that
    // changes moves objects only to or from its region.
    fn region_of<'a>(&'a self, object: u64, home: &'a Region) -> &'a Region {
        let weigh = |region: &Region, part: f64| {
            let salt = REGION_SALT ^ hash::of(region.as_str().as_bytes());
            let draw = (hash::rank(object, salt) as f64 + 1.0) / (u64::MAX as f64 + 2.0);
            part / -draw.ln()
        };
        let mut best = (home, weigh(home, 1.0 - self.away()));
        for (region, part) in self.parts.iter() {
            let weight = weigh(region, *part);
            if weight > best.1 {
                best = (region, weight);
            }
        }
        best.0
    }
}

// Goes from some parts to others by no more than a step of all objects.
fn approach(
    before: &Sorted<Region, f64>,
    wanted: &Sorted<Region, f64>,
    step: f64,
) -> Sorted<Region, f64> {
    let of = |parts: &Sorted<Region, f64>, region| parts.get(region).copied().unwrap_or(0.0);
    let mut changes: Sorted<Region, f64> = Sorted::default();
    for (region, _) in before.iter().chain(wanted.iter()) {
        changes.insert(region.clone(), of(wanted, region) - of(before, region));
    }
    let (mut rises, mut falls) = (0.0, 0.0);
    for (_, change) in changes.iter() {
        rises += change.max(0.0);
        falls -= change.min(0.0);
    }
    // What does not go to or come from other regions is the home's.
    let moved = f64::max(rises, falls);
    let pace = if moved > step { step / moved } else { 1.0 };
    let parts = changes.iter().map(|(region, change)| {
        let part = of(before, region) + change * pace;
        (region.clone(), part)
    });
    parts.filter(|row| row.1 > 0.0).collect()
}

// The parts of the work that a region can't carry, by the regions that have room
// for them.
fn spill(slots: &Sorted<Region, f64>, offered: &Offered, own: &Region) -> Sorted<Region, f64> {
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
        return Sorted::default();
    }
    let others = || slots.iter().map(|row| row.0).filter(|r| *r != own);
    let room = |region: &Region| (-excess(region)).max(0.0);
    let rooms: f64 = others().map(room).sum();
    let all = mine + others().map(|r| excess(r).max(0.0)).sum::<f64>();
    let away = mine / of(own) * (rooms / all).min(1.0);
    let parts = others().filter(|region| room(region) > 0.0);
    let parts = parts.map(|region| (region.clone(), away * room(region) / rooms));
    parts.collect()
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
