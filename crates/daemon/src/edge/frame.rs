//! The messages between an instance that serves a replica of the store and the
//! instances that follow it, encoded as CBOR.

use corianderway_platform::store::Kind;
use corianderway_platform::store::KINDS;
use serde::Deserialize;
use serde::Serialize;

/// The first message of a follower: the revision up to which it knows each kind,
/// in the order of [`KINDS`]; `None` for a kind that it has never listed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownRevisions(pub [Option<u64>; KINDS.len()]);

/// A message to a follower.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// All objects of a kind.
    Whole {
        /// The index of the kind in [`KINDS`].
        kind: u8,
        /// The objects, as the JSON text of a list by the store.
        list: String,
    },
    /// The changes of a kind.
    Part {
        /// The index of the kind in [`KINDS`].
        kind: u8,
        /// The changed objects, as the JSON text of a list by the store.
        list: String,
        /// The names of the removed objects.
        removed: Vec<String>,
    },
    /// The replica is current and has no further changes. The first one follows
    /// the initial frames.
    Pulse,
    /// The instance lost the store; this is the last message.
    Lost,
    /// The instance follows another replica in place of the store; this is the last message.
    Ended,
}

impl Frame {
    /// Returns the kind with an index in [`KINDS`].
    pub fn kind(index: u8) -> Option<Kind> {
        KINDS.get(usize::from(index)).copied()
    }
}
