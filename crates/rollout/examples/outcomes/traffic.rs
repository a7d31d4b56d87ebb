//! Random traffic and the ways in which a version may be bad.

use std::f64::consts::TAU;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::Rng;

/// The routes and their parts of the traffic.
pub const ROUTES: [(&str, f64); 4] = [
    ("find", 0.5),
    ("list", 0.3),
    ("verify", 0.15),
    ("transfer", 0.05),
];
/// Failures of a sound version.
const BASE_FAILURES: f64 = 0.005;
/// The median latency in seconds, and the spread of its logarithm.
const MEDIAN_SECS: f64 = 0.02;
const SPREAD: f64 = 0.4;
/// The requests a second above which the fault under load shows.
const LOAD_RATE: f64 = 40.0;

/// What becomes of a request that hangs.
const HANG: Answer = Answer {
    failed: true,
    latency: Duration::from_secs(10),
};

/// How the new version behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// As the old one.
    Good,
    /// As the old one; both fail 30% for a fifth of the move.
    SharedFault,
    /// As the old one, but its servers are cold and slow for 5 s.
    ColdStart,
    /// Fails 1% more, which is below the margin of 5%.
    BelowMargin,
    /// Fails 20% more from the start.
    AtOnce,
    /// Fails by exactly the margin more from the start.
    AtMargin,
    /// Fails 30% more from half of the time on.
    Late,
    /// Fails 30% more above 40 requests a second.
    UnderLoad,
    /// Fails 50% more on the route with 5% of the traffic.
    SingleRoute,
    /// Takes twice as long.
    Slow,
    /// Takes four times as long on the route with 15% of the traffic.
    SlowRoute,
    /// Gives no answer until the deadline of 10 s.
    Hangs,
    /// Fails always while both versions fail 30% for a fifth of the move.
    HiddenByShared,
}

/// What a version does with one request.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    pub failed: bool,
    pub latency: Duration,
}

/// The circumstances of one request.
#[derive(Clone, Copy, Debug)]
pub struct Setting {
    pub new: bool,
    pub route: usize,
    /// The part of the move's time that has passed.
    pub part: f64,
    /// Seconds since the new version's first request.
    pub age: f64,
    /// Requests a second at the new version.
    pub load: f64,
}

impl Kind {
    /// The versions that should finish.
    pub const SOUND: [Self; 4] = [
        Self::Good,
        Self::SharedFault,
        Self::ColdStart,
        Self::BelowMargin,
    ];
    /// The versions that should be taken back.
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

    /// Whether the fault shows in this setting.
    pub fn shows(self, at: &Setting) -> bool {
        at.new
            && match self {
                Self::Good | Self::SharedFault | Self::ColdStart | Self::BelowMargin => false,
                Self::AtOnce | Self::AtMargin | Self::Slow | Self::Hangs => true,
                Self::Late => at.part >= 0.5,
                Self::UnderLoad => at.load > LOAD_RATE,
                Self::SingleRoute => at.route == 3,
                Self::SlowRoute => at.route == 2,
                Self::HiddenByShared => (0.2..0.4).contains(&at.part),
            }
    }

    /// Runs one request.
    pub fn answer(self, at: &Setting, rng: &mut SmallRng) -> Answer {
        let mut failures = BASE_FAILURES;
        let mut slowdown = 1.0;
        let shared = matches!(self, Self::SharedFault | Self::HiddenByShared);
        if shared && (0.2..0.4).contains(&at.part) {
            failures += 0.3;
        }
        if self.shows(at) {
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
        if at.new && self == Self::BelowMargin {
            failures += 0.01;
        }
        if at.new && self == Self::ColdStart && at.age < 5.0 {
            slowdown = 10.0;
        }
        let latency = MEDIAN_SECS * slowdown * (SPREAD * normal(rng)).exp();
        Answer {
            failed: rng.random_bool(failures.min(1.0)),
            latency: Duration::from_secs_f64(latency),
        }
    }
}

/// Draws a route by its part of the traffic.
pub fn route(rng: &mut SmallRng) -> usize {
    let mut draw = rng.random::<f64>();
    let at = ROUTES.iter().position(|(_, part)| {
        draw -= part;
        draw < 0.0
    });
    at.unwrap_or(0)
}

/// Draws the number of arrivals.
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

fn normal(rng: &mut SmallRng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (TAU * rng.random::<f64>()).cos()
}
