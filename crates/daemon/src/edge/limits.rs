//! The limits on callers' requests, set by the decision duty and read by the
//! callers duty.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use corianderway_steer::CallerLimits;
use corianderway_steer::Plan;

/// The configuration from which the current limits follow; reading takes no lock.
#[derive(Clone, Debug, Default)]
pub struct SharedLimits(Arc<ArcSwapOption<Plan>>);

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

    /// Returns the maximum time to the final answer on the route of a request, if the
    /// route sets one.
    pub fn route_timeout(&self, host: &str, path: &str) -> Option<Duration> {
        let plan = self.0.load();
        plan.as_ref()?.route(host, path)?.timeout
    }
}
