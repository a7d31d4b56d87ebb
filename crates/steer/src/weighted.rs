//! The distribution of a route's requests over its services by weight.

use corianderway_model::RouteName;
use corianderway_model::Service;
use corianderway_model::SortedMap;

/// A smooth weighted round robin for each route: over any number of requests,
/// each service receives its share of them to within one request.
///
/// Each service has a credit, which grows by its share for every request and
/// falls by one when it is chosen. A change of the services resets the credits.
#[derive(Debug, Default)]
pub(crate) struct WeightedRoundRobin(SortedMap<RouteName, Vec<(Service, f64)>>);

impl WeightedRoundRobin {
    /// Returns the service for the next request of a route.
    pub(crate) fn next(&mut self, route: &RouteName, targets: &[(Service, u32)]) -> Service {
        if let [(only, _)] = targets {
            return only.clone();
        }
        let credits = self.0.get_or_insert_with(route.clone(), Vec::new);
        let unchanged =
            credits.len() == targets.len() && credits.iter().zip(targets).all(|(c, t)| c.0 == t.0);
        if !unchanged {
            *credits = targets.iter().map(|t| (t.0.clone(), 0.0)).collect();
        }
        let total: f64 = targets.iter().map(|t| f64::from(t.1)).sum();
        for (credit, target) in credits.iter_mut().zip(targets) {
            credit.1 += f64::from(target.1) / total;
        }
        let mut chosen = 0;
        for (index, credit) in credits.iter().enumerate() {
            if credit.1 > credits[chosen].1 {
                chosen = index;
            }
        }
        credits[chosen].1 -= 1.0;
        credits[chosen].0.clone()
    }
}
