//! Structured log entries: an event name with named values.

use std::fmt::Display;

/// The importance of a note; the process may drop the least important ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// A routine event, such as a successful request.
    Routine,
    /// A change of the decision state, or a failure.
    Notable,
    /// An event that needs an operator's attention.
    Alert,
}

/// A log entry for one decision or change of state, with the values behind it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Note {
    /// Its importance.
    pub severity: Severity,
    /// The name of the event.
    pub event: &'static str,
    /// The id of the request that it concerns, if any.
    pub trace: Option<std::sync::Arc<str>>,
    /// Named values, in the order of the log line.
    pub fields: Vec<(&'static str, String)>,
}

impl Note {
    /// Creates a note without values.
    pub fn new(level: Severity, event: &'static str) -> Self {
        Self {
            severity: level,
            event,
            trace: None,
            fields: Vec::new(),
        }
    }

    /// Sets the id of the request that the note concerns.
    #[must_use]
    pub fn for_request(mut self, trace: &std::sync::Arc<str>) -> Self {
        self.trace = Some(std::sync::Arc::clone(trace));
        self
    }

    /// Appends a named value.
    #[must_use]
    pub fn with(mut self, name: &'static str, value: impl Display) -> Self {
        self.fields.push((name, value.to_string()));
        self
    }
}
