//! What entry instances tell each other.

use corianderway_control::Message as ConfigMessage;
use corianderway_model::Entry;
use serde::Deserialize;
use serde::Serialize;

/// A message between two entry instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Message {
    /// The sender and where it is reached.
    Hello(Entry),
    /// About configuration.
    Config(ConfigMessage),
}
