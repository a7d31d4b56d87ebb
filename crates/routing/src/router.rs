//! The choice of region, version and backend server for one request.

use std::time::Duration;

use corianderway_model::FailureDomain;
use corianderway_model::Region;
use smallvec::SmallVec;

use crate::choice::Search;
use crate::fleet::Fleet;
use crate::group::Group;
use crate::query::Decision;
use crate::query::Query;
use crate::query::Reach;
use crate::query::Refusal;

// Round trip to another region, where none was given.
const REGION_TRIP: Duration = Duration::from_millis(70);
// How much farther a region may be, in seconds, to be preferred for being empty.
const FULL_COST: f64 = 0.050;
// Regions that are sorted without an allocation.
const USUAL_REGIONS: usize = 16;

/// Chooses backend servers for the requests of one instance.
#[derive(Clone, Debug)]
pub struct Router {
    region: Region,
    domain: FailureDomain,
    // Sorted by region.
    trips: Vec<(Region, f64)>,
}

impl Router {
    /// Makes a router for an instance in this region and failure domain.
    pub fn new(region: Region, domain: FailureDomain) -> Self {
        Self {
            region,
            domain,
            trips: Vec::new(),
        }
    }

    /// Sets the round trip from this instance to a region.
    pub fn set_trip(&mut self, region: &Region, trip: Duration) {
        let row = (region.clone(), trip.as_secs_f64());
        match self.trips.binary_search_by(|(known, _)| known.cmp(region)) {
            Ok(at) => self.trips[at] = row,
            Err(at) => self.trips.insert(at, row),
        }
    }

    /// Chooses a backend server, in another region at once if the home region is full.
    ///
    /// `draw` is a fresh random number. `may_shift` is asked, for another
    /// region than the home region, whether a request may go there now; a yes
    /// is counted against the cap by the one who gives it, and is followed by
    /// a decision for that region.
    ///
    /// # Errors
    ///
    /// Gives the reason when no backend server may take the request.
    pub fn route(
        &self,
        fleet: &Fleet,
        query: &Query<'_>,
        draw: u64,
        may_shift: impl FnMut(&Region) -> bool,
    ) -> Result<Decision, Refusal> {
        self.route_waiting(fleet, query, draw, Duration::MAX, may_shift)
    }

    /// Chooses a backend server for a request that may wait to be asked again.
    ///
    /// A full home region is left only once the request has waited as long as
    /// the round trip to the other region takes, so that neither costs more
    /// than twice the better of the two. A lost home region is left at once.
    ///
    /// # Errors
    ///
    /// Gives the reason when no backend server may take the request now.
    pub fn route_waiting(
        &self,
        fleet: &Fleet,
        query: &Query<'_>,
        draw: u64,
        waited: Duration,
        mut may_shift: impl FnMut(&Region) -> bool,
    ) -> Result<Decision, Refusal> {
        let places = fleet.groups_of(query.service);
        if places.is_empty() {
            return Err(Refusal::NoRegion);
        }
        let groups = || places.iter().map(|at| &fleet.groups[*at as usize]);
        let search = Search::new(self, fleet, query, draw);
        let home = groups().find(|g| g.region == *query.home);
        let blocked = match home.map(|group| search.within(group, Reach::Home)) {
            Some(Ok(decision)) => return Ok(decision),
            Some(Err(refusal)) => refusal,
            None => Refusal::NoServer,
        };
        let reach = match blocked {
            Refusal::Overloaded => Reach::HomeFull,
            _ => Reach::HomeLost,
        };
        let mut worst = blocked;
        for group in self.by_preference(fleet, query, groups()) {
            let is_due = waited.as_secs_f64() >= self.trip(&group.region);
            if reach == Reach::HomeFull && !is_due {
                continue;
            }
            match search.within(group, reach) {
                Ok(decision) if may_shift(&group.region) => return Ok(decision),
                Ok(_) => worst = Refusal::ShiftCapped,
                Err(refusal) => worst = worst.max(refusal),
            }
        }
        Err(worst)
    }

    // The regions other than the home region, near and empty ones first.
    fn by_preference<'f>(
        &self,
        fleet: &Fleet,
        query: &Query<'_>,
        groups: impl Iterator<Item = &'f Group>,
    ) -> impl Iterator<Item = &'f Group> {
        let mut others: SmallVec<[(f64, &Group); USUAL_REGIONS]> = SmallVec::new();
        for group in groups.filter(|g| g.region != *query.home) {
            let ratio = group.occupancy(fleet.instances).ratio();
            others.push((self.trip(&group.region) + FULL_COST * ratio, group));
        }
        others.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
        others.into_iter().map(|(_, group)| group)
    }

    pub(crate) fn domain(&self) -> &FailureDomain {
        &self.domain
    }

    pub(crate) fn trip(&self, region: &Region) -> f64 {
        let at = self.trips.binary_search_by(|(known, _)| known.cmp(region));
        match at {
            Ok(at) => self.trips[at].1,
            Err(_) if *region == self.region => 0.0,
            Err(_) => REGION_TRIP.as_secs_f64(),
        }
    }
}
