//! How much work callers offer for each service, and where.

use corianderway_model::Region;
use corianderway_model::Service;
use corianderway_model::Sorted;
use corianderway_model::Time;

use crate::digest::Works;
use crate::hash;
use crate::rate::Rate;

/// The least work that is told, in slots.
const TOLD_LEAST: f32 = 0.02;

/// The work that the callers of this instance offer.
#[derive(Debug, Default)]
pub(crate) struct Workload {
    rows: Sorted<Service, Rate>,
    settled: Time,
}

/// The work that the callers of each region offer for a service, in slots that
/// it keeps busy.
#[derive(Clone, Debug, Default)]
pub(crate) struct Offered {
    pub(crate) regions: Sorted<Region, f64>,
}

/// The work that all callers offer, by the hash of the service.
#[derive(Clone, Debug, Default)]
pub(crate) struct Offers(Sorted<u32, Offered>);

impl Workload {
    /// Counts a request that is expected to keep a slot busy for some seconds.
    pub(crate) fn count(&mut self, service: &Service, seconds: f64) {
        let row = self.rows.get_or(service.clone(), Rate::default);
        row.add(seconds);
    }

    /// The work that is offered, to be told.
    pub(crate) fn tell(&mut self, now: Time) -> Works {
        let span = now.since(self.settled);
        self.settled = now;
        let rows = self.rows.iter_mut().map(|(service, rate)| {
            let work = rate.settle(span) as f32;
            (hash::short(service.as_str()), work)
        });
        let mut works: Works = rows.filter(|row| row.1 > TOLD_LEAST).collect();
        works.sort_by_key(|row| row.0);
        works
    }
}

impl Offers {
    /// Adds the work that a failure domain of a region told.
    pub(crate) fn add(&mut self, region: &Region, works: &Works) {
        for (service, work) in works {
            let offered = self.0.get_or(*service, Offered::default);
            let work = f64::from(*work);
            *offered.regions.get_or(region.clone(), || 0.0) += work;
        }
    }

    /// The work that is offered for a service.
    pub(crate) fn of(&self, service: &Service) -> Option<&Offered> {
        self.0.get(&hash::short(service.as_str()))
    }
}
