//! How fast the requests of this instance's region may move to other regions.

use std::time::Duration;

use corianderway_model::Time;

use crate::bounds::SHIFT_SPAN;

/// Slices in a span.
const SLICES: u64 = 8;

/// Slices kept: the present span and the one before.
const KEPT: usize = 2 * SLICES as usize;

/// The part of the permitted shift that one instance uses, since the spans of
/// the instances of a region don't begin together.
const CAUTION: f64 = 0.6;

/// Requests in a span below which one more elsewhere says nothing.
const FEW: f64 = 10.0;

/// Which way the next request may go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Drift {
    /// Home or away.
    Free,
    /// No more away.
    HomeOnly,
    /// Away, if there is room: coming home at once would be a shift, too.
    AwayFirst,
}

/// Counts where the requests of this instance run.
#[derive(Clone, Debug)]
pub(crate) struct Shifts {
    step: f64,
    newest: u64,
    // Requests at home and away, by slice.
    counts: [(f64, f64); KEPT],
}

impl Shifts {
    /// Makes one that permits a part of all requests to move in each span.
    pub(crate) fn new(most: f64) -> Self {
        Self {
            step: most * CAUTION,
            newest: 0,
            counts: [(0.0, 0.0); KEPT],
        }
    }

    /// The part of all requests that may move to other regions in a time.
    pub(crate) fn most_in(&mut self, now: Time, time: Duration) -> f64 {
        let (_, before) = self.spans(now);
        if before.0 + before.1 < FEW {
            return 1.0;
        }
        self.step * time.as_secs_f64() / SHIFT_SPAN.as_secs_f64()
    }

    /// Counts a request.
    pub(crate) fn count(&mut self, now: Time, away: bool) {
        let at = self.advance(now);
        let (home, gone) = &mut self.counts[at];
        *if away { gone } else { home } += 1.0;
    }

    /// Which way the next request may go.
    pub(crate) fn drift(&mut self, now: Time) -> Drift {
        let (present, before) = self.spans(now);
        // Without a span to compare with nothing is a shift.
        if before.0 + before.1 < FEW {
            return Drift::Free;
        }
        let was = share(before, 0.0);
        let step = self.step.max(1.0 / FEW.max(present.0 + present.1));
        if share(present, 1.0) > was + step {
            Drift::HomeOnly
        } else if share((present.0 + 1.0, present.1), 0.0) < was - step {
            Drift::AwayFirst
        } else {
            Drift::Free
        }
    }

    // Requests at home and away in the present span and in the one before.
    fn spans(&mut self, now: Time) -> ((f64, f64), (f64, f64)) {
        let at = self.advance(now);
        let (mut present, mut before) = ((0.0, 0.0), (0.0, 0.0));
        for back in 0..KEPT {
            let (home, away) = self.counts[(at + KEPT - back) % KEPT];
            let span = if back < KEPT / 2 {
                &mut present
            } else {
                &mut before
            };
            span.0 += home;
            span.1 += away;
        }
        (present, before)
    }

    fn advance(&mut self, now: Time) -> usize {
        let slice = SHIFT_SPAN / SLICES as u32;
        let number = (now.since(Time::ZERO).as_nanos() / Duration::as_nanos(&slice)) as u64;
        let passed = number.saturating_sub(self.newest).min(KEPT as u64);
        for back in 0..passed {
            self.counts[(number - back) as usize % KEPT] = (0.0, 0.0);
        }
        self.newest = self.newest.max(number);
        self.newest as usize % KEPT
    }
}

// The part that runs away, with `more` requests added there.
fn share((home, away): (f64, f64), more: f64) -> f64 {
    (away + more) / (home + away + more).max(1.0)
}
