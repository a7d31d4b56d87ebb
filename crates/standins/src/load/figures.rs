//! The figures of a run.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::load::sample::End;
use crate::load::sample::Sample;

/// The precision of latencies, in decimal digits.
const DIGITS: u8 = 3;

/// The longest latency that is told apart, in microseconds.
const LONGEST_US: u64 = 120_000_000;

const MICROS: f64 = 1000.0;

/// Latencies in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Latency {
    /// Half of the requests take at most this long.
    pub p50: f64,
    /// 99 of 100 requests take at most this long.
    pub p99: f64,
    /// 999 of 1,000 requests take at most this long.
    pub p999: f64,
    /// No request takes longer.
    pub max: f64,
}

/// How many requests ended how.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Ends {
    /// Requests sent.
    pub sent: u64,
    /// Answered below status 500.
    pub served: u64,
    /// Answered with status 500 or above.
    pub failed: u64,
    /// Refused by an entry instance.
    pub refused: u64,
    /// Without a whole answer or any connection.
    pub lost: u64,
}

/// The requests to one route on one way.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RouteFigures {
    /// The route.
    pub route: String,
    /// The way.
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
    /// Requests within its rate and burst.
    pub within: u64,
    /// Refused although within rate and burst, other than for the key.
    pub wrongful: u64,
    /// Served as a share of those within its rate and burst.
    pub share: f64,
    /// The latency of those that were served.
    pub latency: Latency,
}

/// One second of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Second {
    /// How the requests that should have been sent in it ended.
    #[serde(flatten)]
    pub ends: Ends,
    /// The latency of those that were served.
    pub latency: Latency,
}

/// Gathers ends and latencies.
#[derive(Debug)]
pub(crate) struct Gatherer {
    pub(crate) ends: Ends,
    histogram: Histogram<u64>,
}

impl Gatherer {
    pub(crate) fn new() -> Self {
        let histogram = Histogram::new_with_bounds(1, LONGEST_US, DIGITS);
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
        let at = |q| self.histogram.value_at_quantile(q) as f64 / MICROS;
        Latency {
            p50: at(0.5),
            p99: at(0.99),
            p999: at(0.999),
            max: self.histogram.max() as f64 / MICROS,
        }
    }

    fn record(&mut self, latency: Duration) {
        self.histogram.saturating_record(latency.as_micros() as u64);
    }
}
