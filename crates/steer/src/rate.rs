//! How many events a second come.

use std::time::Duration;

/// The time in which the fast mean takes on two thirds of a change.
const FAST: Duration = Duration::from_millis(1_100);

/// The same for the slow mean: few events a second need a longer look.
const SLOW: Duration = Duration::from_secs(4);

/// The shortest span over which events are counted.
const SPAN_LEAST: Duration = Duration::from_millis(50);

/// A mean that rises with a burst and falls slowly after it.
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

    /// Counts an event of some size.
    pub(crate) fn add(&mut self, size: f64) {
        self.count += size;
    }

    /// Takes in what was counted over a span; gives back the mean.
    pub(crate) fn settle(&mut self, span: Duration) -> f64 {
        let seconds = span.max(SPAN_LEAST).as_secs_f64();
        let latest = self.count / seconds;
        self.count = 0.0;
        let gain = |time: Duration| 1.0 - (-seconds / time.as_secs_f64()).exp();
        self.fast += (latest - self.fast) * gain(FAST);
        self.slow += (latest - self.slow) * gain(SLOW);
        self.mean()
    }

    /// The mean, in events a second.
    pub(crate) fn mean(&self) -> f64 {
        self.fast.max(self.slow)
    }
}
