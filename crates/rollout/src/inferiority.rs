//! The test that condemns: an e-process over strata of concurrent requests.
//!
//! Within a stratum (one instance, one route, one interval) the failures are
//! shared out between the versions. If the new version is no worse, each of
//! them falls to it with at most the ratio of its requests, whatever the
//! common failure ratio is, so a fault of both versions says nothing. The
//! likelihood ratio against a worse version is a bet with expectation at most
//! one; by Ville's inequality the sum of bets started at all times exceeds
//! `1 / a` with a probability of at most `a`, however often it is looked at.

use std::time::Duration;

use corianderway_model::Time;

use crate::sample::Memory;
use crate::sample::Sample;
use crate::sample::Stratum;

/// The multiples of the margin that are bet on.
const MULTIPLES: [f64; 2] = [1.0, 8.0];
/// The part of the stake on a fault from the start; the rest is spread over the move.
const AT_ONCE: f64 = 0.5;
/// The part of the margin below which a difference does not matter.
const NEGLIGIBLE: f64 = 0.25;
/// The probability of finding a negligible difference to matter.
const LARGE_ERROR: f64 = 0.05;
/// The least factor that is bet on, where the margin leaves none.
const LEAST_FACTOR: f64 = 1.01;
/// The bad requests, and all requests, reckoned with before the first is seen.
const PRIOR: (f64, f64) = (0.5, 20.0);
/// The highest ratio of bad requests that is bet on.
const HIGHEST: f64 = 0.98;
/// The lowest ratio of bad requests that is reckoned with.
const FLOOR: f64 = 0.002;
/// Keeps the products finite.
const MOST: f64 = 1e280;

/// The tests on one kind of fault in one scope.
#[derive(Clone, Debug)]
pub(crate) struct Doubt {
    margin: f64,
    past: Memory,
    // Against a version that is no worse.
    any: Bets,
    // Against a version that is worse by less than half of the margin.
    large: Bets,
}

/// Bets against one null hypothesis, started at all times of the move.
#[derive(Clone, Debug)]
struct Bets {
    span: Duration,
    sums: [f64; MULTIPLES.len()],
    unused: f64,
    last: Time,
}

impl Doubt {
    pub(crate) fn new(margin: f64, span: Duration, now: Time) -> Self {
        Self {
            margin,
            past: Memory::default(),
            any: Bets::new(span, now),
            large: Bets::new(span, now),
        }
    }

    /// Takes in a stratum. It may depend on earlier outcomes, not on its own.
    pub(crate) fn take(&mut self, now: Time, stratum: Stratum) {
        let base = self.base();
        let ratios = MULTIPLES.map(|multiple| {
            let ratio = (base + self.margin * multiple).min(HIGHEST);
            ratio.max(base * LEAST_FACTOR)
        });
        let negligible = (base + self.margin * NEGLIGIBLE).min(HIGHEST);
        let shared = |ratio| shared_gain(stratum, ratio / base);
        let own = |ratio| own_gain(stratum.new, negligible, ratio);
        self.any.take(now, ratios.map(shared));
        self.large.take(now, ratios.map(own));
        self.past.add(stratum.old);
    }

    /// The log of the e-value against a version that is no worse.
    pub(crate) fn evidence(&self) -> f64 {
        self.any.evidence()
    }

    /// Whether the difference is shown to be large enough to matter.
    pub(crate) fn matters(&self) -> bool {
        self.large.evidence() >= -LARGE_ERROR.ln()
    }

    // From earlier strata only, so that the bets are fixed in advance.
    fn base(&self) -> f64 {
        let past = self.past.sample();
        let (bad, total) = (past.bad as f64, past.total as f64);
        ((bad + PRIOR.0) / (total + PRIOR.1)).max(FLOOR)
    }
}

impl Bets {
    fn new(span: Duration, now: Time) -> Self {
        Self {
            span,
            sums: [AT_ONCE / MULTIPLES.len() as f64; MULTIPLES.len()],
            unused: 1.0 - AT_ONCE,
            last: now,
        }
    }

    // Plays one round; `gains` are the logs of what each bet is multiplied by.
    fn take(&mut self, now: Time, gains: [f64; MULTIPLES.len()]) {
        self.stake(now);
        for (sum, gain) in self.sums.iter_mut().zip(gains) {
            *sum = (*sum * gain.exp()).min(MOST);
        }
    }

    fn evidence(&self) -> f64 {
        (self.sums.iter().sum::<f64>() + self.unused).ln()
    }

    fn stake(&mut self, now: Time) {
        let part = now.since(self.last).as_secs_f64() / self.span.as_secs_f64();
        let stake = (part * (1.0 - AT_ONCE)).min(self.unused);
        self.unused -= stake;
        self.last = self.last.max(now);
        for sum in &mut self.sums {
            *sum += stake / MULTIPLES.len() as f64;
        }
    }
}

// The log likelihood ratio of how the bad requests fell to the versions, if
// the new one fails `factor` times as often against as often.
fn shared_gain(stratum: Stratum, factor: f64) -> f64 {
    let (old, new) = (stratum.old.total as f64, stratum.new.total as f64);
    if old == 0.0 || new == 0.0 {
        return 0.0;
    }
    let even = new / (new + old);
    let tilted = new * factor / (new * factor + old);
    let to_new = stratum.new.bad as f64 * (tilted / even).ln();
    let to_old = stratum.old.bad as f64 * ((1.0 - tilted) / (1.0 - even)).ln();
    to_new + to_old
}

// The log likelihood ratio of one version's bad requests under two ratios.
fn own_gain(sample: Sample, null: f64, ratio: f64) -> f64 {
    let ratio = ratio.max(null);
    let good = sample.total.saturating_sub(sample.bad) as f64;
    sample.bad as f64 * (ratio / null).ln() + good * ((1.0 - ratio) / (1.0 - null)).ln()
}
