//! A set of versioned objects, with digests by which two sets are compared.

use std::cmp::Ordering;

use serde::Deserialize;
use serde::Serialize;

use crate::object::Id;
use crate::object::Kind;
use crate::object::Object;
use crate::object::Rank;
use crate::object::Stamp;

/// The number of groups of buckets.
pub const GROUP_COUNT: usize = 16;

/// The number of buckets in a group.
pub const BUCKETS_PER_GROUP: usize = 16;

/// A digest of a set or of a part of it.
///
/// It is the sum of the hashes of the stamps, so equal sets have equal digests
/// whatever the order of changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Digest(pub u64);

impl Digest {
    // Adding and subtracting hashes makes the cost of a change independent of
    // the size of the set.
    fn add(&mut self, hash: u64) {
        self.0 = self.0.wrapping_add(hash);
    }

    fn sub(&mut self, hash: u64) {
        self.0 = self.0.wrapping_sub(hash);
    }
}

/// The outcome of merging an object into a set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The object is newer than the held state, and now held.
    Accepted,
    /// The same state is already held.
    Unchanged,
    /// A newer state is held and stays.
    Stale,
}

/// The objects that one instance holds, tombstones included.
///
/// The rank of a held object never decreases, so sets that merged the same
/// objects are equal, whatever the order. The objects are divided into buckets
/// and groups of buckets by a hash of their identity, and each bucket has a
/// digest.
#[derive(Clone, Debug)]
pub struct ConfigSet {
    // Sorted by identity.
    objects: Vec<Object>,
    // One item for each object, in the same order.
    metas: Vec<Meta>,
    buckets: [[Digest; BUCKETS_PER_GROUP]; GROUP_COUNT],
    keys: Digest,
}

// What is computed once for each held object.
#[derive(Clone, Copy, Debug)]
struct Meta {
    rank: Rank,
    group: u8,
    bucket: u8,
    // Excluded from the digests and not sent to peers.
    retired: bool,
}

impl Default for ConfigSet {
    fn default() -> Self {
        Self {
            objects: Vec::new(),
            metas: Vec::new(),
            buckets: [[Digest::default(); BUCKETS_PER_GROUP]; GROUP_COUNT],
            keys: Digest::default(),
        }
    }
}

impl ConfigSet {
    /// Holds an object if it is newer than the held state.
    pub fn merge(&mut self, object: Object) -> MergeOutcome {
        match self.find(&object.id) {
            Ok(at) => self.replace(at, object),
            Err(at) => {
                let meta = Meta::new(&object);
                self.update_digests(&object.id, meta, Digest::add);
                self.objects.insert(at, object);
                self.metas.insert(at, meta);
                MergeOutcome::Accepted
            }
        }
    }

    /// Returns the held state of an object, which may be a tombstone.
    pub fn get(&self, id: &Id) -> Option<&Object> {
        self.objects.get(self.find(id).ok()?)
    }

    /// Returns the rank of the held state of an object.
    pub fn rank(&self, id: &Id) -> Option<Rank> {
        let at = self.find(id).ok()?;
        Some(self.metas[at].rank)
    }

    /// Returns the objects of a kind that are not deleted, sorted by name.
    pub fn live(&self, kind: Kind) -> impl Iterator<Item = &Object> {
        let from = self.objects.partition_point(|o| o.id.kind < kind);
        let of_kind = self.objects[from..].iter();
        of_kind
            .take_while(move |o| o.id.kind == kind)
            .filter(|o| !o.is_deleted())
    }

    /// Returns every object, tombstones included, sorted by identity.
    pub fn all(&self) -> &[Object] {
        &self.objects
    }

    /// Returns the objects after an identity that are not retired, sorted.
    pub(crate) fn after(&self, id: Option<&Id>) -> impl Iterator<Item = &Object> {
        let from = id.map_or(0, |id| self.objects.partition_point(|o| o.id <= *id));
        let rest = self.objects[from..].iter().zip(&self.metas[from..]);
        rest.filter(|(_, meta)| !meta.retired).map(|(o, _)| o)
    }

