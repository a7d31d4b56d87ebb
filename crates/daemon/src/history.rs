//! The latest records about requests, which explain how a request was routed or refused.

use std::collections::VecDeque;
use std::sync::Arc;

use corianderway_node::Record;
use serde_json::json;

use crate::record;

/// The maximum number of records kept.
const MAX_RECORDS: usize = 4_096;

/// The request id and log line of the latest records about requests, oldest first.
#[derive(Debug, Default)]
pub struct History(VecDeque<(Arc<str>, String)>);

impl History {
    /// Adds a record if it concerns a request, and drops the oldest if there are too many.
    pub fn add(&mut self, record: &Record) {
        let Some(request_id) = record.request_id() else {
            return;
        };
        if self.0.len() == MAX_RECORDS {
            self.0.pop_front();
        }
        let line = record::line(record).into_text();
        self.0.push_back((Arc::clone(request_id), line));
    }

    /// Returns the log lines about one request, as JSON.
    pub fn explain(&self, request_id: &str) -> String {
        let rows = self.0.iter().filter(|row| &*row.0 == request_id);
        let lines: Vec<&str> = rows.map(|row| row.1.as_str()).collect();
        json!({ "request": request_id, "lines": lines }).to_string()
    }
}
