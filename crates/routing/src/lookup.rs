//! Which site serves a block of clients.

use std::net::IpAddr;

use snafu::ensure;
use snafu::OptionExt;

use crate::error::Error;
use crate::error::RepeatedSiteSnafu;
use crate::error::RepeatedSnafu;
use crate::error::SitesSnafu;
use crate::error::UnknownSiteSnafu;
use crate::error::WeightSnafu;
use crate::hash;
use crate::prefix::locate;
use crate::prefix::mask;
use crate::prefix::Family;
use crate::prefix::Prefix;
use crate::ranges::Owner;
use crate::ranges::Ranges;
use crate::rendezvous;
use crate::site::Block;
use crate::site::Cause;
use crate::site::Placement;
use crate::site::Site;

// An address in no block is placed with its neighbours of this prefix length.
const LOOSE_LENGTH: u8 = 24;

/// The table of blocks and sites.
#[derive(Clone, Debug)]
pub struct Lookup {
    // Sorted by region and name.
    sites: Vec<Site>,
    keys: Vec<u64>,
    // Places in `sites`, sorted by name.
    names: Vec<u16>,
    // Sorted by name; each covers a run of `sites`.
    areas: Vec<Area>,
    v4: Ranges,
    v6: Ranges,
}

#[derive(Clone, Debug)]
struct Area {
    key: u64,
    from: u16,
    to: u16,
    room: f64,
}

impl Lookup {
    /// Builds the table; where blocks overlap, the longest prefix wins.
    ///
    /// # Errors
    ///
    /// Fails when there is no site, a name or a prefix stands twice, a weight
    /// is out of range, or a block's site is not in the list.
    pub fn build(sites: Vec<Site>, blocks: &[Block]) -> Result<Self, Error> {
        let mut lookup = Self::with_sites(sites)?;
        let mut sorted: Vec<_> = blocks.iter().collect();
        sorted.sort_unstable_by_key(|b| b.prefix);
        if let Some(pair) = sorted.windows(2).find(|p| p[0].prefix == p[1].prefix) {
            let text = pair[0].prefix.to_string();
            return Err(RepeatedSnafu { text }.build().into());
        }
        let split = sorted.partition_point(|b| b.prefix.family() == Family::V4);
        lookup.v4 = Ranges::build(&lookup.rows(&sorted[..split])?);
        lookup.v6 = Ranges::build(&lookup.rows(&sorted[split..])?);
        Ok(lookup)
    }

