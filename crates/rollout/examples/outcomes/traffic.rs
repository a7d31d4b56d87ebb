//! Random traffic, and the profiles of good and faulty versions.

use std::f64::consts::TAU;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::Rng;

/// The routes and their fractions of the traffic.
pub const ROUTES: [(&str, f64); 4] = [
    ("find", 0.5),
    ("list", 0.3),
    ("verify", 0.15),
    ("transfer", 0.05),
];
/// The failure rate of a version without faults.
const BASE_FAILURES: f64 = 0.005;
/// The median latency in seconds.
const MEDIAN_SECS: f64 = 0.02;
/// The standard deviation of the latency's natural logarithm.
const LOG_SPREAD: f64 = 0.4;
/// The requests a second above which [`Profile::UnderLoad`] fails.
const OVERLOAD_PER_S: f64 = 40.0;

/// The answer to a request that hangs: none until its deadline.
const HANG: Answer = Answer {
    failed: true,
    latency: Duration::from_secs(10),
};

/// The behaviour of the new version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Profile {
    /// Like the old version.
    Good,
    /// Like the old version; both fail 30% more for a fifth of the move.
    SharedFault,
    /// Like the old version, but its backend servers are cold and slow for 5 s.
    ColdStart,
    /// Fails 1% more, which is below the margin of 5%.
    BelowMargin,
    /// Fails 20% more from the start.
    AtOnce,
    /// Fails by exactly the margin more from the start.
    AtMargin,
    /// Fails 30% more from half of the move on.
    Late,
    /// Fails 30% more above 40 requests a second.
    UnderLoad,
    /// Fails 50% more on the route with 5% of the traffic.
    SingleRoute,
    /// Takes twice as long.
    Slow,
    /// Takes four times as long on the route with 15% of the traffic.
    SlowRoute,
    /// Doesn't answer until the deadline of 10 s.
    Hangs,
    /// Fails always in the fifth of the move in which the old version fails 30% more.
    HiddenByShared,
}

/// The answer of a version to one request.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    /// Whether the request has failed.
    pub failed: bool,
    /// The time to the answer or the failure.
    pub latency: Duration,
}

/// The properties of a request that its outcome depends on.
#[derive(Clone, Copy, Debug)]
pub struct RequestContext {
    /// Whether it is sent to the new version.
    pub new: bool,
    /// The index of its route in [`ROUTES`].
    pub route: usize,
    /// The fraction of the move's time that has passed.
    pub progress: f64,
    /// Seconds since the new version's first request.
    pub age: f64,
    /// Requests a second at the new version.
    pub load: f64,
}

impl Profile {
    /// The profiles that should take over.
    pub const SOUND: [Self; 4] = [
        Self::Good,
        Self::SharedFault,
        Self::ColdStart,
        Self::BelowMargin,
    ];
    /// The profiles that should be rolled back.
    pub const BAD: [Self; 9] = [
        Self::AtOnce,
        Self::AtMargin,
        Self::Late,
        Self::UnderLoad,
        Self::SingleRoute,
        Self::Slow,
        Self::SlowRoute,
        Self::Hangs,
        Self::HiddenByShared,
    ];

    /// Returns whether the fault affects a request.
    pub fn shows(self, context: &RequestContext) -> bool {
        context.new
            && match self {
                Self::Good | Self::SharedFault | Self::ColdStart | Self::BelowMargin => false,
                Self::AtOnce | Self::AtMargin | Self::Slow | Self::Hangs => true,
                Self::Late => context.progress >= 0.5,
                Self::UnderLoad => context.load > OVERLOAD_PER_S,
                Self::SingleRoute => context.route == 3,
                Self::SlowRoute => context.route == 2,
                Self::HiddenByShared => (0.2..0.4).contains(&context.progress),
            }
    }

    /// Draws the answer to a request.
    pub fn answer(self, context: &RequestContext, rng: &mut SmallRng) -> Answer {
        let mut failures = BASE_FAILURES;
        let mut slowdown = 1.0;
        let shared = matches!(self, Self::SharedFault | Self::HiddenByShared);
        if shared && (0.2..0.4).contains(&context.progress) {
            failures += 0.3;
        }
        if self.shows(context) {
            match self {
                Self::AtOnce => failures += 0.2,
                Self::AtMargin => failures += 0.05,
                Self::Late | Self::UnderLoad => failures += 0.3,
                Self::SingleRoute => failures += 0.5,
                Self::HiddenByShared => failures = 1.0,
                Self::Hangs => return HANG,
                Self::Slow => slowdown = 2.0,
                Self::SlowRoute => slowdown = 4.0,
                Self::Good | Self::SharedFault | Self::ColdStart | Self::BelowMargin => {}
            }
        }
        if context.new && self == Self::BelowMargin {
            failures += 0.01;
        }
        if context.new && self == Self::ColdStart && context.age < 5.0 {
            slowdown = 10.0;
        }
        let latency = MEDIAN_SECS * slowdown * (LOG_SPREAD * normal(rng)).exp();
        Answer {
            failed: rng.random_bool(failures.min(1.0)),
            latency: Duration::from_secs_f64(latency),
        }
    }
}

/// Draws a route by its fraction of the traffic.
pub fn route(rng: &mut SmallRng) -> usize {
    let mut draw = rng.random::<f64>();
    let found = ROUTES.iter().position(|(_, fraction)| {
        draw -= fraction;
        draw < 0.0
    });
    found.unwrap_or(0)
}

/// Draws the number of arrivals from a Poisson distribution.
pub fn arrivals(rng: &mut SmallRng, mean: f64) -> u32 {
    let limit = (-mean).exp();
    let mut product = rng.random::<f64>();
    let mut count = 0;
    while product > limit {
        product *= rng.random::<f64>();
        count += 1;
    }
    count
}

// Draws from the standard normal distribution (Box-Muller).
fn normal(rng: &mut SmallRng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (TAU * rng.random::<f64>()).cos()
}
