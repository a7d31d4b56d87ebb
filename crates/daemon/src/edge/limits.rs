//! The limits on callers' requests and the terms of routes, set by the decision duty and read by the
//! callers duty.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use corianderway_model::Replay;
use corianderway_steer::CallerLimits;
use corianderway_steer::Plan;

/// The configuration from which the current limits follow; reading takes no lock.
#[derive(Clone, Debug, Default)]
pub struct SharedLimits(Arc<ArcSwapOption<Plan>>);

/// What a route sets for reading its requests.
#[derive(Clone, Copy, Debug)]
pub struct RouteTerms {
    /// The maximum time to the final answer.
    pub timeout: Option<Duration>,
    /// Whether a request may run more than once.
    pub replay: Replay,
}

impl SharedLimits {
    /// Replaces the configuration.
    pub fn set(&self, plan: &Arc<Plan>) {
        let known = self.0.load().as_ref().map(|known| known.version());
        if known != Some(plan.version()) {
            self.0.store(Some(Arc::clone(plan)));
        }
    }

    /// Returns the current limits.
    pub fn get(&self) -> CallerLimits {
        let plan = self.0.load();
        let plan = plan.as_ref();
        plan.map_or_else(CallerLimits::default, |plan| plan.callers())
    }

    /// Returns what the route of a request sets; `None` if the route is not known.
    pub fn route(&self, host: &str, path: &str) -> Option<RouteTerms> {
        let plan = self.0.load();
        let route = plan.as_ref()?.route(host, path)?;
        Some(RouteTerms {
            timeout: route.timeout,
            replay: route.replay,
        })
    }
}
