//! Faults that a test asks of a backend server stand-in.

use serde::Deserialize;
use serde::Serialize;

/// The faults in force; a new value replaces all of them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// A request whose path contains this text ends the process.
    pub crash_path: Option<String>,
    /// Failures and slowness; the first rule that applies counts.
    pub rules: Vec<Rule>,
    /// How answers are cut or delayed.
    pub cut: Cut,
    /// For `late`, the pause within an answer or before stray bytes, in milliseconds.
    pub late_ms: u64,
    /// What the health endpoint says.
    pub health: Health,
    /// What the load endpoint says.
    pub load: LoadReport,
    /// The age of what the load endpoint shows, in milliseconds.
    pub load_lag_ms: u64,
}

/// A failure or slowness of some requests.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rule {
    /// The text that the path contains; any path when absent.
    pub route: Option<String>,
    /// The share of requests that fail, 0 to 1.
    pub fail: f64,
    /// Added to the service time, in milliseconds.
    pub slow_ms: u64,
    /// Applies only while more requests than this run.
    pub busy_above: u32,
    /// Applies once the server has run this many requests under these faults.
    pub after_requests: u64,
    /// Applies once this many milliseconds have gone by under these faults.
    pub after_ms: u64,
}

/// How answers are cut or delayed, always after the request has run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cut {
    /// Whole answers.
    #[default]
    No,
    /// The connection closes before the answer.
    Before,
    /// The connection closes within the body.
    Within,
    /// The sending side closes within the body and the receiving side stays open.
    HalfClose,
    /// The rest of the body comes after a pause.
    Late,
    /// A second answer that nobody asked for follows after a pause.
    Stray,
}

/// What the health endpoint says.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Health {
    /// The truth.
    #[default]
    Honest,
    /// Always in service.
    Well,
    /// Always out of service.
    Ill,
    /// Nothing.
    Silent,
}

/// What the load endpoint says.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LoadReport {
    /// The truth.
    #[default]
    Honest,
    /// Nothing runs.
    Idle,
    /// Every slot and place in the queue is taken.
    Full,
    /// Nothing.
    Silent,
}
