//! The platform's limits on the behaviour of the fleet.

use std::time::Duration;

/// The limits that the platform's operators set for the fleet.
///
/// The values come from the settings of each deployment; the default applies where
/// these state none.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// The time from the signal for a planned stop to the forced end of the process.
    pub grace: Duration,
    /// The maximum number of retries to a service, as a fraction of its requests.
    pub retry_ratio: f64,
    /// The window over which retries and requests are counted.
    pub retry_window: Duration,
    /// Retries per window that are allowed beyond the fraction, over all instances.
    pub retry_extra: f64,
    /// The maximum fraction of a service's requests, from the order to the deadline,
    /// that a target may get if it proves faulty.
    pub canary_share: f64,
    /// Requests that such a target may get beyond the fraction.
    pub canary_extra: f64,
    /// The maximum time that callers may use an answer of the directory.
    pub advice_most: Duration,
    /// The maximum change, from one [`SHIFT_INTERVAL`] to the next, in the fraction of a
    /// region's requests that are sent to another region.
    pub shift_most: f64,
    /// Whether attempts are counted for reports on the client accounts' usage.
    pub count_attempts: bool,
    /// Whether requests may wait for room beyond an eighth of their objective, where the
    /// shortage can pass.
    pub long_waits: bool,
}

/// The interval over which the fractions of shifted requests are compared.
pub const SHIFT_INTERVAL: Duration = Duration::from_secs(2);

impl Default for Bounds {
    /// Returns the limits of a fleet whose operators set none.
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
            count_attempts: false,
            long_waits: false,
        }
    }
}
