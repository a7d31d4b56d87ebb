//! Counts of requests, and how many of them were bad.

/// Requests of which a ratio is remembered.
const MEMORY: u64 = 1000;

/// Requests after which a stratum is complete, also with one version missing.
const STRATUM_MOST: u64 = 200;

/// Requests of both versions that ran side by side, and how many were bad.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stratum {
    /// Those of the old version.
    pub old: Sample,
    /// Those of the new version.
    pub new: Sample,
}

/// Requests of one version, and how many were bad.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sample {
    /// All of them.
    pub total: u64,
    /// The bad ones.
    pub bad: u64,
}

/// The requests of late: older ones fade out.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Memory {
    sample: Sample,
}

impl Stratum {
    /// Whether it tells enough to be taken in. The rule looks at how many
    /// requests there were, never at how they ended.
    pub fn is_complete(&self) -> bool {
        let (old, new) = (self.old.total, self.new.total);
        (old > 0 && new > 0) || old + new >= STRATUM_MOST
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

impl Memory {
    pub(crate) fn add(&mut self, sample: Sample) {
        self.sample.add(sample);
        if self.sample.total > MEMORY {
            self.sample.total /= 2;
            self.sample.bad = self.sample.bad.div_ceil(2);
        }
    }

    pub(crate) fn sample(&self) -> Sample {
        self.sample
    }
}
