//! The cap on how fast moved traffic may grow.

use std::time::Duration;

use corianderway_model::Time;

use crate::bucket::Tokens;
use crate::bucket::Verdict;
use crate::limit::Limit;
use crate::quota::Quota;

/// Slices in one second.
const SLICES: u64 = 100;
const SLICE_NANOS: u64 = 1_000_000_000 / SLICES;
/// Slices kept: this second and the one before.
const KEPT: u64 = 2 * SLICES;
/// The span over which purchases count, in seconds: a second that begins
/// within a slice.
pub(crate) const SPAN: f64 = (SLICES + 1) as f64 / SLICES as f64;

/// What one instance moves into one region for one client account.
///
/// In each second it moves at most what it moved in the second before, plus
/// what it bought from the quota of [`Limit::Shift`]. Purchases of all
/// instances within a second never exceed the contract's shift, so neither
/// does the growth of their sum, and an instruction that is late or repeated
/// adds nothing.
///
/// Slices at the ends of a second count in full for this second and not at
/// all for the one before, so the bound holds for seconds that begin anywhere.
/// A steady flow therefore buys 2% of itself anew in each second.
#[derive(Clone, Debug)]
pub struct ShiftLimit {
    // Requests moved and purchased in each slice, by slice number modulo KEPT.
    moved: Vec<u32>,
    bought: Vec<u32>,
    newest: u64,
    // Sums over this second and the one before.
    recent: u32,
    earlier: u32,
    growth: u32,
}

impl Default for ShiftLimit {
    fn default() -> Self {
        Self {
            moved: vec![0; KEPT as usize],
            bought: vec![0; KEPT as usize],
            newest: 0,
            recent: 0,
            earlier: 0,
            growth: 0,
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
        if self.recent >= self.earlier + self.growth {
            let verdict = quota.admit(now, limit, Tokens::ONE);
            if let Verdict::Refused { retry_after } = verdict {
                let slice = Duration::from_nanos(SLICE_NANOS);
                let retry_after = retry_after.min(slice);
                return Verdict::Refused { retry_after };
            }
            self.bought[at] += 1;
            self.growth += 1;
        }
        self.moved[at] += 1;
        self.recent += 1;
        Verdict::Admitted
    }

    /// Requests moved within the last second.
    pub fn level(&mut self, now: Time) -> u32 {
        self.advance(now);
        self.recent
    }

    fn advance(&mut self, now: Time) {
        let slice = now.nanos() / SLICE_NANOS;
        if slice >= self.newest + KEPT {
            *self = Self {
                newest: slice,
                ..Self::default()
            };
        }
        while self.newest < slice {
            self.newest += 1;
            self.next_slice();
        }
    }

    // Moves the slice that leaves this second over to the one before.
    fn next_slice(&mut self) {
        let left = slot(self.newest + KEPT - SLICES - 1);
        self.recent -= self.moved[left];
        self.growth -= self.bought[left];
        self.earlier += self.moved[left];
        // The slot still holds the slice of two seconds ago.
        let new = slot(self.newest);
        self.earlier -= self.moved[new];
        (self.moved[new], self.bought[new]) = (0, 0);
    }
}

fn slot(slice: u64) -> usize {
    (slice % KEPT) as usize
}
