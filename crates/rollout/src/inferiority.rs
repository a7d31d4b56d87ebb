//! The inferiority test: whether the new version is worse than the old one.
//!
//! The test is an e-process over strata of concurrent requests. A stratum holds
//! the requests of one instance on one route in one interval. Given the number of
//! failures in a stratum, each of them is the new version's with a probability of
//! at most its fraction of the requests if it is no worse, whatever the common
//! failure rate is. So a fault that both versions have is no evidence. The
//! likelihood ratio of a worse version to this has an expectation of at most one.
//! The process is a mixture of such ratios over several alternatives and start
//! times; by Ville's inequality it exceeds `1 / a` with a probability of at most
//! `a`, however often it is evaluated.

use std::time::Duration;

use corianderway_model::Time;

use crate::sample::DecayingSample;
use crate::sample::Sample;
use crate::sample::Stratum;

/// The alternatives: by how many margins the new version's failure rate is higher.
const MARGIN_MULTIPLES: [f64; 2] = [1.0, 8.0];
/// The mixture's weight for a fault from the start; the rest is spread evenly over
/// later start times of the move.
const INITIAL_WEIGHT: f64 = 0.5;
/// The multiple of the margin up to which a difference is negligible.
const NEGLIGIBLE_MULTIPLE: f64 = 0.25;
/// The probability that a negligible difference is taken for a relevant one.
const RELEVANCE_ALPHA: f64 = 0.05;
/// The lowest ratio of an alternative's failure rate to the old version's. It
/// applies where the margin is small beside that rate or [`MAX_RATE`] cuts it off.
const MIN_RATE_FACTOR: f64 = 1.01;
/// The prior of the old version's failure rate, as counts of bad and of all requests.
const PRIOR_COUNTS: (f64, f64) = (0.5, 20.0);
/// The highest failure rate of an alternative.
const MAX_RATE: f64 = 0.98;
/// The lowest failure rate that is assumed for the old version.
const MIN_RATE: f64 = 0.002;
/// The highest value of a mixture's component, which keeps the products finite.
const MAX_E_VALUE: f64 = 1e280;

/// The inferiority test for one kind of fault in one scope.
///
/// [`update`](Self::update) adds strata, [`log_e_value`](Self::log_e_value) returns
/// the evidence that the new version is worse, by however little, and
/// [`is_relevant`](Self::is_relevant) whether it is worse by more than a negligible
/// difference. The alternatives of a stratum depend on earlier strata only.
#[derive(Clone, Debug)]
pub(crate) struct InferiorityTest {
    margin: f64,
    // The old version's requests in earlier strata.
    past: DecayingSample,
    // The null hypothesis: the new version is no worse.
    any: EProcess,
    // The null hypothesis: the difference is negligible.
    relevant: EProcess,
}

/// The e-process against one null hypothesis: a mixture over alternatives and over
/// start times within the move.
///
/// The weights of the mixture sum up to one.
#[derive(Clone, Debug)]
struct EProcess {
    span: Duration,
    // One value for each alternative, the sum over the start times until now.
    e_values: [f64; MARGIN_MULTIPLES.len()],
    // The weight of later start times.
    reserve: f64,
    last_update: Time,
}

impl InferiorityTest {
    pub(crate) fn new(margin: f64, span: Duration, now: Time) -> Self {
        Self {
            margin,
            past: DecayingSample::default(),
            any: EProcess::new(span, now),
            relevant: EProcess::new(span, now),
        }
    }

    /// Adds a stratum. Its bounds may depend on outcomes of earlier strata, not on
    /// its own.
    pub(crate) fn update(&mut self, now: Time, stratum: Stratum) {
        let base = self.base_rate();
        let rates = MARGIN_MULTIPLES.map(|multiple| {
            let rate = (base + self.margin * multiple).min(MAX_RATE);
            rate.max(base * MIN_RATE_FACTOR)
        });
        let negligible = (base + self.margin * NEGLIGIBLE_MULTIPLE).min(MAX_RATE);
        let conditional = |rate| conditional_log_ratio(stratum, rate / base);
        let binomial = |rate| binomial_log_ratio(stratum.new, negligible, rate);
        self.any.update(now, rates.map(conditional));
        self.relevant.update(now, rates.map(binomial));
        self.past.add(stratum.old);
    }

    /// Returns the log e-value against the new version being no worse.
    pub(crate) fn log_e_value(&self) -> f64 {
        self.any.log_e_value()
    }

    /// Returns whether the difference is shown to be more than negligible.
    pub(crate) fn is_relevant(&self) -> bool {
        self.relevant.log_e_value() >= -RELEVANCE_ALPHA.ln()
    }

    // Estimates the old version's failure rate from earlier strata only, so that
    // the alternatives are fixed before a stratum's outcomes are known.
    fn base_rate(&self) -> f64 {
        let past = self.past.sample();
        let (bad, total) = (past.bad as f64, past.total as f64);
        ((bad + PRIOR_COUNTS.0) / (total + PRIOR_COUNTS.1)).max(MIN_RATE)
    }
}

impl EProcess {
    fn new(span: Duration, now: Time) -> Self {
        Self {
            span,
            e_values: [INITIAL_WEIGHT / MARGIN_MULTIPLES.len() as f64; MARGIN_MULTIPLES.len()],
            reserve: 1.0 - INITIAL_WEIGHT,
            last_update: now,
        }
    }

    // Multiplies by the likelihood ratios of one stratum, one for each alternative.
    fn update(&mut self, now: Time, log_ratios: [f64; MARGIN_MULTIPLES.len()]) {
        self.add_start_times(now);
        for (sum, log_ratio) in self.e_values.iter_mut().zip(log_ratios) {
            *sum = (*sum * log_ratio.exp()).min(MAX_E_VALUE);
        }
    }

    fn log_e_value(&self) -> f64 {
        (self.e_values.iter().sum::<f64>() + self.reserve).ln()
    }

    // Adds the weight of the start times since the last update.
    fn add_start_times(&mut self, now: Time) {
        let fraction = now.since(self.last_update).as_secs_f64() / self.span.as_secs_f64();
        let weight = (fraction * (1.0 - INITIAL_WEIGHT)).min(self.reserve);
        self.reserve -= weight;
        self.last_update = self.last_update.max(now);
        for sum in &mut self.e_values {
            *sum += weight / MARGIN_MULTIPLES.len() as f64;
        }
    }
}

// Returns the log likelihood ratio of how a stratum's bad requests are divided
// between the versions: the new one fails `factor` times as often, to equally often.
fn conditional_log_ratio(stratum: Stratum, factor: f64) -> f64 {
    let (old, new) = (stratum.old.total as f64, stratum.new.total as f64);
    if old == 0.0 || new == 0.0 {
        return 0.0;
    }
    let null_share = new / (new + old);
    let worse_share = new * factor / (new * factor + old);
    let new_term = stratum.new.bad as f64 * (worse_share / null_share).ln();
    let old_term = stratum.old.bad as f64 * ((1.0 - worse_share) / (1.0 - null_share)).ln();
    new_term + old_term
}

// Returns the log likelihood ratio of one version's bad requests, of a failure rate
// to the null hypothesis' rate.
fn binomial_log_ratio(sample: Sample, null: f64, rate: f64) -> f64 {
    let rate = rate.max(null);
    let good = sample.total.saturating_sub(sample.bad) as f64;
    sample.bad as f64 * (rate / null).ln() + good * ((1.0 - rate) / (1.0 - null)).ln()
}
