//! An instance's copy of the platform's store.
//!
//! Lists and changes update the copy, which returns what they changed. It also
//! remembers recent removals, so that a follower that knows an earlier revision
//! gets the changes since then instead of the whole list.

use std::collections::VecDeque;
use std::sync::Arc;

use corianderway_model::Revision;
use corianderway_model::SortedMap;
use corianderway_platform::store;
use corianderway_platform::store::Change;
use corianderway_platform::store::Kind;
use corianderway_platform::store::Object;
use corianderway_platform::store::KINDS;
use corianderway_steer::InputKind;
use corianderway_steer::Revisions;

use crate::edge::frame::Frame;

/// The maximum number of removals that are remembered, per kind.
const MAX_REMOVED: usize = 512;

/// The copy of the objects of one kind.
///
/// `revision` never decreases. It enters a later era of the store with a whole list only.
#[derive(Debug, Default)]
pub struct KindCopy {
    objects: SortedMap<Arc<str>, Object>,
    /// The revision of the store up to which the objects are known; `None` before
    /// the first list.
    pub revision: Option<Revision>,
    /// The latest change that was observed, or an earlier revision for a removal: the
    /// store doesn't tell by which revision an object was removed.
    pub changed: Revision,
    // The names of removed objects, each with a revision by which it was removed.
    removed: VecDeque<(Revision, Arc<str>)>,
    // The revision after which every removal is remembered.
    removed_since: Revision,
}

/// What a follower lacks of one kind.
#[derive(Debug)]
pub struct Update {
    /// The revision that the follower knows after the update.
    pub revision: Revision,
    /// The frame to send; `None` if no object of the kind changed.
    pub frame: Option<Frame>,
}

/// The copy of all kinds, in the order of [`KINDS`].
#[derive(Debug, Default)]
pub struct StoreCopy([KindCopy; KINDS.len()]);

impl StoreCopy {
    /// Returns the copy of a kind.
    pub fn of(&self, kind: Kind) -> &KindCopy {
        &self.0[kind as usize]
    }

    /// Returns the copy of a kind for changes.
    pub fn of_mut(&mut self, kind: Kind) -> &mut KindCopy {
        &mut self.0[kind as usize]
    }

    /// Returns the latest observed change of each kind, and the revision up to which
    /// each kind is known.
    pub fn revisions(&self) -> (Revisions, Revisions) {
        let (mut changed, mut known) = (Revisions::default(), Revisions::default());
        for kind in KINDS {
            let copy = self.of(kind);
            let input = input_kind(kind);
            changed.raise(input, copy.changed);
            known.raise(input, copy.revision.unwrap_or_default());
        }
        (changed, known)
    }
}

impl KindCopy {
    /// Applies a whole list and returns what changed. A list that is older than
    /// the copy is ignored.
    pub fn replace(&mut self, objects: Vec<Object>, revision: Revision) -> Vec<Change> {
        if self.revision.is_some_and(|known| revision < known) {
            return Vec::new();
        }
        let mut changes = Vec::new();
        let mut known = SortedMap::default();
        for object in objects {
            self.changed = self.changed.max(object.revision);
            let old = self.objects.remove(&object.name);
            if old.is_none_or(|old| old.revision != object.revision) {
                changes.push(Change::Put(object.clone()));
            }
            known.insert(Arc::clone(&object.name), object);
        }
        let gone: Vec<_> = self.objects.iter().map(|row| Arc::clone(row.0)).collect();
        if !gone.is_empty() {
            self.note_removal();
        }
        let is_first = self.revision.is_none_or(|known| known.era < revision.era);
        if is_first {
            self.removed.clear();
        }
        for name in gone {
            self.record_removal(revision, Arc::clone(&name));
            changes.push(Change::Removed(name));
        }
        if is_first {
            self.removed_since = revision;
        }
        self.objects = known;
        self.revision = Some(revision);
        changes
    }

