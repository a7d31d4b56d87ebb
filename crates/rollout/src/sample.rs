//! Counts of requests and of the bad ones among them: those that failed, or those
//! that were slow.

/// The number of requests above which a [`DecayingSample`] halves its counts.
const HALVING_SIZE: u64 = 1000;

/// The number of requests that complete a stratum even if one version has none.
const MAX_STRATUM_SIZE: u64 = 200;

/// Requests of both versions that ran in the same interval.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stratum {
    /// The requests of the old version.
    pub old: Sample,
    /// The requests of the new version.
    pub new: Sample,
}

/// Requests of one version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sample {
    /// All requests.
    pub total: u64,
    /// The bad requests.
    pub bad: u64,
}

/// Recent requests: the counts are halved again and again, so old requests lose
/// weight.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayingSample {
    sample: Sample,
}

impl Stratum {
    /// Returns whether the stratum can be tested. The rule uses the numbers of
    /// requests, never their outcomes, which would bias the test.
    pub fn is_complete(&self) -> bool {
        let (old, new) = (self.old.total, self.new.total);
        (old > 0 && new > 0) || old + new >= MAX_STRATUM_SIZE
    }

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
}

impl DecayingSample {
    pub(crate) fn add(&mut self, sample: Sample) {
        self.sample.add(sample);
        if self.sample.total > HALVING_SIZE {
            self.sample.total /= 2;
            self.sample.bad = self.sample.bad.div_ceil(2);
        }
    }

    pub(crate) fn sample(&self) -> Sample {
        self.sample
    }
}
