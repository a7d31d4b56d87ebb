//! What the platform's instance list says of entry instances and backend servers.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::name::FailureDomain;
use crate::name::InstanceId;
use crate::name::Region;
use crate::name::ServerId;
use crate::name::Service;
use crate::name::Version;

/// Whether an instance takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Presence {
    /// In service.
    Live,
    /// About to stop; no new work.
    Leaving,
}

/// An entry instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Its identity, new at each start.
    pub id: InstanceId,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Where other entry instances reach it.
    pub peers: SocketAddr,
    /// Its region.
    pub region: Region,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Whether it takes new work.
    pub presence: Presence,
}

/// A backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Backend {
    /// Its identity.
    pub id: ServerId,
    /// Where it takes requests.
    pub addr: SocketAddr,
    /// The service it runs.
    pub service: Service,
    /// The version it runs.
    pub version: Version,
    /// Its region.
    pub region: Region,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Requests it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub presence: Presence,
}
