//! Text that must not appear in logs.

use std::fmt;
use std::sync::Arc;

/// Text whose `Debug` output is redacted.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Secret(Arc<str>);

impl Secret {
    /// Wraps a secret text.
    pub fn new(text: &str) -> Self {
        Self(text.into())
    }

    /// Returns the text; use it for comparisons only.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("[redacted]")
    }
}
