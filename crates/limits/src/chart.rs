//! The state chart of an instance's floors, from `charts/quota.yaml`.

use corianderway_chart::Chart;
use serde::Deserialize;

/// The text of the chart file.
pub const CHART: &str = include_str!("../charts/quota.yaml");

pub(crate) type QuotaChart = Chart<FloorStatus, FloorEvent, Guard, FloorAction>;

/// Whether and how an instance may use its floors.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FloorStatus {
    /// Not a member of the current epoch; may only borrow.
    Empty,
    /// A member, but an earlier epoch may still be in use.
    Waiting,
    /// A member, and no earlier epoch can be in use.
    Held,
    /// A member whose lease has expired.
    Stale,
    /// Stopping; the instance uses no floor again.
    Surrendered,
}

/// Events of the chart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum FloorEvent {
    /// A newer epoch became current.
    Adopted,
    /// The lease was renewed.
    Renewed,
    /// Earlier epochs can no longer be in use.
    Settled,
    /// The lease expired.
    Expired,
    /// The instance is about to stop.
    Surrendered,
}

/// Conditions on the events of the chart.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Guard {
    /// This instance is not a member of the current epoch.
    NotMember,
    /// The lease has expired.
    LeaseExpired,
    /// Earlier epochs can no longer be in use.
    Exclusive,
}

/// Actions of the chart.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum FloorAction {
    /// Use no floor.
    Disable,
    /// Use the smaller of the floors in this epoch and the previous one.
    UseMinFloor,
    /// Use the floor in this epoch.
    UseFloor,
}

/// Parses the chart.
///
/// # Panics
///
/// Panics if the chart file is not valid.
pub(crate) fn load() -> QuotaChart {
    Chart::parse(CHART).expect("charts/quota.yaml is a valid chart")
}
