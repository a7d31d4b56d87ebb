//! What goes into the rollout decisions and what comes out.

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

/// The time on both clocks of an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Moment {
    /// The clock of the process.
    pub time: Time,
    /// The wall clock, in milliseconds since the Unix epoch.
    pub wall: u64,
}

/// A record with the version that the platform gave it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Stored<T> {
    /// The record.
    pub value: T,
    /// The platform's version; it only goes up.
    pub version: u64,
}

/// An instance's notice that it sends nothing more to a new version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stop {
    /// The move.
    pub key: MoveKey,
    /// The instance that saw the cause.
    pub instance: InstanceId,
    /// The fault; absent if the deadline passed.
    pub fault: Option<Fault>,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A record came from the platform or from another instance.
    Record(Stored<Move>),
    /// The platform took a write of this instance.
    Written {
        /// The service.
        service: Service,
        /// The version it gave the record.
        version: u64,
    },
    /// The platform refused a write, since the record had changed.
    Conflict {
        /// The service.
        service: Service,
        /// The record as it stands; absent if there is none.
        current: Option<Stored<Move>>,
    },
    /// No answer came to a write or a read.
    Unknown {
        /// The service.
        service: Service,
    },
    /// A read was answered.
    ReadBack {
        /// The service.
        service: Service,
        /// The record as it stands; absent if there is none.
        current: Option<Stored<Move>>,
    },
    /// The entry instances that are in service, this one included.
    Live(Vec<InstanceId>),
    /// The share of a service's load that the servers of a version can carry.
    Room {
        /// The service.
        service: Service,
        /// The version.
        version: Version,
        /// The share; zero if no server takes requests.
        share: Share,
    },
    /// Another instance reported.
    Report(Report),
    /// Another instance stopped a new version.
    Stop(Stop),
    /// Time passed.
    Tick,
}

/// What to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Write the record if the platform still holds this version of it.
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
    /// Tell the other instances.
    Stop(Stop),
    /// Log a decision.
    Log(Decision),
}

/// A decision for the log, and why it was taken.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Decision {
    /// The move.
    pub key: MoveKey,
    /// What brought it about.
    pub trigger: Trigger,
    /// The state that follows.
    pub state: State,
    /// The share that follows.
    pub share: Share,
    /// What was seen.
    pub evidence: Evidence,
}
