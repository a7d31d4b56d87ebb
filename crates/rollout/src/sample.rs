//! Counts of requests, and how many of them were bad.

/// Requests of which a ratio is remembered.
const MEMORY: u64 = 1000;

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

/// The requests of late: older ones fade out.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Memory {
    sample: Sample,
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
