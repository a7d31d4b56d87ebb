//! An instance's copy of what the platform's store holds.

use std::sync::Arc;

use corianderway_model::Sorted;
use corianderway_platform::store;
use corianderway_platform::store::Change;
use corianderway_platform::store::Kind;
use corianderway_platform::store::Object;
use corianderway_platform::store::KINDS;

/// The objects of one kind, and how old they are.
#[derive(Debug, Default)]
pub struct Copied {
    objects: Sorted<Arc<str>, Object>,
    /// The revision of the store up to which they are known; none before the
    /// first list.
    pub revision: Option<u64>,
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
        let mut known = Sorted::default();
        for object in objects {
            let old = self.objects.remove(&object.name);
            if old.is_none_or(|old| old.revision != object.revision) {
                changes.push(Change::Put(object.clone()));
            }
            known.insert(Arc::clone(&object.name), object);
        }
        let gone = self.objects.iter().map(|row| Arc::clone(row.0));
        changes.extend(gone.map(Change::Removed));
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
                Change::Removed(name) => self.objects.remove(name).is_some(),
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

    /// The copy as the store would list it.
    pub fn text(&self) -> String {
        store::list(self.objects(), self.revision.unwrap_or(0))
    }
}
