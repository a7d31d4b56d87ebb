//! The expected number of requests in flight at one backend server.
//!
//! Load reports are averaged, and trusted less with age and when they contradict
//! this instance's own requests. The untrusted rest is estimated from this
//! instance's requests and the number of instances.

use std::time::Duration;

use corianderway_model::Time;

// Half-life of the trust in a load report.
const REPORT_HALF_LIFE: Duration = Duration::from_secs(2);
// Load reports of this age are ignored.
const REPORT_TTL: Duration = Duration::from_secs(12);
// Gain of the moving average of reports. The load changes faster than reports
// arrive, so only their mean shows what other instances send.
const REPORT_GAIN: f64 = 0.1;
// Half-life of the mean of this instance's own requests.
const OWN_HALF_LIFE: Duration = Duration::from_secs(1);
// Reports are false when their mean is below this share of the mean of this
// instance's own requests.
const MIN_PLAUSIBLE_SHARE: f64 = 0.5;
// With fewer own requests, reports aren't checked.
const MIN_CHECKED_OWN: f64 = 0.5;
// A false report multiplies the credibility by the first number, and any other
// report adds the second one, up to 1.
const CREDIBILITY_LOSS_FACTOR: f64 = 0.5;
const CREDIBILITY_GAIN: f64 = 0.1;

/// The requests in flight at one backend server, from this instance and from
/// others.
#[derive(Clone, Debug)]
pub(crate) struct Load {
    pub(crate) own: u32,
    // Expected from other instances, as of the last refresh.
    pub(crate) others: f64,
    // The same, but with the reported load capped at the slots, so that a
    // backend server that reports too much doesn't use up the room of others.
    pub(crate) capped_others: f64,
    // Weight of the reports against the estimate, 0 to 1.
    pub(crate) trust: f64,
    own_mean: f64,
    // Moving average of reports, which count all instances.
    reported: Option<f64>,
    reported_at: Time,
    // Trust in a fresh report, 0 to 1.
    credibility: f64,
}

impl Load {
    pub(crate) fn new() -> Self {
        Self {
            own: 0,
            others: 0.0,
            capped_others: 0.0,
            trust: 0.0,
            own_mean: 0.0,
            reported: None,
            reported_at: Time::ZERO,
            credibility: 1.0,
        }
    }

    pub(crate) fn total(&self) -> f64 {
        f64::from(self.own) + self.others
    }

    // Records a report of all requests in flight there. The caller limits it to
    // a plausible size.
    pub(crate) fn report(&mut self, total: f64, now: Time) {
        let previous = self.reported.unwrap_or(total);
        let mean = previous + REPORT_GAIN * (total - previous);
        self.reported = Some(mean);
        self.reported_at = now;
        if self.own_mean < MIN_CHECKED_OWN {
            return;
        }
        if mean < self.own_mean * MIN_PLAUSIBLE_SHARE {
            self.credibility *= CREDIBILITY_LOSS_FACTOR;
        } else {
            self.credibility = (self.credibility + CREDIBILITY_GAIN).min(1.0);
        }
    }

    // Raises the mean of reports to at least `total`, on better evidence than a
    // report.
    pub(crate) fn raise_to(&mut self, total: f64, now: Time) {
        self.reported = Some(self.reported.unwrap_or(0.0).max(total));
        self.reported_at = now;
    }

    // Updates the mean of this instance's own requests.
    pub(crate) fn sample_own(&mut self, elapsed: Duration) {
        let retained = decay(elapsed, OWN_HALF_LIFE);
        self.own_mean = f64::from(self.own) + (self.own_mean - f64::from(self.own)) * retained;
    }

    // Updates the expected requests of other instances. As far as reports are
    // not trusted, the others are assumed to send as many as this instance does
    // on average.
    pub(crate) fn refresh(&mut self, instance_count: f64, slots: f64, now: Time) {
        let age = now.since(self.reported_at);
        let freshness = match self.reported {
            Some(_) if age < REPORT_TTL => decay(age, REPORT_HALF_LIFE),
            _ => 0.0,
        };
        self.trust = freshness * self.credibility;
        let reported_others = (self.reported.unwrap_or(0.0) - self.own_mean).max(0.0);
        let estimated = self.own_mean * (instance_count - 1.0);
        let estimated = (1.0 - self.trust) * estimated;
        self.others = self.trust * reported_others + estimated;
        self.capped_others = self.trust * reported_others.min(slots) + estimated;
    }
}

/// Returns the factor of an exponential decay, 1 at age zero.
pub(crate) fn decay(age: Duration, half_life: Duration) -> f64 {
    (-age.as_secs_f64() / half_life.as_secs_f64()).exp2()
}
