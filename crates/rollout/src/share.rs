//! Shares of requests, as whole parts per million so that they can be bounded exactly.

use serde::Deserialize;
use serde::Serialize;

/// All requests, in parts per million.
const WHOLE_PPM: u32 = 1_000_000;

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
    pub const ONE: Self = Self(WHOLE_PPM);

    /// Creates a share from parts per million; more than a million counts as all.
    pub const fn from_ppm(ppm: u32) -> Self {
        Self(if ppm < WHOLE_PPM { ppm } else { WHOLE_PPM })
    }

    /// Creates a share from a ratio, which is clamped to the range 0 to 1.
    pub fn from_ratio(ratio: f64) -> Self {
        Self((ratio.clamp(0.0, 1.0) * f64::from(WHOLE_PPM)) as u32)
    }

    /// Returns the share as a ratio from 0 to 1.
    pub fn ratio(self) -> f64 {
        f64::from(self.0) / f64::from(WHOLE_PPM)
    }

    /// Returns the share in parts per million.
    pub const fn ppm(self) -> u32 {
        self.0
    }

    /// Returns twice the share, at most `limit`.
    #[must_use]
    pub fn doubled(self, limit: Self) -> Self {
        Self(self.0.saturating_mul(2)).min(limit)
    }
}

impl From<u32> for Share {
    fn from(ppm: u32) -> Self {
        Self::from_ppm(ppm)
    }
}
