//! What happens to a watch of the platform, and what it asks for.

use std::time::Duration;

use corianderway_model::Time;

use crate::object::Object;

/// What happens to a watch.
#[derive(Clone, Debug)]
pub enum SourceEvent {
    /// Time has passed.
    Tick,
    /// This instance is to follow the platform, after a delay.
    Chosen(Duration),
    /// This instance need not follow the platform any longer.
    Released,
    /// The platform listed every object of every kind.
    Listed {
        /// The number of the call.
        call: u64,
        /// The store's revision.
        revision: u64,
        /// The objects.
        objects: Vec<Object>,
    },
    /// A watch was answered, with all changes since its start or with none.
    Watched {
        /// The number of the call.
        call: u64,
        /// The store's revision.
        revision: u64,
        /// The objects.
        objects: Vec<Object>,
    },
    /// A call failed, or its answer can't be used.
    Failed {
        /// The number of the call.
        call: u64,
    },
}

/// What a watch asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SourceAction {
    /// List every object of every kind.
    List {
        /// The number of the call.
        call: u64,
    },
    /// Wait for changes after a revision, and answer without any after [`WATCH_WAIT`].
    Watch {
        /// The number of the call.
        call: u64,
        /// The revision.
        after: u64,
    },
    /// Objects for the held set.
    Offer(Vec<Object>),
    /// The platform's whole state as of this moment was offered.
    Reached(Time),
    /// Put back an object that the store has lost, on condition that the
    /// store still has the given version, 0 for none.
    Restore {
        /// The held state.
        object: Object,
        /// The version in the store.
        stored: u64,
    },
}
