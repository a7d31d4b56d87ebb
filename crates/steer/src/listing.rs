//! Entries of the platform's store: backend servers, instances, and orders for
//! version moves.

use std::net::SocketAddr;
use std::time::Duration;

use corianderway_model::Backend;
use corianderway_model::Entry;
use corianderway_model::Revision;
use corianderway_model::ServerId;
use corianderway_model::Service;
use corianderway_model::Version;
use serde::Deserialize;
use serde::Serialize;

use crate::crashes::Incarnation;
use crate::hash;

/// The store's entry of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerEntry {
    /// Its identity, address and location.
    pub backend: Backend,
    /// When this run of the server began, in milliseconds since the Unix epoch by
    /// its own wall clock; distinguishes runs under one identity.
    pub started_ms: u64,
    /// The sequence number of the report within this run.
    pub report_sequence: u64,
    /// The store's revision of the entry. It orders entries even if a server's wall
    /// clock is set back.
    pub revision: Revision,
    /// The remaining cold time at the time of the report.
    pub cold_left: Duration,
}

impl ServerEntry {
    /// Returns this run of the server.
    pub(crate) fn incarnation(&self) -> Incarnation {
        let id = self.backend.id.as_str();
        Incarnation {
            server: hash::short(id),
            start: hash::short(&format!("{id}/{}", self.started_ms)),
        }
    }
}

/// The store's entry of an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its identity, addresses and location.
    pub entry: Entry,
    /// The address at which it serves its replica of the store to other instances.
    pub replica: SocketAddr,
    /// A random number drawn at each start; distinguishes runs under one name.
    pub run: u64,
    /// The processor time available to it, in thousandths of a core.
    #[serde(default)]
    pub millicores: u32,
}

/// The store's entry that asks for a version move of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The service.
    pub service: Service,
    /// The version to move to.
    pub target: Version,
    /// The time from the creation of the order to its deadline.
    pub duration: Duration,
    /// The store's revision of the entry; the next write is conditional on it.
    pub revision: Revision,
    /// The number of the store's revision at which the entry was created.
    pub created_revision: u64,
    /// The recorded progress of this order.
    pub progress: Option<Progress>,
    /// The target and progress of an earlier order, while the entry still records
    /// that one instead of this.
    pub earlier: Option<(Version, Progress)>,
    /// Targets of earlier orders that are recorded as withdrawn.
    pub withdrawn: Vec<Version>,
}

impl Order {
    /// Returns a hash that identifies the order, also among successive orders in one
    /// entry: those share the revision at which the entry was created.
    pub fn identity(&self) -> u64 {
        let target = hash::of(self.target.as_str().as_bytes());
        hash::rank(
            hash::rank(self.created_revision, target),
            self.duration.as_millis() as u64,
        )
    }
}

/// The progress of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Progress {
    /// The version move is in progress.
    Running,
    /// The target gets all requests; the old backend servers may stop.
    Completed,
    /// The target was found faulty and gets no more requests.
    RolledBack,
}

impl Progress {
    /// Returns the progress as text for logs.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Running => "running",
            Self::Completed => "completed",
            Self::RolledBack => "rolled-back",
        }
    }
}

/// A change to the list of backend servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServerChange {
    /// The entry was created or replaced.
    Put(ServerEntry),
    /// The entry was removed.
    Removed(ServerId),
    /// There is an entry under this name which names no server to use, as another writer may
    /// leave it. Whatever was listed under the name at an earlier revision is no longer there.
    Unusable {
        /// The name.
        id: ServerId,
        /// The store's revision of the entry.
        revision: Revision,
    },
}
