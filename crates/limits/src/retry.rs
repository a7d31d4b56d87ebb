//! Retries as a fraction of recent first tries.

use std::time::Duration;

use corianderway_model::Time;

/// Slices in a span.
const SLICES: usize = 10;

/// Slices that are kept: the newest is not over, so a whole span needs one more.
const KEPT: usize = SLICES + 1;

/// A budget that lets retries be at most a fraction of recent first tries.
///
/// Both are counted over the same sliding span, so an instance that loses
/// all its backend servers adds at most that fraction to their load.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    // Retries allowed for 2^16 first tries.
    ratio: u64,
    // Retries in each span that need no first tries.
    spare: u64,
    slice: u64,
    tries: [u64; KEPT],
    retries: [u64; KEPT],
    // The number of the newest slice.
    newest: u64,
}

impl RetryBudget {
    /// Makes a budget: retries in each `span` are at most `ratio` times the
    /// first tries in it, plus `spare`.
    pub fn new(ratio: f64, spare: u64, span: Duration) -> Self {
        Self {
            ratio: (ratio * 65536.0) as u64,
            spare,
            slice: (span.as_nanos() as u64 / SLICES as u64).max(1),
            tries: [0; KEPT],
            retries: [0; KEPT],
            newest: 0,
        }
    }

    /// Counts a first try.
    pub fn record(&mut self, now: Time) {
        let at = self.advance(now);
        self.tries[at] += 1;
    }

    /// Takes one retry from the budget; false if none is left.
    pub fn take(&mut self, now: Time) -> bool {
        let at = self.advance(now);
        // First tries count for no longer than a span, retries for no less.
        let oldest = (at + 1) % KEPT;
        let tries: u64 = self.tries.iter().sum::<u64>() - self.tries[oldest];
        let retries: u64 = self.retries.iter().sum();
        let left = retries < self.spare + ((tries * self.ratio) >> 16);
        self.retries[at] += u64::from(left);
        left
    }

    fn advance(&mut self, now: Time) -> usize {
        let slice = now.nanos() / self.slice;
        let passed = slice.saturating_sub(self.newest).min(KEPT as u64);
        for back in 0..passed {
            let at = (slice - back) as usize % KEPT;
            (self.tries[at], self.retries[at]) = (0, 0);
        }
        self.newest = self.newest.max(slice);
        self.newest as usize % KEPT
    }
}