    /// Returns the version for the next write of an object.
    ///
    /// It is above both the held and the stored version, so that a change
    /// made after the store lost writes still takes effect everywhere.
    pub fn next_version(&self, id: &Id, stored: u64) -> u64 {
        let held = self.get(id).map_or(0, |o| o.version);
        held.max(stored) + 1
    }

    /// Returns the digest of the whole set, retired objects excluded.
    pub fn root(&self) -> Digest {
        let mut root = Digest::default();
        for digest in self.buckets.iter().flatten() {
            root.add(digest.0);
        }
        root
    }

    /// Returns the digest of the key records alone.
    pub fn key_digest(&self) -> Digest {
        self.keys
    }

    /// Returns the digest of each group of buckets.
    pub fn groups(&self) -> [Digest; GROUP_COUNT] {
        self.buckets.map(|group| {
            let sum = group.iter().fold(0, |sum: u64, d| sum.wrapping_add(d.0));
            Digest(sum)
        })
    }

    /// Returns the digest of each bucket of a group; none if there is no such group.
    pub fn buckets(&self, group: usize) -> Option<&[Digest; BUCKETS_PER_GROUP]> {
        self.buckets.get(group)
    }

    /// Returns the stamps of the objects in a bucket, sorted, retired ones excluded.
    pub fn bucket(&self, group: u8, bucket: u8) -> Vec<Stamp> {
        let inside = |meta: &Meta| (meta.group, meta.bucket) == (group, bucket) && !meta.retired;
        let paired = self.objects.iter().zip(&self.metas);
        let inside = paired.filter(|(_, meta)| inside(meta));
        inside
            .map(|(object, meta)| meta.stamp(&object.id))
            .collect()
    }

    /// Excludes an object from the digests and from what is sent to peers; it
    /// is still held.
    ///
    /// Once every instance has retired it, each can forget it without receiving
    /// it again from an instance that forgets it later.
    pub(crate) fn retire(&mut self, id: &Id) {
        if let Ok(at) = self.find(id) {
            let meta = self.metas[at];
            self.update_digests(id, meta, Digest::sub);
            self.metas[at].retired = true;
        }
    }

    /// Removes an object without a tombstone.
    pub(crate) fn forget(&mut self, id: &Id) {
        if let Ok(at) = self.find(id) {
            let meta = self.metas.remove(at);
            self.update_digests(id, meta, Digest::sub);
            self.objects.remove(at);
        }
    }

    fn find(&self, id: &Id) -> Result<usize, usize> {
        self.objects.binary_search_by(|o| o.id.cmp(id))
    }

    fn replace(&mut self, at: usize, object: Object) -> MergeOutcome {
        let held = self.metas[at];
        let meta = Meta::new(&object);
        match meta.rank.cmp(&held.rank) {
            Ordering::Less => return MergeOutcome::Stale,
            Ordering::Equal => return MergeOutcome::Unchanged,
            Ordering::Greater => {}
        }
        self.update_digests(&object.id, held, Digest::sub);
        self.update_digests(&object.id, meta, Digest::add);
        self.objects[at] = object;
        self.metas[at] = meta;
        MergeOutcome::Accepted
    }

    // Adds an object to its digests or subtracts it from them.
    fn update_digests(&mut self, id: &Id, meta: Meta, change: fn(&mut Digest, u64)) {
        if meta.retired {
            return;
        }
        let hash = meta.stamp(id).hash();
        let group = &mut self.buckets[usize::from(meta.group)];
        change(&mut group[usize::from(meta.bucket)], hash);
        if id.kind == Kind::Key {
            change(&mut self.keys, hash);
        }
    }
}

impl Meta {
    fn new(object: &Object) -> Self {
        let hash = object.id.hash() as usize;
        Self {
            rank: object.rank(),
            group: (hash / BUCKETS_PER_GROUP % GROUP_COUNT) as u8,
            bucket: (hash % BUCKETS_PER_GROUP) as u8,
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
