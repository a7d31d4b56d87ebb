//! Log lines of `key=value` pairs.

use std::fmt::Display;
use std::fmt::Write as _;

/// A log line of `key=value` pairs, which stays one line whatever the values contain.
#[derive(Clone, Debug, Default)]
pub struct LogLine(String);

impl LogLine {
    /// Starts a line with the event's name.
    pub fn new(event: &str) -> Self {
        Self(format!("event={event}"))
    }

    /// Adds a pair; a value with spaces, quotes, `=` or control characters is quoted.
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

    /// Appends pairs that are formatted already.
    #[must_use]
    pub fn with_pairs(mut self, pairs: &str) -> Self {
        self.0.push(' ');
        self.0.push_str(pairs);
        self
    }

    /// Returns the text, without a line break.
    pub fn into_text(self) -> String {
        self.0
    }
}
