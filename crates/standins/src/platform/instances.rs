//! The instance list and its recent versions, for reads with a lag.

use std::collections::VecDeque;
use std::time::Duration;

use corianderway_model::Backend;
use corianderway_model::Entry;
use corianderway_model::Time;
use serde::Deserialize;
use serde::Serialize;

/// The number of versions that are kept.
const MAX_VERSIONS: usize = 1024;

/// Live and leaving instances, each list sorted by id.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instances {
    /// The entry instances.
    pub entries: Vec<Entry>,
    /// The backend servers.
    pub backends: Vec<Backend>,
}

/// The recent versions of the list with the time of each, oldest first.
#[derive(Debug, Default)]
pub(crate) struct ListHistory(VecDeque<(Time, Instances)>);

impl ListHistory {
    /// Returns the list as of `lag` before `now`; an empty one if none is that old.
    pub(crate) fn as_of(&self, now: Time, lag: Duration) -> Instances {
        let old_enough = |(at, _): &&(Time, Instances)| now.since(*at) >= lag;
        let found = self.0.iter().rev().find(old_enough);
        found.map(|(_, list)| list.clone()).unwrap_or_default()
    }

    /// Adds a version that is the newest list with `edit` applied.
    pub(crate) fn change(&mut self, now: Time, edit: impl FnOnce(&mut Instances)) {
        let mut list = self.as_of(now, Duration::ZERO);
        edit(&mut list);
        self.0.push_back((now, list));
        if self.0.len() > MAX_VERSIONS {
            self.0.pop_front();
        }
    }
}

impl Instances {
    /// Adds or replaces an entry instance.
    pub(crate) fn put_entry(&mut self, entry: Entry) {
        match self.entries.binary_search_by(|e| e.id.cmp(&entry.id)) {
            Ok(at) => self.entries[at] = entry,
            Err(at) => self.entries.insert(at, entry),
        }
    }

    /// Adds or replaces a backend server.
    pub(crate) fn put_backend(&mut self, backend: Backend) {
        match self.backends.binary_search_by(|b| b.id.cmp(&backend.id)) {
            Ok(at) => self.backends[at] = backend,
            Err(at) => self.backends.insert(at, backend),
        }
    }
}
