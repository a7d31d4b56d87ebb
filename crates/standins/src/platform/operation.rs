//! What callers ask of the platform stand-in, and what it answers.

use std::sync::Arc;
use std::time::Duration;

use corianderway_model::Backend;
use corianderway_model::Entry;
use serde_json::Value;

use crate::platform::calls::Calls;
use crate::platform::faults::Faults;
use crate::platform::instances::Instances;
use crate::platform::objects::Object;

/// The condition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// The object does not exist.
    Absent,
    /// The object has this version.
    Version(u64),
}

/// A wait for changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Watch {
    /// The kinds of interest; all when empty.
    pub kinds: Vec<Arc<str>>,
    /// The revision that the caller has seen.
    pub since: u64,
    /// The longest wait.
    pub wait: Duration,
}

/// A call.
#[derive(Clone, Debug)]
pub enum Operation {
    /// Reads one object.
    Get(Arc<str>, Arc<str>),
    /// Writes one object.
    Put(Arc<str>, Arc<str>, Option<Condition>, Arc<Value>),
    /// Removes one object.
    Delete(Arc<str>, Arc<str>, Option<Condition>),
    /// Reads all objects of a kind.
    List(Arc<str>),
    /// Waits for changes.
    Watch(Watch),
    /// Reads the instance list.
    Instances,
    /// Controls the stand-in; never counted and never faulty.
    Control(Control),
}

/// A test's control of the stand-in.
#[derive(Clone, Debug)]
pub enum Control {
    /// Puts an entry instance on the list.
    PutEntry(Entry),
    /// Puts a backend server on the list.
    PutBackend(Backend),
    /// Takes an entry instance off the list.
    DropEntry(Arc<str>),
    /// Takes a backend server off the list.
    DropBackend(Arc<str>),
    /// Replaces the faults.
    SetFaults(Faults),
    /// Reads the call counts.
    Calls,
    /// Reads everything that is held.
    Dump,
}

/// An answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// One object.
    Object(Object),
    /// No such object.
    Missing,
    /// A write took effect at this version.
    Written(u64),
    /// The condition does not hold; the object as it is.
    Conflict(Option<Object>),
    /// A write came without a condition.
    Unconditional,
    /// Objects as of a revision.
    Objects(u64, Vec<Object>),
    /// The history does not reach back to the asked revision.
    Gone,
    /// The instance list.
    Instances(Instances),
    /// The call counts.
    Calls(Calls),
    /// Control has been done.
    Done,
}
