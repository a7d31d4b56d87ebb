//! Which entry instances a caller should use.

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
use crate::prefix::locate;
use crate::rendezvous;

// Entry instances of the caller's own region in an answer.
const NEAR: usize = 3;
// With one of another region, in case the caller's own is lost.
const LISTED: usize = NEAR + 1;
// An instance that was heard before and then not for this long is left out.
const SILENCE: Duration = Duration::from_secs(3);
// An instance in no list for this long is forgotten.
const FORGET: Duration = Duration::from_mins(10);
// Load up to which an instance takes its whole share, and from which the least.
const EASY_LOAD: f64 = 0.7;
const FULL_LOAD: f64 = 1.1;
const LEAST_SHARE: f64 = 0.1;
// Loads are rounded to this, so that callers move seldom.
const LOAD_STEP: f64 = 0.1;
// The part by which times to live differ, so that callers don't ask at once.
const SPREAD: f64 = 0.25;

/// Who asks.
#[derive(Clone, Copy, Debug)]
pub enum Caller<'c> {
    /// A caller known by its address.
    Address(IpAddr),
    /// A caller known by its client account only.
    Account(&'c Account),
}

/// The entry instances for one caller, best first.
#[derive(Clone, Debug)]
pub struct Advice<'e> {
    /// The entry instances.
    pub entries: SmallVec<[&'e Entry; LISTED]>,
    /// How long the caller may use them before it asks again.
    pub ttl: Duration,
}

/// The entry instances that one instance knows.
#[derive(Clone, Debug)]
pub struct Entries {
    me: InstanceId,
    ttl: Duration,
    // Sorted by region and identity.
    rows: Vec<Row>,
    // Places in `rows`, sorted by identity.
    names: Vec<u32>,
    // Sorted by region; each covers a run of `rows`.
    areas: Vec<Area>,
}

#[derive(Clone, Debug)]
struct Row {
    entry: Entry,
    key: u64,
    listed: Time,
    heard: Option<Time>,
    load: f64,
    left: bool,
    share: f64,
}

#[derive(Clone, Debug)]
struct Area {
    region: Region,
    key: u64,
    from: usize,
    to: usize,
    usable: usize,
}

impl Entries {
    /// Makes an empty table for the instance `me`.
    pub fn new(me: InstanceId, ttl: Duration) -> Self {
        Self {
            me,
            ttl,
            rows: Vec::new(),
            names: Vec::new(),
            areas: Vec::new(),
        }
    }

    /// Merges the platform's instance list; what leaves stays out.
    pub fn sync(&mut self, list: &[Entry], now: Time) {
        let mut joined = Vec::new();
        for entry in list {
            match self.row_mut(&entry.id) {
                Some(row) => {
                    row.listed = now;
                    row.left |= entry.presence == Presence::Leaving;
                }
                None => joined.push(Row::new(entry.clone(), now)),
            }
        }
        joined.sort_by(|a, b| a.entry.id.cmp(&b.entry.id));
        joined.dedup_by(|a, b| a.entry.id == b.entry.id);
        self.rows.append(&mut joined);
        let me = &self.me;
        let is_kept = |r: &Row| r.entry.id == *me || now.since(r.listed) < FORGET;
        self.rows.retain(is_kept);
        self.arrange();
        self.refresh(now);
    }

    /// Notes a sign of life, with the part of its capacity that is in use.
    pub fn hear(&mut self, id: &InstanceId, load: f64, now: Time) {
        if let Some(row) = self.row_mut(id) {
            row.heard = Some(now);
            row.load = load;
        }
    }

    /// Notes that an instance said that it leaves.
    pub fn leave(&mut self, id: &InstanceId, now: Time) {
        if let Some(row) = self.row_mut(id) {
            row.left = true;
        }
        self.refresh(now);
    }

    /// Brings what depends on the time up to date; call it a few times a second.
    pub fn refresh(&mut self, now: Time) {
        for row in &mut self.rows {
            let silent = row.heard.is_some_and(|at| now.since(at) >= SILENCE);
            let is_out = row.left || silent && row.entry.id != self.me;
            row.share = if is_out { 0.0 } else { share(row.load) };
        }
        if !self.rows.iter().any(|r| r.share > 0.0) {
            self.take_all_listed();
        }
        for area in &mut self.areas {
            let rows = &self.rows[area.from..area.to];
            area.usable = rows.iter().filter(|r| r.share > 0.0).count();
        }
    }

