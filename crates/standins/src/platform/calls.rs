//! Counts of API calls by method and kind, which the platform bills by.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// The number of calls of one method on one kind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// The method: `get`, `put`, `delete`, `list`, `watch` or `instances`.
    pub method: Arc<str>,
    /// The kind of object; for a watch, its kinds joined by commas.
    pub kind: Arc<str>,
    /// The number of calls since the start.
    pub calls: u64,
}

/// All counts, sorted by method and kind.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Calls {
    /// The counts.
    pub counts: Vec<Count>,
    /// The number of watches that are waiting now.
    pub waiting: usize,
}

impl Calls {
    /// Counts one call.
    pub fn add(&mut self, method: &str, kind: &str) {
        let key = |c: &Count| (&*c.method, &*c.kind).cmp(&(method, kind));
        match self.counts.binary_search_by(key) {
            Ok(at) => self.counts[at].calls += 1,
            Err(at) => self.counts.insert(at, first_call(method, kind)),
        }
    }

    /// Returns the number of calls of one method over all kinds.
    pub fn method_total(&self, method: &str) -> u64 {
        let same = self.counts.iter().filter(|c| &*c.method == method);
        same.map(|c| c.calls).sum()
    }
}

fn first_call(method: &str, kind: &str) -> Count {
    Count {
        method: method.into(),
        kind: kind.into(),
        calls: 1,
    }
}
