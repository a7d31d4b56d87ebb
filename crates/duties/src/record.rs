//! The object that holds the lease of a duty and the state that a successor needs.

use corianderway_model::Account;
use corianderway_model::InstanceId;
use serde::Deserialize;
use serde::Serialize;

use crate::book::Entry;

/// A version of the object: the era of the store and its revision, 0 if there is no object.
///
/// Revisions of two eras can't be compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// The era.
    #[serde(rename = "e", default)]
    pub era: u64,
    /// The revision within the era.
    #[serde(rename = "r")]
    pub revision: u64,
}

/// The contents of the object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The holder.
    pub holder: InstanceId,
    /// The run of the holder.
    pub run: u64,
    /// The fencing token of the holder.
    pub token: u64,
    /// The number of the write under this token, so that each write is a change.
    pub beat: u64,
    /// The latest window that needs no report any more, nor do those before it.
    pub settled: u64,
    /// The frozen reports after it.
    pub frozen: Vec<Report>,
    /// The holder's own counts of windows that aren't frozen, as of version `through`.
    pub entries: Vec<Entry>,
    /// The version up to which the entries are complete.
    pub through: u64,
}

/// The report on one window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The window.
    pub window: u64,
    /// The attempts that began to run, by account, in the order of the accounts' names.
    pub counts: Vec<(Account, u64)>,
}

/// The object as the store returned it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Found {
    /// Its version.
    pub version: Version,
    /// Its contents, if there are any that can be read.
    pub record: Option<Record>,
}