    /// The site for an address; none when no site takes anything.
    pub fn find(&self, addr: IpAddr) -> Option<Placement<'_>> {
        let (family, point) = locate(addr);
        let ranges = match family {
            Family::V4 => &self.v4,
            Family::V6 => &self.v6,
        };
        let Some(owner) = ranges.find(point) else {
            return self.place_loose(point & mask(LOOSE_LENGTH));
        };
        let length = owner.length();
        let key = block_key(point & mask(length), length);
        let at = usize::from(owner.site());
        let site = &self.sites[at];
        let keeps = site.keep >= 1.0 || rendezvous::draw(key, self.keys[at]) <= site.keep;
        if keeps && site.keep > 0.0 {
            return Some(self.placement(at, Cause::Assigned, length));
        }
        let (at, cause) = self.next(key, at)?;
        Some(self.placement(at, cause, length))
    }

    /// Adds a block, or gives it to another site.
    ///
    /// # Errors
    ///
    /// Fails when the site is not in the list.
    pub fn insert(&mut self, block: &Block) -> Result<(), Error> {
        let site = self.site_place(&block.site)?;
        let owner = Owner::new(block.prefix.length(), site);
        self.ranges(block.prefix.family())
            .insert(block.prefix.start(), owner);
        Ok(())
    }

    /// Removes a block; whether it was there.
    pub fn remove(&mut self, prefix: Prefix) -> bool {
        self.ranges(prefix.family())
            .remove(prefix.start(), prefix.length())
    }

    /// Sets the part of its blocks that a site keeps, and its room for others'.
    ///
    /// Lowering `keep` moves only blocks of that site, and raising it moves
    /// back only the ones it lost.
    ///
    /// # Errors
    ///
    /// Fails when the site is not in the list or a number is out of range.
    pub fn adjust(&mut self, name: &str, keep: f64, room: f64) -> Result<(), Error> {
        let at = usize::from(self.site_place(name)?);
        check_weights(name, keep, room)?;
        self.sites[at].keep = keep;
        self.sites[at].room = room;
        self.weigh_areas();
        Ok(())
    }

    /// The sites, by region and name.
    pub fn sites(&self) -> &[Site] {
        &self.sites
    }

    /// The count of blocks.
    pub fn len(&self) -> usize {
        self.v4.len() + self.v6.len()
    }

    /// Whether there is no block.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Bytes that the blocks take.
    pub fn bytes(&self) -> usize {
        self.v4.bytes() + self.v6.bytes()
    }

    fn with_sites(mut sites: Vec<Site>) -> Result<Self, Error> {
        let count = sites.len();
        ensure!((1..usize::from(u16::MAX)).contains(&count), SitesSnafu);
        sites.sort_by(|a, b| (&a.region, &a.name).cmp(&(&b.region, &b.name)));
        let mut names: Vec<u16> = (0..count as u16).collect();
        let name = |at: &u16| &sites[usize::from(*at)].name;
        names.sort_by(|a, b| name(a).cmp(name(b)));
        if let Some([first, _]) = names.windows(2).find(|p| name(&p[0]) == name(&p[1])) {
            let site = name(first).to_string();
            return Err(RepeatedSiteSnafu { site }.build().into());
        }
        for site in &sites {
            check_weights(&site.name, site.keep, site.room)?;
        }
        let key = |s: &Site| rendezvous::of_bytes(s.name.as_bytes());
        let mut lookup = Self {
            keys: sites.iter().map(key).collect(),
            areas: areas(&sites),
            sites,
            names,
            v4: Ranges::default(),
            v6: Ranges::default(),
        };
        lookup.weigh_areas();
        Ok(lookup)
    }

    fn rows(&self, blocks: &[&Block]) -> Result<Vec<(u64, Owner)>, Error> {
        let row = |block: &&Block| {
            let site = self.site_place(&block.site)?;
            let owner = Owner::new(block.prefix.length(), site);
            Ok((block.prefix.start(), owner))
        };
        blocks.iter().map(row).collect()
    }

    fn site_place(&self, site: &str) -> Result<u16, Error> {
        let name = |at: &u16| &*self.sites[usize::from(*at)].name;
        let found = self.names.binary_search_by(|at| name(at).cmp(site));
        let at = found.ok().context(UnknownSiteSnafu { site })?;
        Ok(self.names[at])
    }

    fn ranges(&mut self, family: Family) -> &mut Ranges {
        match family {
            Family::V4 => &mut self.v4,
            Family::V6 => &mut self.v6,
        }
    }

    fn weigh_areas(&mut self) {
        for area in &mut self.areas {
            let sites = &self.sites[usize::from(area.from)..usize::from(area.to)];
            area.room = sites.iter().map(|s| s.room).sum();
        }
    }

    // The next site for a block that its own does not keep: in the same
    // region, else in one drawn by room.
    fn next(&self, key: u64, from: usize) -> Option<(usize, Cause)> {
        let after = self.areas.partition_point(|a| usize::from(a.from) <= from);
        let home = &self.areas[after - 1];
        if let Some(at) = self.within(key, home, Some(from)) {
            return Some((at, Cause::Moved));
        }
        let far = self.far(key, Some(home.from))?;
        Some((self.within(key, far, None)?, Cause::MovedFar))
    }

    fn within(&self, key: u64, area: &Area, except: Option<usize>) -> Option<usize> {
        let places = usize::from(area.from)..usize::from(area.to);
        let room = |at: usize| match except {
            Some(place) if place == at => 0.0,
            _ => self.sites[at].room,
        };
        let found = rendezvous::best(key, places.map(|at| (self.keys[at], room(at))))?;
        Some(usize::from(area.from) + found)
    }

    fn far(&self, key: u64, except: Option<u16>) -> Option<&Area> {
        let room = |area: &Area| match except {
            Some(from) if from == area.from => 0.0,
            _ => area.room,
        };
        let areas = self.areas.iter().map(|area| (area.key, room(area)));
        Some(&self.areas[rendezvous::best(key, areas)?])
    }

    fn place_loose(&self, start: u64) -> Option<Placement<'_>> {
        let key = block_key(start, LOOSE_LENGTH);
        let at = self.within(key, self.far(key, None)?, None)?;
        Some(self.placement(at, Cause::Unlisted, 0))
    }

    fn placement(&self, at: usize, cause: Cause, length: u8) -> Placement<'_> {
        let site = &self.sites[at];
        Placement {
            site,
            cause,
            length,
        }
    }
}

fn areas(sites: &[Site]) -> Vec<Area> {
    let mut areas = Vec::new();
    let mut from = 0;
    for run in sites.chunk_by(|a, b| a.region == b.region) {
        let to = from + run.len() as u16;
        areas.push(Area {
            key: rendezvous::of_bytes(run[0].region.as_str().as_bytes()),
            from,
            to,
            room: 0.0,
        });
        from = to;
    }
    areas
}

fn check_weights(site: &str, keep: f64, room: f64) -> Result<(), Error> {
    let is_part = (0.0..=1.0).contains(&keep);
    ensure!(is_part, WeightSnafu { site, weight: keep });
    let is_room = room.is_finite() && room >= 0.0;
    ensure!(is_room, WeightSnafu { site, weight: room });
    Ok(())
}

fn block_key(start: u64, length: u8) -> u64 {
    hash::mix(start ^ u64::from(length))
}
