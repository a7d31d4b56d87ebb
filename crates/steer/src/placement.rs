//! Placement of objects: the region of each object's owner, seen from one
//! region.
//!
//! The owner of an object is the server that caches its state, the first by
//! rendezvous hashing. The callers of a region share one owner for each object.
//! It is in their own region, except for the share of objects that the region's
//! servers can't carry and others can. Weighted rendezvous hashing selects
//! these objects, so all instances agree, and few objects move when the offered
//! load changes.

use corianderway_model::Region;
use corianderway_model::SortedMap;

use crate::hash;
use crate::server::Server;
use crate::server::State;
use crate::workload::OfferedLoad;

/// Utilization up to which a region always carries its own load, as a share of
/// its slots. Above it the region's servers evict cached objects sooner than
/// those of other regions.
const MIN_UTILIZATION: f64 = 0.3;

/// Permitted ratio of a region's utilization to the mean of all regions.
const MAX_UTILIZATION_RATIO: f64 = 1.1;

/// Utilization assumed while the offered load is unknown.
const ASSUMED_UTILIZATION: f64 = 0.3;

/// Salt that makes an object's region independent of its ranks for servers.
const REGION_SALT: u64 = 0x7265_6769_6f6e;

/// The regions of a service's owners for the callers of one region.
///
/// The shares in other regions add up to at most 1.
#[derive(Clone, Debug, Default)]
pub(crate) struct Placement {
    /// The share of objects whose owners are in each other region.
    shares: SortedMap<Region, f64>,
    /// The share of each region's slots that its own callers' load uses.
    utilization: SortedMap<Region, f64>,
    // The total share in other regions as last logged.
    logged: f64,
}

/// Minimum change of the total share in other regions that is logged.
const MIN_LOGGED_CHANGE: f64 = 0.05;

impl Placement {
    /// Computes the placement from the offered load and the servers that may
    /// carry it.
    ///
    /// At most the share `step` of the objects changes its region from
    /// `before`.
    pub(crate) fn new(
        servers: &[&Server],
        load: &OfferedLoad,
        region: &Region,
        before: Option<&Self>,
        step: f64,
    ) -> Self {
        let slots = slots(servers);
        let wanted = overflow(&slots, load, region);
        let shares = match before {
            Some(before) => step_towards(&before.shares, &wanted, step),
            None => wanted,
        };
        let utilization = slots.iter().map(|(region, slots)| {
            let work = load.regions.get(region).copied().unwrap_or(0.0);
            (region.clone(), (work / slots.max(1.0)).min(1.0))
        });
        let utilization = utilization.collect();
        let logged = before.map_or(0.0, |before| before.logged);
        Self {
            shares,
            utilization,
            logged,
        }
    }

    /// Returns the total share in other regions if it has changed enough to be
    /// logged.
    pub(crate) fn changed_share(&mut self) -> Option<f64> {
        let remote_share = self.remote_share();
        let changed = (remote_share - self.logged).abs() >= MIN_LOGGED_CHANGE;
        changed.then(|| {
            self.logged = remote_share;
            remote_share
        })
    }

    /// Returns the utilization of a region's slots by its own callers.
    pub(crate) fn utilization(&self, region: &Region) -> f64 {
        self.utilization
            .get(region)
            .copied()
            .unwrap_or(ASSUMED_UTILIZATION)
    }

    /// Returns the hash of an object's owner among the servers that may run its
    /// requests.
    pub(crate) fn owner(&self, listed: &[&Server], object: u64, local: &Region) -> Option<u64> {
        let serving = || listed.iter().copied().filter(|s| s.state != State::Ejected);
        let first = |servers: &mut dyn Iterator<Item = &Server>| {
            let hashes = servers.map(|server| server.hash);
            hashes.max_by_key(|hash| hash::rank(object, *hash))
        };
        let within = |region: &Region| {
            let mut there = serving().filter(|s| s.listed.backend.region == *region);
            first(&mut there)
        };
        let owner = within(self.region_of(object, local));
        let owner = owner.or_else(|| within(local));
        owner.or_else(|| first(&mut serving()))
    }

