//! Faults that a test injects into a backend server stand-in.

use serde::Deserialize;
use serde::Serialize;

/// The injected faults. A new value replaces all of them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// If set, a request whose path contains this text crashes the process.
    pub crash_path: Option<String>,
    /// Failures and delays. Only the first rule that matches a request applies.
    pub rules: Vec<Rule>,
    /// How answers are truncated or delayed.
    pub cut: AnswerFault,
    /// For `late`, the pause within an answer, and for `stray`, the pause before
    /// the second answer, in milliseconds.
    pub late_ms: u64,
    /// What the health endpoint reports.
    pub health: HealthReport,
    /// What the load endpoint reports.
    pub load: LoadReport,
    /// The age of the load that the load endpoint reports, in milliseconds.
    pub load_lag_ms: u64,
}

/// Makes some requests fail or run longer. All conditions must hold.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rule {
    /// Applies to paths that contain this text; to any path if absent.
    pub route: Option<String>,
    /// The fraction of requests that fail, from 0 to 1.
    pub fail: f64,
    /// Added to the service time, in milliseconds.
    pub slow_ms: u64,
    /// Applies only while more requests than this run.
    pub busy_above: u32,
    /// Applies once the server has started this many requests under these faults.
    pub after_requests: u64,
    /// Applies once these faults have been set for this many milliseconds.
    pub after_ms: u64,
}

/// How an answer is truncated or delayed after the request has run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AnswerFault {
    /// Answers are complete.
    #[default]
    No,
    /// The connection closes before the answer's first byte.
    Before,
    /// The connection closes in the middle of the body.
    Within,
    /// The server shuts down its sending side in the middle of the body and keeps
    /// the receiving side open.
    HalfClose,
    /// The second half of the body is sent after a pause.
    Late,
    /// A second answer to the same request is sent after a pause.
    Stray,
}

/// What the health endpoint reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HealthReport {
    /// The actual state.
    #[default]
    Honest,
    /// Always live.
    Well,
    /// Always draining.
    Ill,
    /// No answer.
    Silent,
}

/// What the load endpoint reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LoadReport {
    /// The actual load.
    #[default]
    Honest,
    /// No request runs or waits.
    Idle,
    /// All slots and all places in the queue are in use.
    Full,
    /// No answer.
    Silent,
}
