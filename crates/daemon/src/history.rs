//! The latest decisions, kept to explain them.

use std::collections::VecDeque;
use std::sync::Arc;

use corianderway_node::Record;
use serde_json::json;

use crate::record;

/// Records that are kept.
const KEPT: usize = 4_096;

/// The latest records about requests, oldest first.
#[derive(Debug, Default)]
pub struct History(VecDeque<(Arc<str>, String)>);

impl History {
    /// Keeps a record if it is about a request.
    pub fn note(&mut self, record: &Record) {
        let Some(trace) = record.trace() else {
            return;
        };
        if self.0.len() == KEPT {
            self.0.pop_front();
        }
        let line = record::line(record).into_text();
        self.0.push_back((Arc::clone(trace), line));
    }

    /// What is kept about one request, as JSON.
    pub fn explain(&self, trace: &str) -> String {
        let rows = self.0.iter().filter(|row| &*row.0 == trace);
        let lines: Vec<&str> = rows.map(|row| row.1.as_str()).collect();
        json!({ "request": trace, "lines": lines }).to_string()
    }
}
