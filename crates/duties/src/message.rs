//! Messages between the holder of a duty and the other instances.

use std::net::SocketAddr;

use corianderway_model::InstanceId;
use serde::Deserialize;
use serde::Serialize;

use crate::book::Entry;
use crate::record::Version;

/// A message from one instance to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// The holder's question, sent after each renewal to each instance.
    #[serde(rename = "a")]
    Ask(Ask),
    /// The answer.
    #[serde(rename = "t")]
    Told(Told),
}

/// The holder's question for the counts of one instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// The holder.
    #[serde(rename = "i")]
    pub from: InstanceId,
    /// The address to which the answer is sent.
    #[serde(rename = "p")]
    pub reply: SocketAddr,
    /// The holder's fencing token.
    #[serde(rename = "t")]
    pub token: u64,
    /// The object's version at the holder's latest acknowledged write.
    #[serde(rename = "v")]
    pub version: Version,
    /// The latest window that needs no report any more, nor do those before it.
    #[serde(rename = "s")]
    pub settled: u64,
    /// The latest window whose report may have been sent.
    #[serde(rename = "m")]
    pub maybe_sent: u64,
    /// The wall clock of the fleet, in milliseconds since the Unix epoch.
    #[serde(rename = "c")]
    pub wall_ms: u64,
    /// The run of the instance that is asked, as far as the holder knows.
    #[serde(rename = "r")]
    pub run: u64,
    /// The version of its counts up to which the holder knows them.
    #[serde(rename = "n")]
    pub after: u64,
}

/// An instance's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Told {
    /// The instance.
    #[serde(rename = "i")]
    pub from: InstanceId,
    /// Its run.
    #[serde(rename = "r")]
    pub run: u64,
    /// The counts that changed.
    #[serde(rename = "e")]
    pub entries: Vec<Entry>,
    /// The version up to which they are complete.
    #[serde(rename = "n")]
    pub through: u64,
    /// Whether there are later changes that didn't fit.
    #[serde(rename = "l", default)]
    pub more: bool,
    /// The latest window whose report may have been sent, by any holder.
    #[serde(rename = "m")]
    pub maybe_sent: u64,
    /// Its own wall clock, in milliseconds since the Unix epoch.
    #[serde(rename = "c")]
    pub wall_ms: u64,
}

/// Another instance, as the store lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its name.
    pub id: InstanceId,
    /// Its run.
    pub run: u64,
    /// The address at which it receives messages.
    pub addr: SocketAddr,
    /// Its processor time; the instances with most take over duties first.
    pub millicores: u32,
}
