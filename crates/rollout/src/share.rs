//! Shares of traffic, counted in whole parts so that they can be bounded exactly.

use serde::Deserialize;
use serde::Serialize;

/// The parts of a whole.
const PARTS: u32 = 1_000_000;

/// A share of requests, in parts per million.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(from = "u32")]
pub struct Share(u32);

impl Share {
    /// No request.
    pub const ZERO: Self = Self(0);
    /// Every request.
    pub const ONE: Self = Self(PARTS);

    /// Makes a share from parts per million, at most the whole.
    pub const fn from_parts(parts: u32) -> Self {
        Self(if parts < PARTS { parts } else { PARTS })
    }

    /// Makes a share from a ratio, cut to the range 0 to 1.
    pub fn from_ratio(ratio: f64) -> Self {
        Self((ratio.clamp(0.0, 1.0) * f64::from(PARTS)) as u32)
    }

    /// The share as a ratio from 0 to 1.
    pub fn ratio(self) -> f64 {
        f64::from(self.0) / f64::from(PARTS)
    }

    /// The share in parts per million.
    pub const fn parts(self) -> u32 {
        self.0
    }

    /// Twice the share, at most `limit`.
    #[must_use]
    pub fn doubled(self, limit: Self) -> Self {
        Self(self.0.saturating_mul(2)).min(limit)
    }
}

impl From<u32> for Share {
    fn from(parts: u32) -> Self {
        Self::from_parts(parts)
    }
}
