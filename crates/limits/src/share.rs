//! Shares of a limit as fixed-point fractions.

use std::iter::Sum;
use std::ops::Add;

use serde::Deserialize;
use serde::Serialize;

/// A share of a limit, in units of 2^-32 of the whole.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Share(u64);

impl Share {
    /// No share.
    pub const NONE: Self = Self(0);
    /// The whole limit.
    pub const WHOLE: Self = Self(1 << 32);

    /// Creates a share from units of 2^-32, capped at the whole.
    pub const fn new(parts: u64) -> Self {
        if parts > Self::WHOLE.0 {
            return Self::WHOLE;
        }
        Self(parts)
    }

    /// The share in units of 2^-32.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Subtracts `other`, saturating at zero.
    #[must_use]
    pub const fn minus(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// The amount that belongs to this share, rounded down.
    pub fn of(self, amount: u64) -> u64 {
        ((u128::from(amount) * u128::from(self.0)) >> 32) as u64
    }

    /// The smallest share that is at least `numerator / denominator`, capped at
    /// the whole.
    pub fn from_ratio(numerator: u64, denominator: u64) -> Self {
        if numerator >= denominator {
            return Self::WHOLE;
        }
        Self(((u128::from(numerator) << 32).div_ceil(u128::from(denominator))) as u64)
    }

    /// Multiplies by `numerator / denominator`, rounding down. Returns the
    /// share unchanged if the ratio is 1 or more.
    #[must_use]
    pub fn scale(self, numerator: u64, denominator: u64) -> Self {
        if numerator >= denominator {
            return self;
        }
        Self((u128::from(self.0) * u128::from(numerator) / u128::from(denominator)) as u64)
    }
}

// Saturates at the whole.
impl Add for Share {
    type Output = Self;

    fn add(self, rhs: Self) -> Self {
        Self::new(self.0.saturating_add(rhs.0))
    }
}

impl Sum for Share {
    fn sum<I: Iterator<Item = Self>>(iter: I) -> Self {
        iter.fold(Self::NONE, Add::add)
    }
}
