//! Service times of routes, estimated from answers.
//!
//! For each route a moving average of the time is kept by [`Warmth`], and a
//! quantile of the times at servers that may not have cached the object. All
//! times are in milliseconds.

use std::time::Duration;

use corianderway_model::RouteName;
use corianderway_model::SortedMap;
use corianderway_model::Time;

/// Weight of a new time in the moving average.
const MEAN_GAIN: f64 = 0.08;

/// Weight of a new time in the moving average, if it refutes the estimate.
const REFUTATION_GAIN: f64 = 0.5;

/// How long no request is sent because of an estimate until one tests it.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Initial estimate for a server that has cached the object or is building its state,
/// as a share of the route's target latency. A target latency leaves a margin above the
/// time at a server that has cached the object.
const INITIAL_KNOWN_SHARE: f64 = 0.4;

/// Initial estimate for a server that may not have cached the object, as a
/// share of the route's target latency.
const INITIAL_UNKNOWN_SHARE: f64 = 1.2;

/// Number of measurements after which the initial estimate's weight in a moving
/// average is an eighth.
const MIN_MEASUREMENTS: u32 = 25;

/// Share of requests that end within a [`Quantile`].
const QUANTILE_LEVEL: f64 = 0.9;

/// Step of a [`Quantile`] for each request, as a share of its value.
const QUANTILE_GAIN: f64 = 0.1;

/// How likely a backend server has cached the state of an object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Warmth {
    /// This instance recently sent the server requests for the object.
    Known,
    /// A request of this instance for the object runs there, the first one.
    Building,
    /// The server is the object's owner.
    Likely,
    /// Neither.
    Unknown,
}

/// The estimated times of a route.
#[derive(Clone, Copy, Debug)]
struct Estimates {
    known: f64,
    building: f64,
    likely: f64,
    unknown: f64,
    /// Upper quantile of the times at servers that may not have cached the
    /// object.
    upper: Quantile,
    /// Number of measurements.
    count: u32,
    /// When the latest request was sent, by [`Warmth`].
    sent: [Time; 4],
}

/// The estimated times of all routes.
#[derive(Debug, Default)]
pub(crate) struct ServiceTimes(SortedMap<RouteName, Estimates>);

impl ServiceTimes {
    /// Returns the expected time of a request, in milliseconds.
    pub(crate) fn expected(&self, route: &RouteName, target_latency: f64, warmth: Warmth) -> f64 {
        let estimates = self.0.get(route).copied();
        estimates
            .unwrap_or_else(|| initial(target_latency))
            .of(warmth)
    }

    /// Returns the mean time at a server that has cached the object, or an
    /// upper limit of the normal times at one that may not have, in
    /// milliseconds.
    pub(crate) fn typical(&self, route: &RouteName, target_latency: f64, warmth: Warmth) -> f64 {
        let estimates = self.0.get(route).copied();
        let estimates = estimates.unwrap_or_else(|| initial(target_latency));
        match warmth {
            Warmth::Known => estimates.known,
            Warmth::Building | Warmth::Likely | Warmth::Unknown => {
                estimates.unknown.max(estimates.upper.value())
            }
        }
    }

    /// Returns whether there are enough measurements to compare answers with the
    /// estimates.
    pub(crate) fn is_measured(&self, route: &RouteName) -> bool {
        let estimates = self.0.get(route);
        estimates.is_some_and(|estimates| estimates.count >= MIN_MEASUREMENTS)
    }

    /// Returns whether a request that is expected to end too late is to be sent nevertheless.
    ///
    /// Only answers correct an estimate, and there are none while it refuses all requests.
    pub(crate) fn may_probe(&self, now: Time, route: &RouteName, warmth: Warmth) -> bool {
        let estimates = self.0.get(route);
        estimates
            .is_none_or(|estimates| now.since(estimates.sent[warmth as usize]) >= PROBE_INTERVAL)
    }

    /// Records that a request was sent.
    pub(crate) fn record_sent(
        &mut self,
        now: Time,
        route: &RouteName,
        target_latency: f64,
        warmth: Warmth,
    ) {
        let estimates = self
            .0
            .get_or_insert_with(route.clone(), || initial(target_latency));
        estimates.sent[warmth as usize] = now;
    }

    /// Records the measured time of a request that did not wait for a slot. `tests_estimate`
    /// says whether the request was expected to end too late.
    pub(crate) fn record(
        &mut self,
        route: &RouteName,
        target_latency: f64,
        warmth: Warmth,
        took: f64,
        tests_estimate: bool,
    ) {
        let estimates = self
            .0
            .get_or_insert_with(route.clone(), || initial(target_latency));
        let mean = match warmth {
            Warmth::Known => &mut estimates.known,
            Warmth::Building => &mut estimates.building,
            Warmth::Likely => &mut estimates.likely,
            Warmth::Unknown => &mut estimates.unknown,
        };
        let gain = if tests_estimate && took < *mean {
            REFUTATION_GAIN
        } else {
            MEAN_GAIN
        };
        *mean += (took - *mean) * gain;
        estimates.count = estimates.count.saturating_add(1);
        if warmth != Warmth::Known {
            estimates.upper.record(took);
        }
    }
}

impl Estimates {
    fn of(self, warmth: Warmth) -> f64 {
        match warmth {
            Warmth::Known => self.known,
            Warmth::Building => self.building,
            Warmth::Likely => self.likely,
            Warmth::Unknown => self.unknown,
        }
    }
}

fn initial(target_latency: f64) -> Estimates {
    Estimates {
        known: target_latency * INITIAL_KNOWN_SHARE,
        building: target_latency * INITIAL_KNOWN_SHARE,
        likely: target_latency * INITIAL_UNKNOWN_SHARE,
        unknown: target_latency * INITIAL_UNKNOWN_SHARE,
        upper: Quantile::default(),
        count: 0,
        sent: [Time::ZERO; 4],
    }
}

/// A running estimate of the time within which most requests end.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Quantile(f64);

impl Quantile {
    /// Records the time of a request, in milliseconds.
    pub(crate) fn record(&mut self, took: f64) {
        if self.0 <= 0.0 {
            self.0 = took;
        } else if took > self.0 {
            self.0 *= 1.0 + QUANTILE_GAIN * QUANTILE_LEVEL;
        } else {
            self.0 *= 1.0 - QUANTILE_GAIN * (1.0 - QUANTILE_LEVEL);
        }
    }

    /// Returns the estimate, in milliseconds.
    pub(crate) fn value(self) -> f64 {
        self.0
    }
}
