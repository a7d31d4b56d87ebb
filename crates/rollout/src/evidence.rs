//! Summaries of the evidence on a version, for records, logs and operators.

use std::fmt;

use corianderway_model::RouteName;
use serde::Deserialize;
use serde::Serialize;

/// The kind of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Requests fail more often than at the old version.
    Errors,
    /// Answers take longer than at the old version.
    Slowness,
}

/// A fault of the new version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// The kind.
    pub kind: FaultKind,
    /// The only route with the fault; absent if all routes have it.
    pub route: Option<RouteName>,
}

/// The evidence on a move at the time of a decision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Evidence {
    /// Requests that ended at the old version.
    pub old_total: u64,
    /// Requests that failed at the old version.
    pub old_failed: u64,
    /// Requests that ended at the new version.
    pub new_total: u64,
    /// Requests that failed at the new version.
    pub new_failed: u64,
    /// The log likelihood ratio for the new version being no worse.
    pub proof: f64,
    /// The log e-value against the new version being no worse.
    pub doubt: f64,
    /// The fault for which the version is held or rolled back.
    pub fault: Option<Fault>,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = match self.kind {
            FaultKind::Errors => "errors",
            FaultKind::Slowness => "slowness",
        };
        match &self.route {
            Some(route) => write!(f, "{kind} on route {route}"),
            None => write!(f, "{kind} on all routes"),
        }
    }
}
