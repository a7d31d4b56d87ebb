//! A retry budget relative to recent first attempts.

use std::time::Duration;

use corianderway_model::Time;

/// Slices per window.
const SLICES_PER_WINDOW: usize = 10;

/// Slices kept. The newest is incomplete, so a whole window needs one more.
const HISTORY_SLICES: usize = SLICES_PER_WINDOW + 1;

/// Limits retries to a fraction of recent first attempts.
///
/// Both are counted over the same sliding window, so an instance that loses all
/// its backend servers adds at most that fraction to their load.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    // Retries allowed per 2^16 first attempts.
    ratio: u64,
    // Retries allowed in each window regardless of first attempts.
    base_retries: u64,
    slice_nanos: u64,
    first_tries: [u64; HISTORY_SLICES],
    retries: [u64; HISTORY_SLICES],
    // The number of the newest slice.
    newest: u64,
}

impl RetryBudget {
    /// Creates a budget: in each `window`, retries are at most `ratio` times
    /// the first attempts, plus `base_retries`.
    pub fn new(ratio: f64, base_retries: u64, window: Duration) -> Self {
        Self {
            ratio: (ratio * 65536.0) as u64,
            base_retries,
            slice_nanos: (window.as_nanos() as u64 / SLICES_PER_WINDOW as u64).max(1),
            first_tries: [0; HISTORY_SLICES],
            retries: [0; HISTORY_SLICES],
            newest: 0,
        }
    }

    /// Changes the limits that [`RetryBudget::new`] set. What was counted stays.
    pub fn set_limits(&mut self, ratio: f64, base_retries: u64) {
        self.ratio = (ratio * 65536.0) as u64;
        self.base_retries = base_retries;
    }

    /// Counts a first attempt.
    pub fn record_attempt(&mut self, now: Time) {
        let index = self.advance(now);
        self.first_tries[index] += 1;
    }

    /// Takes one retry from the budget. Returns false if none is left.
    pub fn try_take(&mut self, now: Time) -> bool {
        let index = self.advance(now);
        // First attempts count for at most a window, retries for at least one.
        let oldest = (index + 1) % HISTORY_SLICES;
        let first_tries: u64 = self.first_tries.iter().sum::<u64>() - self.first_tries[oldest];
        let retries: u64 = self.retries.iter().sum();
        let allowed = retries < self.base_retries + ((first_tries * self.ratio) >> 16);
        self.retries[index] += u64::from(allowed);
        allowed
    }

    fn advance(&mut self, now: Time) -> usize {
        let slice = now.as_nanos() / self.slice_nanos;
        let passed = slice.saturating_sub(self.newest).min(HISTORY_SLICES as u64);
        for back in 0..passed {
            let index = (slice - back) as usize % HISTORY_SLICES;
            (self.first_tries[index], self.retries[index]) = (0, 0);
        }
        self.newest = self.newest.max(slice);
        self.newest as usize % HISTORY_SLICES
    }
}
