//! What goes into the quota's step function, and what comes out.

use corianderway_model::InstanceId;

use crate::bucket::Amount;
use crate::epoch::Epoch;
use crate::limit::Limit;
use crate::message::Message;
use crate::message::Stored;

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Time has passed; due every few tens of milliseconds.
    Tick,
    /// The limits of all contracts in force.
    Limits(Vec<(Limit, Amount)>),
    /// The instances that should be members: live and not leaving.
    Live(Vec<InstanceId>),
    /// A message arrived.
    Received(Message),
    /// The platform answered a read; `None` if there is no epoch yet.
    Read {
        /// The nonce of the read.
        nonce: u64,
        /// What the platform holds.
        stored: Option<Stored>,
    },
    /// The platform did not answer a read.
    Unread {
        /// The nonce of the read.
        nonce: u64,
    },
    /// The platform ended a conditional write.
    Proposed {
        /// The nonce of the proposal.
        nonce: u64,
        /// How it ended.
        outcome: Outcome,
    },
    /// An operator confirmed that no member that has left the list of live
    /// instances still runs.
    Confirmed,
    /// This instance is about to stop; it lends but admits nothing more.
    Stopping,
}

/// How a conditional write ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The epoch is written, under this version.
    Written(u64),
    /// Another write came first.
    Conflict,
    /// Nothing was sent, so nothing is written and nothing will be.
    Unsent,
    /// The answer was lost; the write may have taken effect or still may.
    Unknown,
}

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message to the instance it names; it may be lost.
    Send(Message),
    /// Read the epoch from the platform, from where the last write is seen.
    Read {
        /// Returned with the answer.
        nonce: u64,
    },
    /// Write an epoch if the platform's version is still the expected one.
    Propose {
        /// Returned with the outcome.
        nonce: u64,
        /// The version; `None` if the object must not exist yet.
        expect: Option<u64>,
        /// The epoch.
        epoch: Epoch,
    },
}
