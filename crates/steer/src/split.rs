//! Which of a route's services takes a request, by weight.

use corianderway_model::RouteName;
use corianderway_model::Service;
use corianderway_model::Sorted;

/// Weighted turns: over any number of requests each service is within one
/// request of its part.
#[derive(Debug, Default)]
pub(crate) struct Splits(Sorted<RouteName, Vec<(Service, f64)>>);

impl Splits {
    /// The service of the next request of a route.
    pub(crate) fn next(&mut self, route: &RouteName, targets: &[(Service, u32)]) -> Service {
        if let [(only, _)] = targets {
            return only.clone();
        }
        let credits = self.0.get_or(route.clone(), Vec::new);
        let same =
            credits.len() == targets.len() && credits.iter().zip(targets).all(|(c, t)| c.0 == t.0);
        if !same {
            *credits = targets.iter().map(|t| (t.0.clone(), 0.0)).collect();
        }
        let total: f64 = targets.iter().map(|t| f64::from(t.1)).sum();
        for (credit, target) in credits.iter_mut().zip(targets) {
            credit.1 += f64::from(target.1) / total;
        }
        let mut best = 0;
        for (at, credit) in credits.iter().enumerate() {
            if credit.1 > credits[best].1 {
                best = at;
            }
        }
        credits[best].1 -= 1.0;
        credits[best].0.clone()
    }
}
