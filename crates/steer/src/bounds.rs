//! What the platform promises of an instance, as figures.

use std::time::Duration;

/// The bounds within which the platform's operators hold the fleet.
///
/// The figures come with the settings of each deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// The time from a planned stop's signal to the forced end.
    pub grace: Duration,
    /// Repeated sendings to a service, as a fraction of the requests for it.
    pub retry_ratio: f64,
    /// The span over which sendings are counted.
    pub retry_window: Duration,
    /// Repeated sendings in each span that need no requests, over all instances.
    pub retry_extra: f64,
    /// The part of a service's requests, from the order to the deadline, that
    /// a version may get that turns out bad.
    pub canary_share: f64,
    /// Requests that it may get beside that.
    pub canary_extra: f64,
    /// How long the directory's advice may hold.
    pub advice_most: Duration,
    /// The part of a region's requests that may change their region between
    /// two spans of [`SHIFT_SPAN`].
    pub shift_most: f64,
}

/// The span between which shifts from region to region are compared.
pub const SHIFT_SPAN: Duration = Duration::from_secs(2);

impl Default for Bounds {
    /// The bounds of a fleet whose operators state none.
    fn default() -> Self {
        Self {
            grace: Duration::from_secs(6),
            retry_ratio: 0.2,
            retry_window: Duration::from_secs(10),
            retry_extra: 50.0,
            canary_share: 0.1,
            canary_extra: 50.0,
            advice_most: Duration::from_secs(5),
            shift_most: 0.15,
        }
    }
}
