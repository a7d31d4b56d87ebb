//! Plans the duration and the result of each request that runs.

use std::time::Duration;

use corianderway_model::Time;
use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;

use crate::backend::faults::AnswerFault;
use crate::backend::faults::Faults;
use crate::backend::faults::Rule;

/// The factor by which the service time is longer until the server is warm.
const COLD_FACTOR: u32 = 5;

/// How a request ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// It is answered.
    Answer,
    /// It is answered with a server error.
    Fail,
    /// The process crashes.
    Crash,
}

/// The planned duration and result of a request that runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Plan {
    /// The service time.
    pub service_time: Duration,
    /// How it ends.
    pub ending: Ending,
    /// How its answer is truncated or delayed.
    pub cut: AnswerFault,
    /// The pause in a `late` answer or before a `stray` one.
    pub pause: Duration,
}

/// Plans requests from the mean service time, the faults and a seeded random
/// number generator.
#[derive(Debug)]
pub(crate) struct Planner {
    pub(crate) faults: Faults,
    faults_set: Time,
    served: u64,
    mean: Duration,
    rng: SmallRng,
}

impl Planner {
    pub(crate) fn new(mean: Duration, seed: u64) -> Self {
        Self {
            faults: Faults::default(),
            faults_set: Time::ZERO,
            served: 0,
            mean,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Replaces the faults.
    pub(crate) fn set_faults(&mut self, now: Time, faults: Faults) {
        self.faults = faults;
        self.faults_set = now;
        self.served = 0;
    }

    /// Plans a request that runs as the `running`th one at `now`.
    pub(crate) fn plan(&mut self, now: Time, path: &str, running: u32, cold: bool) -> Plan {
        let factor = if cold { COLD_FACTOR } else { 1 };
        let mut service_time = self.mean.mul_f64(self.rng.random_range(0.5..1.5)) * factor;
        let mut ending = Ending::Answer;
        let draw = self.rng.random::<f64>();
        if let Some(rule) = self.find_rule(now, path, running) {
            service_time += Duration::from_millis(rule.slow_ms);
            if draw < rule.fail {
                ending = Ending::Fail;
            }
        }
        self.served += 1;
        let crash = self.faults.crash_path.as_deref();
        if crash.is_some_and(|text| path.contains(text)) {
            ending = Ending::Crash;
        }
        Plan {
            service_time,
            ending,
            cut: self.faults.cut,
            pause: Duration::from_millis(self.faults.late_ms),
        }
    }

    fn find_rule(&self, now: Time, path: &str, running: u32) -> Option<&Rule> {
        let age = now.since(self.faults_set);
        self.faults.rules.iter().find(|rule| {
            let route = rule.route.as_deref();
            route.is_none_or(|text| path.contains(text))
                && running > rule.busy_above
                && self.served >= rule.after_requests
                && age >= Duration::from_millis(rule.after_ms)
        })
    }
}
