//! The objects that one instance holds, with digests for comparison.

use std::cmp::Ordering;

use serde::Deserialize;
use serde::Serialize;

use crate::object::Id;
use crate::object::Kind;
use crate::object::Object;
use crate::object::Rank;
use crate::object::Stamp;

/// Groups of buckets in a digest.
pub const GROUPS: usize = 16;

/// Buckets in a group.
pub const BUCKETS: usize = 16;

/// A digest of a set, the same for equal sets whatever the order of changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Digest(pub u64);

impl Digest {
    // Addition and subtraction let a change cost the same at any set size.
    fn add(&mut self, hash: u64) {
        self.0 = self.0.wrapping_add(hash);
    }

    fn sub(&mut self, hash: u64) {
        self.0 = self.0.wrapping_sub(hash);
    }
}

/// What became of an object offered to a set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It is newer and now held.
    Accepted,
    /// The very same state is held already.
    Known,
    /// A newer state is held, which stays.
    Stale,
}

/// The objects that one instance holds; a version only goes up.
#[derive(Clone, Debug)]
pub struct ConfigSet {
    // Sorted by identity.
    objects: Vec<Object>,
    // One for each object, in the same order.
    marks: Vec<Mark>,
    buckets: [[Digest; BUCKETS]; GROUPS],
    keys: Digest,
}

// What is worked out once for each object.
#[derive(Clone, Copy, Debug)]
struct Mark {
    rank: Rank,
    group: u8,
    bucket: u8,
    // Not counted in digests and not passed on any more.
    retired: bool,
}

impl Default for ConfigSet {
    fn default() -> Self {
        Self {
            objects: Vec::new(),
            marks: Vec::new(),
            buckets: [[Digest::default(); BUCKETS]; GROUPS],
            keys: Digest::default(),
        }
    }
}

impl ConfigSet {
    /// Takes an object if it is newer than the held state.
    pub fn offer(&mut self, object: Object) -> Outcome {
        match self.find(&object.id) {
            Ok(at) => self.replace(at, object),
            Err(at) => {
                let mark = Mark::new(&object);
                self.count(&object.id, mark, Digest::add);
                self.objects.insert(at, object);
                self.marks.insert(at, mark);
                Outcome::Accepted
            }
        }
    }

    /// The held state of an object, tombstones included.
    pub fn get(&self, id: &Id) -> Option<&Object> {
        self.objects.get(self.find(id).ok()?)
    }

    /// How recent the held state of an object is.
    pub fn rank(&self, id: &Id) -> Option<Rank> {
        let at = self.find(id).ok()?;
        Some(self.marks[at].rank)
    }

    /// The objects of a kind that are not deleted, by name.
    pub fn live(&self, kind: Kind) -> impl Iterator<Item = &Object> {
        let from = self.objects.partition_point(|o| o.id.kind < kind);
        let of_kind = self.objects[from..].iter();
        of_kind
            .take_while(move |o| o.id.kind == kind)
            .filter(|o| !o.deleted())
    }

    /// Every object, tombstones included, sorted by identity.
    pub fn all(&self) -> &[Object] {
        &self.objects
    }

    /// The objects after an identity that are passed on, sorted.
    pub(crate) fn after(&self, id: Option<&Id>) -> impl Iterator<Item = &Object> {
        let from = id.map_or(0, |id| self.objects.partition_point(|o| o.id <= *id));
        let rest = self.objects[from..].iter().zip(&self.marks[from..]);
        rest.filter(|(_, mark)| !mark.retired).map(|(o, _)| o)
    }

    /// The version that a writer gives its next state of an object.
    ///
    /// It is above both the held and the stored version, so that a change
    /// made after the store lost writes still takes effect everywhere.
    pub fn next_version(&self, id: &Id, stored: u64) -> u64 {
        let held = self.get(id).map_or(0, |o| o.version);
        held.max(stored) + 1
    }

    /// The digest of the whole set.
    pub fn root(&self) -> Digest {
        let mut root = Digest::default();
        for digest in self.buckets.iter().flatten() {
            root.add(digest.0);
        }
        root
    }

    /// The digest of the key records alone.
    pub fn keys(&self) -> Digest {
        self.keys
    }

    /// The digest of each group of buckets.
    pub fn groups(&self) -> [Digest; GROUPS] {
        self.buckets.map(|group| {
            let sum = group.iter().fold(0, |sum: u64, d| sum.wrapping_add(d.0));
            Digest(sum)
        })
    }

    /// The digest of each bucket of a group; none if there is no such group.
    pub fn buckets(&self, group: usize) -> Option<&[Digest; BUCKETS]> {
        self.buckets.get(group)
    }

    /// The stamps of the objects in a bucket, sorted.
    pub fn bucket(&self, group: u8, bucket: u8) -> Vec<Stamp> {
        let inside = |mark: &Mark| (mark.group, mark.bucket) == (group, bucket) && !mark.retired;
        let marked = self.objects.iter().zip(&self.marks);
        let inside = marked.filter(|(_, mark)| inside(mark));
        inside
            .map(|(object, mark)| mark.stamp(&object.id))
            .collect()
    }

    /// Stops to count and to pass on an object, which is still held.
    ///
    /// Once every instance has done so, it can be forgotten without coming
    /// back from an instance that forgets it later.
    pub(crate) fn retire(&mut self, id: &Id) {
        if let Ok(at) = self.find(id) {
            let mark = self.marks[at];
            self.count(id, mark, Digest::sub);
            self.marks[at].retired = true;
        }
    }

    /// Forgets an object, as if it had never been held.
    pub(crate) fn forget(&mut self, id: &Id) {
        if let Ok(at) = self.find(id) {
            let mark = self.marks.remove(at);
            self.count(id, mark, Digest::sub);
            self.objects.remove(at);
        }
    }

    fn find(&self, id: &Id) -> Result<usize, usize> {
        self.objects.binary_search_by(|o| o.id.cmp(id))
    }

    fn replace(&mut self, at: usize, object: Object) -> Outcome {
        let held = self.marks[at];
        let mark = Mark::new(&object);
        match mark.rank.cmp(&held.rank) {
            Ordering::Less => return Outcome::Stale,
            Ordering::Equal => return Outcome::Known,
            Ordering::Greater => {}
        }
        self.count(&object.id, held, Digest::sub);
        self.count(&object.id, mark, Digest::add);
        self.objects[at] = object;
        self.marks[at] = mark;
        Outcome::Accepted
    }

    fn count(&mut self, id: &Id, mark: Mark, change: fn(&mut Digest, u64)) {
        if mark.retired {
            return;
        }
        let hash = mark.stamp(id).hash();
        let group = &mut self.buckets[usize::from(mark.group)];
        change(&mut group[usize::from(mark.bucket)], hash);
        if id.kind == Kind::Key {
            change(&mut self.keys, hash);
        }
    }
}

impl Mark {
    fn new(object: &Object) -> Self {
        let hash = object.id.hash() as usize;
        Self {
            rank: object.rank(),
            group: (hash / BUCKETS % GROUPS) as u8,
            bucket: (hash % BUCKETS) as u8,
            retired: false,
        }
    }

    fn stamp(self, id: &Id) -> Stamp {
        Stamp {
            id: id.clone(),
            rank: self.rank,
        }
    }
}
