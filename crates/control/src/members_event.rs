//! The events and actions of [`Members`](crate::Members).

use corianderway_model::Entry;
use corianderway_model::InstanceId;

use crate::freshness::FreshnessReport;
use crate::message::Message;
use crate::set::Digest;

/// An event for the membership.
#[derive(Clone, Debug)]
pub enum MembersEvent {
    /// Time has passed.
    Tick,
    /// The platform's list of instances, which may be out of date.
    Listed(Vec<Entry>),
    /// This instance is about to stop.
    Leave,
    /// A peer sent a message about members.
    Received {
        /// The peer.
        from: InstanceId,
        /// The message.
        message: Message,
    },
    /// A peer sent a probe.
    ProbeReceived {
        /// The peer.
        from: InstanceId,
        /// The number of the probe.
        probe: u64,
        /// The digest of the held key records.
        keys: Digest,
    },
    /// A peer answered a probe.
    ProbeAnswered {
        /// The peer.
        from: InstanceId,
        /// The number of the probe.
        probe: u64,
        /// How recent the peer's data is.
        word: FreshnessReport,
        /// The digest of the held key records.
        keys: Digest,
    },
}

/// An effect of the membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembersAction {
    /// Send a message about members.
    Send {
        /// The receiver.
        to: InstanceId,
        /// The message.
        message: Message,
    },
    /// Send a probe, to find out whether a member is alive.
    SendProbe {
        /// The receiver.
        to: InstanceId,
        /// The number of the probe.
        probe: u64,
    },
    /// Answer a probe.
    AnswerProbe {
        /// The receiver.
        to: InstanceId,
        /// The number of the probe.
        probe: u64,
        /// How recent this instance's data is.
        word: FreshnessReport,
    },
    /// The set of members, or the state of one, changed.
    Changed,
    /// The key records of this peer differ from the held ones.
    KeysDiffer(InstanceId),
}
