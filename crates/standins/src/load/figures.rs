//! Request counts and latencies of a run.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::load::sample::End;
use crate::load::sample::Sample;

/// The precision of latencies, in significant decimal digits.
const SIGNIFICANT_DIGITS: u8 = 3;

/// The maximum latency of the histogram; longer ones count as this one.
const MAX_LATENCY_US: u64 = 120_000_000;

const MICROS_PER_MS: f64 = 1000.0;

/// Latency quantiles in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Latency {
    /// The median.
    pub p50: f64,
    /// The 99th percentile.
    pub p99: f64,
    /// The 99.9th percentile.
    pub p999: f64,
    /// The maximum.
    pub max: f64,
}

/// Counts of requests by how they ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Ends {
    /// All requests.
    pub sent: u64,
    /// Answered below status 500.
    pub served: u64,
    /// Answered with status 500 or above.
    pub failed: u64,
    /// Refused by an entry instance.
    pub refused: u64,
    /// Without a complete answer, or without a connection.
    pub lost: u64,
}

/// The requests to one route, either tested or direct ones.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RouteFigures {
    /// The route.
    pub route: String,
    /// Whether they were tested or direct.
    pub way: crate::load::schedule::Way,
    /// How they ended.
    #[serde(flatten)]
    pub ends: Ends,
    /// The latency of those that were served.
    pub latency: Latency,
}

/// The requests of one client account.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct AccountFigures {
    /// The client account.
    pub account: String,
    /// How they ended.
    #[serde(flatten)]
    pub ends: Ends,
    /// The number of requests within its rate and burst.
    pub within: u64,
    /// The number of requests that were refused although within rate and burst,
    /// except for a missing or refused key.
    pub wrongful: u64,
    /// The ratio of served requests to those within its rate and burst.
    pub share: f64,
    /// The latency of those that were served.
    pub latency: Latency,
}

/// One second of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Second {
    /// Counts of the requests that were scheduled in this second.
    #[serde(flatten)]
    pub ends: Ends,
    /// The latency of those that were served.
    pub latency: Latency,
}

/// Accumulates counts and latencies of samples.
#[derive(Debug)]
pub(crate) struct FiguresBuilder {
    pub(crate) ends: Ends,
    histogram: Histogram<u64>,
}

impl FiguresBuilder {
    pub(crate) fn new() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS);
        Self {
            ends: Ends::default(),
            histogram: histogram.expect("the bounds are in order"),
        }
    }

    pub(crate) fn add(&mut self, sample: &Sample) {
        self.ends.sent += 1;
        match sample.end() {
            end if end.served() => {
                self.ends.served += 1;
                self.record(sample.latency);
            }
            End::Answered { .. } => self.ends.failed += 1,
            End::Refused { .. } => self.ends.refused += 1,
            End::Lost | End::Unreachable => self.ends.lost += 1,
        }
    }

    pub(crate) fn latency(&self) -> Latency {
        let at = |q| self.histogram.value_at_quantile(q) as f64 / MICROS_PER_MS;
        Latency {
            p50: at(0.5),
            p99: at(0.99),
            p999: at(0.999),
            max: self.histogram.max() as f64 / MICROS_PER_MS,
        }
    }

    fn record(&mut self, latency: Duration) {
        self.histogram.saturating_record(latency.as_micros() as u64);
    }
}
