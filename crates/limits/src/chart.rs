//! The chart of an instance's floors, read from `charts/quota.yaml`.

use corianderway_chart::Chart;
use serde::Deserialize;

/// The text of the chart file.
pub const CHART: &str = include_str!("../charts/quota.yaml");

pub(crate) type QuotaChart = Chart<Standing, Change, Guard, Order>;

/// What this instance may do with its floors.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Standing {
    /// No member of the current epoch; it may only borrow.
    Empty,
    /// A member of an epoch whose predecessor may still be in use.
    Waiting,
    /// A member of an epoch that no earlier one overlaps.
    Held,
    /// A member whose lease has lapsed.
    Stale,
    /// Stopped; it uses nothing for good.
    Surrendered,
}

/// What changes the standing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Change {
    Adopted,
    Renewed,
    Settled,
    Lapsed,
    Surrendered,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Guard {
    /// This instance is not a member of the current epoch.
    Absent,
    /// The lease is not fresh.
    Stale,
    /// Earlier epochs can't be in use any more.
    Ripe,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Order {
    Stop,
    UseLeast,
    UseFloor,
}

/// Loads the chart.
///
/// # Panics
///
/// Panics when the file in the source tree is not a valid chart.
pub(crate) fn load() -> QuotaChart {
    Chart::parse(CHART).expect("charts/quota.yaml is checked by the tests")
}
