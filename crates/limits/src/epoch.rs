//! The membership epoch: who owns which floor of each limit.

use corianderway_model::InstanceId;
use serde::Deserialize;
use serde::Serialize;

/// The most members that own a floor of one limit.
pub const HOMES: usize = 16;

/// A membership epoch, as the platform holds it.
///
/// The floors of a limit belong to its homes: at most [`HOMES`] members, found
/// by rendezvous hashing. An instance that is no home borrows from the homes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Epoch {
    number: u64,
    basis: Basis,
    // Sorted.
    members: Vec<InstanceId>,
}

/// Why an epoch could be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Basis {
    /// A majority of the epoch before promised to vouch for it no longer.
    Promised,
    /// No majority answered; the epoch before may live on for the longest
    /// outage of the platform.
    Forced,
    /// There was no epoch before, or an operator confirmed that none of its
    /// members runs.
    Confirmed,
}

impl Epoch {
    /// Makes an epoch; members are sorted and repeats dropped.
    pub fn new(number: u64, basis: Basis, members: impl IntoIterator<Item = InstanceId>) -> Self {
        let mut members: Vec<_> = members.into_iter().collect();
        members.sort();
        members.dedup();
        Self {
            number,
            basis,
            members,
        }
    }

    /// The number, one above the epoch before.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Why it could be written.
    pub fn basis(&self) -> Basis {
        self.basis
    }

    /// The members, sorted.
    pub fn members(&self) -> &[InstanceId] {
        &self.members
    }

    /// Whether an instance is a member.
    pub fn has(&self, id: &InstanceId) -> bool {
        self.members.binary_search(id).is_ok()
    }

    /// The number of members that make a majority.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }
}
