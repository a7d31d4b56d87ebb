//! The events that a duty decides on and the actions that follow.

use std::net::SocketAddr;
use std::time::Duration;

use corianderway_model::Time;

use crate::book::Attempt;
use crate::message::Message;
use crate::message::Peer;
use crate::note::Note;
use crate::record::Found;
use crate::record::Record;
use crate::record::Report;
use crate::record::Version;

/// The time of an event, on two clocks.
#[derive(Clone, Copy, Debug)]
pub struct Moment {
    /// The time on a clock that only rises and counts suspension.
    pub now: Time,
    /// The wall-clock time, in milliseconds since the Unix epoch.
    pub wall_ms: u64,
}

/// The terms of the duty, from the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Terms {
    /// How long a holder may act after a renewal.
    pub lease: Duration,
    /// The length of a window.
    pub window: Duration,
    /// How long after its end a window's report is due.
    pub due: Duration,
    /// The minimum time between two calls.
    pub pace: Duration,
}

/// An input to [`Duty::step`](crate::Duty::step).
#[derive(Clone, Debug)]
pub enum Event {
    /// Attempts at this instance began, or turned out not to have run.
    Counted(Vec<Attempt>),
    /// The complete list of the other instances.
    Peers(Vec<Peer>),
    /// A message from another instance arrived.
    Message(Message),
    /// The object was read.
    Read(Found),
    /// The store gave no usable answer to a read.
    ReadFailed,
    /// A write was acknowledged; the object has this version now.
    Written(Version),
    /// A write was rejected, since the object had another version.
    Conflict(Found),
    /// The store gave no usable answer to a write, which may still be executed.
    WriteFailed,
    /// The report on a window was accepted.
    Accepted(u64),
    /// The report on a window was rejected for good, with this status.
    Rejected(u64, u16),
    /// The report on a window was not answered, or must be repeated later.
    Unanswered(u64),
    /// Time passed.
    Tick,
}

/// An output of [`Duty::step`](crate::Duty::step), for the process to perform.
#[derive(Clone, Debug)]
pub enum Action {
    /// Read the object.
    Read,
    /// Write the object if its revision is unchanged, or create it if that is 0.
    Write(Box<Record>, u64),
    /// Send a report.
    Send {
        /// The report.
        report: Report,
        /// The fencing token.
        token: u64,
        /// The time on the rising clock from which nothing may be sent any more.
        until: Time,
    },
    /// Send a message to another instance.
    Tell(SocketAddr, Message),
    /// Write a log line.
    Log(Note),
}
