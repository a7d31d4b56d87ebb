//! The events and actions of [`Control`](crate::Control).

use corianderway_model::Entry;
use corianderway_model::InstanceId;
use serde::Deserialize;
use serde::Serialize;

use crate::freshness::FreshnessReport;
use crate::message::Message;
use crate::object::Object;
use crate::object::Stamp;
use crate::watch_event::WatchEvent;

/// A message between two entry instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PeerMessage {
    /// Configuration replication.
    Config(Message),
    /// Replication of the member records.
    Members(Message),
    /// A liveness probe, with its number.
    Ask(u64),
    /// The answer to a probe: its number, and how recent the sender's data is.
    Answer(u64, FreshnessReport),
}

/// An event for the control state of an instance.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; due about every 100 ms.
    Tick,
    /// The platform's list of instances, or the seeds from the settings.
    Listed(Vec<Entry>),
    /// A list or watch call to the platform was answered or failed.
    Platform(WatchEvent),
    /// The platform's store accepted a write of this instance.
    Written(Object),
    /// An operator queries whether a change is in force at every member; from
    /// now on this instance queries the members that have not confirmed it.
    Follow(Stamp),
    /// A peer sent a message.
    Received {
        /// The peer.
        from: InstanceId,
        /// The message.
        message: PeerMessage,
    },
    /// This instance is about to stop.
    Leave,
}

/// An effect for the instance to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message to a member, at the address in its [`Control::entry`](crate::Control::entry).
    Send {
        /// The receiver.
        to: InstanceId,
        /// The message.
        message: PeerMessage,
    },
    /// List all objects of all kinds that the platform stores.
    List {
        /// The number of the call, to be returned with the answer.
        call: u64,
    },
    /// Wait for changes after a store revision.
    Watch {
        /// The number of the call, to be returned with the answer.
        call: u64,
        /// The last revision that is known.
        after: u64,
    },
    /// Write an object that the store has lost back to it, on condition that
    /// the stored version is still the given one.
    Restore {
        /// The object as held by this instance.
        object: Object,
        /// The version in the store, 0 if the object is not stored.
        stored: u64,
    },
    /// Apply an object; a tombstone removes it.
    Apply(Object),
    /// An object failed validation and is not applied.
    Rejected(Stamp),
    /// The set of members, or the state of one, changed.
    MembersChanged,
}
