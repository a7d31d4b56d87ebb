//! The load of a backend server stand-in, as it is and as it was.

use std::collections::VecDeque;
use std::time::Duration;

use corianderway_model::Time;
use serde::Deserialize;
use serde::Serialize;

/// Older readings kept for the lag.
const KEPT_READINGS: usize = 65_536;

/// What the load endpoint answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that run now.
    pub running: u32,
    /// Requests that wait for a slot.
    pub queued: u32,
    /// Requests it runs at once.
    pub slots: u32,
}

/// The readings of the recent past, oldest first.
#[derive(Debug, Default)]
pub(crate) struct Gauge(VecDeque<(Time, Load)>);

impl Gauge {
    /// Records a reading.
    pub(crate) fn record(&mut self, now: Time, load: Load) {
        if self.0.back().is_some_and(|(_, last)| *last == load) {
            return;
        }
        self.0.push_back((now, load));
        if self.0.len() > KEPT_READINGS {
            self.0.pop_front();
        }
    }

    /// The load as it was some time ago.
    pub(crate) fn shown(&self, now: Time, lag: Duration) -> Load {
        let known = self.0.partition_point(|(at, _)| now.since(*at) >= lag);
        let reading = self.0.get(known.saturating_sub(1));
        reading.map(|(_, load)| *load).unwrap_or_default()
    }
}
