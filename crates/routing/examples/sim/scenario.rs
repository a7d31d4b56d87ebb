//! The faults of a run and their times.

use std::time::Duration;

/// When the fault begins.
pub const FAULT_AT: Duration = Duration::from_secs(5);
/// When arrivals end.
pub const ARRIVALS_END: Duration = Duration::from_secs(20);

/// The fault and the load of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// No fault.
    Steady,
    /// No fault, at a high load.
    Busy,
    /// Two backend servers become five times slower.
    Slow,
    /// Two are three times slower and report no load.
    FalseReports,
    /// No load report arrives after the start of the fault.
    NoReports,
    /// Four restart, and are slow for three seconds.
    Cold,
    /// Two respond to most requests with an immediate error.
    Failing,
    /// One region of three is lost with its entry instances.
    RegionLost,
}

impl Scenario {
    /// Every scenario.
    pub const ALL: [Self; 8] = [
        Self::Steady,
        Self::Busy,
        Self::Slow,
        Self::FalseReports,
        Self::NoReports,
        Self::Cold,
        Self::Failing,
        Self::RegionLost,
    ];

    /// Returns the name in the table.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::Busy => "busy",
            Self::Slow => "slow",
            Self::FalseReports => "false-reports",
            Self::NoReports => "no-reports",
            Self::Cold => "cold",
            Self::Failing => "failing",
            Self::RegionLost => "region-lost",
        }
    }

    /// Returns the rate of arrivals over the rate that all slots can serve.
    pub const fn utilization(self) -> f64 {
        match self {
            Self::Busy => 0.85,
            _ => 0.55,
        }
    }

    /// Returns whether the fault affects a backend server.
    pub fn affects(self, server: usize) -> bool {
        match self {
            Self::Slow | Self::FalseReports | Self::Failing => server < 2,
            Self::Cold => server < 4,
            Self::RegionLost => server.is_multiple_of(super::REGIONS),
            Self::Steady | Self::Busy | Self::NoReports => false,
        }
    }

    /// Returns the factor by which a request takes longer there now.
    pub fn slowdown(self, server: usize, now: Duration) -> f64 {
        const COLD_PERIOD: Duration = Duration::from_secs(3);
        if now < FAULT_AT || !self.affects(server) {
            return 1.0;
        }
        match self {
            Self::Slow => 5.0,
            Self::FalseReports => 3.0,
            Self::Cold if now < FAULT_AT + COLD_PERIOD => 6.0,
            Self::Failing => 0.1,
            _ => 1.0,
        }
    }
}
