//! Shares of a limit as integers.

use std::iter::Sum;
use std::ops::Add;

use serde::Deserialize;
use serde::Serialize;

/// A share of a limit, in parts of 2^32.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Parts(u64);

impl Parts {
    /// No share.
    pub const NONE: Self = Self(0);
    /// The whole limit.
    pub const WHOLE: Self = Self(1 << 32);

    /// Makes a share; more than the whole becomes the whole.
    pub const fn new(parts: u64) -> Self {
        if parts > Self::WHOLE.0 {
            return Self::WHOLE;
        }
        Self(parts)
    }

    /// The share as a number of parts.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// The part that remains after taking another away.
    #[must_use]
    pub const fn less(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// This share of an amount, rounded down.
    pub fn of(self, amount: u64) -> u64 {
        ((u128::from(amount) * u128::from(self.0)) >> 32) as u64
    }

    /// The smallest share that holds `part` of `whole`; everything if `whole` is less.
    pub fn ratio(part: u64, whole: u64) -> Self {
        if part >= whole {
            return Self::WHOLE;
        }
        Self(((u128::from(part) << 32).div_ceil(u128::from(whole))) as u64)
    }

    /// This share times `part` / `whole`, rounded down; unchanged if `part` is not less.
    #[must_use]
    pub fn scale(self, part: u64, whole: u64) -> Self {
        if part >= whole {
            return self;
        }
        Self((u128::from(self.0) * u128::from(part) / u128::from(whole)) as u64)
    }
}

// Saturates at the whole.
impl Add for Parts {
    type Output = Self;

    fn add(self, rhs: Self) -> Self {
        Self::new(self.0.saturating_add(rhs.0))
    }
}

impl Sum for Parts {
    fn sum<I: Iterator<Item = Self>>(iter: I) -> Self {
        iter.fold(Self::NONE, Add::add)
    }
}
