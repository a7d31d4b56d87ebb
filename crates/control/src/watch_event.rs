//! The events and actions of [`PlatformWatch`](crate::PlatformWatch).

use std::time::Duration;

use corianderway_model::Time;

use crate::object::Object;

/// An event for the platform watch.
#[derive(Clone, Debug)]
pub enum WatchEvent {
    /// Time has passed.
    Tick,
    /// This instance starts to watch the platform, after a delay.
    Activated(Duration),
    /// This instance stops watching the platform.
    Deactivated,
    /// A list call returned all objects of all kinds.
    Listed {
        /// The number of the call.
        call: u64,
        /// The store's revision.
        revision: u64,
        /// The objects.
        objects: Vec<Object>,
    },
    /// A watch call returned all changes after its revision; none if it timed
    /// out without a change.
    Watched {
        /// The number of the call.
        call: u64,
        /// The store's revision.
        revision: u64,
        /// The changed objects, tombstones included.
        objects: Vec<Object>,
    },
    /// A call failed, or its answer was invalid.
    Failed {
        /// The number of the call.
        call: u64,
    },
}

/// An effect of the platform watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchAction {
    /// List all objects of all kinds.
    List {
        /// The number of the call.
        call: u64,
    },
    /// Wait for changes after a revision. Without a change the platform answers
    /// after [`WATCH_TIMEOUT`](crate::WATCH_TIMEOUT).
    Watch {
        /// The number of the call.
        call: u64,
        /// The last revision that is known.
        after: u64,
    },
    /// Merge objects into the configuration set.
    Merge(Vec<Object>),
    /// The objects merged so far include the platform's whole state as of this
    /// time, which is when the answered call was made.
    Synced(Time),
    /// Write an object that the store has lost back to it, on condition that
    /// the stored version is still the given one.
    Restore {
        /// The object as held by this instance.
        object: Object,
        /// The version in the store, 0 if the object is not stored.
        stored: u64,
    },
}
