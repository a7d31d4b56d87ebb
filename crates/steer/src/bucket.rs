//! A token bucket.

use std::time::Duration;

use corianderway_model::Time;

/// The minimum wait that is reported for a token, so that none is asked for in vain too
/// often.
const MIN_WAIT: Duration = Duration::from_millis(20);

/// The maximum wait that is reported for a token.
const MAX_WAIT: Duration = Duration::from_secs(2);

/// A token bucket that refills at a constant rate up to its capacity.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bucket {
    tokens: f64,
    // Tokens per second.
    rate: f64,
    capacity: f64,
    refilled: Time,
}

impl Bucket {
    /// Creates a bucket with the given tokens and a rate of 0.
    pub(crate) fn new(now: Time, tokens: f64) -> Self {
        Self {
            tokens,
            rate: 0.0,
            capacity: tokens,
            refilled: now,
        }
    }

    /// Sets the rate in tokens per second and the capacity.
    pub(crate) fn configure(&mut self, now: Time, rate: f64, capacity: f64) {
        self.refill(now);
        (self.rate, self.capacity) = (rate, capacity);
        self.tokens = self.tokens.min(capacity);
    }

    /// Replaces the tokens, up to the capacity.
    pub(crate) fn reset(&mut self, now: Time, tokens: f64) {
        (self.tokens, self.refilled) = (tokens.min(self.capacity), now);
    }

    /// Takes a token.
    ///
    /// # Errors
    ///
    /// Returns the time until a token may be available if there is none.
    pub(crate) fn take(&mut self, now: Time) -> Result<(), Duration> {
        self.refill(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let missing = (1.0 - self.tokens) / self.rate.max(f64::MIN_POSITIVE);
        let wait = Duration::try_from_secs_f64(missing).unwrap_or(MAX_WAIT);
        Err(wait.clamp(MIN_WAIT, MAX_WAIT))
    }

    /// Returns the rate in tokens per second.
    pub(crate) fn rate(&self) -> f64 {
        self.rate
    }

    /// Returns the tokens as of the latest refill.
    pub(crate) fn tokens(&self) -> f64 {
        self.tokens
    }

    fn refill(&mut self, now: Time) {
        let gained = now.since(self.refilled).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + gained).min(self.capacity.max(self.tokens));
        self.refilled = now;
    }
}
