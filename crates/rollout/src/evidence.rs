//! Summaries of evidence, for records, logs and operators.

use std::fmt;

use corianderway_model::RouteName;
use serde::Deserialize;
use serde::Serialize;

/// What kind of fault a version shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Requests fail that the old version would answer.
    Errors,
    /// Answers take longer than the old version's.
    Slowness,
}

/// A fault of the new version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// The kind.
    pub kind: FaultKind,
    /// The only route it shows on; all routes if absent.
    pub route: Option<RouteName>,
}

/// What was seen of a move when a decision was taken.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Evidence {
    /// Requests ended at the old version.
    pub old_total: u64,
    /// Requests failed at the old version.
    pub old_failed: u64,
    /// Requests ended at the new version.
    pub new_total: u64,
    /// Requests failed at the new version.
    pub new_failed: u64,
    /// The evidence that the new version is no worse, as a log likelihood ratio.
    pub proof: f64,
    /// The evidence that the new version is worse, as the log of an e-value.
    pub doubt: f64,
    /// The fault for which the version is held or taken back.
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
