//! How many requests a version may get before its move is over.
//!
//! A fault may begin at any moment up to the deadline. The target gets few
//! requests until everything from then to the deadline stays within what a bad
//! version may get.

use std::collections::VecDeque;
use std::time::Duration;

use corianderway_model::Time;

/// The part of the allowance that a target gets before it takes over, at most.
const CANARY_PART: f64 = 0.5;

/// The most requests before the takeover: with half of them bad, fewer than the
/// 50 bad answers after which a version may get nothing more.
const CANARY_COUNT: f64 = 80.0;

/// The least part of requests that goes to a target before it takes over, so
/// that a fault that begins late is seen.
const SHARE_LEAST: f64 = 0.005;

/// The part that it gets in any case: what is not found before the takeover has
/// to be found in a second of it.
const CANARY_PART_LEAST: f64 = 0.35;

/// Requests that are enough to find a fault of half of the answers before the
/// takeover.
const CANARY_LEAST: f64 = 24.0;

/// The largest share before the takeover: the old version must be seen beside it.
const CANARY_MOST: f64 = 0.5;

/// The part of the flat allowance that is used; the rest covers requests that
/// are not known of yet.
const EXTRA_PART: f64 = 0.6;

/// The span over which the rate of requests is measured.
const RATE_SPAN: Duration = Duration::from_secs(2);

/// The time between two measurements of the rate.
const RATE_STEP: Duration = Duration::from_millis(250);

/// Requests that a service was sent since the order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Exposure {
    /// Those to the target.
    pub(crate) target: u32,
    /// Those to any version.
    pub(crate) all: u32,
}

/// What a bad version may get from the order to the deadline.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Allowance {
    /// A part of all requests.
    pub(crate) share: f64,
    /// Requests beside that.
    pub(crate) extra: f64,
}

impl Allowance {
    /// The part of the next requests that go to the target before it takes
    /// over, so that it gets what it may get by then.
    ///
    /// `total` requests are expected from the order to the deadline, `next` of
    /// them before the takeover; `reserve` are kept for finding a fault in it.
    pub(crate) fn canary_share(&self, sent: Exposure, total: f64, next: f64, reserve: f64) -> f64 {
        let budget = self.of(total);
        let canary = (budget - reserve).max(budget * CANARY_PART_LEAST);
        let canary = canary.min(budget * CANARY_PART);
        let canary = canary.clamp(CANARY_LEAST, CANARY_COUNT);
        let rest = canary - f64::from(sent.target);
        (rest / next.max(1.0)).clamp(SHARE_LEAST, CANARY_MOST)
    }

    /// Whether the target may get all of the `rest` requests to the deadline.
    pub(crate) fn covers(&self, sent: Exposure, rest: f64) -> bool {
        let total = f64::from(sent.all) + rest;
        f64::from(sent.target) + rest <= self.of(total)
    }

    fn of(&self, total: f64) -> f64 {
        self.share * total + self.extra * EXTRA_PART
    }
}

/// The rate at which requests come, from sums at different times.
#[derive(Debug, Default)]
pub(crate) struct Rate {
    // The oldest first.
    sums: VecDeque<(Time, u32)>,
}

impl Rate {
    /// Takes the sum of all requests so far.
    pub(crate) fn note(&mut self, now: Time, sum: u32) {
        let recent = self
            .sums
            .back()
            .is_some_and(|(at, _)| now.since(*at) < RATE_STEP);
        if recent {
            return;
        }
        // Sums fall a little where requests reached no server, and much when an
        // instance is lost; what was counted before is void then.
        let last = self.sums.back().map_or(0, |row| row.1);
        if sum < last - last / 8 {
            self.sums.clear();
        }
        let sum = if self.sums.is_empty() {
            sum
        } else {
            sum.max(last)
        };
        self.sums.push_back((now, sum));
        while self.sums.len() > 2 && now.since(self.sums[1].0) >= RATE_SPAN {
            self.sums.pop_front();
        }
    }

    /// Requests a second of late; none before they are known.
    pub(crate) fn per_second(&self) -> Option<f64> {
        let (first, last) = (self.sums.front()?, self.sums.back()?);
        let span = last.0.since(first.0);
        let whole = span >= RATE_SPAN / 2;
        whole.then(|| f64::from(last.1 - first.1) / span.as_secs_f64())
    }
}
