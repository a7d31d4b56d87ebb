//! What happens to the membership, and what is done about it.

use corianderway_model::Entry;
use corianderway_model::InstanceId;

use crate::freshness::Word;
use crate::message::Message;
use crate::set::Digest;

/// What happens to the membership.
#[derive(Clone, Debug)]
pub enum MembersEvent {
    /// Time has passed.
    Tick,
    /// The platform's list of instances, which lags.
    Listing(Vec<Entry>),
    /// This instance is about to stop.
    Leave,
    /// A peer sent a message about members.
    Received {
        /// The peer.
        from: InstanceId,
        /// The message.
        message: Message,
    },
    /// A peer asks whether this instance is there.
    Asked {
        /// The peer.
        from: InstanceId,
        /// The number of the question.
        question: u64,
        /// The digest of the held key records.
        keys: Digest,
    },
    /// A peer answered.
    Answered {
        /// The peer.
        from: InstanceId,
        /// The number of the question.
        question: u64,
        /// What the peer tells.
        word: Word,
        /// The digest of the held key records.
        keys: Digest,
    },
}

/// What is done about the membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembersAction {
    /// Send a message about members.
    Send {
        /// The receiver.
        to: InstanceId,
        /// The message.
        message: Message,
    },
    /// Ask an instance whether it is there.
    Ask {
        /// The receiver.
        to: InstanceId,
        /// The number of the question.
        question: u64,
    },
    /// Answer a question.
    Answer {
        /// The receiver.
        to: InstanceId,
        /// The number of the question.
        question: u64,
        /// What this instance tells.
        word: Word,
    },
    /// The live members, or their presence, changed.
    Changed,
    /// The peer's keys differ from the held ones.
    Differs(InstanceId),
}
