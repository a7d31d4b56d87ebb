//! The current version of each service, which gets all requests while no version move
//! decides.

use corianderway_model::Backend;
use corianderway_model::Service;
use corianderway_model::Version;

/// The current version of each service.
#[derive(Debug, Default)]
pub(crate) struct CurrentVersions {
    // Sorted by service; contains every service that has backend servers.
    rows: Vec<(Service, Version)>,
}

impl CurrentVersions {
    /// Updates the versions from a list of backend servers.
    ///
    /// A version stays current while any server runs it. For a service that is new, it
    /// is the version with the most slots. So servers of a new version that are listed
    /// before its move get no requests.
    pub(crate) fn update(&mut self, backends: &[Backend]) {
        let mut services: Vec<&Service> = backends.iter().map(|b| &b.service).collect();
        services.sort();
        services.dedup();
        let rows = services.into_iter().filter_map(|service| {
            let of = || backends.iter().filter(|b| b.service == *service);
            let known = self.find(service).cloned();
            let kept = known.filter(|version| of().any(|b| b.version == *version));
            let slots = |version: &Version| -> u32 {
                let same = of().filter(|b| b.version == *version);
                same.map(|b| b.slots).sum()
            };
            let by_slots = of().map(|b| &b.version).max_by_key(|v| slots(v)).cloned();
            Some((service.clone(), kept.or(by_slots)?))
        });
        self.rows = rows.collect();
    }

    /// Returns the current version of a service.
    pub(crate) fn find(&self, service: &Service) -> Option<&Version> {
        let at = self.rows.binary_search_by(|row| row.0.cmp(service)).ok()?;
        Some(&self.rows[at].1)
    }
}
