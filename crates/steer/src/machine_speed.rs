//! How long work takes on the machines that backend servers share with other programs.
//!
//! A server may state it with its answers, in percent of the usual. It changes within fractions
//! of a second, so a statement tells the less, the older it is. How much of it remains after
//! which time is learnt from successive statements of one server.

use std::time::Duration;

use corianderway_model::Time;

/// The upper limits of the ages for each of which the remaining part is learnt.
const AGE_LIMITS: [Duration; 5] = [
    Duration::from_millis(100),
    Duration::from_millis(200),
    Duration::from_millis(400),
    Duration::from_millis(800),
    Duration::from_millis(1_600),
];

/// Statements older than this tell nothing.
const MAX_AGE: Duration = Duration::from_millis(1_600);

/// The weight of a new sample in the moving averages.
const GAIN: f64 = 0.02;

/// The variance that is assumed before the first samples, in squares of the usual time. Until
/// the samples outweigh it, a statement counts for little.
const INITIAL_VARIANCE: f64 = 0.05;

/// The longest time that is believed, in multiples of the usual.
const MAX_STRETCH: f64 = 20.0;

/// The shortest time that is believed, in multiples of the usual.
const MIN_STRETCH: f64 = 0.1;

/// What a server stated last, in multiples of the usual time, and when.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Stretch {
    at: Time,
    factor: f64,
}

impl Stretch {
    /// Creates a statement from its percentage, within the range that is believed.
    pub(crate) fn new(at: Time, percent: u32) -> Self {
        let factor = (f64::from(percent) / 100.0).clamp(MIN_STRETCH, MAX_STRETCH);
        Self { at, factor }
    }
}

/// What is known of the machines of all servers.
#[derive(Clone, Debug)]
pub(crate) struct MachineSpeeds {
    mean: f64,
    // For each age, the moving averages of the covariance of two statements and of the
    // variance of the earlier one.
    pairs: [(f64, f64); AGE_LIMITS.len()],
}

impl Default for MachineSpeeds {
    fn default() -> Self {
        Self {
            mean: 1.0,
            pairs: [(0.0, INITIAL_VARIANCE); AGE_LIMITS.len()],
        }
    }
}

impl MachineSpeeds {
    /// Records a statement of a server and its earlier one.
    pub(crate) fn record(&mut self, earlier: Option<Stretch>, stated: Stretch) {
        self.mean += (stated.factor - self.mean) * GAIN;
        let Some(earlier) = earlier else {
            return;
        };
        let Some(index) = age_index(stated.at.since(earlier.at)) else {
            return;
        };
        let (before, after) = (earlier.factor - self.mean, stated.factor - self.mean);
        let (covariance, variance) = &mut self.pairs[index];
        *covariance += (before * after - *covariance) * GAIN;
        *variance += (before * before - *variance) * GAIN;
    }

    /// Returns the factor by which work at a server takes longer than on the mean machine, as
    /// far as its last statement still tells; 1 without one.
    pub(crate) fn factor(&self, now: Time, stated: Option<Stretch>) -> f64 {
        let Some(stated) = stated else {
            return 1.0;
        };
        let Some(index) = age_index(now.since(stated.at)) else {
            return 1.0;
        };
        let (covariance, variance) = self.pairs[index];
        let remaining = (covariance / variance.max(f64::EPSILON)).clamp(0.0, 1.0);
        let expected = self.mean + (stated.factor - self.mean) * remaining;
        expected.max(MIN_STRETCH) / self.mean.max(MIN_STRETCH)
    }

    /// Returns the factor by which an answer that states this took longer than on the mean
    /// machine, where `expected` is the factor that was expected when it was sent.
    pub(crate) fn factor_of_answer(&self, expected: f64, stated: Option<Stretch>) -> f64 {
        let Some(stated) = stated else {
            return expected;
        };
        let at_end = stated.factor / self.mean.max(MIN_STRETCH);
        f64::midpoint(expected, at_end)
    }
}

fn age_index(age: Duration) -> Option<usize> {
    let index = AGE_LIMITS.partition_point(|limit| *limit < age);
    (age <= MAX_AGE).then_some(index)
}
