//! Offered load: the work that callers request of each service, by region.
//!
//! Work is measured in slots: the seconds of service time requested per second.

use corianderway_model::Region;
use corianderway_model::Service;
use corianderway_model::SortedMap;
use corianderway_model::Time;

use crate::digest::Workloads;
use crate::hash;
use crate::rate::Rate;

/// Minimum load that is reported, in slots.
const MIN_REPORTED_SLOTS: f32 = 0.02;

/// The load that this instance's callers offer.
#[derive(Debug, Default)]
pub(crate) struct Workload {
    rows: SortedMap<Service, Rate>,
    reported: Time,
}

/// The load offered for one service by the callers of each region, in slots.
#[derive(Clone, Debug, Default)]
pub(crate) struct OfferedLoad {
    pub(crate) regions: SortedMap<Region, f64>,
}

/// The load offered by all callers, by the short hash of the service.
#[derive(Clone, Debug, Default)]
pub(crate) struct OfferedLoads(SortedMap<u32, OfferedLoad>);

impl Workload {
    /// Counts a request that is expected to use a slot for this many seconds.
    pub(crate) fn count(&mut self, service: &Service, seconds: f64) {
        let row = self.rows.get_or_insert_with(service.clone(), Rate::default);
        row.add(seconds);
    }

    /// Returns the load per service since the last call, for the digest.
    pub(crate) fn report(&mut self, now: Time) -> Workloads {
        let span = now.since(self.reported);
        self.reported = now;
        let rows = self.rows.iter_mut().map(|(service, rate)| {
            let work = rate.update(span) as f32;
            (hash::short(service.as_str()), work)
        });
        let mut workloads: Workloads = rows.filter(|row| row.1 > MIN_REPORTED_SLOTS).collect();
        workloads.sort_by_key(|row| row.0);
        workloads
    }
}

impl OfferedLoads {
    /// Adds the load that a failure domain of the region reported.
    pub(crate) fn add(&mut self, region: &Region, workloads: &Workloads) {
        for (service, work) in workloads {
            let load = self.0.get_or_insert_with(*service, OfferedLoad::default);
            let work = f64::from(*work);
            *load.regions.get_or_insert_with(region.clone(), || 0.0) += work;
        }
    }

    /// Returns the load offered for a service, if any is reported.
    pub(crate) fn load_of(&self, service: &Service) -> Option<&OfferedLoad> {
        self.0.get(&hash::short(service.as_str()))
    }
}
