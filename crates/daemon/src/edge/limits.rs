//! The limits on callers' requests, set by the decision duty and read by the
//! callers duty.

use std::sync::Arc;

use arc_swap::ArcSwap;
use corianderway_steer::CallerLimits;

/// The current limits; reading takes no lock.
#[derive(Clone, Debug, Default)]
pub struct SharedLimits(Arc<ArcSwap<CallerLimits>>);

impl SharedLimits {
    /// Replaces the limits.
    pub fn set(&self, limits: CallerLimits) {
        if **self.0.load() != limits {
            self.0.store(Arc::new(limits));
        }
    }

    /// Returns the current limits.
    pub fn get(&self) -> CallerLimits {
        **self.0.load()
    }
}
