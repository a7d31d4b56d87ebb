//! What the platform lists: backend servers, instances, moves to new versions.

use std::net::SocketAddr;
use std::time::Duration;

use corianderway_model::Backend;
use corianderway_model::Entry;
use corianderway_model::ServerId;
use corianderway_model::Service;
use corianderway_model::Version;
use serde::Deserialize;
use serde::Serialize;

use crate::hash;

/// A backend server as its entry in the platform's store describes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
    /// The backend server.
    pub backend: Backend,
    /// When this run of it began, by its own wall clock, in milliseconds
    /// since the Unix epoch; tells two runs under one identity apart.
    pub born: u64,
    /// The number of its report within this run.
    pub report: u64,
    /// The store's revision of the entry; the wall clock of a server may be set back.
    pub revision: u64,
    /// How much longer it stays cold, counted from the report.
    pub cold_left: Duration,
}

/// An instance as its entry in the platform's store describes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The instance.
    pub entry: Entry,
    /// Where it serves its copy of the store to other instances.
    pub replica: SocketAddr,
    /// Drawn at each start; tells two runs under one name apart.
    pub run: u64,
    /// Thousandths of a processor core that it has.
    #[serde(default)]
    pub millicores: u32,
}

/// An operator's order to move a service to another version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The service.
    pub service: Service,
    /// The version that is to take over.
    pub target: Version,
    /// The time from the order to its deadline.
    pub span: Duration,
    /// The store's revision of the entry, the condition of the next write.
    pub revision: u64,
    /// The store's revision at which the entry was made.
    pub created: u64,
    /// What the entry says of its progress.
    pub progress: Option<Progress>,
    /// What the entry says of an earlier order, until it says something of this one.
    pub earlier: Option<(Version, Progress)>,
    /// Targets of earlier orders that the entry knows to be withdrawn.
    pub withdrawn: Vec<Version>,
}

impl Order {
    /// Tells the order apart from others, also from an earlier one in the same
    /// entry, which keeps the revision at which it was made.
    pub fn identity(&self) -> u64 {
        let target = hash::of(self.target.as_str().as_bytes());
        hash::rank(
            hash::rank(self.created, target),
            self.span.as_millis() as u64,
        )
    }
}

/// How far an order has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Progress {
    /// The move is under way.
    Running,
    /// The target has taken over; the old backend servers stop.
    Completed,
    /// The target was found bad and gets nothing any more.
    RolledBack,
}

impl Progress {
    /// The progress as text for logs.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Running => "running",
            Self::Completed => "completed",
            Self::RolledBack => "rolled-back",
        }
    }
}

/// A change of the list of backend servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServerChange {
    /// The entry is there, with these contents.
    Put(Listed),
    /// The entry is no longer there.
    Removed(ServerId),
}
