//! The messages between entry instances.

use corianderway_control::PeerMessage as ControlMessage;
use corianderway_limits::Message as LimitMessage;
use corianderway_model::Backend;
use corianderway_model::Entry;
use corianderway_rollout::DrainReport;
use corianderway_rollout::Report as MoveReport;
use corianderway_rollout::Stop as MoveStop;
use corianderway_routing::Suspicion;
use serde::Deserialize;
use serde::Serialize;

use crate::reports::SharedReport;

/// A message between two entry instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Message {
    /// The sender's entry, sent to an address from the settings. Answered by
    /// [`Message::Welcome`].
    Hello(Entry),
    /// The entry instances and backend servers that the sender knows.
    Welcome {
        /// The entry instances, including the sender.
        entries: Vec<Entry>,
        /// The backend servers.
        backends: Vec<Backend>,
    },
    /// A message of the control state machine: configuration and members.
    Control(ControlMessage),
    /// A message of the quota state machine.
    Limits(LimitMessage),
    /// The evidence that the sender collected on a version move.
    Move(MoveReport),
    /// The sender has stopped sending requests to a target version.
    MoveStop(MoveStop),
    /// The number of the sender's requests in flight within the scope of a drain.
    Drain(DrainReport),
    /// The health and load that backend servers reported to the sender.
    Reports(Vec<SharedReport>),
    /// A suspicion that requests crashed a backend server, or its withdrawal.
    Suspicion(Suspicion),
}
