//! The tests of a service as a whole and of each of its routes.

use std::time::Duration;

use corianderway_model::Sorted;
use corianderway_model::Time;

use crate::evidence::FaultKind;
use crate::sample::Stratum;
use crate::scope_tests::Scope;
use crate::tally::MAX_ROUTES;

/// The parts of an error probability for the whole service and for one route,
/// each for one kind of fault.
const WHOLE_PART: f64 = 0.25;
const ROUTE_PART: f64 = 0.25 / MAX_ROUTES as f64;

/// Compares two versions that run side by side; `K` names a route.
#[derive(Clone, Debug)]
pub struct Comparison<K> {
    margin: f64,
    span: Duration,
    start: Time,
    whole: Scope,
    routes: Sorted<K, Scope>,
}

impl<K: Ord + Clone> Comparison<K> {
    /// Makes a comparison that has seen nothing; `margin` is the ratio above
    /// the old version's that counts as a fault, `span` how long it may take.
    pub fn new(margin: f64, span: Duration, start: Time) -> Self {
        Self {
            margin,
            span,
            start,
            whole: Scope::new(margin, span, start),
            routes: Sorted::default(),
        }
    }

    /// Takes in requests of one route that ran side by side.
    pub fn take(&mut self, now: Time, route: &K, kind: FaultKind, stratum: Stratum) {
        let (margin, span, start) = (self.margin, self.span, self.start);
        let make = || Scope::new(margin, span, start);
        self.routes
            .get_or(route.clone(), make)
            .take(now, kind, stratum);
        self.whole.take(now, kind, stratum);
    }

    /// The fault that is shown to an error probability, with its route if it
    /// shows on one only.
    pub fn fault(&self, error: f64) -> Option<(FaultKind, Option<&K>)> {
        if let Some(kind) = self.whole.fault(error * WHOLE_PART) {
            return Some((kind, None));
        }
        self.routes.iter().find_map(|(route, scope)| {
            let kind = scope.fault(error * ROUTE_PART)?;
            Some((kind, Some(route)))
        })
    }

    /// Whether the new version is shown to be worse to an error probability, be
    /// the difference large or not.
    pub fn is_worse(&self, error: f64) -> bool {
        let least = |part: f64| -(error * part).ln();
        let mut routes = self.routes.iter();
        self.whole.doubt() >= least(WHOLE_PART)
            || routes.any(|(_, scope)| scope.doubt() >= least(ROUTE_PART))
    }

    /// The log of the strongest e-value against the new version.
    pub fn doubt(&self) -> f64 {
        let routes = self.routes.iter().map(|(_, scope)| scope.doubt());
        routes.fold(self.whole.doubt(), f64::max)
    }

    /// The log likelihood ratio for the new version, over the whole service.
    pub(crate) fn proof(&self) -> f64 {
        self.whole.proof()
    }

    /// The same for the route with the least.
    pub(crate) fn least_proof(&self) -> f64 {
        let routes = self.routes.iter().map(|(_, scope)| scope.proof());
        routes.fold(f64::INFINITY, f64::min)
    }

    /// Asks for new proof.
    pub(crate) fn restart_proof(&mut self) {
        self.whole.restart_proof();
        for (_, scope) in self.routes.iter_mut() {
            scope.restart_proof();
        }
    }
}
