//! Faults that a test asks of the platform stand-in.

use serde::Deserialize;
use serde::Serialize;

/// How the platform is out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Down {
    /// In service.
    #[default]
    No,
    /// Each call ends with a closed connection.
    Refuse,
    /// Calls get no answer until the faults change; then their connection closes.
    Hang,
}

/// The faults in force; a new value replaces all of them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// How the platform is out.
    pub down: Down,
    /// Added to each answer, in milliseconds.
    pub slow_ms: u64,
    /// Writes still to come that take effect and get no answer.
    pub lose_answers: u32,
    /// The age of what the instance list shows, in milliseconds.
    pub list_lag_ms: u64,
    /// Reads show the state as of this revision.
    pub back_to: Option<u64>,
}
