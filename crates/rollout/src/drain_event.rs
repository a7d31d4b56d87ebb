//! The events that drains handle, and the actions that they return.

use corianderway_model::InstanceId;
use serde::Deserialize;
use serde::Serialize;

use crate::capacity::ServerLoad;
use crate::drain::Drain;
use crate::drain::DrainScope;
use crate::drain_chart::DrainTrigger;
use crate::event::Stored;

/// The requests of one instance in flight at a scope that drains.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainReport {
    /// The scope.
    pub scope: DrainScope,
    /// The instance.
    pub instance: InstanceId,
    /// The platform's version of the latest record that the instance has applied.
    pub seen: u64,
    /// Requests in flight at the scope.
    pub busy: u64,
}

/// An input of [`Drains::step`](crate::Drains::step).
#[derive(Clone, Debug, PartialEq)]
pub enum DrainEvent {
    /// A record was received from the platform or from another instance.
    Record(Stored<Drain>),
    /// The platform accepted a write of this instance; the record has this version.
    Written(DrainScope, u64),
    /// The platform rejected a write, since the record had changed; with the current
    /// record, if there is one.
    Conflict(DrainScope, Option<Stored<Drain>>),
    /// A write or a read got no answer, so its outcome is unknown.
    Unknown(DrainScope),
    /// The platform answered a read, with the current record if there is one.
    ReadBack(DrainScope, Option<Stored<Drain>>),
    /// The live instances, this one included.
    Live(Vec<InstanceId>),
    /// The load of all backend servers.
    Loads(Vec<ServerLoad>),
    /// This instance's requests in flight at a scope. Sent after each change of the
    /// scope's record, and at each change of the number.
    Busy(DrainScope, u64),
    /// Another instance sent a report.
    Report(DrainReport),
    /// Time has passed.
    Tick,
}

/// An output of [`Drains::step`](crate::Drains::step).
#[derive(Clone, Debug, PartialEq)]
pub enum DrainAction {
    /// Write the record if the platform's version of it is still the expected one.
    Write {
        /// The record.
        record: Drain,
        /// The version to replace.
        expect: u64,
        /// The event that caused it, for the log.
        trigger: DrainTrigger,
    },
    /// Read the record back.
    Read(DrainScope),
    /// Send the report to the other instances.
    Report(DrainReport),
}
