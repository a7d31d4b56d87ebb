//! The recorded history of a test run: calls, runs and limits.

use std::io;
use std::path::Path;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::backend::Record;

/// The input of [`check`](crate::checker::check).
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct History {
    /// Calls as recorded by the callers.
    pub calls: Vec<Call>,
    /// Requests that backend servers ran.
    pub runs: Vec<Record>,
    /// Rate limits of the contracts.
    pub limits: Vec<Limit>,
    /// The maximum variation of the time from admission to the start of the
    /// run, in milliseconds.
    pub slack_ms: u64,
}

/// One request as recorded by its caller. Each retry is a call of its own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Call {
    /// The request id, unique among calls.
    pub request: String,
    /// The client account.
    pub account: Arc<str>,
    /// The idempotency key, the same for all retries of a request.
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
    /// A backend server answered.
    Answered {
        /// The HTTP status.
        status: u16,
        /// The request id in the answer, if it has one.
        echoed: Option<String>,
        /// Whether the complete answer was received.
        whole: bool,
    },
    /// An entry instance refused the request.
    Refused {
        /// The refusal's code.
        code: String,
        /// Whether the request may have run, according to the refusal.
        ran: Ran,
    },
    /// No answer was received.
    Lost,
}

/// Whether a refused request may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ran {
    /// The request did not run.
    No,
    /// It may have run.
    Maybe,
}

/// A client account's rate limit across all instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limit {
    /// The client account.
    pub account: Arc<str>,
    /// Requests per second.
    pub rate: f64,
    /// The number of requests that may arrive at once in excess of the rate.
    pub burst: f64,
}

impl End {
    /// Returns whether the answer states that the request did not run.
    pub fn denies_run(&self) -> bool {
        matches!(self, Self::Refused { ran: Ran::No, .. })
    }
}

/// Reads the history file of a backend server stand-in.
///
/// A last line without a line feed is ignored, since a crash of the process can
/// truncate it.
///
/// # Errors
///
/// Returns an error if the file can't be read or a complete line isn't a valid
/// record.
pub fn read_runs(file: &Path) -> io::Result<Vec<Record>> {
    let text = std::fs::read_to_string(file)?;
    let mut runs: Vec<Record> = Vec::new();
    for line in text.split_inclusive('\n').filter(|l| l.ends_with('\n')) {
        let record = serde_json::from_str::<Record>(line)?;
        let same = |r: &&mut Record| r.id == record.id && r.start == record.start;
        // Searches backwards, as a run's final record is usually close to its first.
        match runs.iter_mut().rev().find(same) {
            Some(known) => *known = record,
            None => runs.push(record),
        }
    }
    Ok(runs)
}
