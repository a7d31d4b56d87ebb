//! Chooses the region of a request.
//!
//! The home region comes first. Other regions are tried only when the home
//! region has no usable backend server or is full, and only while the caller's
//! cap on shifted traffic allows it. The choice of version and backend server
//! within a region is in `choice`.

use std::time::Duration;

use corianderway_model::FailureDomain;
use corianderway_model::Region;
use smallvec::SmallVec;

use crate::choice::Search;
use crate::fleet::Fleet;
use crate::group::Group;
use crate::query::Decision;
use crate::query::Query;
use crate::query::Refusal;
use crate::query::RegionReason;

// Assumed for another region until `Router::set_rtt` sets its round-trip time.
const DEFAULT_REGION_RTT: Duration = Duration::from_millis(70);
// An empty region is preferred over a full one that is up to this much closer.
const FULL_REGION_PENALTY_S: f64 = 0.050;
// Number of regions that are sorted without a heap allocation.
const INLINE_REGIONS: usize = 16;

/// Chooses backend servers for the requests of one instance.
///
/// A router holds the location of the instance and the round-trip times to
/// other regions. The state of the backend servers is in [`Fleet`].
#[derive(Clone, Debug)]
pub struct Router {
    region: Region,
    domain: FailureDomain,
    // Round-trip times in seconds, sorted by region.
    rtts_s: Vec<(Region, f64)>,
}

impl Router {
    /// Creates a router for an instance in this region and failure domain.
    pub fn new(region: Region, domain: FailureDomain) -> Self {
        Self {
            region,
            domain,
            rtts_s: Vec::new(),
        }
    }

    /// Sets the round-trip time from this instance to a region.
    pub fn set_rtt(&mut self, region: &Region, rtt: Duration) {
        let entry = (region.clone(), rtt.as_secs_f64());
        match self.rtts_s.binary_search_by(|(known, _)| known.cmp(region)) {
            Ok(index) => self.rtts_s[index] = entry,
            Err(index) => self.rtts_s.insert(index, entry),
        }
    }

    /// Chooses a backend server. A full home region is left without a wait.
    ///
    /// `random` must be a fresh random number. `may_shift` is called with each
    /// region other than the home region that could run the request. If it
    /// returns true, the request goes to that region, so `may_shift` must
    /// count it against the shift cap.
    ///
    /// # Errors
    ///
    /// Returns the reason when no backend server may run the request.
    pub fn route(
        &self,
        fleet: &Fleet,
        query: &Query<'_>,
        random: u64,
        may_shift: impl FnMut(&Region) -> bool,
    ) -> Result<Decision, Refusal> {
        self.route_waiting(fleet, query, random, Duration::MAX, may_shift)
    }

    /// Chooses a backend server for a request that can wait and be routed again.
    ///
    /// A full home region is left only after the request has waited for the
    /// round-trip time to the other region, so that waiting plus the trip costs
    /// at most twice the cheaper of the two. A home region without a usable
    /// backend server is left without a wait.
    ///
    /// The parameters are those of [`Router::route`]; `waited` is the time that
    /// the request has waited so far.
    ///
    /// # Errors
    ///
    /// Returns the reason when no backend server may run the request now.
    pub fn route_waiting(
        &self,
        fleet: &Fleet,
        query: &Query<'_>,
        random: u64,
        waited: Duration,
        mut may_shift: impl FnMut(&Region) -> bool,
    ) -> Result<Decision, Refusal> {
        let indices = fleet.groups_of(query.service);
        if indices.is_empty() {
            return Err(Refusal::NoRegion);
        }
        let groups = || indices.iter().map(|index| &fleet.groups[*index as usize]);
        let search = Search::new(self, fleet, query, random);
        let home = groups().find(|g| g.region == *query.home);
        let blocked = match home.map(|group| search.choose_in(group, RegionReason::Home)) {
            Some(Ok(decision)) => return Ok(decision),
            Some(Err(refusal)) => refusal,
            None => Refusal::NoServer,
        };
        let reach = match blocked {
            Refusal::Overloaded => RegionReason::HomeFull,
            _ => RegionReason::HomeLost,
        };
        let mut worst = blocked;
        for group in self.other_regions(fleet, query, groups()) {
            let has_waited = waited.as_secs_f64() >= self.rtt(&group.region);
            if reach == RegionReason::HomeFull && !has_waited {
                continue;
            }
            match search.choose_in(group, reach) {
                Ok(decision) if may_shift(&group.region) => return Ok(decision),
                Ok(_) => worst = Refusal::ShiftCapped,
                Err(refusal) => worst = worst.max(refusal),
            }
        }
        Err(worst)
    }

    // The regions other than the home region, by round-trip time plus a penalty
    // for utilization.
    fn other_regions<'f>(
        &self,
        fleet: &Fleet,
        query: &Query<'_>,
        groups: impl Iterator<Item = &'f Group>,
    ) -> impl Iterator<Item = &'f Group> {
        let mut others: SmallVec<[(f64, &Group); INLINE_REGIONS]> = SmallVec::new();
        for group in groups.filter(|g| g.region != *query.home) {
            let utilization = group.occupancy(fleet.instance_count).utilization();
            others.push((
                self.rtt(&group.region) + FULL_REGION_PENALTY_S * utilization,
                group,
            ));
        }
        others.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
        others.into_iter().map(|(_, group)| group)
    }

    pub(crate) fn domain(&self) -> &FailureDomain {
        &self.domain
    }

    pub(crate) fn rtt(&self, region: &Region) -> f64 {
        let index = self.rtts_s.binary_search_by(|(known, _)| known.cmp(region));
        match index {
            Ok(index) => self.rtts_s[index].1,
            Err(_) if *region == self.region => 0.0,
            Err(_) => DEFAULT_REGION_RTT.as_secs_f64(),
        }
    }
}
