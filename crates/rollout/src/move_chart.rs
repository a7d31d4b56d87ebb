//! The names of the move chart and the chart itself.

use corianderway_chart::Chart;
use serde::Deserialize;
use serde::Serialize;

/// The text of the move chart.
pub const MOVE_CHART: &str = include_str!("../charts/move.yaml");

/// Where a version move stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Waits for backend servers of the new version.
    Planned,
    /// The new version gets at most the contract's share.
    Trial,
    /// The share grows in steps.
    Growing,
    /// The share stands still while a fault is suspected.
    Held,
    /// The new version gets nothing; its requests in flight end.
    Withdrawing,
    /// The new version has taken over.
    Done,
    /// The new version was taken back.
    Withdrawn,
}

/// What may happen to a version move.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Trigger {
    /// Backend servers of the new version take requests.
    Begin,
    /// The next step of the schedule is due.
    Grow,
    /// A fault is suspected.
    Suspect,
    /// The suspicion is gone.
    Clear,
    /// A fault is found.
    Condemn,
    /// An operator takes the new version back.
    TakeBack,
    /// The deadline has passed.
    Expire,
    /// No instance has a request in flight at the new version.
    Settle,
}

/// What the move chart asks before a transition.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Guard {
    /// The new version is shown to be no worse at this share.
    Proven,
    /// The new version is proven at the largest share.
    Complete,
    /// The share has grown beyond the contract's.
    Raised,
}

/// What a transition of the move chart does to the record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    /// Sets the share to the contract's.
    SetTrial,
    /// Sets the share to the next step.
    Raise,
    /// Sets the share to everything.
    Finish,
    /// Sets the share to nothing.
    SetZero,
}

/// The move chart over its names.
pub type MoveChart = Chart<State, Trigger, Guard, Effect>;
