//! Limit on how fast this region's requests shift to or from other regions.
//!
//! The share of requests sent to other regions may change only by a bounded
//! step between two adjacent spans of [`SHIFT_INTERVAL`]. Each instance counts its
//! own requests in slices of a sliding span and applies the limit to them.

use std::time::Duration;

use corianderway_model::Time;

use crate::bounds::SHIFT_INTERVAL;

/// Slices in a span.
const SLICES_PER_SPAN: u64 = 8;

/// Slices kept: those of the current span and the previous one.
const KEPT_SLICES: usize = 2 * SLICES_PER_SPAN as usize;

/// Share of the permitted shift that an instance uses. The spans of a region's
/// instances don't start at the same time.
const INSTANCE_SHARE: f64 = 0.6;

/// Requests in a span below which its shares aren't significant.
const MIN_REQUESTS: f64 = 10.0;

/// Where the next request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RegionRule {
    /// To any region.
    Any,
    /// Only within this region.
    LocalOnly,
    /// To another region if there is room: a sudden return would be a shift as
    /// well.
    RemoteFirst,
}

/// The requests that this instance sent within and outside its region.
#[derive(Clone, Debug)]
pub(crate) struct Shifts {
    max_step: f64,
    newest: u64,
    // Requests within the region and to other regions, by slice.
    counts: [(f64, f64); KEPT_SLICES],
}

impl Shifts {
    /// Creates a limit that permits the share `limit` of all requests to shift
    /// between two spans.
    pub(crate) fn new(limit: f64) -> Self {
        Self {
            max_step: limit * INSTANCE_SHARE,
            newest: 0,
            counts: [(0.0, 0.0); KEPT_SLICES],
        }
    }

    /// Returns the share of all requests that may shift within `time`.
    pub(crate) fn max_share_in(&mut self, now: Time, time: Duration) -> f64 {
        let (_, previous) = self.spans(now);
        if previous.0 + previous.1 < MIN_REQUESTS {
            return 1.0;
        }
        self.max_step * time.as_secs_f64() / SHIFT_INTERVAL.as_secs_f64()
    }

    /// Counts a request.
    pub(crate) fn count(&mut self, now: Time, is_remote: bool) {
        let at = self.advance(now);
        let (local, remote) = &mut self.counts[at];
        *if is_remote { remote } else { local } += 1.0;
    }

    /// Returns where the next request may be sent.
    pub(crate) fn region_rule(&mut self, now: Time) -> RegionRule {
        let (current, previous) = self.spans(now);
        // Without a previous span there is nothing to shift from.
        if previous.0 + previous.1 < MIN_REQUESTS {
            return RegionRule::Any;
        }
        let earlier_share = remote_share(previous, 0.0);
        let max_step = self
            .max_step
            .max(1.0 / MIN_REQUESTS.max(current.0 + current.1));
        if remote_share(current, 1.0) > earlier_share + max_step {
            RegionRule::LocalOnly
        } else if remote_share((current.0 + 1.0, current.1), 0.0) < earlier_share - max_step {
            RegionRule::RemoteFirst
        } else {
            RegionRule::Any
        }
    }

    // Returns the requests within the region and to other regions, in the
    // current and in the previous span.
    fn spans(&mut self, now: Time) -> ((f64, f64), (f64, f64)) {
        let at = self.advance(now);
        let (mut current, mut previous) = ((0.0, 0.0), (0.0, 0.0));
        for back in 0..KEPT_SLICES {
            let (local, remote) = self.counts[(at + KEPT_SLICES - back) % KEPT_SLICES];
            let span = if back < KEPT_SLICES / 2 {
                &mut current
            } else {
                &mut previous
            };
            span.0 += local;
            span.1 += remote;
        }
        (current, previous)
    }

    fn advance(&mut self, now: Time) -> usize {
        let slice = SHIFT_INTERVAL / SLICES_PER_SPAN as u32;
        let number = (now.since(Time::ZERO).as_nanos() / Duration::as_nanos(&slice)) as u64;
        let passed = number.saturating_sub(self.newest).min(KEPT_SLICES as u64);
        for back in 0..passed {
            self.counts[(number - back) as usize % KEPT_SLICES] = (0.0, 0.0);
        }
        self.newest = self.newest.max(number);
        self.newest as usize % KEPT_SLICES
    }
}

// The share sent to other regions after `added` more requests there.
fn remote_share((local, remote): (f64, f64), added: f64) -> f64 {
    (remote + added) / (local + remote + added).max(1.0)
}
