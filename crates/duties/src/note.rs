//! Log entries of a duty.

use std::fmt::Display;

/// A log entry for one change of state, with the values behind it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Note {
    /// Whether the event needs an operator's attention.
    pub alert: bool,
    /// The name of the event.
    pub event: &'static str,
    /// Named values, in the order of the log line.
    pub fields: Vec<(&'static str, String)>,
}

impl Note {
    /// Creates a note without values.
    pub fn new(event: &'static str) -> Self {
        Self {
            alert: false,
            event,
            fields: Vec::new(),
        }
    }

    /// Marks the note as one that needs an operator's attention.
    #[must_use]
    pub fn alert(mut self) -> Self {
        self.alert = true;
        self
    }

    /// Appends a named value.
    #[must_use]
    pub fn with(mut self, name: &'static str, value: impl Display) -> Self {
        self.fields.push((name, value.to_string()));
        self
    }
}
