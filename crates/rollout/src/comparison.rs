//! The statistical tests of a service as a whole and of each of its routes.

use std::time::Duration;

use corianderway_model::SortedMap;
use corianderway_model::Time;

use crate::evidence::FaultKind;
use crate::sample::Stratum;
use crate::scope_tests::ScopeTests;
use crate::tally::MAX_ROUTES;

/// The fraction of an error probability that a test of the whole service may use.
/// Each of the two kinds of fault has a test.
const SERVICE_FRACTION: f64 = 0.25;
/// The fraction that a test of one route may use; all routes together use as much
/// as the whole service.
const ROUTE_FRACTION: f64 = 0.25 / MAX_ROUTES as f64;

/// A sequential comparison of two versions that run side by side; `K` names a route.
///
/// Its input is strata of requests. The error probability that a result is asked
/// for is divided among all tests, so it holds for all of them together (Bonferroni).
#[derive(Clone, Debug)]
pub struct Comparison<K> {
    margin: f64,
    span: Duration,
    start: Time,
    service: ScopeTests,
    routes: SortedMap<K, ScopeTests>,
}

impl<K: Ord + Clone> Comparison<K> {
    /// Creates a comparison without data.
    ///
    /// `margin` is the excess over the old version's failure rate that counts as a
    /// fault, `span` the time that the comparison may take from `start` on.
    pub fn new(margin: f64, span: Duration, start: Time) -> Self {
        Self {
            margin,
            span,
            start,
            service: ScopeTests::new(margin, span, start),
            routes: SortedMap::default(),
        }
    }

    /// Adds a stratum of one route.
    pub fn update(&mut self, now: Time, route: &K, kind: FaultKind, stratum: Stratum) {
        let (margin, span, start) = (self.margin, self.span, self.start);
        let make = || ScopeTests::new(margin, span, start);
        self.routes
            .get_or_insert_with(route.clone(), make)
            .update(now, kind, stratum);
        self.service.update(now, kind, stratum);
    }

    /// Returns the fault that is shown with at most this error probability, and its
    /// route if the fault isn't shown over all routes together.
    pub fn fault(&self, alpha: f64) -> Option<(FaultKind, Option<&K>)> {
        if let Some(kind) = self.service.fault(alpha * SERVICE_FRACTION) {
            return Some((kind, None));
        }
        self.routes.iter().find_map(|(route, scope)| {
            let kind = scope.fault(alpha * ROUTE_FRACTION)?;
            Some((kind, Some(route)))
        })
    }

    /// Returns whether the new version is shown to be worse with at most this error
    /// probability, even if the difference is negligible.
    pub fn is_worse(&self, alpha: f64) -> bool {
        let required = |fraction: f64| -(alpha * fraction).ln();
        let mut routes = self.routes.iter();
        self.service.log_e_value() >= required(SERVICE_FRACTION)
            || routes.any(|(_, scope)| scope.log_e_value() >= required(ROUTE_FRACTION))
    }

    /// Returns the highest log e-value against the new version, of all scopes.
    pub fn log_e_value(&self) -> f64 {
        let routes = self.routes.iter().map(|(_, scope)| scope.log_e_value());
        routes.fold(self.service.log_e_value(), f64::max)
    }

    /// Returns the log likelihood ratio for non-inferiority over the whole service.
    pub(crate) fn log_ratio(&self) -> f64 {
        self.service.log_ratio()
    }

    /// Returns the lowest log likelihood ratio for non-inferiority of all routes.
    pub(crate) fn min_route_log_ratio(&self) -> f64 {
        let routes = self.routes.iter().map(|(_, scope)| scope.log_ratio());
        routes.fold(f64::INFINITY, f64::min)
    }

    /// Discards the evidence for non-inferiority.
    pub(crate) fn restart_non_inferiority(&mut self) {
        self.service.restart_non_inferiority();
        for (_, scope) in self.routes.iter_mut() {
            scope.restart_non_inferiority();
        }
    }
}
