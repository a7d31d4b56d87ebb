//! The names of the drain chart and the chart itself.

use corianderway_chart::Chart;
use serde::Deserialize;
use serde::Serialize;

/// The text of the drain chart.
pub const DRAIN_CHART: &str = include_str!("../charts/drain.yaml");

/// Where a drain stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DrainState {
    /// Waits until the capacity left can carry the load.
    Planned,
    /// Gets no new work; requests in flight end.
    Draining,
    /// No instance has a request in flight there.
    Drained,
    /// Taken back by an operator.
    Cancelled,
}

/// What may happen to a drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DrainTrigger {
    /// Time to look whether the drain may begin.
    Admit,
    /// The capacity left is less than the load.
    Overload,
    /// Time to look whether the drain is over.
    Settle,
    /// An operator takes it back.
    Cancel,
}

/// What the drain chart asks before a transition.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DrainGuard {
    /// The capacity left can carry the load.
    Fits,
    /// No instance has a request in flight there.
    Empty,
}

/// What a transition of the drain chart does to the record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DrainEffect {
    /// Gives the scope no new work.
    WithholdWork,
    /// Gives the scope new work again.
    AllowWork,
}

/// The drain chart over its names.
pub type DrainChart = Chart<DrainState, DrainTrigger, DrainGuard, DrainEffect>;
