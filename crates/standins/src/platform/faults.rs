//! Faults that a test injects into the platform stand-in.

use serde::Deserialize;
use serde::Serialize;

/// Whether the platform is down, and how calls fail while it is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outage {
    /// The platform is up.
    #[default]
    No,
    /// Each call's connection is closed without an answer.
    Refuse,
    /// Calls are not answered. Their connections close when the faults change.
    Hang,
}

/// The injected faults. A new value replaces all of them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether the platform is down.
    pub down: Outage,
    /// The delay of each answer, in milliseconds.
    pub slow_ms: u64,
    /// The number of next writes that take effect but are not answered.
    pub lose_answers: u32,
    /// The age of the instance list that is returned, in milliseconds.
    pub list_lag_ms: u64,
    /// If set, reads return the objects as of this revision.
    pub back_to: Option<u64>,
}
