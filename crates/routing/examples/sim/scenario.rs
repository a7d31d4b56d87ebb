//! What goes wrong in a run, and when.

use std::time::Duration;

/// When the fault begins.
pub const FAULT_AT: Duration = Duration::from_secs(5);
/// When arrivals end.
pub const END: Duration = Duration::from_secs(20);

/// A fault, or none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// No fault.
    Steady,
    /// No fault, near the limit.
    Busy,
    /// Two backend servers become five times slower.
    Slow,
    /// Two are three times slower and report no load.
    Lying,
    /// No load report arrives any more.
    Blind,
    /// Four start again, each with three slow seconds.
    Cold,
    /// Two answer most requests with an error, at once.
    Failing,
    /// A region of three is lost with its entry instances.
    RegionLost,
}

impl Scenario {
    /// Every scenario.
    pub const ALL: [Self; 8] = [
        Self::Steady,
        Self::Busy,
        Self::Slow,
        Self::Lying,
        Self::Blind,
        Self::Cold,
        Self::Failing,
        Self::RegionLost,
    ];

    /// The name in the table.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::Busy => "busy",
            Self::Slow => "slow",
            Self::Lying => "lying",
            Self::Blind => "blind",
            Self::Cold => "cold",
            Self::Failing => "failing",
            Self::RegionLost => "region-lost",
        }
    }

    /// Requests a second, over what all slots can run.
    pub const fn fill(self) -> f64 {
        match self {
            Self::Busy => 0.85,
            _ => 0.55,
        }
    }

    /// Whether a backend server is one that the fault is about.
    pub fn hits(self, server: usize) -> bool {
        match self {
            Self::Slow | Self::Lying | Self::Failing => server < 2,
            Self::Cold => server < 4,
            Self::RegionLost => server.is_multiple_of(super::REGIONS),
            Self::Steady | Self::Busy | Self::Blind => false,
        }
    }

    /// How many times longer a request takes there now.
    pub fn slowdown(self, server: usize, now: Duration) -> f64 {
        const COLD: Duration = Duration::from_secs(3);
        if now < FAULT_AT || !self.hits(server) {
            return 1.0;
        }
        match self {
            Self::Slow => 5.0,
            Self::Lying => 3.0,
            Self::Cold if now < FAULT_AT + COLD => 6.0,
            Self::Failing => 0.1,
            _ => 1.0,
        }
    }
}
