//! The cap on how fast moved traffic may grow.

use std::time::Duration;

use corianderway_model::Time;

use crate::bucket::Tokens;
use crate::bucket::Verdict;
use crate::limit::Limit;
use crate::quota::Quota;

/// Slices in one second.
const SLICES: usize = 10;
const SLICE_NANOS: u64 = 1_000_000_000 / SLICES as u64;
/// Slices kept: this second and the one before.
const KEPT: usize = 2 * SLICES;

/// What one instance moves into one region for one client account.
///
/// In each second it moves at most what it moved in the second before, plus
/// what it bought from the quota of [`Limit::Shift`]. Purchases of all
/// instances within a second never exceed the contract's shift, so neither
/// does the growth of their sum, and an instruction that is late or repeated
/// adds nothing.
#[derive(Clone, Debug, Default)]
pub struct ShiftLimit {
    moved: [u32; KEPT],
    bought: [u32; KEPT],
    newest: u64,
}

impl ShiftLimit {
    /// Makes a limit for an instance that has moved nothing yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Asks whether one request may be moved; buys growth if it must.
    pub fn admit(&mut self, now: Time, quota: &mut Quota, limit: &Limit) -> Verdict {
        self.advance(now);
        let at = self.newest as usize % KEPT;
        if self.last_second(&self.moved, 0) >= self.allowed() {
            let verdict = quota.admit(now, limit, Tokens::ONE);
            if let Verdict::Refused { retry_after } = verdict {
                let slice = Duration::from_nanos(SLICE_NANOS);
                let retry_after = retry_after.min(slice);
                return Verdict::Refused { retry_after };
            }
            self.bought[at] += 1;
        }
        self.moved[at] += 1;
        Verdict::Admitted
    }

    /// Requests moved within the last second.
    pub fn level(&mut self, now: Time) -> u32 {
        self.advance(now);
        self.last_second(&self.moved, 0)
    }

    fn allowed(&self) -> u32 {
        self.last_second(&self.moved, SLICES) + self.last_second(&self.bought, 0)
    }

    // Sums one second of slices that ends `back` slices ago.
    fn last_second(&self, counts: &[u32; KEPT], back: usize) -> u32 {
        let end = self.newest as usize + KEPT - back;
        (0..SLICES).map(|i| counts[(end - i) % KEPT]).sum()
    }

    fn advance(&mut self, now: Time) {
        let slice = now.nanos() / SLICE_NANOS;
        let passed = slice.saturating_sub(self.newest).min(KEPT as u64);
        for back in 0..passed {
            let at = (slice - back) as usize % KEPT;
            (self.moved[at], self.bought[at]) = (0, 0);
        }
        self.newest = self.newest.max(slice);
    }
}
