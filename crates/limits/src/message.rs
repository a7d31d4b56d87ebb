//! What instances tell each other, and what the platform holds.

use std::time::Duration;

use corianderway_model::InstanceId;
use serde::Deserialize;
use serde::Serialize;

use crate::bucket::Tokens;
use crate::epoch::Epoch;
use crate::limit::Limit;
use crate::parts::Parts;

/// An epoch together with the platform's version of its object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stored {
    /// The version that the next conditional write must name.
    pub version: u64,
    /// The epoch.
    pub epoch: Epoch,
}

/// A message between two runs of instances.
///
/// The receiver drops what is addressed to another run, so a process that is
/// restarted on the same address never takes a message of the one before.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender.
    pub from: InstanceId,
    /// The receiver.
    pub to: InstanceId,
    /// What is said.
    pub body: Body,
}

/// What a message says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Body {
    /// Asks whether an epoch is current.
    Query(Query),
    /// Answers a query.
    Vouch(Vouch),
    /// Asks for a promise before a new epoch is written.
    Prepare(Query),
    /// Gives the promise.
    Promise(Query),
    /// Gives a promise back: its proposal is not written and never will be.
    Withdraw(Query),
    /// Asks for loans, or renews them.
    Ask(Vec<Ask>),
    /// Grants loans.
    Grant(Vec<Grant>),
    /// Gives loans back.
    Release(Vec<Release>),
}

/// A question about an epoch, or the promise to vouch for it no longer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Query {
    /// Repeated in the answer.
    pub nonce: u64,
    /// The epoch that the sender knows; 0 if none.
    pub number: u64,
}

/// What an instance knows of the current epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vouch {
    /// The nonce of the query.
    pub nonce: u64,
    /// The newest epoch that the sender knows; 0 if none.
    pub number: u64,
    /// Whether the sender promised to vouch for it no longer.
    pub promised: bool,
    /// The age of the newest evidence from the platform that it is current.
    pub platform: Option<Duration>,
    /// The age of the newest evidence from a majority of its members.
    pub majority: Option<Duration>,
    /// The epoch itself, if it is newer than the one in the query.
    pub newer: Option<Stored>,
}

/// Asks a home of a limit for a loan that replaces the one before.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// The limit.
    pub limit: Limit,
    /// Rises with each ask of the sender.
    pub seq: u64,
    /// The grant that the sender holds; 0 if none. Those before it are spent.
    pub have: u64,
    /// The share that the sender wants from this home.
    pub want: Parts,
}

/// Grants a loan; the lender has deducted share and tokens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The limit.
    pub limit: Limit,
    /// The ask that it answers.
    pub seq: u64,
    /// The share, in place of the loan before.
    pub parts: Parts,
    /// Tokens that move with an increase of the share.
    pub tokens: Tokens,
    /// How long the loan lasts, counted by the borrower from its ask.
    pub term: Duration,
}

/// Gives a loan back before its term ends, or what a smaller one replaced.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The limit.
    pub limit: Limit,
    /// The borrower holds no grant up to this ask and takes none any more.
    pub seq: u64,
}
