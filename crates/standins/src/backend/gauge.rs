//! The load of a backend server stand-in and its recent values, for reports with a lag.

use std::collections::VecDeque;
use std::time::Duration;

use corianderway_model::Time;
use serde::Deserialize;
use serde::Serialize;

/// The number of readings that are kept.
const MAX_READINGS: usize = 65_536;

/// The load of a backend server, as the load endpoint reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The number of running requests.
    pub running: u32,
    /// The number of requests that wait for a slot.
    pub queued: u32,
    /// The maximum number of running requests.
    pub slots: u32,
}

/// The recent readings with the time of each, oldest first.
#[derive(Debug, Default)]
pub(crate) struct LoadHistory(VecDeque<(Time, Load)>);

impl LoadHistory {
    /// Adds a reading unless it equals the last one.
    pub(crate) fn record(&mut self, now: Time, load: Load) {
        if self.0.back().is_some_and(|(_, last)| *last == load) {
            return;
        }
        self.0.push_back((now, load));
        if self.0.len() > MAX_READINGS {
            self.0.pop_front();
        }
    }

    /// Returns the load as of `lag` before `now`, or the oldest reading that is kept.
    pub(crate) fn as_of(&self, now: Time, lag: Duration) -> Load {
        let known = self.0.partition_point(|(at, _)| now.since(*at) >= lag);
        let reading = self.0.get(known.saturating_sub(1));
        reading.map(|(_, load)| *load).unwrap_or_default()
    }
}
