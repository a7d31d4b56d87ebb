//! The non-inferiority test: whether the new version is no worse by the margin.
//!
//! The test is a sequential likelihood ratio of "no worse" to "worse by the
//! margin". Both hypotheses are set relative to the old version's failure rate in
//! the same window.

use crate::sample::Sample;
use crate::sample::Stratum;

/// The minimum of requests of the old version in a window, from which its failure
/// rate is estimated.
const MIN_OLD_REQUESTS: u64 = 50;
/// The minimum of requests of the new version in a window.
const MIN_NEW_REQUESTS: u64 = 5;
/// Pseudo-requests that are added as bad and as good ones, so that no rate is zero.
const PSEUDO_COUNT: f64 = 0.5;
/// The highest failure rate of a hypothesis.
const MAX_RATE: f64 = 0.99;

/// The non-inferiority test for one kind of fault in one scope.
#[derive(Clone, Debug)]
pub(crate) struct NonInferiorityTest {
    margin: f64,
    // Requests that are not in `log_ratio` yet.
    window: Stratum,
    log_ratio: f64,
}

impl NonInferiorityTest {
    pub(crate) fn new(margin: f64) -> Self {
        Self {
            margin,
            window: Stratum::default(),
            log_ratio: 0.0,
        }
    }

    /// Adds a stratum, and evaluates the window once it holds enough requests.
    pub(crate) fn update(&mut self, stratum: Stratum) {
        self.window.add(stratum);
        let Stratum { old, new } = self.window;
        if old.total < MIN_OLD_REQUESTS || new.total < MIN_NEW_REQUESTS {
            return;
        }
        self.log_ratio += window_log_ratio(old, new, self.margin);
        self.window = Stratum::default();
    }

    /// Returns the log likelihood ratio since the last restart.
    pub(crate) fn log_ratio(&self) -> f64 {
        self.log_ratio
    }

    /// Discards the evidence, as at a new share.
    pub(crate) fn restart(&mut self) {
        self.window = Stratum::default();
        self.log_ratio = 0.0;
    }
}

fn window_log_ratio(old: Sample, new: Sample, margin: f64) -> f64 {
    let bad = old.bad as f64 + PSEUDO_COUNT;
    let equal_rate = (bad / (old.total as f64 + 2.0 * PSEUDO_COUNT)).min(MAX_RATE - margin);
    let worse_rate = equal_rate + margin;
    let good = (new.total - new.bad) as f64;
    new.bad as f64 * (equal_rate / worse_rate).ln()
        + good * ((1.0 - equal_rate) / (1.0 - worse_rate)).ln()
}
