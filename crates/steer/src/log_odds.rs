//! Statistical evidence that the target is no worse than the old version.
//!
//! The absence of a detected fault proves nothing where answers are few or old, or where
//! the old version is itself disturbed. The target therefore has to accumulate evidence:
//! the log likelihood ratio of a version that is no worse against one whose rate of bad
//! answers is higher by [`FAULT_RATE_INCREASE`].
//!
//! A slow version is slow on all of its servers, whereas a disturbance slows
//! some servers whatever version they run. Each server of the target is
//! therefore modeled as a mixture: disturbed with the same probability as a
//! server of the old version, and otherwise representative of its version.

use crate::digest::ServerTimes;

/// The increase in the rate of failures or of slow answers by which a faulty version
/// differs from a sound one.
const FAULT_RATE_INCREASE: f64 = 0.2;

/// The minimum rate of failures assumed for a sound version.
const MIN_FAILURE_RATE: f64 = 0.02;

/// The minimum rate of slow answers assumed for a sound version.
const MIN_SLOW_RATE: f64 = 0.03;

/// The maximum rate assumed.
const MAX_RATE: f64 = 0.98;

/// The log odds in favor of the target, from failures or from times, that are
/// required before it receives more than a bad version may: ln 10. A version whose rate
/// is higher by [`FAULT_RATE_INCREASE`] reaches them with a probability of a tenth at most,
/// however often they are looked at.
const PROOF_LOG_ODDS: f64 = std::f64::consts::LN_10;

/// The log odds that each request with a comparable time has to contribute
/// while there are few: about half of what a request of a sound version
/// contributes.
const PROOF_LOG_ODDS_PER_REQUEST: f64 = 0.125;

/// The log odds for a late fault, as a CUSUM statistic, at which the target may not take
/// over. Several successful answers are needed to offset one failure.
const CUSUM_LIMIT: f64 = 1.5;

/// The number of answers over which the old version's failure rate is averaged.
const MAX_BASE_ANSWERS: f64 = 400.0;

/// The rate of slow answers from which on a server of the old version counts as slow.
const SLOW_SERVER_RATE: f64 = 0.3;

/// The minimum number of requests of a server whose rate of slow answers counts.
const MIN_SERVER_REQUESTS: u32 = 3;

/// The minimum fraction of servers assumed to be disturbed.
const MIN_DISTURBED_FRACTION: f64 = 0.1;

/// The rate of slow answers assumed for disturbed servers where no server of the old
/// version is slow.
const DEFAULT_DISTURBED_RATE: f64 = 0.8;

/// The number of answers of one version, and how many of them failed.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Count {
    pub(crate) answers: u32,
    pub(crate) failed: u32,
}

/// The evidence from failures: a log likelihood ratio over all answers, and a CUSUM
/// statistic for a fault that began late.
#[derive(Clone, Debug, Default)]
pub(crate) struct FailureOdds {
    // Failed and all answers of the old version, scaled down to at most
    // `MAX_BASE_ANSWERS`.
    base: (f64, f64),
    // The log odds in favor of a target that fails no more often than the old
    // version.
    log_odds: f64,
    // The same, with the answers from before an interruption.
    total_log_odds: f64,
    // The log odds for a fault that began at the least favorable moment, as a
    // CUSUM statistic.
    cusum: f64,
    // The value of `cusum` at the last interruption. Later answers don't lower `cusum`
    // below it.
    cusum_floor: f64,
}

impl FailureOdds {
    /// Adds answers that both versions returned in the same period.
    pub(crate) fn update(&mut self, old: Count, new: Count) {
        self.base.0 += f64::from(old.failed);
        self.base.1 += f64::from(old.answers);
        let scale = MAX_BASE_ANSWERS / self.base.1.max(MAX_BASE_ANSWERS);
        self.base = (self.base.0 * scale, self.base.1 * scale);
        let base_rate = (self.base.0 / self.base.1.max(1.0)).max(MIN_FAILURE_RATE);
        let (gain, loss) = gain_and_loss(new, base_rate);
        self.log_odds += gain - loss;
        self.total_log_odds += gain - loss;
        self.cusum = (self.cusum + loss - gain).max(self.cusum_floor);
    }

