//! Contracts as deserialized from their files, before any check.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;

use crate::contract::Access;
use crate::contract::Priority;
use crate::contract::Replay;
use crate::time::DurationText;

/// The contract of one client account.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Contract {
    /// The client account.
    pub account: String,
    /// The values of the Host header that belong to the account.
    pub hosts: Vec<String>,
    /// The allowed requests per second, across all instances.
    pub rate: f64,
    /// The number of requests above the rate that may arrive at once, across all instances.
    pub burst: f64,
    /// The routes; the longest matching path prefix wins.
    pub routes: Vec<Route>,
    /// The regions that may serve the account.
    pub regions: Vec<Region>,
    /// The policy for moves to new versions.
    #[serde(default)]
    pub versions: Versions,
}

/// A route of a contract.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The name, for logs and metrics.
    pub name: String,
    /// The path prefix, which starts with a slash.
    pub path: String,
    /// The HTTP methods.
    pub methods: Vec<String>,
    /// The service that handles the requests.
    pub service: String,
    /// Who may call the route.
    #[serde(default)]
    pub access: Access,
    /// Whether a request may run more than once.
    #[serde(default)]
    pub replay: Replay,
    /// The priority under overload.
    #[serde(default)]
    pub priority: Priority,
    /// The maximum time until the end of the response's head.
    #[serde_as(as = "DurationText")]
    #[serde(default = "default_deadline")]
    pub deadline: Duration,
}

/// The limits of one region for the account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// The region.
    pub name: String,
    /// The requests per second that the region serves for the account.
    pub capacity: f64,
    /// The maximum growth per second of the traffic shifted to this region from others, in requests
    /// per second.
    pub shift: f64,
}

/// The policy for moves to new versions.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Versions {
    /// The share of requests that a version on trial receives, above 0 and at most 0.5.
    pub share: f64,
    /// The maximum time from the start of a move to its end.
    #[serde_as(as = "DurationText")]
    pub deadline: Duration,
    /// The excess over the old version's failure rate that counts as a fault.
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
