//! A planned stop of the process: which requests are still accepted, and when the
//! last ones end.

use std::time::Duration;

use corianderway_model::Time;

use crate::plan::Route;
use crate::server::millis;
use crate::service_time::Warmth;
use crate::steer::Steer;

/// The fraction of the grace period in which new requests are still accepted.
const ACCEPT_FRACTION: f64 = 0.5;

/// How long after the signal a request is accepted whose time limit exceeds the rest of the
/// grace period, if it usually ends in it. By then callers have learnt of the stop.
const MAX_UNBOUNDED: Duration = Duration::from_millis(2_500);

/// The time between the last final answer and the end of the grace period, so that
/// all answers are written before the process ends.
const ANSWER_MARGIN: Duration = Duration::from_millis(500);

/// The maximum of that margin as a fraction of the grace period.
const ANSWER_MARGIN_FRACTION: f64 = 0.125;

/// The factor on a request's expected duration when deciding whether it ends within
/// the grace period.
const DURATION_FACTOR: f64 = 1.5;

impl Steer {
    /// Begins a planned stop and limits the deadlines of open requests to its end.
    pub(crate) fn begin_stop(&mut self, now: Time) {
        self.stopping = Some(now);
        self.urgent = true;
        let end = self.stop_end().unwrap_or(now);
        for (_, open) in self.requests.iter_mut() {
            open.deadline = open.deadline.min(end);
        }
    }

    /// Returns the time by which the last requests end, if a stop has begun.
    pub(crate) fn stop_end(&self) -> Option<Time> {
        let grace = self.bounds.grace;
        let margin = ANSWER_MARGIN.min(grace.mul_f64(ANSWER_MARGIN_FRACTION));
        self.stopping
            .map(|begun| begun + grace.saturating_sub(margin))
    }

    /// Returns whether a request of the route may begin: either no stop has begun, or
    /// enough of the grace period is left for the request to end in it.
    ///
    /// `time_limit` is how long the caller and the route wait for the answer. A request whose
    /// limit ends in the grace period is never broken off by the stop.
    pub(crate) fn may_begin(&self, now: Time, route: &Route, time_limit: Duration) -> bool {
        let (Some(begun), Some(end)) = (self.stopping, self.stop_end()) else {
            return true;
        };
        let age = now.since(begun);
        if age >= self.bounds.grace.mul_f64(ACCEPT_FRACTION) {
            return false;
        }
        now + time_limit <= end || (age < MAX_UNBOUNDED && self.usually_ends_by(now, end, route))
    }

    fn usually_ends_by(&self, now: Time, end: Time, route: &Route) -> bool {
        let target_latency = millis(route.target_latency);
        let service_times = &self.fleet.service_times;
        let typical = |warmth| service_times.typical(&route.name, target_latency, warmth);
        let work = typical(Warmth::Known).max(typical(Warmth::Unknown)) * DURATION_FACTOR;
        now + Duration::from_secs_f64(work / 1_000.0) <= end
    }
}
