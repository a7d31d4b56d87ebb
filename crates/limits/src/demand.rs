//! Measures the demand on a limit.

use std::time::Duration;

use corianderway_model::Time;

use crate::bucket::Tokens;

const NANOS_PER_SECOND: u128 = 1_000_000_000;

/// The rate of requests for a limit at this instance, over windows that hold
/// enough requests to estimate it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Demand {
    tokens: u64,
    start: Time,
    rate: u64,
}

impl Demand {
    /// Requests after which a window may end.
    const WINDOW_REQUESTS: u64 = 64;
    const MIN_WINDOW: Duration = Duration::from_millis(250);
    const MAX_WINDOW: Duration = Duration::from_secs(2);

    pub(crate) fn record(&mut self, tokens: u64) {
        self.tokens = self.tokens.saturating_add(tokens);
    }

    /// The recent demand, in token units per second.
    pub(crate) fn rate(&mut self, now: Time) -> u64 {
        let span = now.since(self.start);
        let window = self.window();
        let recent = per_second(self.tokens, span.max(window));
        if span < window {
            return recent.max(self.rate);
        }
        let decayed = if span < window * 4 { self.rate / 2 } else { 0 };
        *self = Self {
            tokens: 0,
            start: now,
            rate: recent.max(decayed),
        };
        self.rate
    }

    // The time in which the last rate yields `WINDOW_REQUESTS`, within bounds.
    fn window(&self) -> Duration {
        if self.tokens >= Self::WINDOW_REQUESTS * Tokens::ONE.get() {
            return Self::MIN_WINDOW;
        }
        let enough = u128::from(Self::WINDOW_REQUESTS * Tokens::ONE.get()) * NANOS_PER_SECOND;
        let nanos = enough / u128::from(self.rate.max(1));
        let window = Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX));
        window.clamp(Self::MIN_WINDOW, Self::MAX_WINDOW)
    }
}

fn per_second(tokens: u64, span: Duration) -> u64 {
    (u128::from(tokens) * NANOS_PER_SECOND / span.as_nanos().max(1)) as u64
}
