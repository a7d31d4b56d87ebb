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

/// The multiples of the margin that are bet on.
const MULTIPLES: [f64; 2] = [1.0, 8.0];
/// The part of the stake on a fault from the start; the rest is spread over the move.
const AT_ONCE: f64 = 0.5;
/// The part of the margin that a difference must reach to count at all.
const EFFECT: f64 = 0.5;
/// The bad requests, and all requests, reckoned with before the first is seen.
const PRIOR: (f64, f64) = (0.5, 20.0);
/// The lowest ratio of bad requests that is reckoned with.
const FLOOR: f64 = 0.002;
/// Keeps the products finite.
const MOST: f64 = 1e280;

/// Requests of both versions that ran side by side, and how many were bad.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Stratum {
    pub(crate) old: Sample,
    pub(crate) new: Sample,
}

/// Requests of one version, and how many were bad.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Sample {
    pub(crate) total: u64,
    pub(crate) bad: u64,
}

/// The bets on one kind of fault in one scope.
#[derive(Clone, Debug)]
pub(crate) struct Doubt {
    margin: f64,
    span: Duration,
    sums: [f64; MULTIPLES.len()],
    unused: f64,
    last: Time,
    past: Sample,
    // Since the evidence last spoke for the new version.
    rise: f64,
    recent: Stratum,
}

impl Doubt {
    pub(crate) fn new(margin: f64, span: Duration, now: Time) -> Self {
        Self {
            margin,
            span,
            sums: [AT_ONCE / MULTIPLES.len() as f64; MULTIPLES.len()],
            unused: 1.0 - AT_ONCE,
            last: now,
            past: Sample::default(),
            rise: 0.0,
            recent: Stratum::default(),
        }
    }

    /// Takes in a stratum. It may depend on earlier outcomes, not on its own.
    pub(crate) fn take(&mut self, now: Time, stratum: Stratum) {
        self.stake(now);
        let base = self.base();
        let mut gains = [0.0; MULTIPLES.len()];
        for (gain, multiple) in gains.iter_mut().zip(MULTIPLES) {
            let worse = (base + self.margin * multiple).min(1.0).max(base * 1.01);
            *gain = log_gain(stratum, worse / base);
        }
        for (sum, gain) in self.sums.iter_mut().zip(gains) {
            *sum = (*sum * gain.exp()).min(MOST);
        }
        self.follow(stratum, gains);
        self.past.add(stratum.old);
    }

    /// The log of the e-value.
    pub(crate) fn evidence(&self) -> f64 {
        (self.sums.iter().sum::<f64>() + self.unused).ln()
    }

    /// Whether the difference is large enough to matter.
    pub(crate) fn matters(&self) -> bool {
        let (old, new) = (self.recent.old, self.recent.new);
        new.ratio() - old.ratio() >= self.margin * EFFECT
    }

    // From earlier strata only, so that the bets are fixed in advance.
    fn base(&self) -> f64 {
        let (bad, total) = (self.past.bad as f64, self.past.total as f64);
        ((bad + PRIOR.0) / (total + PRIOR.1)).max(FLOOR)
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

    fn follow(&mut self, stratum: Stratum, gains: [f64; MULTIPLES.len()]) {
        let mean = gains.iter().map(|g| g.exp()).sum::<f64>() / gains.len() as f64;
        self.rise = (self.rise + mean.ln()).max(0.0);
        if self.rise > 0.0 {
            self.recent.add(stratum);
        } else {
            self.recent = Stratum::default();
        }
    }
}

impl Stratum {
    pub(crate) fn add(&mut self, other: Self) {
        self.old.add(other.old);
        self.new.add(other.new);
    }
}

impl Sample {
    pub(crate) fn add(&mut self, other: Self) {
        self.total += other.total;
        self.bad += other.bad;
    }

    fn ratio(self) -> f64 {
        self.bad as f64 / (self.total.max(1)) as f64
    }
}

// The log likelihood ratio of how the bad requests fell, for a new version
// that fails `factor` times as often as the old one against one as good.
fn log_gain(stratum: Stratum, factor: f64) -> f64 {
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
