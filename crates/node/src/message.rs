//! What entry instances tell each other.

use corianderway_control::PeerMessage as ControlMessage;
use corianderway_limits::Message as LimitMessage;
use corianderway_model::Backend;
use corianderway_model::Entry;
use serde::Deserialize;
use serde::Serialize;

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
}
