//! Log lines of key=value pairs.

use std::fmt::Display;
use std::fmt::Write as _;

/// One line of key=value pairs.
#[derive(Clone, Debug, Default)]
pub struct Line(String);

impl Line {
    /// Begins a line for an event.
    pub fn new(event: &str) -> Self {
        Self(format!("event={event}"))
    }

    /// Adds a pair; a value with spaces, quotes, '=' or control characters is quoted.
    #[must_use]
    pub fn with(mut self, key: &str, value: impl Display) -> Self {
        let text = value.to_string();
        let plain = |c: char| !c.is_whitespace() && !c.is_control() && c != '"' && c != '=';
        // Writing to a string can't fail.
        let _ = if !text.is_empty() && text.chars().all(plain) {
            write!(self.0, " {key}={text}")
        } else {
            write!(self.0, " {key}={text:?}")
        };
        self
    }

    /// Adds pairs that were put together before.
    #[must_use]
    pub fn with_pairs(mut self, pairs: &str) -> Self {
        self.0.push(' ');
        self.0.push_str(pairs);
        self
    }

    /// The text of the line.
    pub fn into_text(self) -> String {
        self.0
    }
}
