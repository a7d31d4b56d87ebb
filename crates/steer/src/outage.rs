//! Whether the store is away, as far as this instance can tell.
//!
//! Entries of live backend servers lapse while the store is away, and are back soon after its
//! return. The loss of another instance, whose replica this one follows, is no outage: it says
//! nothing of the store.

use std::time::Duration;

use corianderway_chart::Chart;
use corianderway_model::Time;
use serde::Deserialize;

/// The state chart of an outage of the store, as YAML.
pub const OUTAGE_CHART: &str = include_str!("../charts/edge-store.yaml");

pub(crate) type OutageChart = Chart<State, Signal, Guard, Effect>;

/// How long after the store's return entries of backend servers may still be missing.
const RETURN_WINDOW: Duration = Duration::from_secs(3);

/// The state of the chart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum State {
    Present,
    Away,
    Returned,
}

/// An event of the chart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Signal {
    /// The store did not answer this instance, or the one whose replica it follows.
    Lost,
    /// The store came back from an older copy.
    Restored,
    /// The contents of the store, or of a replica, are up to date.
    Reached,
    Tick,
}

/// A condition of a branch of the chart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Guard {
    /// Entries that lapsed had the time to return.
    EntriesBack,
}

/// An action of the chart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Effect {
    /// Records the time of the store's return.
    RecordReturn,
}

/// The state of the store.
#[derive(Debug)]
pub(crate) struct Outage {
    chart: OutageChart,
    state: State,
    returned: Time,
}

impl Outage {
    pub(crate) fn new(chart: OutageChart) -> Self {
        Self {
            chart,
            state: State::Present,
            returned: Time::ZERO,
        }
    }

    /// Applies an event to the chart.
    pub(crate) fn advance(&mut self, now: Time, signal: Signal) {
        let returned = self.returned;
        let step = self.chart.step(self.state, signal, |guard| match guard {
            Guard::EntriesBack => now.since(returned) >= RETURN_WINDOW,
        });
        self.state = step.to;
        for effect in step.actions {
            match effect {
                Effect::RecordReturn => self.returned = now,
            }
        }
    }

    /// Returns whether entries of live backend servers may be missing.
    pub(crate) fn is_unsettled(&self) -> bool {
        self.state != State::Present
    }
}
