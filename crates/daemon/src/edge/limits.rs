//! What callers may send, shared between the decision duty and the callers duty.

use std::sync::Arc;

use arc_swap::ArcSwap;
use corianderway_steer::CallerLimits;

/// The limits in force; read without a lock.
#[derive(Clone, Debug, Default)]
pub struct SharedLimits(Arc<ArcSwap<CallerLimits>>);

impl SharedLimits {
    /// Puts limits in force.
    pub fn set(&self, limits: CallerLimits) {
        if **self.0.load() != limits {
            self.0.store(Arc::new(limits));
        }
    }

    /// The limits in force.
    pub fn get(&self) -> CallerLimits {
        **self.0.load()
    }
}
