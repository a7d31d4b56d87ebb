//! Whether this instance keeps up with its work, judged by how late its periodic work
//! begins.
//!
//! An instance whose machine has become slow, or that gets more work than its processor
//! time suffices for, begins everything late. Its digest says so, and directories name
//! other instances in its place.

use std::time::Duration;

use corianderway_chart::Chart;
use serde::Deserialize;

use crate::server::millis;

/// The state chart of the pace, as YAML.
pub const PACE_CHART: &str = include_str!("../charts/edge-pace.yaml");

pub(crate) type PaceChart = Chart<State, Signal, Guard, Effect>;

/// Weight of a new delay in the moving average; sweeps are ten per second.
const DELAY_GAIN: f64 = 0.2;

/// The mean delay from which an instance is late, in milliseconds. It adds to each
/// request, several times.
const LATE_DELAY_MS: f64 = 20.0;

/// The mean delay up to which a late instance counts as prompt again, in milliseconds.
const PROMPT_DELAY_MS: f64 = 5.0;

/// State of the pace.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum State {
    Prompt,
    Late,
}

/// An event in the chart of the pace.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Signal {
    /// The periodic work began.
    Swept,
}

/// A condition of a branch of the chart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Guard {
    /// The mean delay is so long that callers notice.
    Delayed,
    /// The mean delay is short again.
    Recovered,
}

/// The chart has no actions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Effect {}

/// The pace of this instance.
#[derive(Debug)]
pub(crate) struct Pace {
    chart: PaceChart,
    state: State,
    // The moving average of the delays, in milliseconds.
    mean_ms: f64,
}

impl Pace {
    pub(crate) fn new(chart: PaceChart) -> Self {
        Self {
            chart,
            state: State::Prompt,
            mean_ms: 0.0,
        }
    }

    /// Records how late the periodic work began. Returns the mean delay, in milliseconds,
    /// if the state has changed.
    pub(crate) fn record(&mut self, delay: Duration) -> Option<f64> {
        let mean_ms = self.mean_ms + (millis(delay) - self.mean_ms) * DELAY_GAIN;
        self.mean_ms = mean_ms;
        let step = self
            .chart
            .step(self.state, Signal::Swept, |guard| match guard {
                Guard::Delayed => mean_ms > LATE_DELAY_MS,
                Guard::Recovered => mean_ms < PROMPT_DELAY_MS,
            });
        let changed = step.to != self.state;
        self.state = step.to;
        changed.then_some(mean_ms)
    }

    /// Returns whether the instance does not keep up with its work.
    pub(crate) fn is_late(&self) -> bool {
        self.state == State::Late
    }
}
