//! A token bucket over a share of a limit.

use std::time::Duration;

use corianderway_model::Time;
use serde::Deserialize;
use serde::Serialize;

use crate::parts::Parts;

/// Tokens in one request.
const REQUEST: u64 = 1 << 32;
const NANOS_PER_SECOND: u128 = 1_000_000_000;
/// Rates are kept for 2^30 ns, so that a fill needs no division.
const FILL_SHIFT: u32 = 30;

/// A number of requests, exact to 2^-32.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Tokens(u64);

impl Tokens {
    /// Nothing.
    pub const ZERO: Self = Self(0);
    /// One request.
    pub const ONE: Self = Self(REQUEST);

    /// Converts a number of requests, rounded down.
    pub fn new(requests: f64) -> Self {
        Self((requests * REQUEST as f64) as u64)
    }

    /// The number in units of 2^-32 requests.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Makes a number from units of 2^-32 requests.
    pub const fn from_units(units: u64) -> Self {
        Self(units)
    }
}

/// The whole of a limit: a rate and a burst.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Amount {
    /// Requests a second.
    pub rate: Tokens,
    /// Requests that may come at once.
    pub burst: Tokens,
}

impl Amount {
    /// Makes an amount from the figures of a contract.
    pub fn new(rate: f64, burst: f64) -> Self {
        Self {
            rate: Tokens::new(rate),
            burst: Tokens::new(burst),
        }
    }
}

/// The answer to a request for admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request may run; its tokens are spent.
    Admitted,
    /// The request may not run now.
    Refused {
        /// The time after which another try can succeed.
        retry_after: Duration,
    },
}

/// A token bucket whose rate and capacity are a share of a limit.
///
/// It starts empty, so a share that moves from one bucket to another never
/// brings tokens that its last holder may have spent.
#[derive(Clone, Debug, Default)]
pub struct Bucket {
    tokens: u64,
    share: Parts,
    // The share's rate in tokens for 2^30 ns, and its capacity.
    rate: u64,
    capacity: u64,
    filled: Time,
}

impl Bucket {
    /// Makes an empty bucket without a share.
    pub fn new(now: Time) -> Self {
        Self {
            filled: now,
            ..Self::default()
        }
    }

    /// The share of the limit.
    pub fn share(&self) -> Parts {
        self.share
    }

    /// The tokens at hand when the bucket was last filled.
    pub fn tokens(&self) -> Tokens {
        Tokens(self.tokens)
    }

    /// Changes the share or the limit.
    ///
    /// The time since the last fill counts at the smaller of the two rates,
    /// so the moment of a past reduction need not be known.
    pub fn set(&mut self, now: Time, share: Parts, whole: Amount) {
        let second = u128::from(share.of(whole.rate.0));
        let rate = ((second << FILL_SHIFT) / NANOS_PER_SECOND) as u64;
        let capacity = share.of(whole.burst.0);
        self.rate = self.rate.min(rate);
        self.fill(now);
        (self.share, self.rate, self.capacity) = (share, rate, capacity);
        self.tokens = self.tokens.min(capacity);
    }

    /// Drops all tokens.
    pub fn empty(&mut self, now: Time) {
        self.tokens = 0;
        self.filled = self.filled.max(now);
    }

    /// Takes the tokens that belong to a part of the share.
    pub fn split(&mut self, part: Parts) -> Tokens {
        let taken = Parts::ratio(part.get(), self.share.get().max(1)).of(self.tokens);
        self.tokens -= taken;
        Tokens(taken)
    }

    /// Adds tokens that another bucket gave away, up to the capacity.
    pub fn add(&mut self, tokens: Tokens) {
        self.tokens = self.tokens.saturating_add(tokens.0).min(self.capacity);
    }

    /// Spends tokens if enough are at hand.
    pub fn admit(&mut self, now: Time, cost: Tokens) -> Verdict {
        self.fill(now);
        if self.tokens >= cost.0 {
            self.tokens -= cost.0;
            return Verdict::Admitted;
        }
        Verdict::Refused {
            retry_after: self.wait(cost),
        }
    }

    fn wait(&self, cost: Tokens) -> Duration {
        if self.rate == 0 || cost.0 > self.capacity {
            return Duration::MAX;
        }
        let missing = u128::from(cost.0 - self.tokens) << FILL_SHIFT;
        Duration::from_nanos(missing.div_ceil(u128::from(self.rate)) as u64)
    }

    fn fill(&mut self, now: Time) {
        let span = now.since(self.filled).as_nanos();
        if span == 0 {
            return;
        }
        let gained = ((u128::from(self.rate) * span) >> FILL_SHIFT) as u64;
        self.tokens = self.tokens.saturating_add(gained).min(self.capacity);
        self.filled = now;
    }
}
