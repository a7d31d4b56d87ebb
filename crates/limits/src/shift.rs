//! A limit on the growth of traffic that is shifted between regions.

use std::time::Duration;

use corianderway_model::Time;

use crate::bucket::Tokens;
use crate::bucket::Verdict;
use crate::limit::Limit;
use crate::quota::Quota;

/// Slices per second.
const SLICES_PER_SECOND: u64 = 200;
const SLICE_NANOS: u64 = 1_000_000_000 / SLICES_PER_SECOND;
/// The clock error within two seconds that the bound tolerates, in slices.
const CLOCK_ERROR_SLICES: u64 = 1;
/// Slices that the second ending now may overlap.
const RECENT_SLICES: u64 = SLICES_PER_SECOND + 1 + CLOCK_ERROR_SLICES;
/// Slices kept: the recent ones, and those that lie entirely in the second
/// before.
const HISTORY_SLICES: u64 = 2 * SLICES_PER_SECOND - CLOCK_ERROR_SLICES;
/// The time over which purchases count, in seconds.
pub(crate) const PURCHASE_WINDOW_SECONDS: f64 = RECENT_SLICES as f64 / SLICES_PER_SECOND as f64;

/// Limits the growth of what one instance shifts into one region for one client
/// account.
///
/// In each second it admits at most what it admitted in the second before, plus
/// what it purchased from the quota of [`Limit::Shift`]. The purchases of all
/// instances within a second never exceed the contract's shift limit. Hence the
/// growth of their sum doesn't either, and a late or repeated instruction to
/// shift traffic adds nothing.
///
/// A request counts in every second that ends within one second after it, so
/// each of these is checked. Slices at the ends of a second count in full for
/// this second and not at all for the one before. The bound therefore holds for
/// seconds that begin at any time, and for clocks that are wrong by up to
/// 0.25%. The cost is that a steady flow purchases 2.5% of itself again in each
/// second.
#[derive(Clone, Debug)]
pub struct ShiftLimit {
    // Requests admitted and purchased in each slice, indexed by slice number
    // modulo `HISTORY_SLICES`.
    moved: Vec<u32>,
    purchased: Vec<u32>,
    newest: u64,
    // Requests that may be admitted in this slice without a purchase.
    free_moves: u32,
}

impl Default for ShiftLimit {
    fn default() -> Self {
        Self {
            moved: vec![0; HISTORY_SLICES as usize],
            purchased: vec![0; HISTORY_SLICES as usize],
            newest: 0,
            free_moves: 0,
        }
    }
}

impl ShiftLimit {
    /// Creates a limit for an instance that has shifted nothing yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Admits one request, and purchases growth from `quota` if necessary.
    pub fn admit(&mut self, now: Time, quota: &mut Quota, limit: &Limit) -> Verdict {
        self.advance(now);
        let index = slot(self.newest);
        if self.free_moves > 0 {
            self.free_moves -= 1;
        } else {
            let verdict = quota.admit(now, limit, Tokens::ONE);
            if let Verdict::Refused { retry_after } = verdict {
                let slice = Duration::from_nanos(SLICE_NANOS);
                let retry_after = retry_after.min(slice);
                return Verdict::Refused { retry_after };
            }
            self.purchased[index] += 1;
        }
        self.moved[index] += 1;
        Verdict::Admitted
    }

    /// The number of requests admitted within the last second.
    pub fn moved_last_second(&mut self, now: Time) -> u32 {
        self.advance(now);
        let last = (0..SLICES_PER_SECOND)
            .map(|back| self.moved[slot(self.newest + HISTORY_SLICES - back)]);
        last.sum()
    }

    fn advance(&mut self, now: Time) {
        let slice = now.as_nanos() / SLICE_NANOS;
        if slice <= self.newest {
            return;
        }
        for back in 0..(slice - self.newest).min(HISTORY_SLICES) {
            let index = slot(slice + HISTORY_SLICES - back);
            (self.moved[index], self.purchased[index]) = (0, 0);
        }
        self.newest = slice;
        self.free_moves = self.min_free_moves();
    }

    // Checks each second that contains the current slice: slides the window
    // forward from now until it contains only future slices.
    fn min_free_moves(&self) -> u32 {
        let oldest = self.newest + 1;
        let middle = self.newest + 1 + HISTORY_SLICES - RECENT_SLICES;
        let sum = |counts: &[u32], from: u64, to: u64| -> u32 {
            (from..to).map(|s| counts[slot(s)]).sum()
        };
        let end = self.newest + 1 + HISTORY_SLICES;
        let mut earlier = sum(&self.moved, oldest, middle);
        let mut recent = sum(&self.moved, middle, end);
        let mut growth = sum(&self.purchased, middle, end);
        let mut min_free = (earlier + growth).saturating_sub(recent);
        for step in 0..RECENT_SLICES {
            let (left, last) = (slot(middle + step), slot(oldest + step));
            recent -= self.moved[left];
            growth -= self.purchased[left];
            earlier = earlier + self.moved[left] - self.moved[last];
            min_free = min_free.min((earlier + growth).saturating_sub(recent));
        }
        min_free
    }
}

fn slot(slice: u64) -> usize {
    (slice % HISTORY_SLICES) as usize
}
