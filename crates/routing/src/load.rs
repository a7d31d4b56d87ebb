//! How many requests a backend server is expected to have.

use std::time::Duration;

use corianderway_model::Time;

// A load report this old counts half.
const REPORT_HALF_LIFE: Duration = Duration::from_secs(2);
// A load report this old says nothing.
const REPORT_LIFE: Duration = Duration::from_secs(12);
// One report is a sample of a number that changes faster than reports come,
// so only their mean tells what other instances send.
const REPORT_GAIN: f64 = 0.1;
const OWN_HALF_LIFE: Duration = Duration::from_secs(1);
// A report lies when the mean of reports shows less than this part of the
// mean of the instance's own requests.
const PLAUSIBLE_PART: f64 = 0.5;
// Fewer own requests than this prove nothing.
const JUDGED_OWN: f64 = 0.5;
const LIE_FACTOR: f64 = 0.5;
const TRUTH_GAIN: f64 = 0.1;

/// The requests at one backend server, from this instance and from others.
#[derive(Clone, Debug)]
pub(crate) struct Load {
    pub(crate) own: u32,
    // Expected from other instances; cached until the next refresh.
    pub(crate) others: f64,
    // The same with what reports show held to the slots, so that one that
    // shows too much takes no other backend server's room.
    pub(crate) counted: f64,
    // How far reports are believed, 0 to 1.
    pub(crate) trust: f64,
    own_mean: f64,
    reported: Option<f64>,
    reported_at: Time,
    honesty: f64,
}

impl Load {
    pub(crate) fn new() -> Self {
        Self {
            own: 0,
            others: 0.0,
            counted: 0.0,
            trust: 0.0,
            own_mean: 0.0,
            reported: None,
            reported_at: Time::ZERO,
            honesty: 1.0,
        }
    }

    pub(crate) fn total(&self) -> f64 {
        f64::from(self.own) + self.others
    }

    // Takes a report of all requests there, held to a plausible size.
    pub(crate) fn report(&mut self, total: f64, now: Time) {
        let known = self.reported.unwrap_or(total);
        let mean = known + REPORT_GAIN * (total - known);
        self.reported = Some(mean);
        self.reported_at = now;
        if self.own_mean < JUDGED_OWN {
            return;
        }
        if mean < self.own_mean * PLAUSIBLE_PART {
            self.honesty *= LIE_FACTOR;
        } else {
            self.honesty = (self.honesty + TRUTH_GAIN).min(1.0);
        }
    }

    // Takes the mean to be at least this, on proof better than a report.
    pub(crate) fn raise(&mut self, total: f64, now: Time) {
        self.reported = Some(self.reported.unwrap_or(0.0).max(total));
        self.reported_at = now;
    }

    // Adds a sample of the instance's own requests to their mean.
    pub(crate) fn sample(&mut self, step: Duration) {
        let kept = decay(step, OWN_HALF_LIFE);
        self.own_mean = f64::from(self.own) + (self.own_mean - f64::from(self.own)) * kept;
    }

    // Where reports are not believed, the other instances are taken to send
    // as much as this one does on average.
    pub(crate) fn refresh(&mut self, instances: f64, slots: f64, now: Time) {
        let age = now.since(self.reported_at);
        let fresh = match self.reported {
            Some(_) if age < REPORT_LIFE => decay(age, REPORT_HALF_LIFE),
            _ => 0.0,
        };
        self.trust = fresh * self.honesty;
        let seen = (self.reported.unwrap_or(0.0) - self.own_mean).max(0.0);
        let guessed = self.own_mean * (instances - 1.0);
        let guessed = (1.0 - self.trust) * guessed;
        self.others = self.trust * seen + guessed;
        self.counted = self.trust * seen.min(slots) + guessed;
    }
}

/// What is left of one after some time.
pub(crate) fn decay(age: Duration, half_life: Duration) -> f64 {
    (-age.as_secs_f64() / half_life.as_secs_f64()).exp2()
}
