//! What happens to the objects of one instance, and what it does about them.

use std::sync::Arc;

use corianderway_model::InstanceId;

use crate::message::Message;
use crate::object::Object;
use crate::object::Stamp;

/// What happens to the objects of one instance.
#[derive(Clone, Debug)]
pub enum GossipEvent {
    /// Time has passed.
    Tick,
    /// These are the peers to talk to.
    Peers(Arc<[InstanceId]>),
    /// The platform or this instance itself has these objects.
    Offered(Vec<Object>),
    /// A peer's set may differ.
    Compare(InstanceId),
    /// A peer sent a message.
    Received {
        /// The peer.
        from: InstanceId,
        /// The message.
        message: Message,
    },
}

/// What an instance does about its objects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GossipAction {
    /// Send a message.
    Send {
        /// The receiver.
        to: InstanceId,
        /// The message.
        message: Message,
    },
    /// A newer state is held and takes effect here.
    Accepted(Object),
    /// An object did not pass the check and is not held.
    Rejected(Stamp),
}
