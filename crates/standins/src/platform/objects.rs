//! Versioned objects and the history of their changes.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

/// The number of changes that are kept for watches and for reads of the past.
const MAX_CHANGES: usize = 65_536;

/// One version of an object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// The kind.
    pub kind: Arc<str>,
    /// The name, unique within the kind.
    pub name: Arc<str>,
    /// The store's revision that wrote this version.
    pub version: u64,
    /// The value; null if deleted.
    pub value: Arc<Value>,
    /// Whether this version is a deletion.
    #[serde(default)]
    pub deleted: bool,
}

/// The current objects, sorted by kind and name, and their latest changes,
/// oldest first.
#[derive(Debug, Default)]
pub(crate) struct Objects {
    revision: u64,
    current: Vec<Object>,
    history: VecDeque<Object>,
}

impl Objects {
    /// Returns the newest revision; zero before the first write.
    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the current version of an object.
    pub(crate) fn get(&self, kind: &str, name: &str) -> Option<&Object> {
        let at = self.find(kind, name).ok()?;
        self.current.get(at)
    }

    /// Returns all objects as of a revision, or the current ones if it is `None`,
    /// sorted by kind and name.
    pub(crate) fn snapshot(&self, revision: Option<u64>) -> Vec<Object> {
        let Some(revision) = revision else {
            return self.current.clone();
        };
        let past = self.latest(0, revision).into_iter();
        past.filter(|o| !o.deleted).collect()
    }

    /// Returns the latest version, as of revision `now`, of each object that
    /// changed after `since`. Returns `None` if `since` is older than the kept
    /// changes or newer than `now`.
    pub(crate) fn changes(&self, since: u64, now: u64) -> Option<Vec<Object>> {
        let oldest = self
            .history
            .front()
            .map_or(self.revision, |o| o.version - 1);
        ((oldest..=now).contains(&since)).then(|| self.latest(since, now))
    }

    /// Writes an object, or deletes it if `value` is `None`, and returns the new
    /// revision.
    pub(crate) fn put(&mut self, kind: &str, name: &str, value: Option<Arc<Value>>) -> u64 {
        self.revision += 1;
        let object = Object {
            kind: kind.into(),
            name: name.into(),
            version: self.revision,
            deleted: value.is_none(),
            value: value.unwrap_or_default(),
        };
        self.record(object);
        self.revision
    }

    fn record(&mut self, object: Object) {
        match (self.find(&object.kind, &object.name), object.deleted) {
            (Ok(at), true) => drop(self.current.remove(at)),
            (Ok(at), false) => self.current[at] = object.clone(),
            (Err(at), false) => self.current.insert(at, object.clone()),
            (Err(_), true) => {}
        }
        self.history.push_back(object);
        if self.history.len() > MAX_CHANGES {
            self.history.pop_front();
        }
    }

    fn find(&self, kind: &str, name: &str) -> Result<usize, usize> {
        let key = |o: &Object| (&*o.kind, &*o.name).cmp(&(kind, name));
        self.current.binary_search_by(key)
    }

    // The latest version of each object among the revisions after `since` up to `until`.
    fn latest(&self, since: u64, until: u64) -> Vec<Object> {
        let first = self.history.partition_point(|o| o.version <= since);
        let end = self.history.partition_point(|o| o.version <= until);
        let mut found = Vec::new();
        for object in self.history.range(first..end.max(first)) {
            let key = |o: &Object| (&o.kind, &o.name).cmp(&(&object.kind, &object.name));
            match found.binary_search_by(key) {
                Ok(at) => found[at] = object.clone(),
                Err(at) => found.insert(at, object.clone()),
            }
        }
        found
    }
}
