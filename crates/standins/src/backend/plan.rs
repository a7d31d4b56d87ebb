//! What becomes of a request that runs.

use std::time::Duration;

use corianderway_model::Time;
use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;

use crate::backend::faults::Cut;
use crate::backend::faults::Faults;
use crate::backend::faults::Rule;

/// The factor on the service time until the server is warm.
const COLD_FACTOR: u32 = 5;

/// How a request is going to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// With an answer.
    Answer,
    /// With a failure.
    Fail,
    /// With the end of the process.
    Crash,
}

/// What becomes of a request that runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Plan {
    /// How long it runs.
    pub span: Duration,
    /// How it ends.
    pub fate: Fate,
    /// How its answer is cut or delayed.
    pub cut: Cut,
    /// The pause of a late answer.
    pub late: Duration,
}

/// Plans requests by the service time, the faults and a seed.
#[derive(Debug)]
pub(crate) struct Planner {
    pub(crate) faults: Faults,
    since: Time,
    served: u64,
    mean: Duration,
    rng: SmallRng,
}

impl Planner {
    pub(crate) fn new(mean: Duration, seed: u64) -> Self {
        Self {
            faults: Faults::default(),
            since: Time::ZERO,
            served: 0,
            mean,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Replaces the faults.
    pub(crate) fn set(&mut self, now: Time, faults: Faults) {
        self.faults = faults;
        self.since = now;
        self.served = 0;
    }

    /// Plans one request.
    pub(crate) fn plan(&mut self, now: Time, path: &str, running: u32, cold: bool) -> Plan {
        let factor = if cold { COLD_FACTOR } else { 1 };
        let mut span = self.mean.mul_f64(self.rng.random_range(0.5..1.5)) * factor;
        let mut fate = Fate::Answer;
        let draw = self.rng.random::<f64>();
        if let Some(rule) = self.rule(now, path, running) {
            span += Duration::from_millis(rule.slow_ms);
            if draw < rule.fail {
                fate = Fate::Fail;
            }
        }
        self.served += 1;
        let crash = self.faults.crash_path.as_deref();
        if crash.is_some_and(|text| path.contains(text)) {
            fate = Fate::Crash;
        }
        Plan {
            span,
            fate,
            cut: self.faults.cut,
            late: Duration::from_millis(self.faults.late_ms),
        }
    }

    fn rule(&self, now: Time, path: &str, running: u32) -> Option<&Rule> {
        let age = now.since(self.since);
        self.faults.rules.iter().find(|rule| {
            let route = rule.route.as_deref();
            route.is_none_or(|text| path.contains(text))
                && running > rule.busy_above
                && self.served >= rule.after_requests
                && age >= Duration::from_millis(rule.after_ms)
        })
    }
}
