//! The latest log lines about requests, from which a request is explained.

use std::collections::VecDeque;
use std::sync::Arc;

use corianderway_steer::Note;
use corianderway_wire::log_line::LogLine;
use serde_json::json;

/// The maximum number of lines that are kept.
const MAX_LINES: usize = 2_048;

/// The latest lines about requests, oldest first.
#[derive(Debug, Default)]
pub struct Recent(VecDeque<(Arc<str>, String)>);

impl Recent {
    /// Keeps the line of a note that is about a request; drops the oldest line if
    /// too many are kept.
    pub fn record(&mut self, note: &Note, line: &LogLine) {
        let Some(trace) = &note.trace else {
            return;
        };
        if self.0.len() == MAX_LINES {
            self.0.pop_front();
        }
        let text = line.clone().into_text();
        self.0.push_back((Arc::clone(trace), text));
    }

    /// Returns the lines about one request as JSON.
    pub fn explain(&self, trace: &str) -> String {
        let rows = self.0.iter().filter(|row| &*row.0 == trace);
        let lines: Vec<&str> = rows.map(|row| row.1.as_str()).collect();
        json!({ "request": trace, "lines": lines }).to_string()
    }
}
