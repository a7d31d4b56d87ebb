//! Messages between instances, and the stored form of the epoch.

use std::time::Duration;

use corianderway_model::InstanceId;
use serde::Deserialize;
use serde::Serialize;

use crate::bucket::Tokens;
use crate::epoch::Epoch;
use crate::limit::Limit;
use crate::share::Share;

/// An epoch and the platform's version of its object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredEpoch {
    /// The version that the next conditional write must expect.
    pub version: u64,
    /// The epoch.
    pub epoch: Epoch,
}

/// A message between two runs of instances.
///
/// A receiver drops messages addressed to another run, so a process that is
/// restarted on the same address never handles a message to its predecessor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender.
    pub from: InstanceId,
    /// The receiver.
    pub to: InstanceId,
    /// The content.
    pub body: Body,
}

/// The content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Body {
    /// Asks whether an epoch is current.
    Query(Query),
    /// Answers a query.
    Vouch(Vouch),
    /// Requests a promise before a new epoch is written.
    Prepare(Query),
    /// Gives the promise.
    Promise(Query),
    /// Releases the receiver from a promise, because the proposal was not
    /// written and never will be.
    Withdraw(Query),
    /// Requests or renews loans.
    Ask(Vec<Ask>),
    /// Grants loans.
    Grant(Vec<Grant>),
    /// Returns loans.
    Release(Vec<Release>),
}

/// A query for an epoch, or the promise not to vouch for it any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Query {
    /// Identifies the query or the proposal; repeated in the answer.
    pub nonce: u64,
    /// The epoch that the sender knows; 0 if none.
    pub number: u64,
}

/// What an instance knows about the current epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vouch {
    /// The nonce of the query.
    pub nonce: u64,
    /// The newest epoch that the sender knows; 0 if none.
    pub number: u64,
    /// Whether the sender has promised not to vouch for it any more.
    pub promised: bool,
    /// The age of the newest evidence from the platform that it is current.
    pub platform: Option<Duration>,
    /// The age of the newest evidence from a majority of its members.
    pub majority: Option<Duration>,
    /// The epoch itself, if it is newer than the one in the query.
    pub newer: Option<StoredEpoch>,
}

/// Asks an owner of a limit for a loan that replaces the previous one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// The limit.
    pub limit: Limit,
    /// Increases with each ask of the sender.
    pub seq: u64,
    /// The grant that the sender holds; 0 if none. It no longer holds earlier
    /// ones.
    pub have: u64,
    /// The share that the sender wants from this owner.
    pub want: Share,
}

/// Grants a loan. The lender has already deducted the share and the tokens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The limit.
    pub limit: Limit,
    /// The ask that this answers.
    pub seq: u64,
    /// The granted share, which replaces that of the previous loan.
    pub parts: Share,
    /// The tokens that belong to an increase of the share.
    pub tokens: Tokens,
    /// The duration of the loan, which the borrower counts from its ask.
    pub term: Duration,
}

/// Returns a loan before it expires, or the excess of a loan that a smaller one
/// replaced.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The limit.
    pub limit: Limit,
    /// The borrower holds no grant for this ask or an earlier one, and will
    /// accept none.
    pub seq: u64,
}
