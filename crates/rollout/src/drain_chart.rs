//! The state chart of drains: its text, and the types of its names.

use corianderway_chart::Chart;
use serde::Deserialize;
use serde::Serialize;

/// The text of the drain chart.
pub const DRAIN_CHART: &str = include_str!("../charts/drain.yaml");

/// The state of a drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DrainState {
    /// Waits until the remaining backend servers can carry the load.
    Planned,
    /// The scope gets no new work; its requests in flight end.
    Draining,
    /// No instance has a request in flight at the scope.
    Drained,
    /// Cancelled by an operator.
    Cancelled,
}

/// The events of the drain chart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DrainTrigger {
    /// The drain may begin if the load allows it.
    Admit,
    /// The remaining backend servers can't carry the load.
    Overload,
    /// The drain ends if no request is in flight.
    Settle,
    /// An operator cancels the drain.
    Cancel,
}

/// The guards of the drain chart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DrainGuard {
    /// The remaining backend servers can carry the load.
    Fits,
    /// No instance has a request in flight at the scope.
    Empty,
}

/// The actions of the drain chart, each of which changes the record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DrainEffect {
    /// Withholds new work from the scope.
    WithholdWork,
    /// Allows new work for the scope again.
    AllowWork,
}

/// The parsed drain chart.
pub type DrainChart = Chart<DrainState, DrainTrigger, DrainGuard, DrainEffect>;
