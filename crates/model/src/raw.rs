//! Contracts as their files spell them, before any check.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;

use crate::contract::Access;
use crate::contract::Priority;
use crate::contract::Replay;
use crate::time::Text;

/// The contract of one client account.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Contract {
    /// The client account.
    pub account: String,
    /// The values of the Host header that belong to the account.
    pub hosts: Vec<String>,
    /// Requests a second across all instances.
    pub rate: f64,
    /// Requests above the rate that may come at once, across all instances.
    pub burst: f64,
    /// The routes; the longest matching path prefix wins.
    pub routes: Vec<Route>,
    /// The regions that may serve the account.
    pub regions: Vec<Region>,
    /// How new versions take over.
    #[serde(default)]
    pub versions: Versions,
}

/// One route of a contract.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The name, for logs and metrics.
    pub name: String,
    /// The path prefix, beginning with a slash.
    pub path: String,
    /// The HTTP methods.
    pub methods: Vec<String>,
    /// The service that runs the requests.
    pub service: String,
    /// Who may call.
    #[serde(default)]
    pub access: Access,
    /// Whether a request may run more than once.
    #[serde(default)]
    pub replay: Replay,
    /// What waits first under overload.
    #[serde(default)]
    pub priority: Priority,
    /// The longest time to the end of the answer's head.
    #[serde_as(as = "Text")]
    #[serde(default = "default_deadline")]
    pub deadline: Duration,
}

/// The limits of one region for the account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// The region.
    pub name: String,
    /// Requests a second that the region takes for the account.
    pub capacity: f64,
    /// Requests a second by which traffic moved here from other regions may
    /// grow in each second.
    pub shift: f64,
}

/// How new versions take over.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Versions {
    /// The share of requests that an unproven version gets, 0 to 0.5.
    pub share: f64,
    /// The time from the start of a move to its end.
    #[serde_as(as = "Text")]
    pub deadline: Duration,
    /// The failure ratio above the old version's that counts as a fault.
    pub margin: f64,
}

impl Default for Versions {
    fn default() -> Self {
        Self {
            share: 0.05,
            deadline: Duration::from_mins(30),
            margin: 0.05,
        }
    }
}

fn default_deadline() -> Duration {
    Duration::from_secs(10)
}
