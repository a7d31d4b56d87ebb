//! The messages by which entry instances replicate a set of objects.

use serde::Deserialize;
use serde::Serialize;

use crate::object::Id;
use crate::object::Object;
use crate::object::Stamp;
use crate::set::Digest;

/// A message of the replication between two entry instances.
///
/// Both configuration and members are replicated by it, each in a set of its
/// own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Message {
    /// Objects that the sender holds.
    Objects(Vec<Object>),
    /// The stamps of objects that the sender holds and that are too large to push.
    Offer(Vec<Stamp>),
    /// A request for objects that were offered.
    Want(Vec<Id>),
    /// The digest of the sender's set.
    Root(Digest),
    /// The digests of all groups, sent in answer to a root that differs.
    Groups(Vec<Digest>),
    /// The digests of the buckets of a group that differs.
    Buckets {
        /// The group.
        group: u8,
        /// The digest of each of its buckets.
        digests: Vec<Digest>,
    },
    /// The stamps that the sender holds in a bucket that differs.
    Bucket {
        /// The group.
        group: u8,
        /// The bucket within the group.
        bucket: u8,
        /// The stamps, sorted.
        stamps: Vec<Stamp>,
    },
    /// A request for the objects after an identity, by which a new instance
    /// reads the whole set.
    Page {
        /// The last object that was received; none for the first page.
        after: Option<Id>,
    },
    /// The answer to a page request.
    Filled {
        /// The objects, sorted.
        objects: Vec<Object>,
        /// Whether there are more objects after these.
        more: bool,
    },
    /// A query whether the receiver holds a state or a newer one.
    Ask(Stamp),
    /// The answer to such a query.
    Held {
        /// The state in the query.
        stamp: Stamp,
        /// Whether the sender holds that state or a newer one.
        in_force: bool,
    },
}

impl Message {
    /// Returns the approximate encoded size of the message, in bytes.
    pub fn encoded_size(&self) -> usize {
        let body = match self {
            Self::Objects(objects) | Self::Filled { objects, .. } => {
                objects.iter().map(Object::encoded_size).sum()
            }
            Self::Offer(stamps) | Self::Bucket { stamps, .. } => {
                stamps.iter().map(Stamp::encoded_size).sum()
            }
            Self::Want(ids) => ids.iter().map(|id| id.name.len() + ID_OVERHEAD_BYTES).sum(),
            Self::Root(_) => DIGEST_BYTES,
            Self::Groups(digests) => digests.len() * DIGEST_BYTES,
            Self::Buckets { digests, .. } => digests.len() * DIGEST_BYTES + SCALAR_FIELD_BYTES,
            Self::Page { after } => after
                .as_ref()
                .map_or(0, |id| id.name.len() + ID_OVERHEAD_BYTES),
            Self::Ask(stamp) => stamp.encoded_size(),
            Self::Held { stamp, .. } => stamp.encoded_size() + SCALAR_FIELD_BYTES,
        };
        FRAME_OVERHEAD_BYTES + body
    }
}

/// The encoded size of a message without its body: the variant's name, lengths and the frame.
const FRAME_OVERHEAD_BYTES: usize = 16;

/// The encoded size of a flag or number with its field name.
const SCALAR_FIELD_BYTES: usize = 12;

/// The encoded size of a digest.
const DIGEST_BYTES: usize = 9;

/// The encoded size of an identity without its name.
const ID_OVERHEAD_BYTES: usize = 22;
