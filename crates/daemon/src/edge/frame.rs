//! What an instance that follows the store tells those that follow its copy.

use corianderway_platform::store::Kind;
use corianderway_platform::store::KINDS;
use serde::Deserialize;
use serde::Serialize;

/// The first message of an instance that follows a copy: up to which revision
/// it knows each kind, in the order of [`KINDS`]; none for kinds that it does
/// not know.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Known(pub [Option<u64>; KINDS.len()]);

/// A message to an instance that follows a copy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// All objects of a kind, as the store would list them.
    Whole {
        /// The place of the kind in [`KINDS`].
        kind: u8,
        /// The list, as JSON text.
        list: String,
    },
    /// What changed of a kind.
    Part {
        /// The place of the kind in [`KINDS`].
        kind: u8,
        /// The objects that changed, as the store would list them.
        list: String,
        /// The names of those that are gone.
        removed: Vec<String>,
    },
    /// Nothing changed; the copy follows the store.
    Pulse,
    /// The copy no longer follows the store; nothing comes after this.
    Lost,
}

impl Frame {
    /// The kind that the place in a frame names.
    pub fn kind(place: u8) -> Option<Kind> {
        KINDS.get(usize::from(place)).copied()
    }
}
