//! An estimate of a rate of events.

use std::time::Duration;

/// The time constant of the fast mean: within it, the mean follows two thirds of a
/// change.
const FAST_TIME_CONSTANT: Duration = Duration::from_millis(1_100);

/// The time constant of the slow mean: a low rate needs a longer average.
const SLOW_TIME_CONSTANT: Duration = Duration::from_secs(4);

/// The minimum interval by which a count is divided.
const MIN_INTERVAL: Duration = Duration::from_millis(50);

/// The larger of two exponentially weighted means: it rises quickly with a burst and
/// falls slowly after it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Rate {
    count: f64,
    fast: f64,
    slow: f64,
}

impl Rate {
    /// Counts an event.
    pub(crate) fn count(&mut self) {
        self.add(1.0);
    }

    /// Counts an event of the given size.
    pub(crate) fn add(&mut self, size: f64) {
        self.count += size;
    }

    /// Updates the means with the events counted in the interval since the last update,
    /// and returns the rate.
    pub(crate) fn update(&mut self, span: Duration) -> f64 {
        let seconds = span.max(MIN_INTERVAL).as_secs_f64();
        let latest = self.count / seconds;
        self.count = 0.0;
        let gain = |time: Duration| 1.0 - (-seconds / time.as_secs_f64()).exp();
        self.fast += (latest - self.fast) * gain(FAST_TIME_CONSTANT);
        self.slow += (latest - self.slow) * gain(SLOW_TIME_CONSTANT);
        self.mean()
    }

    /// Returns the rate in events per second.
    pub(crate) fn mean(&self) -> f64 {
        self.fast.max(self.slow)
    }
}
