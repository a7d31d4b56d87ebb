//! The events and actions of [`Gossip`](crate::Gossip).

use std::sync::Arc;

use corianderway_model::InstanceId;

use crate::message::Message;
use crate::object::Object;
use crate::object::Stamp;

/// An event for the replication of a set.
#[derive(Clone, Debug)]
pub enum GossipEvent {
    /// Time has passed.
    Tick,
    /// Replaces the peers to exchange objects with.
    Peers(Arc<[InstanceId]>),
    /// Objects that the platform returned or this instance created.
    LocalObjects(Vec<Object>),
    /// Starts a comparison with a peer whose set may differ.
    Compare(InstanceId),
    /// A peer sent a message.
    Received {
        /// The peer.
        from: InstanceId,
        /// The message.
        message: Message,
    },
}

/// An effect of the replication of a set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GossipAction {
    /// Send a message.
    Send {
        /// The receiver.
        to: InstanceId,
        /// The message.
        message: Message,
    },
    /// A newer state of an object is now held and takes effect.
    Accepted(Object),
    /// An object failed validation and is not held.
    Rejected(Stamp),
}
