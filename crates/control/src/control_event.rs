//! What happens to the control part of an instance, and what it wants done.

use corianderway_model::Entry;
use corianderway_model::InstanceId;
use serde::Deserialize;
use serde::Serialize;

use crate::freshness::Word;
use crate::message::Message;
use crate::object::Object;
use crate::object::Stamp;
use crate::source_event::SourceEvent;

/// A message between two entry instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PeerMessage {
    /// About configuration.
    Config(Message),
    /// About members.
    Members(Message),
    /// A question whether the receiver is there.
    Ask(u64),
    /// The answer to such a question.
    Answer(u64, Word),
}

/// What happens to the control part of an instance.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; due about every 100 ms.
    Tick,
    /// The platform's list of instances, or the seeds from the settings.
    Listing(Vec<Entry>),
    /// The platform answered a list or a watch, or did not.
    Platform(SourceEvent),
    /// A write of this instance took effect in the platform.
    Written(Object),
    /// An operator waits for a change to be in force everywhere.
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

/// What the control part of an instance wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message to a member, at the address that [`Control::entry`](crate::Control::entry) gives.
    Send {
        /// The receiver.
        to: InstanceId,
        /// The message.
        message: PeerMessage,
    },
    /// List every object of every kind.
    List {
        /// The number of the call, to be given back with the answer.
        call: u64,
    },
    /// Wait for changes after a revision.
    Watch {
        /// The number of the call, to be given back with the answer.
        call: u64,
        /// The revision.
        after: u64,
    },
    /// Put back an object that the store has lost, on condition that the
    /// store still has the given version, 0 for none.
    Restore {
        /// The held state.
        object: Object,
        /// The version in the store.
        stored: u64,
    },
    /// An object takes effect; a tombstone ends one.
    InForce(Object),
    /// An object is not sound and does not take effect.
    Rejected(Stamp),
    /// The members, or their presence, changed.
    MembersChanged,
}