    /// The entry instances for a caller, those of its region first.
    ///
    /// Each caller keeps its order while instances join and leave, but for
    /// places taken by those that joined or left.
    pub fn advise(&self, caller: Caller<'_>, region: &Region) -> Advice<'_> {
        let key = caller.key();
        let mut entries = SmallVec::new();
        let home = self.areas.binary_search_by(|a| a.region.cmp(region));
        let home = home.ok().map(|at| &self.areas[at]);
        if let Some(area) = home {
            self.draw(key, area, NEAR, &mut entries);
        }
        let from = home.map(|area| area.from);
        if let Some(area) = self.other_area(key, from) {
            let count = LISTED - entries.len();
            let count = if entries.is_empty() { count } else { 1 };
            self.draw(key, area, count, &mut entries);
        }
        let spread = 1.0 + SPREAD * (2.0 * hash::unit(hash::mix(key)) - 1.0);
        let ttl = self.ttl.mul_f64(spread);
        Advice { entries, ttl }
    }

    // Another region, drawn by its count of usable instances.
    fn other_area(&self, key: u64, home: Option<usize>) -> Option<&Area> {
        let weight = |area: &Area| match home {
            Some(from) if from == area.from => 0.0,
            _ => area.usable as f64,
        };
        let areas = self.areas.iter().map(|area| (area.key, weight(area)));
        Some(&self.areas[rendezvous::best(key, areas)?])
    }

    // Appends the instances of an area with the highest draws for a key.
    //
    // An instance with half a share is passed over by half of the callers, and
    // comes after the others for them.
    fn draw<'e>(
        &'e self,
        key: u64,
        area: &Area,
        count: usize,
        entries: &mut SmallVec<[&'e Entry; LISTED]>,
    ) {
        let mut best: SmallVec<[((bool, u64), &Row); LISTED]> = SmallVec::new();
        for row in &self.rows[area.from..area.to] {
            if row.share <= 0.0 {
                continue;
            }
            let drawn = hash::mix(key ^ row.key);
            let passed = row.share < 1.0 && hash::unit(hash::mix(drawn)) >= row.share;
            let rank = (!passed, drawn);
            if best.len() == count && best.last().is_some_and(|(last, _)| rank < *last) {
                continue;
            }
            let at = best.iter().take_while(|(known, _)| *known > rank).count();
            best.truncate(count - 1);
            best.insert(at, (rank, row));
        }
        entries.extend(best.into_iter().map(|(_, row)| &row.entry));
    }

    fn row_mut(&mut self, id: &InstanceId) -> Option<&mut Row> {
        let name = |at: &u32| &self.rows[*at as usize].entry.id;
        let found = self.names.binary_search_by(|at| name(at).cmp(id)).ok()?;
        self.rows.get_mut(self.names[found] as usize)
    }

    fn arrange(&mut self) {
        let order = |r: &Row| (r.entry.region.clone(), r.entry.id.clone());
        self.rows.sort_by_cached_key(order);
        let rows = &self.rows;
        let name = |at: &u32| &rows[*at as usize].entry.id;
        self.names = (0..rows.len() as u32).collect();
        self.names.sort_by(|a, b| name(a).cmp(name(b)));
        self.areas.clear();
        let mut from = 0;
        for run in self.rows.chunk_by(|a, b| a.entry.region == b.entry.region) {
            let region = run[0].entry.region.clone();
            let to = from + run.len();
            self.areas.push(Area {
                key: rendezvous::of_bytes(region.as_str().as_bytes()),
                region,
                from,
                to,
                usable: 0,
            });
            from = to;
        }
    }

    // An instance that hears nobody is cut off itself, and trusts the list.
    fn take_all_listed(&mut self) {
        for row in &mut self.rows {
            row.share = if row.left { 0.0 } else { 1.0 };
        }
    }
}

impl Row {
    fn new(entry: Entry, now: Time) -> Self {
        Self {
            key: rendezvous::of_bytes(entry.id.as_str().as_bytes()),
            left: entry.presence == Presence::Leaving,
            entry,
            listed: now,
            heard: None,
            load: 0.0,
            share: 0.0,
        }
    }
}

impl Caller<'_> {
    fn key(self) -> u64 {
        match self {
            Self::Address(addr) => {
                let (family, point) = locate(addr);
                hash::mix(point ^ family as u64)
            }
            Self::Account(account) => rendezvous::of_bytes(account.as_str().as_bytes()),
        }
    }
}

fn share(load: f64) -> f64 {
    let load = (load / LOAD_STEP).round() * LOAD_STEP;
    let excess = (load - EASY_LOAD) / (FULL_LOAD - EASY_LOAD);
    (1.0 - excess).clamp(LEAST_SHARE, 1.0)
}
