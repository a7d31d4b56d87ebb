//! What goes into the drain decisions and what comes out.

use corianderway_model::InstanceId;
use serde::Deserialize;
use serde::Serialize;

use crate::capacity::ServerLoad;
use crate::drain::Drain;
use crate::drain::DrainScope;
use crate::drain_chart::DrainTrigger;
use crate::event::Stored;

/// What an instance has in flight at a scope that drains.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainReport {
    /// The scope.
    pub scope: DrainScope,
    /// The instance.
    pub instance: InstanceId,
    /// The platform's version of the record that the instance follows.
    pub seen: u64,
    /// Requests in flight there.
    pub busy: u64,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum DrainEvent {
    /// A record came from the platform or from another instance.
    Record(Stored<Drain>),
    /// The platform took a write of this instance and gave it this version.
    Written(DrainScope, u64),
    /// The platform refused a write, and sent the record as it stands.
    Conflict(DrainScope, Option<Stored<Drain>>),
    /// No answer came to a write or a read.
    Unknown(DrainScope),
    /// A read was answered.
    ReadBack(DrainScope, Option<Stored<Drain>>),
    /// The entry instances that are in service, this one included.
    Live(Vec<InstanceId>),
    /// The load of all backend servers.
    Loads(Vec<ServerLoad>),
    /// Requests that this instance has in flight at a scope, after each change
    /// of its record and as often as they change.
    Busy(DrainScope, u64),
    /// Another instance reported.
    Report(DrainReport),
    /// Time passed.
    Tick,
}

/// What to do.
#[derive(Clone, Debug, PartialEq)]
pub enum DrainAction {
    /// Write the record if the platform still holds this version of it.
    Write {
        /// The record.
        record: Drain,
        /// The version to replace.
        expect: u64,
        /// What brought it about, for the log.
        trigger: DrainTrigger,
    },
    /// Read the record back.
    Read(DrainScope),
    /// Send the report to the other instances.
    Report(DrainReport),
}
