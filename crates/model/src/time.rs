//! Points in time as input to decisions, and durations as text.

use std::ops::Add;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// A point in time on the clock of one process, in nanoseconds since the process's own origin.
///
/// Times of two processes can't be compared; only durations are sent between instances.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Time(u64);

impl Time {
    /// The origin.
    pub const ZERO: Self = Self(0);

    /// Returns the time `nanos` nanoseconds after the origin.
    pub const fn from_nanos(nanos: u64) -> Self {
        Self(nanos)
    }

    /// Returns the time `millis` milliseconds after the origin.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000_000)
    }

    /// Returns the number of nanoseconds since the origin.
    pub const fn as_nanos(self) -> u64 {
        self.0
    }

    /// Returns the duration since an earlier time, or zero if that time is not earlier.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_nanos(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        let nanos = u64::try_from(rhs.as_nanos()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(nanos))
    }
}

/// A `serde_with` adapter for a duration as text, such as `2s` or `30m`.
#[derive(Clone, Copy, Debug)]
pub struct DurationText;

impl serde_with::SerializeAs<Duration> for DurationText {
    fn serialize_as<S: serde::Serializer>(
        source: &Duration,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&humantime::format_duration(*source))
    }
}

impl<'de> serde_with::DeserializeAs<'de, Duration> for DurationText {
    fn deserialize_as<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
        let text = String::deserialize(deserializer)?;
        humantime::parse_duration(&text).map_err(|e| {
            let remedy = "write a number with a unit, such as 500ms, 2s or 30m";
            serde::de::Error::custom(format!("{text:?} is not a duration ({e}); {remedy}"))
        })
    }
}
