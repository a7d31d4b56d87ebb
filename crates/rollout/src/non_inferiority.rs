//! The test that passes: a sequential likelihood ratio of "no worse" to
//! "worse by the margin", against the old version at the same time.

use crate::sample::Sample;
use crate::sample::Stratum;

/// Requests of the old version from which its failure ratio is estimated.
const OLD_SAMPLES: u64 = 50;
/// Requests of the new version in one window.
const NEW_SAMPLES: u64 = 5;
/// Half a bad request, added so that no ratio is zero.
const HALF: f64 = 0.5;
/// The highest failure ratio that is reckoned with.
const CEILING: f64 = 0.99;

/// The evidence for the new version in one kind and scope.
#[derive(Clone, Debug)]
pub(crate) struct Proof {
    margin: f64,
    window: Stratum,
    gained: f64,
}

impl Proof {
    pub(crate) fn new(margin: f64) -> Self {
        Self {
            margin,
            window: Stratum::default(),
            gained: 0.0,
        }
    }

    /// Takes in requests that ran side by side.
    pub(crate) fn take(&mut self, stratum: Stratum) {
        self.window.add(stratum);
        let Stratum { old, new } = self.window;
        if old.total < OLD_SAMPLES || new.total < NEW_SAMPLES {
            return;
        }
        self.gained += log_ratio(old, new, self.margin);
        self.window = Stratum::default();
    }

    /// The log likelihood ratio since the last step.
    pub(crate) fn gained(&self) -> f64 {
        self.gained
    }

    /// Starts again from nothing, at a new share.
    pub(crate) fn restart(&mut self) {
        self.window = Stratum::default();
        self.gained = 0.0;
    }
}

fn log_ratio(old: Sample, new: Sample, margin: f64) -> f64 {
    let bad = old.bad as f64 + HALF;
    let good = (bad / (old.total as f64 + 2.0 * HALF)).min(CEILING - margin);
    let worse = good + margin;
    let answered = (new.total - new.bad) as f64;
    new.bad as f64 * (good / worse).ln() + answered * ((1.0 - good) / (1.0 - worse)).ln()
}