    /// Discards the evidence in favor of the target and keeps the evidence
    /// against it, since a version may behave differently after an
    /// interruption.
    pub(crate) fn discard_support(&mut self) {
        self.log_odds = self.log_odds.min(0.0);
        self.cusum_floor = self.cusum;
    }

    /// Returns whether the failures favor the target.
    pub(crate) fn favors_target(&self) -> bool {
        self.log_odds >= 0.0 && self.cusum < CUSUM_LIMIT
    }

    /// Returns whether a faulty target would have shown by now: whether all answers
    /// together favor the target enough.
    pub(crate) fn has_power(&self) -> bool {
        self.total_log_odds >= PROOF_LOG_ODDS
    }

    /// Returns whether the failures prove that the target is no worse.
    pub(crate) fn is_proven(&self) -> bool {
        self.log_odds >= PROOF_LOG_ODDS && self.cusum < CUSUM_LIMIT
    }

    /// Formats the evidence for logs.
    pub(crate) fn text(&self) -> String {
        format!("{:.1}/{:.1}", self.log_odds, self.cusum)
    }
}

/// Returns the log odds that the target's server times have to reach, where `timed`
/// requests should have a comparable time. None require none: a service whose servers
/// always have requests waiting has no comparable times.
pub(crate) fn required_slowness_odds(timed: f64) -> f64 {
    (timed * PROOF_LOG_ODDS_PER_REQUEST).min(PROOF_LOG_ODDS)
}

/// Returns the log odds in favor of a target that is slow no more often than
/// the old version.
pub(crate) fn slowness_log_odds(old: &[ServerTimes], target: &[ServerTimes]) -> f64 {
    let measured = old.iter().filter(|row| row.total() >= MIN_SERVER_REQUESTS);
    let (slow, sound): (Vec<ServerTimes>, Vec<ServerTimes>) =
        measured.partition(|row| row.slow_rate() >= SLOW_SERVER_RATE);
    let disturbed_fraction = slow.len() as f64 / (slow.len() + sound.len()).max(1) as f64;
    let disturbed_fraction = disturbed_fraction.max(MIN_DISTURBED_FRACTION);
    let base_rate = slow_rate(&sound).unwrap_or(0.0);
    let base_rate = base_rate.clamp(MIN_SLOW_RATE, SLOW_SERVER_RATE);
    let faulty_rate = base_rate + FAULT_RATE_INCREASE;
    let disturbed_rate = slow_rate(&slow)
        .unwrap_or(DEFAULT_DISTURBED_RATE)
        .min(MAX_RATE);
    let odds = target.iter().map(|row| {
        let disturbed_likelihood = disturbed_fraction * likelihood(row, disturbed_rate);
        let sound_likelihood =
            disturbed_likelihood + (1.0 - disturbed_fraction) * likelihood(row, base_rate);
        let faulty_likelihood =
            disturbed_likelihood + (1.0 - disturbed_fraction) * likelihood(row, faulty_rate);
        (sound_likelihood / faulty_likelihood).ln()
    });
    odds.sum()
}

fn slow_rate(rows: &[ServerTimes]) -> Option<f64> {
    let total: u32 = rows.iter().map(|row| row.total()).sum();
    let slow: u32 = rows.iter().map(|row| row.slow()).sum();
    (total > 0).then(|| f64::from(slow) / f64::from(total))
}

// The likelihood of a server's slow answers if its rate of them is `rate`, without the
// binomial coefficient, which cancels out.
fn likelihood(row: &ServerTimes, rate: f64) -> f64 {
    let on_time = row.total().saturating_sub(row.slow());
    rate.powf(f64::from(row.slow())) * (1.0 - rate).powf(f64::from(on_time))
}

// The log odds that successful answers add in favor of the target, and those that failed
// ones subtract.
fn gain_and_loss(new: Count, base_rate: f64) -> (f64, f64) {
    let base_rate = base_rate.min(MAX_RATE - FAULT_RATE_INCREASE);
    let faulty_rate = base_rate + FAULT_RATE_INCREASE;
    let successes = f64::from(new.answers - new.failed.min(new.answers));
    let gain = successes * ((1.0 - base_rate) / (1.0 - faulty_rate)).ln();
    (gain, f64::from(new.failed) * (faulty_rate / base_rate).ln())
}
