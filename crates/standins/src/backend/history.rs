//! What a backend server stand-in ran.

use std::fs::File;
use std::io;
use std::io::Write;
use std::path::Path;

use serde::Deserialize;
use serde::Serialize;

/// How a request ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It runs, or the process ended while it ran.
    #[default]
    Running,
    /// It ran to its end.
    Done,
    /// It ran and failed.
    Failed,
    /// Its caller left or its deadline passed while it ran.
    Cancelled,
    /// Its body never came whole, so it did not run.
    Unread,
}

/// One request that took a slot.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Record {
    /// The backend server.
    pub server: String,
    /// The number of the request within the server.
    pub id: u64,
    /// The method.
    pub method: String,
    /// The path without its query.
    pub path: String,
    /// The idempotency key, if one came.
    pub key: Option<String>,
    /// The request id, if one came.
    pub request: Option<String>,
    /// Whether a header or the query carried a caller's key.
    pub keyed: bool,
    /// When it took the slot, in nanoseconds since the Unix epoch.
    pub start: u64,
    /// When it left the slot, in nanoseconds since the Unix epoch; zero while it runs.
    pub end: u64,
    /// How it ended.
    pub outcome: Outcome,
}

/// The records of a process, by request number.
#[derive(Debug, Default)]
pub(crate) struct History {
    records: Vec<Record>,
    file: Option<File>,
}

impl History {
    /// Opens the history; a file receives each record at its start and end.
    pub(crate) fn open(file: Option<&Path>) -> io::Result<Self> {
        let append = |p: &Path| File::options().create(true).append(true).open(p);
        Ok(Self {
            records: Vec::new(),
            file: file.map(append).transpose()?,
        })
    }

    /// Adds a record when its request takes a slot.
    pub(crate) fn start(&mut self, record: Record) {
        self.write(&record);
        let at = self.records.partition_point(|r| r.id < record.id);
        self.records.insert(at, record);
    }

    /// Completes the record of a request.
    pub(crate) fn finish(&mut self, id: u64, end: u64, outcome: Outcome) {
        if let Ok(at) = self.records.binary_search_by_key(&id, |r| r.id) {
            let record = &mut self.records[at];
            record.end = end;
            record.outcome = outcome;
            let record = record.clone();
            self.write(&record);
        }
    }

    /// All records, by request number.
    pub(crate) fn records(&self) -> &[Record] {
        &self.records
    }

    fn write(&mut self, record: &Record) {
        let Some(file) = &mut self.file else {
            return;
        };
        let line = serde_json::to_string(record).expect("a record has string keys only");
        if let Err(error) = writeln!(file, "{line}") {
            log::error!("event=history-lost error={error:?}");
        }
    }
}
