//! The scheduled time of each request, drawn from a seed.

use std::sync::Arc;
use std::time::Duration;

use corianderway_model::Contract;
use corianderway_model::Replay;
use corianderway_model::Route;
use rand::rngs::StdRng;
use rand::Rng;
use rand::SeedableRng;

use crate::load::scenario::Scenario;

/// The requests of one client account to one route.
#[derive(Clone, Debug)]
pub struct Class {
    /// The client account.
    pub account: Arc<str>,
    /// The value of the Host header.
    pub host: Arc<str>,
    /// The route.
    pub route: Arc<Route>,
    /// The API key that callers send; none on open routes.
    pub key: Option<Arc<str>>,
}

/// Which processes a request is sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Way {
    /// Those of the run's [`Target`](crate::load::Target).
    Tested,
    /// A backend server directly, for comparison.
    Direct,
}

/// One scheduled request.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Its scheduled time, since the start of the schedule.
    pub at: Duration,
    /// The index of its class.
    pub class: usize,
    /// Which processes it is sent to.
    pub way: Way,
    /// A random number for the choice of addresses and the idempotency key; the
    /// same for the same seed.
    pub draw: u64,
    /// Whether it is within the client account's rate and burst.
    pub within: bool,
}

/// All requests of a run, sorted by their scheduled times.
#[derive(Clone, Debug)]
pub struct Schedule {
    /// The classes.
    pub classes: Vec<Class>,
    /// The requests.
    pub arrivals: Vec<Arrival>,
}

// A token bucket on the scheduled times.
struct Bucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    last: Duration,
}

impl Schedule {
    /// Draws the schedule of a scenario; `key` returns the key of a client account.
    pub fn draw(
        scenario: &Scenario,
        contracts: &[Contract],
        seed: u64,
        key: impl Fn(&str) -> Option<Arc<str>>,
    ) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut schedule = Self {
            classes: Vec::new(),
            arrivals: Vec::new(),
        };
        for contract in contracts {
            schedule.add(scenario, contract, &mut rng, &key);
        }
        schedule.arrivals.sort_by_key(|a| a.at);
        schedule
    }

    /// Returns the class of a request.
    pub fn class(&self, arrival: &Arrival) -> &Class {
        &self.classes[arrival.class]
    }

    fn add(
        &mut self,
        scenario: &Scenario,
        contract: &Contract,
        rng: &mut StdRng,
        key: impl Fn(&str) -> Option<Arc<str>>,
    ) {
        let first = self.classes.len();
        let mut weights = Vec::new();
        for weight in &scenario.routes {
            let mut routes = contract.routes.iter();
            if let Some(route) = routes.find(|r| r.name.as_str() == weight.route) {
                self.classes.push(class(contract, route, &key));
                weights.push(weight.weight);
            }
        }
        let total = weights.iter().sum::<f64>();
        let rate = contract.rate * scenario.load_of(contract.account.as_str());
        if total <= 0.0 || rate <= 0.0 {
            return;
        }
        let mut bucket = Bucket::new(contract);
        let mut at = draw_gap(rng, rate);
        while at < scenario.length {
            let arrival = Arrival {
                at,
                class: first + pick_weighted(rng, &weights, total),
                way: Way::Tested,
                draw: rng.random(),
                within: bucket.try_take(at),
            };
            self.arrivals.push(arrival);
            if rng.random_bool(scenario.direct.clamp(0.0, 1.0)) {
                self.arrivals.push(Arrival {
                    way: Way::Direct,
                    ..arrival
                });
            }
            at += draw_gap(rng, rate);
        }
    }
}

impl Bucket {
    fn new(contract: &Contract) -> Self {
        Self {
            rate: contract.rate,
            burst: contract.burst,
            tokens: contract.burst,
            last: Duration::ZERO,
        }
    }

    fn try_take(&mut self, at: Duration) -> bool {
        let gained = self.rate * at.saturating_sub(self.last).as_secs_f64();
        self.tokens = (self.tokens + gained).min(self.burst);
        self.last = at;
        let within = self.tokens >= 1.0;
        if within {
            self.tokens -= 1.0;
        }
        within
    }
}

fn class(contract: &Contract, route: &Arc<Route>, key: impl Fn(&str) -> Option<Arc<str>>) -> Class {
    let keyed = route.access == corianderway_model::Access::Keyed;
    let account = contract.account.as_str();
    Class {
        account: account.into(),
        host: contract.hosts[0].clone(),
        route: route.clone(),
        key: keyed.then(|| key(account)).flatten(),
    }
}

// Draws the time between two requests of a Poisson process.
fn draw_gap(rng: &mut StdRng, rate: f64) -> Duration {
    let draw = rng.random::<f64>();
    Duration::from_secs_f64(-(1.0 - draw).ln() / rate)
}

fn pick_weighted(rng: &mut StdRng, weights: &[f64], total: f64) -> usize {
    let mut left = rng.random_range(0.0..total);
    for (at, weight) in weights.iter().enumerate() {
        if left < *weight {
            return at;
        }
        left -= weight;
    }
    weights.len() - 1
}

impl Class {
    /// Returns whether the route runs a request at most once.
    pub fn once(&self) -> bool {
        self.route.replay != Replay::Idempotent
    }
}
