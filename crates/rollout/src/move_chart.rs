//! The state chart of version moves: its text, and the types of its names.

use corianderway_chart::Chart;
use serde::Deserialize;
use serde::Serialize;

/// The text of the move chart.
pub const MOVE_CHART: &str = include_str!("../charts/move.yaml");

/// The state of a version move.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Waits for backend servers of the new version.
    Planned,
    /// The new version gets at most the contract's share.
    Trial,
    /// The share grows in steps.
    Growing,
    /// The share doesn't grow, since a fault is suspected.
    Held,
    /// The new version gets no request; its requests in flight end.
    Withdrawing,
    /// The new version has taken over.
    Done,
    /// The new version was rolled back.
    Withdrawn,
}

/// The events of the move chart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Trigger {
    /// Backend servers of the new version accept requests.
    Begin,
    /// The next step of the schedule is due.
    Grow,
    /// A fault is suspected.
    Suspect,
    /// No fault is suspected any more.
    Clear,
    /// A fault is certain enough for a rollback.
    Condemn,
    /// An operator rolls the new version back.
    TakeBack,
    /// The deadline has passed.
    Expire,
    /// No instance has a request in flight at the new version.
    Settle,
}

/// The guards of the move chart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Guard {
    /// The new version is proven at the current share.
    Proven,
    /// The new version is proven at the last share before the takeover.
    Complete,
    /// The share is above the contract's.
    Raised,
}

/// The actions of the move chart, each of which sets the share in the record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    /// Sets the share to the contract's.
    SetTrial,
    /// Sets the share to the next step.
    Raise,
    /// Sets the share to all requests.
    Finish,
    /// Sets the share to zero.
    SetZero,
}

/// The parsed move chart.
pub type MoveChart = Chart<State, Trigger, Guard, Effect>;
