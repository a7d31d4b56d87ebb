//! The cap on how fast moved traffic may grow.

use std::time::Duration;

use corianderway_model::Time;

use crate::bucket::Tokens;
use crate::bucket::Verdict;
use crate::limit::Limit;
use crate::quota::Quota;

/// Slices in one second.
const SLICES: u64 = 200;
const SLICE_NANOS: u64 = 1_000_000_000 / SLICES;
/// Slices by which a clock may run wrong within two seconds.
const GUARD: u64 = 1;
/// Slices that this second may touch.
const RECENT: u64 = SLICES + 1 + GUARD;
/// Slices kept: those, and the ones that the second before surely holds.
const KEPT: u64 = 2 * SLICES - GUARD;
/// The span over which purchases count, in seconds.
pub(crate) const SPAN: f64 = RECENT as f64 / SLICES as f64;

/// What one instance moves into one region for one client account.
///
/// In each second it moves at most what it moved in the second before, plus
/// what it bought from the quota of [`Limit::Shift`]. Purchases of all
/// instances within a second never exceed the contract's shift, so neither
/// does the growth of their sum, and an instruction that is late or repeated
/// adds nothing.
///
/// A request counts in every second that ends within one second after it, so
/// each of these is checked. Slices at the ends of a second count in full for
/// this second and not at all for the one before; the bound holds for seconds
/// that begin anywhere and for clocks that run wrong by up to 0.25%. A steady
/// flow therefore buys 2.5% of itself anew in each second.
#[derive(Clone, Debug)]
pub struct ShiftLimit {
    // Requests moved and purchased in each slice, by slice number modulo KEPT.
    moved: Vec<u32>,
    bought: Vec<u32>,
    newest: u64,
    // Requests that may still be moved in this slice without a purchase.
    slack: u32,
}

impl Default for ShiftLimit {
    fn default() -> Self {
        Self {
            moved: vec![0; KEPT as usize],
            bought: vec![0; KEPT as usize],
            newest: 0,
            slack: 0,
        }
    }
}

impl ShiftLimit {
    /// Makes a limit for an instance that has moved nothing yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Asks whether one request may be moved; buys growth if it must.
    pub fn admit(&mut self, now: Time, quota: &mut Quota, limit: &Limit) -> Verdict {
        self.advance(now);
        let at = slot(self.newest);
        if self.slack > 0 {
            self.slack -= 1;
        } else {
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
        let last = (0..SLICES).map(|back| self.moved[slot(self.newest + KEPT - back)]);
        last.sum()
    }

    fn advance(&mut self, now: Time) {
        let slice = now.nanos() / SLICE_NANOS;
        if slice <= self.newest {
            return;
        }
        for back in 0..(slice - self.newest).min(KEPT) {
            let at = slot(slice + KEPT - back);
            (self.moved[at], self.bought[at]) = (0, 0);
        }
        self.newest = slice;
        self.slack = self.least_slack();
    }

    // Slides a second forward from now until it holds only what is to come.
    fn least_slack(&self) -> u32 {
        let oldest = self.newest + 1;
        let middle = self.newest + 1 + KEPT - RECENT;
        let sum = |counts: &[u32], from: u64, to: u64| -> u32 {
            (from..to).map(|s| counts[slot(s)]).sum()
        };
        let end = self.newest + 1 + KEPT;
        let mut earlier = sum(&self.moved, oldest, middle);
        let mut recent = sum(&self.moved, middle, end);
        let mut growth = sum(&self.bought, middle, end);
        let mut least = (earlier + growth).saturating_sub(recent);
        for step in 0..RECENT {
            let (left, last) = (slot(middle + step), slot(oldest + step));
            recent -= self.moved[left];
            growth -= self.bought[left];
            earlier = earlier + self.moved[left] - self.moved[last];
            least = least.min((earlier + growth).saturating_sub(recent));
        }
        least
    }
}

fn slot(slice: u64) -> usize {
    (slice % KEPT) as usize
}
