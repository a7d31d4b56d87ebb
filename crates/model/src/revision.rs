//! Revisions of the platform's store, across its returns from older copies.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// How often the store came back from an older copy.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Era(u32);

/// A revision of the store.
///
/// The store gives out numbers again after it came back from an older copy, so revisions are
/// ordered by era first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision {
    /// The era in which the store gave out the number.
    pub era: Era,
    /// The number.
    pub number: u64,
}

impl Era {
    /// The era of a store that never came back from an older copy, or that doesn't tell.
    pub const FIRST: Self = Self(0);

    /// Returns the era with a number.
    pub const fn new(number: u32) -> Self {
        Self(number)
    }

    /// Returns the era's number.
    pub const fn number(self) -> u32 {
        self.0
    }

    /// Returns true if the store never came back from an older copy.
    // By reference, as `serde` calls it.
    pub fn is_first(&self) -> bool {
        *self == Self::FIRST
    }
}

impl Revision {
    /// Returns the revision with a number in an era.
    pub const fn new(era: Era, number: u64) -> Self {
        Self { era, number }
    }

    /// Returns the revision after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self::new(self.era, self.number + 1)
    }
}

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if !self.era.is_first() {
            write!(f, "{}/", self.era)?;
        }
        write!(f, "{}", self.number)
    }
}
