//! The objects that operators store in the platform and every instance holds.

use std::fmt;
use std::sync::Arc;

use corianderway_model::Entry;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// What an object describes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// The contract of a client account.
    Contract,
    /// The record of a key.
    Key,
    /// A version move.
    Move,
    /// The planned drain of a backend server or a failure domain.
    Drain,
    /// The epoch in which quota allocations were issued.
    Epoch,
    /// The fingerprint of a request that crashes backend servers.
    Quarantine,
    /// An entry instance; only instances hold these, never the platform.
    Member,
}

/// Every kind that the platform stores, in order.
pub const KINDS: [Kind; 6] = [
    Kind::Contract,
    Kind::Key,
    Kind::Move,
    Kind::Drain,
    Kind::Epoch,
    Kind::Quarantine,
];

impl Kind {
    /// The name of the platform's collection that holds the kind.
    pub fn collection(self) -> &'static str {
        match self {
            Self::Contract => "contracts",
            Self::Key => "keys",
            Self::Move => "moves",
            Self::Drain => "drains",
            Self::Epoch => "epochs",
            Self::Quarantine => "quarantines",
            Self::Member => "members",
        }
    }

    /// Finds the kind that a platform collection holds.
    pub fn from_collection(name: &str) -> Option<Self> {
        KINDS.into_iter().find(|kind| kind.collection() == name)
    }
}

/// The identity of an object.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id {
    /// What the object describes.
    pub kind: Kind,
    /// The name, unique within the kind.
    pub name: Arc<str>,
}

impl Id {
    /// Makes an identity.
    pub fn new(kind: Kind, name: impl Into<Arc<str>>) -> Self {
        let name = name.into();
        Self { kind, name }
    }

    /// A hash that is the same in every process.
    pub(crate) fn hash(&self) -> u64 {
        xxh3_64_with_seed(self.name.as_bytes(), self.kind as u64)
    }
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind.collection(), self.name)
    }
}

/// One stored object, or the tombstone of a deleted one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object {
    /// The identity.
    pub id: Id,
    /// The version, which only goes up for one identity.
    pub version: u64,
    /// What is stored, or that it was deleted.
    pub value: Value,
}

/// What an object holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Value {
    /// Nothing; the object was deleted and this is its tombstone.
    Deleted,
    /// The text that the platform stores.
    Text(Arc<str>),
    /// An entry instance; only instances hold these, never the platform.
    Member(Arc<Entry>),
}

/// Which state of an object is meant, without its value.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Stamp {
    /// The identity.
    pub id: Id,
    /// How recent the state is.
    pub rank: Rank,
}

/// How recent the state of an object is.
///
/// Two states with one version exist only after the platform's store lost
/// writes. A tombstone then goes before a value, and the content decides
/// between values, so that all instances settle on the same state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Rank {
    /// The version.
    pub version: u64,
    /// Whether it is a tombstone.
    pub deleted: bool,
    /// A hash of the value.
    pub content: u64,
}

impl Object {
    /// Makes an object with a value.
    pub fn new(id: Id, version: u64, text: impl Into<Arc<str>>) -> Self {
        let value = Value::Text(text.into());
        Self { id, version, value }
    }

    /// Makes the tombstone of a deleted object.
    pub fn tombstone(id: Id, version: u64) -> Self {
        Self {
            id,
            version,
            value: Value::Deleted,
        }
    }

    /// Whether this is a tombstone.
    pub fn deleted(&self) -> bool {
        self.value == Value::Deleted
    }

    /// The stored text, if there is one.
    pub fn text(&self) -> Option<&Arc<str>> {
        match &self.value {
            Value::Text(text) => Some(text),
            Value::Deleted | Value::Member(_) => None,
        }
    }

    /// How recent the object is.
    pub fn rank(&self) -> Rank {
        Rank {
            version: self.version,
            deleted: self.deleted(),
            content: self.value.hash(),
        }
    }

    /// The stamp of the object.
    pub fn stamp(&self) -> Stamp {
        Stamp {
            id: self.id.clone(),
            rank: self.rank(),
        }
    }

    /// The size of the object in a message, in bytes.
    pub fn size(&self) -> usize {
        OBJECT_BYTES + self.id.name.len() + self.value.size()
    }
}

impl Value {
    fn hash(&self) -> u64 {
        match self {
            Self::Deleted => 0,
            Self::Text(text) => xxh3_64(text.as_bytes()),
            Self::Member(entry) => entry.presence as u64,
        }
    }

    fn size(&self) -> usize {
        match self {
            Self::Deleted => 0,
            Self::Text(text) => text.len(),
            Self::Member(_) => MEMBER_BYTES,
        }
    }
}

impl Stamp {
    /// The size of the stamp in a message, in bytes.
    pub fn size(&self) -> usize {
        STAMP_BYTES + self.id.name.len()
    }

    /// A hash of identity and rank that is the same in every process.
    pub(crate) fn hash(&self) -> u64 {
        let Rank {
            version,
            deleted,
            content,
        } = self.rank;
        let mut bytes = [0; 25];
        bytes[..8].copy_from_slice(&self.id.hash().to_le_bytes());
        bytes[8..16].copy_from_slice(&version.to_le_bytes());
        bytes[16..24].copy_from_slice(&content.to_le_bytes());
        bytes[24] = u8::from(deleted);
        xxh3_64(&bytes)
    }
}

/// What an object takes in a message beside its name and value, in bytes.
const OBJECT_BYTES: usize = 54;

/// What a stamp takes in a message beside its name, in bytes.
const STAMP_BYTES: usize = 72;

/// What an entry instance takes in a message, in bytes.
const MEMBER_BYTES: usize = 110;
