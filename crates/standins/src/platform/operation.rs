//! The operations of the platform stand-in and their replies.

use std::sync::Arc;
use std::time::Duration;

use corianderway_model::Backend;
use corianderway_model::Entry;
use serde_json::Value;

use crate::platform::calls::Calls;
use crate::platform::faults::Faults;
use crate::platform::instances::Instances;
use crate::platform::objects::Object;

/// The precondition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// The object must not exist.
    Absent,
    /// The object must have this version.
    Version(u64),
}

/// A long poll for changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Watch {
    /// The kinds to watch; all kinds if empty.
    pub kinds: Vec<Arc<str>>,
    /// The revision after which changes are returned.
    pub since: u64,
    /// The maximum wait.
    pub wait: Duration,
}

/// An API call.
#[derive(Clone, Debug)]
pub enum Operation {
    /// Reads one object.
    Get(Arc<str>, Arc<str>),
    /// Writes one object.
    Put(Arc<str>, Arc<str>, Option<Condition>, Arc<Value>),
    /// Deletes one object.
    Delete(Arc<str>, Arc<str>, Option<Condition>),
    /// Reads all objects of a kind.
    List(Arc<str>),
    /// Waits for changes.
    Watch(Watch),
    /// Reads the instance list.
    Instances,
    /// Controls the stand-in. Control calls are neither counted nor subject to faults.
    Control(Control),
}

/// A test's control call.
#[derive(Clone, Debug)]
pub enum Control {
    /// Adds an entry instance to the list or replaces it.
    PutEntry(Entry),
    /// Adds a backend server to the list or replaces it.
    PutBackend(Backend),
    /// Removes an entry instance from the list.
    DropEntry(Arc<str>),
    /// Removes a backend server from the list.
    DropBackend(Arc<str>),
    /// Replaces the faults.
    SetFaults(Faults),
    /// Reads the call counts.
    Calls,
    /// Reads all objects.
    Dump,
}

/// The reply to an operation.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// One object.
    Object(Object),
    /// The object does not exist.
    Missing,
    /// The write took effect and made this version.
    Written(u64),
    /// The precondition failed. Holds the current object, if it exists.
    Conflict(Option<Object>),
    /// The write has no precondition.
    Unconditional,
    /// Objects as of a revision.
    Objects(u64, Vec<Object>),
    /// The watch's revision is older than the kept changes, or in the future.
    Gone,
    /// The instance list.
    Instances(Instances),
    /// The call counts.
    Calls(Calls),
    /// The control call took effect.
    Done,
}
