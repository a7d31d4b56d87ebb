//! Versioned objects: those that operators store in the platform, and members.

use std::fmt;
use std::sync::Arc;

use corianderway_model::Entry;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The kind of an object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// The contract of a client account.
    Contract,
    /// The record of an API key.
    Key,
    /// A version move.
    Move,
    /// The planned drain of a backend server or a failure domain.
    Drain,
    /// The epoch of quota allocations.
    Epoch,
    /// The fingerprint of a request that crashes backend servers.
    Quarantine,
    /// An entry instance; held by instances only, never stored in the platform.
    Member,
}

/// The kinds that the platform stores, in the order of [`Kind`].
pub const STORED_KINDS: [Kind; 6] = [
    Kind::Contract,
    Kind::Key,
    Kind::Move,
    Kind::Drain,
    Kind::Epoch,
    Kind::Quarantine,
];

impl Kind {
    /// Returns the name of the kind's collection in the platform's store.
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

    /// Returns the kind that a collection of the platform's store holds.
    pub fn from_collection(name: &str) -> Option<Self> {
        STORED_KINDS
            .into_iter()
            .find(|kind| kind.collection() == name)
    }
}

/// The identity of an object.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id {
    /// The kind.
    pub kind: Kind,
    /// The name, unique within the kind.
    pub name: Arc<str>,
}

impl Id {
    /// Creates an identity.
    pub fn new(kind: Kind, name: impl Into<Arc<str>>) -> Self {
        let name = name.into();
        Self { kind, name }
    }

    /// Returns a hash that is the same in every process.
    pub(crate) fn hash(&self) -> u64 {
        xxh3_64_with_seed(self.name.as_bytes(), self.kind as u64)
    }
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind.collection(), self.name)
    }
}

/// One version of an object, or the tombstone of a deleted one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object {
    /// The identity.
    pub id: Id,
    /// The version, which never decreases for one identity.
    pub version: u64,
    /// The value, or the mark of a tombstone.
    pub value: Value,
}

/// The value of an object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Value {
    /// No value; the object was deleted and this is its tombstone.
    Deleted,
    /// The text that the platform stores.
    Text(Arc<str>),
    /// An entry instance; held by instances only, never stored in the platform.
    Member(Arc<Entry>),
}

/// The identity and rank of one state of an object, without its value.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Stamp {
    /// The identity.
    pub id: Id,
    /// The rank of the state.
    pub rank: Rank,
}

/// The order of an object's states; the state of highest rank is held.
///
/// Two states of the same version exist only after the platform's store lost
/// writes. A tombstone then outranks a value, and a hash decides between two
/// values, so that all instances converge on the same state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Rank {
    /// The version.
    pub version: u64,
    /// Whether the state is a tombstone.
    pub deleted: bool,
    /// A hash of the value.
    pub content: u64,
}

impl Object {
    /// Creates an object with a text as its value.
    pub fn new(id: Id, version: u64, text: impl Into<Arc<str>>) -> Self {
        let value = Value::Text(text.into());
        Self { id, version, value }
    }

    /// Creates the tombstone of a deleted object.
    pub fn tombstone(id: Id, version: u64) -> Self {
        Self {
            id,
            version,
            value: Value::Deleted,
        }
    }

    /// Returns whether this is a tombstone.
    pub fn is_deleted(&self) -> bool {
        self.value == Value::Deleted
    }

    /// Returns the stored text, if there is one.
    pub fn text(&self) -> Option<&Arc<str>> {
        match &self.value {
            Value::Text(text) => Some(text),
            Value::Deleted | Value::Member(_) => None,
        }
    }

    /// Returns the rank of the object's state.
    pub fn rank(&self) -> Rank {
        Rank {
            version: self.version,
            deleted: self.is_deleted(),
            content: self.value.hash(),
        }
    }

    /// Returns the identity and rank of the object.
    pub fn stamp(&self) -> Stamp {
        Stamp {
            id: self.id.clone(),
            rank: self.rank(),
        }
    }

    /// Returns the approximate size of the object in a message, in bytes.
    pub fn encoded_size(&self) -> usize {
        OBJECT_OVERHEAD_BYTES + self.id.name.len() + self.value.size()
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
            Self::Member(_) => MEMBER_VALUE_BYTES,
        }
    }
}

impl Stamp {
    /// Returns the approximate size of the stamp in a message, in bytes.
    pub fn encoded_size(&self) -> usize {
        STAMP_OVERHEAD_BYTES + self.id.name.len()
    }

    /// Returns a hash of identity and rank that is the same in every process.
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

/// The encoded size of an object without its name and value.
const OBJECT_OVERHEAD_BYTES: usize = 54;

/// The encoded size of a stamp without its name.
const STAMP_OVERHEAD_BYTES: usize = 72;

/// The approximate encoded size of an entry instance.
const MEMBER_VALUE_BYTES: usize = 110;
