//! The messages between an instance that serves a replica of the store and the
//! instances that follow it, encoded as CBOR.

use corianderway_model::Era;
use corianderway_model::Revision;
use corianderway_platform::store::Kind;
use corianderway_platform::store::KINDS;
use serde::Deserialize;
use serde::Serialize;

/// The first message of a follower: the revision up to which it knows each kind,
/// in the order of [`KINDS`]; `None` for a kind that it has never listed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "KnownNumbers", into = "KnownNumbers")]
pub struct KnownRevisions(pub [Option<Revision>; KINDS.len()]);

/// The form of [`KnownRevisions`] in a message.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(untagged)]
enum KnownNumbers {
    /// Numbers of the first era, as instances of earlier builds send them.
    First([Option<u64>; KINDS.len()]),
    /// Numbers of any era.
    Of {
        era: Era,
        numbers: [Option<u64>; KINDS.len()],
    },
}

impl From<KnownNumbers> for KnownRevisions {
    fn from(known: KnownNumbers) -> Self {
        let (era, numbers) = match known {
            KnownNumbers::First(numbers) => (Era::FIRST, numbers),
            KnownNumbers::Of { era, numbers } => (era, numbers),
        };
        Self(numbers.map(|number| Some(Revision::new(era, number?))))
    }
}

impl From<KnownRevisions> for KnownNumbers {
    // A kind that is not known in the latest era is not known.
    fn from(known: KnownRevisions) -> Self {
        let eras = known.0.iter().flatten().map(|revision| revision.era);
        let era = eras.max().unwrap_or_default();
        let of_era = |revision: Option<Revision>| revision.filter(|r| r.era == era);
        let numbers = known.0.map(|revision| Some(of_era(revision)?.number));
        if era.is_first() {
            Self::First(numbers)
        } else {
            Self::Of { era, numbers }
        }
    }
}

/// A message to a follower.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// All objects of a kind.
    Whole {
        /// The index of the kind in [`KINDS`].
        kind: u8,
        /// The objects, as the JSON text of a list by the store.
        list: String,
        /// The era of the store.
        #[serde(default, skip_serializing_if = "Era::is_first")]
        era: Era,
    },
    /// The changes of a kind.
    Part {
        /// The index of the kind in [`KINDS`].
        kind: u8,
        /// The changed objects, as the JSON text of a list by the store.
        list: String,
        /// The names of the removed objects.
        removed: Vec<String>,
        /// The era of the store.
        #[serde(default, skip_serializing_if = "Era::is_first")]
        era: Era,
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
