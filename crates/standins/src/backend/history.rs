//! The history of requests that a backend server stand-in ran.

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
    /// It is running, or the process ended while it ran.
    #[default]
    Running,
    /// It ran and was answered.
    Done,
    /// It ran and failed.
    Failed,
    /// Its caller disconnected or its deadline passed while it ran.
    Cancelled,
    /// It did not run, since its body was incomplete.
    Unread,
}

/// The record of one request that was given a slot.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Record {
    /// The backend server.
    pub server: String,
    /// The number of the request, unique within the process.
    pub id: u64,
    /// The method.
    pub method: String,
    /// The path without its query.
    pub path: String,
    /// The idempotency key, if the request has one.
    pub key: Option<String>,
    /// The request id, if the request has one.
    pub request: Option<String>,
    /// Whether a header or the URL contained a caller's key.
    pub keyed: bool,
    /// When it was given the slot, in nanoseconds since the Unix epoch.
    pub start: u64,
    /// When it released the slot, in nanoseconds since the Unix epoch; zero while
    /// it runs.
    pub end: u64,
    /// How it ended.
    pub outcome: Outcome,
}

/// The records of this process, sorted by request number.
#[derive(Debug, Default)]
pub(crate) struct History {
    records: Vec<Record>,
    file: Option<File>,
}

impl History {
    /// Starts an empty history. If a file is given, each record is appended to it
    /// at the start and at the end of its request, so that it survives a crash.
    pub(crate) fn open(file: Option<&Path>) -> io::Result<Self> {
        let append = |p: &Path| File::options().create(true).append(true).open(p);
        Ok(Self {
            records: Vec::new(),
            file: file.map(append).transpose()?,
        })
    }

    /// Adds the record of a request that is given a slot.
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

    /// Returns all records, sorted by request number.
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
