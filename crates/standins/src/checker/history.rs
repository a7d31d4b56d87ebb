//! What is known of a run: calls, runs and limits.

use std::io;
use std::path::Path;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::backend::Record;

/// A whole history.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct History {
    /// What callers saw.
    pub calls: Vec<Call>,
    /// What backend servers ran.
    pub runs: Vec<Record>,
    /// What the contracts allow.
    pub limits: Vec<Limit>,
    /// The most that the time from admission to the run varies, in milliseconds.
    pub slack_ms: u64,
}

/// One request as its caller saw it; each sending is a call of its own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Call {
    /// The request id, unique among calls.
    pub request: String,
    /// The client account.
    pub account: Arc<str>,
    /// The idempotency key, the same when the caller sends again.
    #[serde(default)]
    pub key: Option<String>,
    /// Whether the route runs a request at most once.
    #[serde(default)]
    pub once: bool,
    /// When it was sent, in nanoseconds since the Unix epoch.
    #[serde(default)]
    pub sent: u64,
    /// When it ended, in nanoseconds since the Unix epoch.
    #[serde(default)]
    pub done: u64,
    /// How it ended.
    pub end: End,
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum End {
    /// With the answer of a backend server.
    Answered {
        /// The status.
        status: u16,
        /// The request id that the answer names, if it names one.
        echoed: Option<String>,
        /// Whether the answer came to its end.
        whole: bool,
    },
    /// With a refusal by an entry instance.
    Refused {
        /// The code of the refusal.
        code: String,
        /// What the refusal says of the run.
        ran: Ran,
    },
    /// Without an answer.
    Lost,
}

/// What a refusal says of the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ran {
    /// The request did not run.
    No,
    /// It may have run.
    Maybe,
}

/// What a contract allows across all instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limit {
    /// The client account.
    pub account: Arc<str>,
    /// Requests a second.
    pub rate: f64,
    /// Requests above the rate that may come at once.
    pub burst: f64,
}

impl End {
    /// Whether the caller was told that the request did not run.
    pub fn denies_run(&self) -> bool {
        matches!(self, Self::Refused { ran: Ran::No, .. })
    }
}

/// Reads a history file of a backend server stand-in, whose process may have crashed.
///
/// # Errors
///
/// Fails when the file can't be read or holds a line that is no record; a last
/// line without its end is passed over.
pub fn read_runs(file: &Path) -> io::Result<Vec<Record>> {
    let text = std::fs::read_to_string(file)?;
    let mut runs: Vec<Record> = Vec::new();
    for line in text.split_inclusive('\n').filter(|l| l.ends_with('\n')) {
        let record = serde_json::from_str::<Record>(line)?;
        let same = |r: &&mut Record| r.id == record.id && r.start == record.start;
        // A record's end follows its start closely.
        match runs.iter_mut().rev().find(same) {
            Some(known) => *known = record,
            None => runs.push(record),
        }
    }
    Ok(runs)
}
