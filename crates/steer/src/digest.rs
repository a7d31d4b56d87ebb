//! What instances tell each other.

use corianderway_model::InstanceId;
use corianderway_model::Presence;
use corianderway_model::Service;
use serde::Deserialize;
use serde::Serialize;

/// One instance's state, as it tells the others once a second and after
/// important changes. Field names are short, since bytes between failure
/// domains cost.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// The instance.
    #[serde(rename = "i")]
    pub from: InstanceId,
    /// Drawn at its start.
    #[serde(rename = "r")]
    pub run: u64,
    /// The number of the digest within the run.
    #[serde(rename = "n")]
    pub number: u64,
    /// Whether it stays.
    #[serde(rename = "p")]
    pub presence: Presence,
    /// Whether it serves callers.
    #[serde(rename = "s")]
    pub ready: bool,
    /// Whether it reaches the store itself.
    #[serde(rename = "k")]
    pub stored: bool,
    /// The latest change in the store that it has seen.
    #[serde(rename = "v")]
    pub revision: u64,
    /// Requests a second that callers want of it, by the hash of the client account.
    #[serde(rename = "d")]
    pub demands: Vec<(u32, f32)>,
    /// What it has seen of moves to new versions.
    #[serde(rename = "m")]
    pub moves: Vec<Sighting>,
    /// Signatures of requests that broke connections, with the hashes of the
    /// backend servers at which they did.
    #[serde(rename = "c")]
    pub crashes: Vec<(u64, Vec<u32>)>,
}

/// What an instance has seen of one move to a new version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sighting {
    /// The service.
    #[serde(rename = "s")]
    pub service: Service,
    /// The revision at which the order was made.
    #[serde(rename = "o")]
    pub order: u64,
    /// The time since the order was first seen, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u64,
    /// The number of the phase, in the order in which they follow.
    #[serde(rename = "p")]
    pub phase: u8,
    /// Answers of the target, by route.
    #[serde(rename = "t")]
    pub target: Vec<Tally>,
    /// Answers of the old version, by route.
    #[serde(rename = "b")]
    pub base: Vec<Tally>,
    /// Requests that the old version runs for this instance.
    #[serde(rename = "f")]
    pub old_open: u32,
}

/// Answers of one version on one route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// The hash of the route's name.
    #[serde(rename = "r")]
    pub route: u32,
    /// All answers and failures.
    #[serde(rename = "n")]
    pub all: u32,
    /// Those that were failures or far too slow.
    #[serde(rename = "x")]
    pub bad: u32,
}
