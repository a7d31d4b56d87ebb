//! Input events and output actions of the quota's step function.

use corianderway_model::InstanceId;

use crate::bucket::Amount;
use crate::epoch::Epoch;
use crate::limit::Limit;
use crate::message::Message;
use crate::message::StoredEpoch;

/// An input of [`Quota::step`](crate::Quota::step).
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Time has passed. Due every few tens of milliseconds.
    Tick,
    /// The limits of all contracts in force.
    Limits(Vec<(Limit, Amount)>),
    /// The instances that should be members: live and not leaving.
    Live(Vec<InstanceId>),
    /// A message arrived.
    Received(Message),
    /// A platform read succeeded; `None` if no epoch is stored yet.
    ReadDone {
        /// The nonce of the read.
        nonce: u64,
        /// The stored epoch.
        stored: Option<StoredEpoch>,
    },
    /// A platform read failed.
    ReadFailed {
        /// The nonce of the read.
        nonce: u64,
    },
    /// A conditional write ended.
    WriteDone {
        /// The nonce of the proposal.
        nonce: u64,
        /// The outcome of the write.
        outcome: Outcome,
    },
    /// An operator confirmed that every member that has left the list of live
    /// instances has ended.
    Confirmed,
    /// This instance is about to stop. It admits nothing more and releases its
    /// loans; what it has lent stays with the borrowers.
    Stopping,
}

/// The outcome of a conditional write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The epoch was written with this version.
    Written(u64),
    /// Another write came first.
    Conflict,
    /// The request was not sent, so the write did not and will not take effect.
    NotSent,
    /// The answer was lost. The write may have taken effect, or may still.
    Unknown,
}

/// An output of [`Quota::step`](crate::Quota::step).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message to the instance that it names. It may be lost.
    Send(Message),
    /// Read the epoch from the platform. The read must observe the last write.
    Read {
        /// Returned with the result.
        nonce: u64,
    },
    /// Write an epoch if the stored version is the expected one.
    Propose {
        /// Returned with the outcome.
        nonce: u64,
        /// The expected version; `None` if the object must not exist.
        expect: Option<u64>,
        /// The epoch to write.
        epoch: Epoch,
    },
}