    /// Applies the changes from a watch and returns those that were new. Changes of another
    /// era than that of the copy are ignored.
    pub fn apply(&mut self, received: Vec<Change>, revision: Revision) -> Vec<Change> {
        let mut changes = Vec::new();
        if self.revision.is_some_and(|known| known.era != revision.era) {
            return changes;
        }
        for change in received {
            let is_new = match &change {
                Change::Put(object) => {
                    self.changed = self.changed.max(object.revision);
                    let name = Arc::clone(&object.name);
                    let old = self.objects.insert(name, object.clone());
                    old.is_none_or(|old| old.revision != object.revision)
                }
                Change::Removed(name) => {
                    self.record_removal(revision, Arc::clone(name));
                    let is_new = self.objects.remove(name).is_some();
                    if is_new {
                        self.note_removal();
                    }
                    is_new
                }
            };
            if is_new {
                changes.push(change);
            }
        }
        self.revision = self.revision.max(Some(revision));
        changes
    }

    /// Iterates over all objects, ordered by name.
    pub fn objects(&self) -> impl Iterator<Item = &Object> {
        self.objects.iter().map(|row| row.1)
    }

    /// Returns the object with a name.
    pub fn object(&self, name: &str) -> Option<&Object> {
        self.objects.get(name)
    }

    /// Returns what a follower lacks that knows the kind up to a revision; `None`
    /// if it is up to date or the kind was never listed. `index` is the kind's
    /// position in [`KINDS`].
    pub fn update_since(&self, known: Option<Revision>, index: u8) -> Option<Update> {
        let revision = self.revision?;
        let kind = index;
        let is_usable =
            |known: &Revision| known.era == revision.era && *known >= self.removed_since;
        let era = revision.era;
        let Some(known) = known.filter(is_usable) else {
            let list = store::write_list(self.objects(), revision);
            let frame = Some(Frame::Whole { kind, list, era });
            return Some(Update { revision, frame });
        };
        if known >= revision {
            return None;
        }
        let changed: Vec<&Object> = self.objects().filter(|o| o.revision > known).collect();
        let gone = self.removed.iter().filter(|row| row.0 > known);
        // An object that was created again is among the changed ones, or the
        // follower knows it already.
        let gone = gone.filter(|row| self.object(&row.1).is_none());
        let removed: Vec<String> = gone.map(|row| row.1.to_string()).collect();
        let has_changes = !changed.is_empty() || !removed.is_empty();
        let frame = has_changes.then(|| Frame::Part {
            kind,
            list: store::write_list(changed.into_iter(), revision),
            removed,
            era,
        });
        Some(Update { revision, frame })
    }

    // Notes that an object was removed by a revision that was not known.
    fn note_removal(&mut self) {
        let earliest = self.revision.map_or_else(Revision::default, Revision::next);
        self.changed = self.changed.max(earliest);
    }

    fn record_removal(&mut self, revision: Revision, name: Arc<str>) {
        if self.removed.len() == MAX_REMOVED {
            if let Some((revision, _)) = self.removed.pop_front() {
                self.removed_since = revision;
            }
        }
        self.removed.push_back((revision, name));
    }
}

/// Returns the kind of object that an input is read from.
pub fn store_kind(input: InputKind) -> Kind {
    match input {
        InputKind::Plan => Kind::Configuration,
        InputKind::Servers => Kind::Servers,
        InputKind::Orders => Kind::Orders,
        InputKind::Evacuations => Kind::Evacuations,
        InputKind::Members => Kind::Members,
    }
}

fn input_kind(kind: Kind) -> InputKind {
    match kind {
        Kind::Configuration => InputKind::Plan,
        Kind::Servers => InputKind::Servers,
        Kind::Orders => InputKind::Orders,
        Kind::Evacuations => InputKind::Evacuations,
        Kind::Members => InputKind::Members,
    }
}
