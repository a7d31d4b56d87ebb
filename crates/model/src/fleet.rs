//! Entry instances and backend servers in the platform's instance list.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::name::FailureDomain;
use crate::name::InstanceId;
use crate::name::Region;
use crate::name::ServerId;
use crate::name::Service;
use crate::name::Version;

/// Whether an instance or backend server accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Presence {
    /// It accepts new requests.
    Live,
    /// It is about to stop and accepts no new requests.
    Leaving,
}

/// An entry instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// The identity, new at each start.
    pub id: InstanceId,
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for other entry instances.
    pub peers: SocketAddr,
    /// The region.
    pub region: Region,
    /// The failure domain.
    pub domain: FailureDomain,
    /// Whether it accepts new requests.
    pub presence: Presence,
}

/// A backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Backend {
    /// The identity.
    pub id: ServerId,
    /// The address for requests.
    pub addr: SocketAddr,
    /// The service that it runs.
    pub service: Service,
    /// The version of the service.
    pub version: Version,
    /// The region.
    pub region: Region,
    /// The failure domain.
    pub domain: FailureDomain,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub presence: Presence,
}
