//! An instance's copy of what the platform's store holds.

use std::collections::VecDeque;
use std::sync::Arc;

use corianderway_model::SortedMap;
use corianderway_platform::store;
use corianderway_platform::store::Change;
use corianderway_platform::store::Kind;
use corianderway_platform::store::Object;
use corianderway_platform::store::KINDS;

use crate::edge::frame::Frame;

/// Removed objects whose names are remembered, of each kind.
const REMOVED: usize = 512;

/// The objects of one kind, and how old they are.
#[derive(Debug, Default)]
pub struct Copied {
    objects: SortedMap<Arc<str>, Object>,
    /// The revision of the store up to which they are known; none before the
    /// first list.
    pub revision: Option<u64>,
    // The names of objects that are gone, and the revisions by which they were.
    removed: VecDeque<(u64, Arc<str>)>,
    // The revision since which every removal is remembered.
    since: u64,
}

/// What a copy has that a reader of it does not know.
#[derive(Debug)]
pub struct Since {
    /// The revision up to which the reader knows it afterwards.
    pub revision: u64,
    /// What to tell; none if nothing of the kind changed.
    pub frame: Option<Frame>,
}

/// The copies of all kinds.
#[derive(Debug, Default)]
pub struct Copies([Copied; KINDS.len()]);

impl Copies {
    /// The copy of a kind.
    pub fn of(&self, kind: Kind) -> &Copied {
        &self.0[kind as usize]
    }

    /// The copy of a kind, to be changed.
    pub fn of_mut(&mut self, kind: Kind) -> &mut Copied {
        &mut self.0[kind as usize]
    }

    /// The latest change that the copies know.
    pub fn latest(&self) -> u64 {
        let objects = self.0.iter().flat_map(|copied| copied.objects.iter());
        objects.map(|row| row.1.revision).max().unwrap_or(0)
    }
}

impl Copied {
    /// Takes a whole list, and gives back what changed; one that is older than
    /// the copy is left out.
    pub fn replace(&mut self, objects: Vec<Object>, revision: u64) -> Vec<Change> {
        if self.revision.is_some_and(|known| revision < known) {
            return Vec::new();
        }
        let mut changes = Vec::new();
        let mut known = SortedMap::default();
        for object in objects {
            let old = self.objects.remove(&object.name);
            if old.is_none_or(|old| old.revision != object.revision) {
                changes.push(Change::Put(object.clone()));
            }
            known.insert(Arc::clone(&object.name), object);
        }
        let gone: Vec<_> = self.objects.iter().map(|row| Arc::clone(row.0)).collect();
        for name in gone {
            self.remember(revision, Arc::clone(&name));
            changes.push(Change::Removed(name));
        }
        if self.revision.is_none() {
            self.since = revision;
        }
        self.objects = known;
        self.revision = Some(revision);
        changes
    }

    /// Takes what a watch heard, and gives back what changed.
    pub fn change(&mut self, heard: Vec<Change>, revision: u64) -> Vec<Change> {
        let mut changes = Vec::new();
        for change in heard {
            let news = match &change {
                Change::Put(object) => {
                    let name = Arc::clone(&object.name);
                    let old = self.objects.insert(name, object.clone());
                    old.is_none_or(|old| old.revision != object.revision)
                }
                Change::Removed(name) => {
                    self.remember(revision, Arc::clone(name));
                    self.objects.remove(name).is_some()
                }
            };
            if news {
                changes.push(change);
            }
        }
        self.revision = self.revision.max(Some(revision));
        changes
    }

    /// Every object, in the order of the names.
    pub fn objects(&self) -> impl Iterator<Item = &Object> {
        self.objects.iter().map(|row| row.1)
    }

    /// The object of a name.
    pub fn object(&self, name: &str) -> Option<&Object> {
        self.objects.get(name)
    }

    /// What a reader does not know that knows the kind up to a revision.
    pub fn since(&self, known: Option<u64>, place: u8) -> Option<Since> {
        let revision = self.revision?;
        let kind = place;
        let Some(known) = known.filter(|known| *known >= self.since) else {
            let list = store::write_list(self.objects(), revision);
            let frame = Some(Frame::Whole { kind, list });
            return Some(Since { revision, frame });
        };
        if known >= revision {
            return None;
        }
        let changed: Vec<&Object> = self.objects().filter(|o| o.revision > known).collect();
        let gone = self.removed.iter().filter(|row| row.0 > known);
        // One that was made anew is among those that changed, or known.
        let gone = gone.filter(|row| self.object(&row.1).is_none());
        let removed: Vec<String> = gone.map(|row| row.1.to_string()).collect();
        let told = !changed.is_empty() || !removed.is_empty();
        let frame = told.then(|| Frame::Part {
            kind,
            list: store::write_list(changed.into_iter(), revision),
            removed,
        });
        Some(Since { revision, frame })
    }

    fn remember(&mut self, revision: u64, name: Arc<str>) {
        if self.removed.len() == REMOVED {
            if let Some((revision, _)) = self.removed.pop_front() {
                self.since = revision;
            }
        }
        self.removed.push_back((revision, name));
    }
}
