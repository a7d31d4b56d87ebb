//! Texts that must not reach a log.

use std::fmt;
use std::sync::Arc;

/// Text that is never printed.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Secret(Arc<str>);

impl Secret {
    /// Wraps a secret text.
    pub fn new(text: &str) -> Self {
        Self(text.into())
    }

    /// The text, for comparing only.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("[redacted]")
    }
}
