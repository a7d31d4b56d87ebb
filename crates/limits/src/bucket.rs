//! A token bucket over a share of a limit.

use std::time::Duration;

use corianderway_model::Time;
use serde::Deserialize;
use serde::Serialize;

use crate::share::Share;

/// Units of [`Tokens`] per request.
const UNITS_PER_REQUEST: u64 = 1 << 32;
const NANOS_PER_SECOND: u128 = 1_000_000_000;
/// Rates are stored in units per 2^30 ns, so that a refill needs no division.
const RATE_PERIOD_SHIFT: u32 = 30;

/// A number of requests, as a fixed-point number with 32 fractional bits.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Tokens(u64);

impl Tokens {
    /// No requests.
    pub const ZERO: Self = Self(0);
    /// One request.
    pub const ONE: Self = Self(UNITS_PER_REQUEST);

    /// Converts a number of requests, rounding down.
    pub fn new(requests: f64) -> Self {
        Self((requests * UNITS_PER_REQUEST as f64) as u64)
    }

    /// The value in units of 2^-32 requests.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Creates a value from units of 2^-32 requests.
    pub const fn from_units(units: u64) -> Self {
        Self(units)
    }
}

/// The size of a whole limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Amount {
    /// Requests per second.
    pub rate: Tokens,
    /// The largest number of requests admitted at once.
    pub burst: Tokens,
}

impl Amount {
    /// Creates an amount from the numbers of a contract.
    pub fn new(rate: f64, burst: f64) -> Self {
        Self {
            rate: Tokens::new(rate),
            burst: Tokens::new(burst),
        }
    }
}

/// The result of an admission check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request may run. Its tokens are spent.
    Admitted,
    /// The request may not run now.
    Refused {
        /// The time after which a retry can succeed.
        retry_after: Duration,
    },
}

/// A token bucket whose rate and capacity are a share of a limit.
///
/// It starts empty, so a share that moves between buckets never brings back
/// tokens that its previous holder may have spent.
#[derive(Clone, Debug, Default)]
pub struct Bucket {
    tokens: u64,
    share: Share,
    // The share's rate in units per 2^30 ns, and its capacity in units.
    rate: u64,
    capacity: u64,
    last_fill: Time,
}

impl Bucket {
    /// Creates an empty bucket with no share.
    pub fn new(now: Time) -> Self {
        Self {
            last_fill: now,
            ..Self::default()
        }
    }

    /// The share of the limit.
    pub fn share(&self) -> Share {
        self.share
    }

    /// The tokens available at the last refill.
    pub fn tokens(&self) -> Tokens {
        Tokens(self.tokens)
    }

    /// Changes the share or the limit.
    ///
    /// The time since the last refill counts at the lower of the old and new
    /// rates, so it doesn't matter when in that time a reduction took effect.
    pub fn reconfigure(&mut self, now: Time, share: Share, whole: Amount) {
        let second = u128::from(share.of(whole.rate.0));
        let rate = ((second << RATE_PERIOD_SHIFT) / NANOS_PER_SECOND) as u64;
        let capacity = share.of(whole.burst.0);
        self.rate = self.rate.min(rate);
        self.fill(now);
        (self.share, self.rate, self.capacity) = (share, rate, capacity);
        self.tokens = self.tokens.min(capacity);
    }

    /// Drops all tokens.
    pub fn clear(&mut self, now: Time) {
        self.tokens = 0;
        self.last_fill = self.last_fill.max(now);
    }

    /// Removes and returns the tokens that belong to `part` of the share.
    pub fn split_tokens(&mut self, part: Share) -> Tokens {
        let taken = Share::from_ratio(part.get(), self.share.get().max(1)).of(self.tokens);
        self.tokens -= taken;
        Tokens(taken)
    }

    /// Adds tokens from another bucket, up to the capacity.
    pub fn add_tokens(&mut self, tokens: Tokens) {
        self.tokens = self.tokens.saturating_add(tokens.0).min(self.capacity);
    }

    /// Spends tokens if enough are available.
    pub fn admit(&mut self, now: Time, cost: Tokens) -> Verdict {
        self.fill(now);
        if self.tokens >= cost.0 {
            self.tokens -= cost.0;
            return Verdict::Admitted;
        }
        Verdict::Refused {
            retry_after: self.time_until(cost),
        }
    }

    fn time_until(&self, cost: Tokens) -> Duration {
        if self.rate == 0 || cost.0 > self.capacity {
            return Duration::MAX;
        }
        let missing = u128::from(cost.0 - self.tokens) << RATE_PERIOD_SHIFT;
        Duration::from_nanos(missing.div_ceil(u128::from(self.rate)) as u64)
    }

    fn fill(&mut self, now: Time) {
        let span = now.since(self.last_fill).as_nanos();
        if span == 0 {
            return;
        }
        let gained = ((u128::from(self.rate) * span) >> RATE_PERIOD_SHIFT) as u64;
        self.tokens = self.tokens.saturating_add(gained).min(self.capacity);
        self.last_fill = now;
    }
}
