//! The choice of entry instances for a caller.
//!
//! Each caller gets a stable, pseudo-random order of the instances in its region
//! by hashing, so that callers spread evenly, and few of them move when an
//! instance joins or leaves.

use std::net::IpAddr;
use std::time::Duration;

use corianderway_model::Account;
use corianderway_model::Entry;
use corianderway_model::InstanceId;
use corianderway_model::Presence;
use corianderway_model::Region;
use corianderway_model::Time;
use smallvec::SmallVec;

use crate::hash;
use crate::prefix::leading_bits;
use crate::rendezvous;

// Number of entry instances of the caller's region in an answer.
const HOME_ENTRIES: usize = 3;
// One more is of another region, in case the caller's region is lost.
const MAX_ENTRIES: usize = HOME_ENTRIES + 1;
// An instance is left out when its last heartbeat is older than this. One that
// never sent a heartbeat is not.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(3);
// An instance is removed when it was absent from the lists for this long.
const ABSENCE_TTL: Duration = Duration::from_mins(10);
// An instance has its full share up to the first load, and the minimum share
// from the second one on.
const FULL_SHARE_LOAD: f64 = 0.7;
const MIN_SHARE_LOAD: f64 = 1.1;
const MIN_SHARE: f64 = 0.1;
// Loads are rounded to a multiple of this, so that callers rarely move.
const LOAD_STEP: f64 = 0.1;
// The TTL varies by this fraction between callers, so that they don't ask again
// all at once.
const TTL_JITTER: f64 = 0.25;

/// The caller that asks for entry instances.
#[derive(Clone, Copy, Debug)]
pub enum Caller<'c> {
    /// A caller identified by its address.
    Address(IpAddr),
    /// A caller identified by its client account only.
    Account(&'c Account),
}

/// The entry instances for one caller.
#[derive(Clone, Debug)]
pub struct EntryList<'e> {
    /// The entry instances, best first.
    pub entries: SmallVec<[&'e Entry; MAX_ENTRIES]>,
    /// How long the caller may use them before it asks again.
    pub ttl: Duration,
}

/// The entry instances that one instance knows, with their shares of callers.
#[derive(Clone, Debug)]
pub struct Entries {
    own_id: InstanceId,
    ttl: Duration,
    // Sorted by region and identity.
    rows: Vec<Row>,
    // Indices in `rows`, sorted by identity.
    by_id: Vec<u32>,
    // Sorted by region; each covers a range of `rows`.
    regions: Vec<RegionRange>,
}

#[derive(Clone, Debug)]
struct Row {
    entry: Entry,
    key: u64,
    last_listed: Time,
    last_heartbeat: Option<Time>,
    load: f64,
    is_leaving: bool,
    share: f64,
}

#[derive(Clone, Debug)]
struct RegionRange {
    region: Region,
    key: u64,
    start: usize,
    end: usize,
    usable: usize,
}

impl Entries {
    /// Creates an empty table for the instance `own_id`.
    pub fn new(own_id: InstanceId, ttl: Duration) -> Self {
        Self {
            own_id,
            ttl,
            rows: Vec::new(),
            by_id: Vec::new(),
            regions: Vec::new(),
        }
    }

    /// Merges the platform's instance list.
    ///
    /// An instance that is leaving stays out, even if a delayed list has it as
    /// live.
    pub fn sync(&mut self, list: &[Entry], now: Time) {
        let mut joined = Vec::new();
        for entry in list {
            match self.row_mut(&entry.id) {
                Some(row) => {
                    row.last_listed = now;
                    row.is_leaving |= entry.presence == Presence::Leaving;
                }
                None => joined.push(Row::new(entry.clone(), now)),
            }
        }
        joined.sort_by(|a, b| a.entry.id.cmp(&b.entry.id));
        joined.dedup_by(|a, b| a.entry.id == b.entry.id);
        self.rows.append(&mut joined);
        let own_id = &self.own_id;
        let is_kept = |r: &Row| r.entry.id == *own_id || now.since(r.last_listed) < ABSENCE_TTL;
        self.rows.retain(is_kept);
        self.rebuild_index();
        self.refresh(now);
    }

    /// Records a heartbeat of an instance; `load` is the fraction of its capacity
    /// that is in use.
    pub fn record_heartbeat(&mut self, id: &InstanceId, load: f64, now: Time) {
        if let Some(row) = self.row_mut(id) {
            row.last_heartbeat = Some(now);
            row.load = load;
        }
    }

    /// Records that an instance announced that it is leaving.
    pub fn mark_leaving(&mut self, id: &InstanceId, now: Time) {
        if let Some(row) = self.row_mut(id) {
            row.is_leaving = true;
        }
        self.refresh(now);
    }

    /// Updates everything that depends on the time.
    ///
    /// Call it a few times a second.
    pub fn refresh(&mut self, now: Time) {
        for row in &mut self.rows {
            let has_timed_out = row
                .last_heartbeat
                .is_some_and(|at| now.since(at) >= HEARTBEAT_TIMEOUT);
            let is_out = row.is_leaving || has_timed_out && row.entry.id != self.own_id;
            row.share = if is_out { 0.0 } else { share(row.load) };
        }
        if !self.rows.iter().any(|r| r.share > 0.0) {
            self.include_all_listed();
        }
        for range in &mut self.regions {
            let rows = &self.rows[range.start..range.end];
            range.usable = rows.iter().filter(|r| r.share > 0.0).count();
        }
    }

