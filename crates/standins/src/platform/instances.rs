//! The instance list, which shows the past by a lag that can be set.

use std::collections::VecDeque;
use std::time::Duration;

use corianderway_model::Backend;
use corianderway_model::Entry;
use corianderway_model::Time;
use serde::Deserialize;
use serde::Serialize;

/// Older lists kept for the lag.
const KEPT_LISTS: usize = 1024;

/// Live and leaving instances, each list sorted by id.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instances {
    /// The entry instances.
    pub entries: Vec<Entry>,
    /// The backend servers.
    pub backends: Vec<Backend>,
}

/// The lists of the recent past, oldest first.
#[derive(Debug, Default)]
pub(crate) struct Timeline(VecDeque<(Time, Instances)>);

impl Timeline {
    /// The list as it was some time ago.
    pub(crate) fn shown(&self, now: Time, lag: Duration) -> Instances {
        let past = |(at, _): &&(Time, Instances)| now.since(*at) >= lag;
        let found = self.0.iter().rev().find(past);
        found.map(|(_, list)| list.clone()).unwrap_or_default()
    }

    /// Changes the newest list.
    pub(crate) fn change(&mut self, now: Time, edit: impl FnOnce(&mut Instances)) {
        let mut list = self.shown(now, Duration::ZERO);
        edit(&mut list);
        self.0.push_back((now, list));
        if self.0.len() > KEPT_LISTS {
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
