//! What entry instances tell each other.

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
    /// The sender, told to an address from the settings; answered by `Welcome`.
    Hello(Entry),
    /// What the sender knows of the fleet.
    Welcome {
        /// Every entry instance, the sender among them.
        entries: Vec<Entry>,
        /// Every backend server.
        backends: Vec<Backend>,
    },
    /// About configuration and members.
    Control(ControlMessage),
    /// About limits.
    Limits(LimitMessage),
    /// What the sender has counted of a version move.
    Move(MoveReport),
    /// The sender gives nothing more to a new version.
    MoveStop(MoveStop),
    /// What the sender has in flight where a drain is planned.
    Drain(DrainReport),
    /// What backend servers told the sender of their health and load.
    Reports(Vec<SharedReport>),
    /// A request that may have crashed a backend server, or that is cleared.
    Suspicion(Suspicion),
}
