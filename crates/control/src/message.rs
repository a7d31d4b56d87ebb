//! What entry instances tell each other about configuration.

use serde::Deserialize;
use serde::Serialize;

use crate::object::Id;
use crate::object::Object;
use crate::object::Stamp;
use crate::set::Digest;

/// A message between two entry instances about configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Message {
    /// Objects that the sender holds.
    Objects(Vec<Object>),
    /// Objects that the sender holds and that are too large to send unasked.
    Offer(Vec<Stamp>),
    /// A request for objects that were offered.
    Want(Vec<Id>),
    /// The digest of the sender's set.
    Root(Digest),
    /// The digests of all groups; the answer to a root that differs.
    Groups(Vec<Digest>),
    /// The digests of the buckets of one group that differs.
    Buckets {
        /// The group.
        group: u8,
        /// The digest of each of its buckets.
        digests: Vec<Digest>,
    },
    /// What the sender holds in one bucket that differs.
    Bucket {
        /// The group.
        group: u8,
        /// The bucket within the group.
        bucket: u8,
        /// The stamps, sorted.
        stamps: Vec<Stamp>,
    },
    /// A request of a new instance for the objects after an identity.
    Page {
        /// The last object received so far.
        after: Option<Id>,
    },
    /// The answer to a page request.
    Filled {
        /// The objects, sorted.
        objects: Vec<Object>,
        /// Whether there are more.
        more: bool,
    },
    /// A question whether the receiver holds a state or a newer one.
    Ask(Stamp),
    /// The answer to such a question.
    Held {
        /// The state that was asked for.
        stamp: Stamp,
        /// Whether that state or a newer one is in force at the sender.
        in_force: bool,
    },
}

impl Message {
    /// About how large the message is once encoded, in bytes.
    pub fn size(&self) -> usize {
        let body = match self {
            Self::Objects(objects) | Self::Filled { objects, .. } => {
                objects.iter().map(Object::size).sum()
            }
            Self::Offer(stamps) | Self::Bucket { stamps, .. } => {
                stamps.iter().map(Stamp::size).sum()
            }
            Self::Want(ids) => ids.iter().map(|id| id.name.len() + ID_BYTES).sum(),
            Self::Root(_) => DIGEST_BYTES,
            Self::Groups(digests) => digests.len() * DIGEST_BYTES,
            Self::Buckets { digests, .. } => digests.len() * DIGEST_BYTES + FLAG_BYTES,
            Self::Page { after } => after.as_ref().map_or(0, |id| id.name.len() + ID_BYTES),
            Self::Ask(stamp) => stamp.size(),
            Self::Held { stamp, .. } => stamp.size() + FLAG_BYTES,
        };
        FRAME_BYTES + body
    }
}

/// What a message takes beside its body: the variant's name, lengths and the frame.
const FRAME_BYTES: usize = 16;

/// What a named flag or number takes.
const FLAG_BYTES: usize = 12;

/// What a digest takes.
const DIGEST_BYTES: usize = 9;

/// What an identity takes beside its name.
const ID_BYTES: usize = 22;