    /// Returns the entry instances for a caller, those of its region first.
    ///
    /// When instances join or leave, the others keep their order for each caller.
    pub fn entries_for(&self, caller: Caller<'_>, region: &Region) -> EntryList<'_> {
        let key = caller.key();
        let mut entries = SmallVec::new();
        let home = self.regions.binary_search_by(|a| a.region.cmp(region));
        let home = home.ok().map(|at| &self.regions[at]);
        if let Some(range) = home {
            self.select(key, range, HOME_ENTRIES, &mut entries);
        }
        let start = home.map(|range| range.start);
        if let Some(range) = self.other_region(key, start) {
            let count = MAX_ENTRIES - entries.len();
            let count = if entries.is_empty() { count } else { 1 };
            self.select(key, range, count, &mut entries);
        }
        let jitter = 1.0 + TTL_JITTER * (2.0 * hash::unit(hash::mix(key)) - 1.0);
        let ttl = self.ttl.mul_f64(jitter);
        EntryList { entries, ttl }
    }

    // Chooses another region, weighted by its number of usable instances.
    fn other_region(&self, key: u64, home: Option<usize>) -> Option<&RegionRange> {
        let weight = |range: &RegionRange| match home {
            Some(start) if start == range.start => 0.0,
            _ => range.usable as f64,
        };
        let regions = self.regions.iter().map(|range| (range.key, weight(range)));
        Some(&self.regions[rendezvous::best(key, regions)?])
    }

    // Appends the instances of a region with the highest hashes for a key.
    //
    // An instance with a share below 1 ranks after all others for a fraction of
    // the keys, one minus the share.
    fn select<'e>(
        &'e self,
        key: u64,
        range: &RegionRange,
        count: usize,
        entries: &mut SmallVec<[&'e Entry; MAX_ENTRIES]>,
    ) {
        let mut best: SmallVec<[((bool, u64), &Row); MAX_ENTRIES]> = SmallVec::new();
        for row in &self.rows[range.start..range.end] {
            if row.share <= 0.0 {
                continue;
            }
            let hash = hash::mix(key ^ row.key);
            let is_deferred = row.share < 1.0 && hash::unit(hash::mix(hash)) >= row.share;
            let rank = (!is_deferred, hash);
            if best.len() == count && best.last().is_some_and(|(lowest, _)| rank < *lowest) {
                continue;
            }
            let at = best.iter().take_while(|(known, _)| *known > rank).count();
            best.truncate(count - 1);
            best.insert(at, (rank, row));
        }
        entries.extend(best.into_iter().map(|(_, row)| &row.entry));
    }

    fn row_mut(&mut self, id: &InstanceId) -> Option<&mut Row> {
        let id_of = |at: &u32| &self.rows[*at as usize].entry.id;
        let found = self.by_id.binary_search_by(|at| id_of(at).cmp(id)).ok()?;
        self.rows.get_mut(self.by_id[found] as usize)
    }

    fn rebuild_index(&mut self) {
        let order = |r: &Row| (r.entry.region.clone(), r.entry.id.clone());
        self.rows.sort_by_cached_key(order);
        let rows = &self.rows;
        let id_of = |at: &u32| &rows[*at as usize].entry.id;
        self.by_id = (0..rows.len() as u32).collect();
        self.by_id.sort_by(|a, b| id_of(a).cmp(id_of(b)));
        self.regions.clear();
        let mut start = 0;
        for run in self.rows.chunk_by(|a, b| a.entry.region == b.entry.region) {
            let region = run[0].entry.region.clone();
            let end = start + run.len();
            self.regions.push(RegionRange {
                key: rendezvous::hash_bytes(region.as_str().as_bytes()),
                region,
                start,
                end,
                usable: 0,
            });
            start = end;
        }
    }

    // Used when no instance is usable. Then this instance is more likely cut off
    // than all others are lost, so it relies on the instance list.
    fn include_all_listed(&mut self) {
        for row in &mut self.rows {
            row.share = if row.is_leaving { 0.0 } else { 1.0 };
        }
    }
}

impl Row {
    fn new(entry: Entry, now: Time) -> Self {
        Self {
            key: rendezvous::hash_bytes(entry.id.as_str().as_bytes()),
            is_leaving: entry.presence == Presence::Leaving,
            entry,
            last_listed: now,
            last_heartbeat: None,
            load: 0.0,
            share: 0.0,
        }
    }
}

impl Caller<'_> {
    fn key(self) -> u64 {
        match self {
            Self::Address(addr) => {
                let (family, bits) = leading_bits(addr);
                hash::mix(bits ^ family as u64)
            }
            Self::Account(account) => rendezvous::hash_bytes(account.as_str().as_bytes()),
        }
    }
}

fn share(load: f64) -> f64 {
    let load = (load / LOAD_STEP).round() * LOAD_STEP;
    let excess = (load - FULL_SHARE_LOAD) / (MIN_SHARE_LOAD - FULL_SHARE_LOAD);
    (1.0 - excess).clamp(MIN_SHARE, 1.0)
}
