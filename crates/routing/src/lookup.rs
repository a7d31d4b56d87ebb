//! The table that maps client addresses to sites.
//!
//! Each block is assigned to one site. The blocks that a site doesn't keep are
//! spread over the other sites of its region by weighted rendezvous hashing, or over
//! other regions if no other site of its region has an overflow weight.

use std::net::IpAddr;

use snafu::ensure;
use snafu::OptionExt;

use crate::error::Error;
use crate::error::RepeatedPrefixSnafu;
use crate::error::RepeatedSiteSnafu;
use crate::error::SiteCountSnafu;
use crate::error::UnknownSiteSnafu;
use crate::error::WeightSnafu;
use crate::hash;
use crate::prefix::leading_bits;
use crate::prefix::mask;
use crate::prefix::Family;
use crate::prefix::Prefix;
use crate::ranges::Owner;
use crate::ranges::Ranges;
use crate::rendezvous;
use crate::site::Block;
use crate::site::Cause;
use crate::site::Site;
use crate::site::SiteMatch;

// Addresses in no block that share a prefix of this length get the same site.
const UNLISTED_PREFIX_LENGTH: u8 = 24;

/// The table of sites and the blocks assigned to them.
#[derive(Clone, Debug)]
pub struct Lookup {
    // Sorted by region and name.
    sites: Vec<Site>,
    // Hashes of the names of `sites`, in the same order.
    keys: Vec<u64>,
    // Indices in `sites`, sorted by name.
    by_name: Vec<u16>,
    // Sorted by region; each covers a range of `sites`.
    regions: Vec<RegionSites>,
    v4: Ranges,
    v6: Ranges,
}

#[derive(Clone, Debug)]
struct RegionSites {
    key: u64,
    start: u16,
    end: u16,
    overflow_weight: f64,
}

impl Lookup {
    /// Builds the table; where blocks overlap, the longest prefix wins.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no site or there are too many, a name or a
    /// prefix is repeated, a weight is out of range, or a block's site is unknown.
    pub fn build(sites: Vec<Site>, blocks: &[Block]) -> Result<Self, Error> {
        let mut lookup = Self::with_sites(sites)?;
        let mut sorted: Vec<_> = blocks.iter().collect();
        sorted.sort_unstable_by_key(|b| b.prefix);
        if let Some(pair) = sorted.windows(2).find(|p| p[0].prefix == p[1].prefix) {
            let text = pair[0].prefix.to_string();
            return Err(RepeatedPrefixSnafu { text }.build().into());
        }
        let split = sorted.partition_point(|b| b.prefix.family() == Family::V4);
        lookup.v4 = Ranges::build(&lookup.owned_prefixes(&sorted[..split])?);
        lookup.v6 = Ranges::build(&lookup.owned_prefixes(&sorted[split..])?);
        Ok(lookup)
    }

