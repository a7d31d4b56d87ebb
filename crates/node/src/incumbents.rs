//! The version in service where no move says which it is.

use corianderway_model::Backend;
use corianderway_model::Service;
use corianderway_model::Version;

/// The version in service of each service that runs more than one.
#[derive(Debug, Default)]
pub(crate) struct Incumbents {
    // Sorted by service; every service that is known.
    rows: Vec<(Service, Version)>,
}

impl Incumbents {
    /// Takes a list of backend servers.
    ///
    /// A version stays in service while any server runs it; a service that is
    /// new here starts with the version of the most slots. So servers of a new
    /// version that are listed before its move get nothing.
    pub(crate) fn take(&mut self, backends: &[Backend]) {
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
            let most = of().map(|b| &b.version).max_by_key(|v| slots(v)).cloned();
            Some((service.clone(), kept.or(most)?))
        });
        self.rows = rows.collect();
    }

    /// The version in service.
    pub(crate) fn find(&self, service: &Service) -> Option<&Version> {
        let at = self.rows.binary_search_by(|row| row.0.cmp(service)).ok()?;
        Some(&self.rows[at].1)
    }
}