    fn remote_share(&self) -> f64 {
        self.shares.iter().map(|row| row.1).sum()
    }

    // The region of an object's owner, by weighted rendezvous hashing: a
    // changed share moves objects only to or from its region.
    fn region_of<'a>(&'a self, object: u64, local: &'a Region) -> &'a Region {
        let weigh = |region: &Region, share: f64| {
            let salt = REGION_SALT ^ hash::of(region.as_str().as_bytes());
            let draw = (hash::rank(object, salt) as f64 + 1.0) / (u64::MAX as f64 + 2.0);
            share / -draw.ln()
        };
        let mut best = (local, weigh(local, 1.0 - self.remote_share()));
        for (region, share) in self.shares.iter() {
            let weight = weigh(region, *share);
            if weight > best.1 {
                best = (region, weight);
            }
        }
        best.0
    }
}

// Moves the shares towards `wanted`, by at most `step` of all objects.
fn step_towards(
    before: &SortedMap<Region, f64>,
    wanted: &SortedMap<Region, f64>,
    step: f64,
) -> SortedMap<Region, f64> {
    let of = |shares: &SortedMap<Region, f64>, region| shares.get(region).copied().unwrap_or(0.0);
    let mut changes: SortedMap<Region, f64> = SortedMap::default();
    for (region, _) in before.iter().chain(wanted.iter()) {
        changes.insert(region.clone(), of(wanted, region) - of(before, region));
    }
    let (mut rises, mut falls) = (0.0, 0.0);
    for (_, change) in changes.iter() {
        rises += change.max(0.0);
        falls -= change.min(0.0);
    }
    // Changes that don't balance between other regions go from or to this
    // region.
    let moved = f64::max(rises, falls);
    let fraction = if moved > step { step / moved } else { 1.0 };
    let shares = changes.iter().map(|(region, change)| {
        let share = of(before, region) + change * fraction;
        (region.clone(), share)
    });
    shares.filter(|row| row.1 > 0.0).collect()
}

// Computes the shares of this region's load that it can't carry, by the regions
// with room for them.
fn overflow(
    slots: &SortedMap<Region, f64>,
    load: &OfferedLoad,
    own: &Region,
) -> SortedMap<Region, f64> {
    let of = |region: &Region| load.regions.get(region).copied().unwrap_or(0.0);
    let total_work: f64 = slots.iter().map(|row| of(row.0)).sum();
    let total_slots: f64 = slots.iter().map(|row| row.1).sum();
    let utilization =
        (total_work / total_slots.max(1.0) * MAX_UTILIZATION_RATIO).max(MIN_UTILIZATION);
    let excess = |region: &Region| {
        let slots = slots.get(region).copied().unwrap_or(0.0);
        of(region) - utilization * slots
    };
    let own_excess = excess(own);
    if own_excess <= 0.0 {
        return SortedMap::default();
    }
    let others = || slots.iter().map(|row| row.0).filter(|r| *r != own);
    let room = |region: &Region| (-excess(region)).max(0.0);
    let total_room: f64 = others().map(room).sum();
    let total_excess = own_excess + others().map(|r| excess(r).max(0.0)).sum::<f64>();
    let remote_share = own_excess / of(own) * (total_room / total_excess).min(1.0);
    let shares = others().filter(|region| room(region) > 0.0);
    let shares = shares.map(|region| (region.clone(), remote_share * room(region) / total_room));
    shares.collect()
}

fn slots(servers: &[&Server]) -> SortedMap<Region, f64> {
    let mut slots = SortedMap::default();
    for server in servers {
        *slots.get_or_insert_with(server.listed.backend.region.clone(), || 0.0) += capacity(server);
    }
    slots
}

// A cold server has next to no capacity.
fn capacity(server: &Server) -> f64 {
    match server.state {
        State::Serving => f64::from(server.listed.backend.slots),
        State::Warming | State::Ejected | State::Leaving | State::Resigned => 0.0,
    }
}
