//! A token bucket.

use std::time::Duration;

use corianderway_model::Time;

/// The shortest time that is told until there may be a token: bounds how often
/// it is asked for in vain.
const WAIT_LEAST: Duration = Duration::from_millis(20);

/// The longest such time.
const WAIT_MOST: Duration = Duration::from_secs(2);

/// Tokens that come at a rate, up to a capacity.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bucket {
    tokens: f64,
    // Tokens a second.
    rate: f64,
    capacity: f64,
    filled: Time,
}

impl Bucket {
    /// A bucket with some tokens, to which none come yet.
    pub(crate) fn new(now: Time, tokens: f64) -> Self {
        Self {
            tokens,
            rate: 0.0,
            capacity: tokens,
            filled: now,
        }
    }

    /// Sets how many tokens come a second and how many are kept.
    pub(crate) fn set(&mut self, now: Time, rate: f64, capacity: f64) {
        self.fill(now);
        (self.rate, self.capacity) = (rate, capacity);
        self.tokens = self.tokens.min(capacity);
    }

    /// Begins anew with some tokens.
    pub(crate) fn begin(&mut self, now: Time, tokens: f64) {
        (self.tokens, self.filled) = (tokens.min(self.capacity), now);
    }

    /// Takes a token; otherwise tells when there may be one.
    pub(crate) fn take(&mut self, now: Time) -> Result<(), Duration> {
        self.fill(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let missing = (1.0 - self.tokens) / self.rate.max(f64::MIN_POSITIVE);
        let wait = Duration::try_from_secs_f64(missing).unwrap_or(WAIT_MOST);
        Err(wait.clamp(WAIT_LEAST, WAIT_MOST))
    }

    /// Tokens that come a second.
    pub(crate) fn rate(&self) -> f64 {
        self.rate
    }

    /// The tokens at hand.
    pub(crate) fn tokens(&self) -> f64 {
        self.tokens
    }

    fn fill(&mut self, now: Time) {
        let gained = now.since(self.filled).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + gained).min(self.capacity.max(self.tokens));
        self.filled = now;
    }
}
