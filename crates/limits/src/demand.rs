//! How much of a limit is asked for.

use std::time::Duration;

use corianderway_model::Time;

use crate::bucket::Tokens;

const NANOS_PER_SECOND: u128 = 1_000_000_000;

/// What instances ask of a limit, as a rate.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Demand {
    seen: u64,
    since: Time,
    rate: u64,
}

impl Demand {
    /// Requests after which a window ends.
    const SAMPLES: u64 = 64;
    const SHORTEST: Duration = Duration::from_millis(250);
    const LONGEST: Duration = Duration::from_secs(2);

    pub(crate) fn add(&mut self, tokens: u64) {
        self.seen = self.seen.saturating_add(tokens);
    }

    /// The tokens a second that were asked for of late.
    pub(crate) fn rate(&mut self, now: Time) -> u64 {
        let span = now.since(self.since);
        let window = self.window();
        let seen = per_second(self.seen, span.max(window));
        if span < window {
            return seen.max(self.rate);
        }
        let kept = if span < window * 4 { self.rate / 2 } else { 0 };
        *self = Self {
            seen: 0,
            since: now,
            rate: seen.max(kept),
        };
        self.rate
    }

    // The time in which the last rate brings enough requests to judge by.
    fn window(&self) -> Duration {
        if self.seen >= Self::SAMPLES * Tokens::ONE.get() {
            return Self::SHORTEST;
        }
        let enough = u128::from(Self::SAMPLES * Tokens::ONE.get()) * NANOS_PER_SECOND;
        let nanos = enough / u128::from(self.rate.max(1));
        let window = Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX));
        window.clamp(Self::SHORTEST, Self::LONGEST)
    }
}

fn per_second(tokens: u64, span: Duration) -> u64 {
    (u128::from(tokens) * NANOS_PER_SECOND / span.as_nanos().max(1)) as u64
}
