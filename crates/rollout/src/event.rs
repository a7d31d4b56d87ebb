//! The events that a rollout handles, and the actions that it returns.

use corianderway_model::InstanceId;
use corianderway_model::Service;
use corianderway_model::Time;
use corianderway_model::Version;
use serde::Deserialize;
use serde::Serialize;

use crate::evidence::Evidence;
use crate::evidence::Fault;
use crate::move_chart::State;
use crate::move_chart::Trigger;
use crate::record::Move;
use crate::record::MoveKey;
use crate::share::Share;
use crate::tally::Report;

/// A point in time on both clocks of an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Moment {
    /// The monotonic clock of the process.
    pub time: Time,
    /// The wall clock, in milliseconds since the Unix epoch.
    pub wall: u64,
}

/// A record with the version that the platform gave it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Stored<T> {
    /// The record.
    pub value: T,
    /// The platform's version; it increases with each write.
    pub version: u64,
}

/// An instance's notice that it sends no further request to a new version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stop {
    /// The move.
    pub key: MoveKey,
    /// The instance that observed the cause.
    pub instance: InstanceId,
    /// The fault; absent if the deadline has passed.
    pub fault: Option<Fault>,
}

/// An input of [`Rollout::step`](crate::Rollout::step).
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A record was received from the platform or from another instance.
    Record(Stored<Move>),
    /// The platform accepted a write of this instance.
    Written {
        /// The service.
        service: Service,
        /// The record's new version.
        version: u64,
    },
    /// The platform rejected a write, since the record had changed.
    Conflict {
        /// The service.
        service: Service,
        /// The current record; absent if there is none.
        current: Option<Stored<Move>>,
    },
    /// A write or a read got no answer, so its outcome is unknown.
    Unknown {
        /// The service.
        service: Service,
    },
    /// The platform answered a read.
    ReadBack {
        /// The service.
        service: Service,
        /// The current record; absent if there is none.
        current: Option<Stored<Move>>,
    },
    /// The live instances, this one included.
    Live(Vec<InstanceId>),
    /// The share of a service's load that the backend servers of a version can carry.
    Capacity {
        /// The service.
        service: Service,
        /// The version.
        version: Version,
        /// The share; zero if no backend server accepts requests.
        share: Share,
    },
    /// Another instance sent a report.
    Report(Report),
    /// Another instance has stopped a new version.
    Stop(Stop),
    /// Time has passed.
    Tick,
}

/// An output of [`Rollout::step`](crate::Rollout::step).
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Write the record if the platform's version of it is still the expected one.
    Write {
        /// The record.
        record: Move,
        /// The version to replace.
        expect: u64,
    },
    /// Read the record back.
    Read {
        /// The service.
        service: Service,
    },
    /// Send the report to the other instances.
    Report(Report),
    /// Send the stop to the other instances.
    Stop(Stop),
    /// Log a decision.
    Log(Decision),
}

/// A change of a move's record, for the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Decision {
    /// The move.
    pub key: MoveKey,
    /// The event that caused it.
    pub trigger: Trigger,
    /// The new state.
    pub state: State,
    /// The new share.
    pub share: Share,
    /// The evidence for it.
    pub evidence: Evidence,
}
