//! The membership epoch, which determines the owners of each limit.

use corianderway_model::InstanceId;
use serde::Deserialize;
use serde::Serialize;

/// The maximum number of members that own a floor of one limit.
pub const MAX_OWNERS: usize = 16;

/// A membership epoch, as the platform stores it.
///
/// The floors of a limit belong to its owners: at most [`MAX_OWNERS`] members,
/// selected by rendezvous hashing. Other instances borrow from the owners.
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
    /// A majority of the previous epoch's members promised not to vouch for it
    /// any more.
    Promised,
    /// No majority answered. Members of the previous epoch may continue to use
    /// it for up to the maximum platform outage.
    Forced,
    /// There was no previous epoch, or an operator confirmed that none of its
    /// members runs.
    Confirmed,
}

impl Epoch {
    /// Creates an epoch. Sorts the members and drops duplicates.
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

    /// The number, one more than the previous epoch's.
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
    pub fn contains(&self, id: &InstanceId) -> bool {
        self.members.binary_search(id).is_ok()
    }

    /// The number of members that form a majority.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }
}
