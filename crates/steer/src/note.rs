//! Log lines as data: an event with named values.

use std::fmt::Display;

/// How much a note matters when log lines must be left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Weight {
    /// One of many, such as a request that went well.
    Plain,
    /// A change of what the instance believes, or a failure.
    Notable,
    /// Something that operators should look at.
    Alarming,
}

/// One decision or change of belief, with what it was based on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Note {
    /// How much it matters.
    pub weight: Weight,
    /// What happened.
    pub event: &'static str,
    /// The id of the request that it is about, if any.
    pub trace: Option<std::sync::Arc<str>>,
    /// The values, in the order of the line.
    pub pairs: Vec<(&'static str, String)>,
}

impl Note {
    /// Begins a note.
    pub fn new(weight: Weight, event: &'static str) -> Self {
        Self {
            weight,
            event,
            trace: None,
            pairs: Vec::new(),
        }
    }

    /// Names the request that the note is about.
    #[must_use]
    pub fn about(mut self, trace: &std::sync::Arc<str>) -> Self {
        self.trace = Some(std::sync::Arc::clone(trace));
        self
    }

    /// Adds a value.
    #[must_use]
    pub fn with(mut self, name: &'static str, value: impl Display) -> Self {
        self.pairs.push((name, value.to_string()));
        self
    }
}