    /// Finds the site for an address, or `None` if no site accepts it.
    pub fn find(&self, addr: IpAddr) -> Option<SiteMatch<'_>> {
        let (family, bits) = leading_bits(addr);
        let ranges = match family {
            Family::V4 => &self.v4,
            Family::V6 => &self.v6,
        };
        let Some(owner) = ranges.find(bits) else {
            return self.match_unlisted(bits & mask(UNLISTED_PREFIX_LENGTH));
        };
        let length = owner.length();
        let key = block_key(bits & mask(length), length);
        let index = usize::from(owner.site());
        let site = &self.sites[index];
        let is_kept =
            site.keep_share >= 1.0 || rendezvous::uniform(key, self.keys[index]) <= site.keep_share;
        if is_kept && site.keep_share > 0.0 {
            return Some(self.site_match(index, Cause::Assigned, length));
        }
        let (index, cause) = self.reassign(key, index)?;
        Some(self.site_match(index, cause, length))
    }

    /// Adds a block, or assigns a known one to another site.
    ///
    /// # Errors
    ///
    /// Returns an error if the site is unknown.
    pub fn insert(&mut self, block: &Block) -> Result<(), Error> {
        let site = self.site_index(&block.site)?;
        let owner = Owner::new(block.prefix.length(), site);
        self.ranges(block.prefix.family())
            .insert(block.prefix.start(), owner);
        Ok(())
    }

    /// Removes a block, and returns whether it was in the table.
    pub fn remove(&mut self, prefix: Prefix) -> bool {
        self.ranges(prefix.family())
            .remove(prefix.start(), prefix.length())
    }

    /// Sets the share of its blocks that a site keeps, and its weight for the
    /// blocks of others.
    ///
    /// Lowering `keep_share` moves only blocks of that site, and raising it moves
    /// back only those.
    ///
    /// # Errors
    ///
    /// Returns an error if the site is unknown or a number is out of range.
    pub fn set_weights(
        &mut self,
        name: &str,
        keep_share: f64,
        overflow_weight: f64,
    ) -> Result<(), Error> {
        let index = usize::from(self.site_index(name)?);
        check_weights(name, keep_share, overflow_weight)?;
        self.sites[index].keep_share = keep_share;
        self.sites[index].overflow_weight = overflow_weight;
        self.sum_region_weights();
        Ok(())
    }

    /// Returns the sites, sorted by region and name.
    pub fn sites(&self) -> &[Site] {
        &self.sites
    }

    /// Returns the number of blocks.
    pub fn len(&self) -> usize {
        self.v4.len() + self.v6.len()
    }

    /// Returns whether there is no block.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the memory of the blocks in bytes.
    pub fn bytes(&self) -> usize {
        self.v4.bytes() + self.v6.bytes()
    }

    fn with_sites(mut sites: Vec<Site>) -> Result<Self, Error> {
        let count = sites.len();
        ensure!((1..usize::from(u16::MAX)).contains(&count), SiteCountSnafu);
        sites.sort_by(|a, b| (&a.region, &a.name).cmp(&(&b.region, &b.name)));
        let mut by_name: Vec<u16> = (0..count as u16).collect();
        let name_of = |index: &u16| &sites[usize::from(*index)].name;
        by_name.sort_by(|a, b| name_of(a).cmp(name_of(b)));
        if let Some([first, _]) = by_name
            .windows(2)
            .find(|p| name_of(&p[0]) == name_of(&p[1]))
        {
            let site = name_of(first).to_string();
            return Err(RepeatedSiteSnafu { site }.build().into());
        }
        for site in &sites {
            check_weights(&site.name, site.keep_share, site.overflow_weight)?;
        }
        let key = |s: &Site| rendezvous::hash_bytes(s.name.as_bytes());
        let mut lookup = Self {
            keys: sites.iter().map(key).collect(),
            regions: regions(&sites),
            sites,
            by_name,
            v4: Ranges::default(),
            v6: Ranges::default(),
        };
        lookup.sum_region_weights();
        Ok(lookup)
    }

    fn owned_prefixes(&self, blocks: &[&Block]) -> Result<Vec<(u64, Owner)>, Error> {
        let owned = |block: &&Block| {
            let site = self.site_index(&block.site)?;
            let owner = Owner::new(block.prefix.length(), site);
            Ok((block.prefix.start(), owner))
        };
        blocks.iter().map(owned).collect()
    }

    fn site_index(&self, site: &str) -> Result<u16, Error> {
        let name_of = |index: &u16| &*self.sites[usize::from(*index)].name;
        let found = self
            .by_name
            .binary_search_by(|index| name_of(index).cmp(site));
        let index = found.ok().context(UnknownSiteSnafu { site })?;
        Ok(self.by_name[index])
    }

    fn ranges(&mut self, family: Family) -> &mut Ranges {
        match family {
            Family::V4 => &mut self.v4,
            Family::V6 => &mut self.v6,
        }
    }

    fn sum_region_weights(&mut self) {
        for region in &mut self.regions {
            let sites = &self.sites[usize::from(region.start)..usize::from(region.end)];
            region.overflow_weight = sites.iter().map(|s| s.overflow_weight).sum();
        }
    }

    // Chooses the site for a block that its own site doesn't keep: another one in
    // the same region, or else one in a region chosen by overflow weight.
    fn reassign(&self, key: u64, from: usize) -> Option<(usize, Cause)> {
        let after = self
            .regions
            .partition_point(|a| usize::from(a.start) <= from);
        let home = &self.regions[after - 1];
        if let Some(index) = self.choose_site(key, home, Some(from)) {
            return Some((index, Cause::Moved));
        }
        let other = self.choose_region(key, Some(home.start))?;
        Some((self.choose_site(key, other, None)?, Cause::MovedFar))
    }

    fn choose_site(&self, key: u64, region: &RegionSites, except: Option<usize>) -> Option<usize> {
        let indices = usize::from(region.start)..usize::from(region.end);
        let weight = |index: usize| match except {
            Some(excluded) if excluded == index => 0.0,
            _ => self.sites[index].overflow_weight,
        };
        let found = rendezvous::best(key, indices.map(|index| (self.keys[index], weight(index))))?;
        Some(usize::from(region.start) + found)
    }

    fn choose_region(&self, key: u64, except: Option<u16>) -> Option<&RegionSites> {
        let weight = |region: &RegionSites| match except {
            Some(start) if start == region.start => 0.0,
            _ => region.overflow_weight,
        };
        let regions = self
            .regions
            .iter()
            .map(|region| (region.key, weight(region)));
        Some(&self.regions[rendezvous::best(key, regions)?])
    }

    fn match_unlisted(&self, start: u64) -> Option<SiteMatch<'_>> {
        let key = block_key(start, UNLISTED_PREFIX_LENGTH);
        let index = self.choose_site(key, self.choose_region(key, None)?, None)?;
        Some(self.site_match(index, Cause::Unlisted, 0))
    }

    fn site_match(&self, index: usize, cause: Cause, length: u8) -> SiteMatch<'_> {
        let site = &self.sites[index];
        SiteMatch {
            site,
            cause,
            length,
        }
    }
}

fn regions(sites: &[Site]) -> Vec<RegionSites> {
    let mut regions = Vec::new();
    let mut start = 0;
    for run in sites.chunk_by(|a, b| a.region == b.region) {
        let end = start + run.len() as u16;
        regions.push(RegionSites {
            key: rendezvous::hash_bytes(run[0].region.as_str().as_bytes()),
            start,
            end,
            overflow_weight: 0.0,
        });
        start = end;
    }
    regions
}

fn check_weights(site: &str, keep_share: f64, overflow_weight: f64) -> Result<(), Error> {
    let is_share = (0.0..=1.0).contains(&keep_share);
    ensure!(
        is_share,
        WeightSnafu {
            site,
            weight: keep_share
        }
    );
    let is_weight = overflow_weight.is_finite() && overflow_weight >= 0.0;
    ensure!(
        is_weight,
        WeightSnafu {
            site,
            weight: overflow_weight
        }
    );
    Ok(())
}

fn block_key(start: u64, length: u8) -> u64 {
    hash::mix(start ^ u64::from(length))
}
