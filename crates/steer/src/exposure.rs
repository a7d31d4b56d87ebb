//! Limits on the number of requests that the target of a version move receives
//! before the move ends.
//!
//! A fault may begin at any moment until the deadline. The target therefore
//! receives few requests until all requests from then to the deadline fit into
//! the allowance for a bad version.

use std::collections::VecDeque;
use std::time::Duration;

use corianderway_model::Time;

/// The maximum fraction of the allowance that the target receives before the
/// takeover.
const MAX_CANARY_FRACTION: f64 = 0.5;

/// The maximum number of requests to the target before the takeover. Even if
/// half of them fail, they yield fewer than the 50 bad answers after which a
/// version may receive no more requests.
const MAX_CANARY_REQUESTS: f64 = 80.0;

/// The minimum share of requests sent to the target before the takeover, so
/// that a fault that begins late is detected.
const MIN_CANARY_SHARE: f64 = 0.005;

/// The minimum fraction of the allowance that the target receives before the
/// takeover, whatever is reserved. A fault that isn't detected by then must be
/// detected within a second of the takeover.
const MIN_CANARY_FRACTION: f64 = 0.35;

/// The number of requests that suffices before the takeover to detect a fault
/// of half of the answers.
const MIN_CANARY_REQUESTS: f64 = 24.0;

/// The maximum share before the takeover. The old version needs answers to be
/// compared with.
const MAX_CANARY_SHARE: f64 = 0.5;

/// The fraction of the allowance's constant part that is used. The rest covers
/// requests that other instances have sent but not yet reported.
const USED_EXTRA_FRACTION: f64 = 0.6;

/// The window over which the rate of requests is measured.
const RATE_WINDOW: Duration = Duration::from_secs(2);

/// The minimum interval between two samples of the count.
const RATE_INTERVAL: Duration = Duration::from_millis(250);

/// Numbers of requests sent to a service since the order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Exposure {
    /// Requests to the target.
    pub(crate) target: u32,
    /// Requests to any version.
    pub(crate) all: u32,
}

/// The number of requests that a bad version may receive from the order to the
/// deadline: a share of all requests plus a constant.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Allowance {
    /// The share of all requests, from 0 to 1.
    pub(crate) share: f64,
    /// The number of requests in addition to the share.
    pub(crate) extra: f64,
}

impl Allowance {
    /// Returns the share of the next requests to send to the target before the
    /// takeover, so that it has received its share of the allowance by then.
    ///
    /// `total` requests are expected from the order to the deadline, and `next`
    /// of them from now to the takeover. `reserve` requests are kept back for
    /// detecting a fault during the takeover.
    pub(crate) fn canary_share(&self, sent: Exposure, total: f64, next: f64, reserve: f64) -> f64 {
        let budget = self.allowed(total);
        let canary = (budget - reserve).max(budget * MIN_CANARY_FRACTION);
        let canary = canary.min(budget * MAX_CANARY_FRACTION);
        let canary = canary.clamp(MIN_CANARY_REQUESTS, MAX_CANARY_REQUESTS);
        let rest = canary - f64::from(sent.target);
        (rest / next.max(1.0)).clamp(MIN_CANARY_SHARE, MAX_CANARY_SHARE)
    }

    /// Returns whether the allowance covers sending all of the `rest` requests
    /// until the deadline to the target.
    pub(crate) fn covers(&self, sent: Exposure, rest: f64) -> bool {
        let total = f64::from(sent.all) + rest;
        f64::from(sent.target) + rest <= self.allowed(total)
    }

    fn allowed(&self, total: f64) -> f64 {
        self.share * total + self.extra * USED_EXTRA_FRACTION
    }
}

/// A rate of events, measured from samples of their running count.
///
/// The samples are at least [`RATE_INTERVAL`] apart, and their counts never
/// fall.
#[derive(Debug, Default)]
pub(crate) struct CountRate {
    // Oldest first.
    samples: VecDeque<(Time, u32)>,
}

impl CountRate {
    /// Records the number of events so far.
    pub(crate) fn record(&mut self, now: Time, count: u32) {
        let recent = self
            .samples
            .back()
            .is_some_and(|(at, _)| now.since(*at) < RATE_INTERVAL);
        if recent {
            return;
        }
        // The count falls slightly where requests reached no server, and a lot
        // when an instance is lost. The earlier samples are invalid in the
        // second case.
        let last = self.samples.back().map_or(0, |row| row.1);
        if count < last - last / 8 {
            self.samples.clear();
        }
        let count = if self.samples.is_empty() {
            count
        } else {
            count.max(last)
        };
        self.samples.push_back((now, count));
        while self.samples.len() > 2 && now.since(self.samples[1].0) >= RATE_WINDOW {
            self.samples.pop_front();
        }
    }

    /// Returns the recent rate in events per second, or `None` if the samples
    /// cover less than half of [`RATE_WINDOW`].
    pub(crate) fn per_second(&self) -> Option<f64> {
        let (first, last) = (self.samples.front()?, self.samples.back()?);
        let span = last.0.since(first.0);
        let is_measured = span >= RATE_WINDOW / 2;
        is_measured.then(|| f64::from(last.1 - first.1) / span.as_secs_f64())
    }
}
