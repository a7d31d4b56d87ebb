//! A planned stop: which requests still begin, and when the last ones end.

use std::time::Duration;

use corianderway_model::Time;

use crate::pace::Warmth;
use crate::plan::Route;
use crate::server::millis;
use crate::steer::Steer;

/// The part of the grace in which requests are still taken.
const TAKES: f64 = 0.5;

/// The time before the end of the grace at which every request gets its final
/// answer, so that all are written before the process ends.
const ANSWERS: Duration = Duration::from_millis(500);

/// How much longer than expected a request is given to end within the grace.
const LATE_FACTOR: f64 = 1.5;

impl Steer {
    /// Begins a planned stop: no request outlasts it.
    pub(crate) fn begin_stop(&mut self, now: Time) {
        self.stopping = Some(now);
        self.urgent = true;
        let end = self.stop_end().unwrap_or(now);
        for (_, open) in self.requests.iter_mut() {
            open.deadline = open.deadline.min(end);
        }
    }

    /// The moment at which a stop that has begun ends the last requests.
    pub(crate) fn stop_end(&self) -> Option<Time> {
        let span = self.bounds.grace.saturating_sub(ANSWERS);
        self.stopping.map(|begun| begun + span)
    }

    /// Whether a request may begin: before a stop, or early enough to end in it.
    pub(crate) fn may_begin(&self, now: Time, route: &Route) -> bool {
        let (Some(begun), Some(end)) = (self.stopping, self.stop_end()) else {
            return true;
        };
        let objective = millis(route.objective);
        let paces = &self.fleet.paces;
        let usual = |warmth| paces.usual(&route.name, objective, warmth);
        let work = usual(Warmth::Known).max(usual(Warmth::Unknown)) * LATE_FACTOR;
        let fits = now + Duration::from_secs_f64(work / 1_000.0) <= end;
        fits && now.since(begun) < self.bounds.grace.mul_f64(TAKES)
    }
}
