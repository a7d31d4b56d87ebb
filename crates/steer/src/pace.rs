//! How long requests take, learnt from answers.

use corianderway_model::RouteName;
use corianderway_model::Sorted;

/// The weight of a new measurement.
const GAIN: f64 = 0.08;

/// The expected time before the first measurement, as a part of the route's
/// objective: an objective leaves room for a server that knows the object.
const FIRST_KNOWN: f64 = 0.4;

/// The same for a server that has not handled the object.
const FIRST_UNKNOWN: f64 = 1.2;

/// Measurements after which the first guess is an eighth of a mean.
const LEARNT: u32 = 25;

/// The part of requests that end within a [`Quantile`].
const QUANTILE: f64 = 0.9;

/// How far one request moves a [`Quantile`], as a part of it.
const QUANTILE_GAIN: f64 = 0.1;

/// How likely a backend server has the state of an object at hand.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Warmth {
    /// This instance sent it requests for the object lately.
    Known,
    /// The first choice of the instances of its region for the object.
    Likely,
    /// Neither.
    Unknown,
}

/// The mean times of a route, in milliseconds, by warmth.
#[derive(Clone, Copy, Debug)]
struct Means {
    known: f64,
    likely: f64,
    unknown: f64,
    /// The longer times at servers that may not have handled the object.
    longer: Quantile,
    /// Measurements so far.
    count: u32,
}

/// The times that requests take, by route.
#[derive(Debug, Default)]
pub(crate) struct Paces(Sorted<RouteName, Means>);

impl Paces {
    /// The time that a request is expected to run, in milliseconds.
    pub(crate) fn expect(&self, route: &RouteName, objective: f64, warmth: Warmth) -> f64 {
        let means = self.0.get(route).copied();
        means.unwrap_or_else(|| first(objective)).of(warmth)
    }

    /// The time that a request usually takes at a server that has handled its
    /// object, or the longest that is usual at one that may not have.
    pub(crate) fn usual(&self, route: &RouteName, objective: f64, warmth: Warmth) -> f64 {
        let means = self.0.get(route).copied();
        let means = means.unwrap_or_else(|| first(objective));
        match warmth {
            Warmth::Known => means.known,
            Warmth::Likely | Warmth::Unknown => means.unknown.max(means.longer.value()),
        }
    }

    /// Whether enough was measured for the times of a route to be compared with.
    pub(crate) fn is_learnt(&self, route: &RouteName) -> bool {
        let means = self.0.get(route);
        means.is_some_and(|means| means.count >= LEARNT)
    }

    /// Takes a measurement of a request that did not have to wait.
    pub(crate) fn learn(&mut self, route: &RouteName, objective: f64, warmth: Warmth, took: f64) {
        let means = self.0.get_or(route.clone(), || first(objective));
        let mean = match warmth {
            Warmth::Known => &mut means.known,
            Warmth::Likely => &mut means.likely,
            Warmth::Unknown => &mut means.unknown,
        };
        *mean += (took - *mean) * GAIN;
        means.count = means.count.saturating_add(1);
        if warmth != Warmth::Known {
            means.longer.note(took);
        }
    }
}

impl Means {
    fn of(self, warmth: Warmth) -> f64 {
        match warmth {
            Warmth::Known => self.known,
            Warmth::Likely => self.likely,
            Warmth::Unknown => self.unknown,
        }
    }
}

fn first(objective: f64) -> Means {
    Means {
        known: objective * FIRST_KNOWN,
        likely: objective * FIRST_UNKNOWN,
        unknown: objective * FIRST_UNKNOWN,
        longer: Quantile::default(),
        count: 0,
    }
}

/// The time within which most requests end, learnt from each in turn.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Quantile(f64);

impl Quantile {
    /// Takes the time of one request, in milliseconds.
    pub(crate) fn note(&mut self, took: f64) {
        if self.0 <= 0.0 {
            self.0 = took;
        } else if took > self.0 {
            self.0 *= 1.0 + QUANTILE_GAIN * QUANTILE;
        } else {
            self.0 *= 1.0 - QUANTILE_GAIN * (1.0 - QUANTILE);
        }
    }

    /// The estimate, in milliseconds.
    pub(crate) fn value(self) -> f64 {
        self.0
    }
}
