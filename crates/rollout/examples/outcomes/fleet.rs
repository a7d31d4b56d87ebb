//! A simulated fleet: some instances and a platform, on one logical clock.

#[path = "measure.rs"]
mod measure;
#[path = "platform.rs"]
mod platform;

use std::collections::BTreeMap;
use std::time::Duration;

use corianderway_model::InstanceId;
use corianderway_model::RouteName;
use corianderway_model::Time;
use corianderway_model::Version;
use corianderway_model::VersionPolicy;
use corianderway_rollout::Action;
use corianderway_rollout::Event;
use corianderway_rollout::Moment;
use corianderway_rollout::Move;
use corianderway_rollout::Outcome;
use corianderway_rollout::Plan;
use corianderway_rollout::Rollout;
use corianderway_rollout::Share;
use corianderway_rollout::State;
use corianderway_rollout::Stored;
use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;

use crate::traffic;
use crate::traffic::Profile;
use crate::traffic::RequestContext;

pub use self::measure::Faults;
pub use self::measure::Run;
pub use self::measure::Size;

/// The step of the logical clock.
pub const TICK: Duration = Duration::from_millis(100);
/// The latency of a message between instances, in ticks.
const MESSAGE_TICKS: u64 = 1;
/// The latency of a call to the platform, and that of its answer, in ticks.
const CALL_TICKS: u64 = 1;
/// The margin of the contract.
pub const MARGIN: f64 = 0.05;
/// The share of the contract.
pub const SHARE: f64 = 0.05;

/// The state of one run.
pub struct Fleet {
    size: Size,
    profile: Profile,
    rng: SmallRng,
    tick: u64,
    rollouts: Vec<Rollout>,
    routes: Vec<RouteName>,
    live: Vec<InstanceId>,
    dead: Vec<bool>,
    faults: Faults,
    stored: Stored<Move>,
    history: Vec<Stored<Move>>,
    // Deliveries by the tick at which they are due.
    due: BTreeMap<u64, Vec<Delivery>>,
    // Requests a second at the new version, with exponential decay.
    recent_load: f64,
    // The ticks of the first request at the new version, of the first that the fault
    // has affected, and of the first stop.
    first_new: Option<u64>,
    first_exposed: Option<u64>,
    first_stop: Option<u64>,
    run: Run,
}

enum Delivery {
    Event(usize, Box<Event>),
    End(usize, usize, Version, Outcome),
    Write(usize, Box<Move>, u64),
    Read(usize),
}

impl Fleet {
    pub fn new(profile: Profile, size: Size, seed: u64) -> Self {
        let plan = Plan {
            service: "finder".try_into().unwrap(),
            from: "v1".try_into().unwrap(),
            to: "v2".try_into().unwrap(),
            wall: 0,
            policy: VersionPolicy {
                share: SHARE,
                deadline: size.deadline,
                margin: MARGIN,
            },
            who: "operator".into(),
        };
        let stored = Stored {
            value: Move::try_from(plan).unwrap(),
            version: 1,
        };
        let ids: Vec<InstanceId> = (0..size.instances)
            .map(|i| format!("entry-{i}").try_into().unwrap())
            .collect();
        let mut fleet = Self {
            size,
            profile,
            rng: SmallRng::seed_from_u64(seed),
            tick: 0,
            rollouts: Vec::new(),
            routes: traffic::ROUTES
                .map(|(name, _)| name.try_into().unwrap())
                .to_vec(),
            live: ids.clone(),
            dead: vec![false; ids.len()],
            faults: Faults::default(),
            stored: stored.clone(),
            history: vec![stored.clone()],
            due: BTreeMap::new(),
            recent_load: 0.0,
            first_new: None,
            first_exposed: None,
            first_stop: None,
            run: Run::default(),
        };
        for id in &ids {
            fleet.rollouts.push(Rollout::new(id.clone()).unwrap());
        }
        for instance in 0..ids.len() {
            fleet.step(instance, Event::Live(ids.clone()));
            fleet.step(instance, Event::Record(stored.clone()));
            let capacity = Event::Capacity {
                service: stored.value.service.clone(),
                version: stored.value.to.clone(),
                share: Share::ONE,
            };
            fleet.step(instance, capacity);
        }
        fleet
    }

    /// Adds faults.
    #[must_use]
    pub fn with_faults(mut self, faults: Faults) -> Self {
        self.faults = faults;
        if self.faults.all_write {
            for (instance, own) in self.live.clone().into_iter().enumerate() {
                self.step(instance, Event::Live(vec![own]));
            }
        }
        self
    }

    /// Returns every revision that the platform has stored.
    pub fn history(&self) -> &[Stored<Move>] {
        &self.history
    }

    /// Returns the share that each live instance sends to the new version.
    pub fn shares(&self) -> Vec<Share> {
        let service = &self.stored.value.service;
        let alive = self
            .rollouts
            .iter()
            .zip(&self.dead)
            .filter(|(_, dead)| !**dead);
        let share = |rollout: &Rollout| rollout.snapshot(service).map(|s| s.share);
        alive.filter_map(|(rollout, _)| share(rollout)).collect()
    }

    /// Returns the seconds since the start.
    pub fn secs(&self) -> f64 {
        self.tick as f64 * TICK.as_secs_f64()
    }

    /// Returns whether the move has ended, or has lasted twice the time to its deadline.
    pub fn is_over(&self) -> bool {
        self.stored.value.is_over() || self.secs() > 2.0 * self.size.deadline.as_secs_f64()
    }

    /// Runs until [`is_over`](Self::is_over) and returns the results.
    pub fn run(mut self) -> Run {
        while !self.is_over() {
            self.advance();
            let largest = self.shares().into_iter().max().unwrap_or(Share::ZERO);
            self.run.max_share = self.run.max_share.max(largest.ratio());
        }
        self.run.revisions = self.history().len();
        self.run.finished = self.stored.value.state == State::Done;
        self.run.withdrawn = self.stored.value.state == State::Withdrawn;
        self.run.secs = self.secs();
        if let (Some(shown), Some(stopped)) = (self.first_exposed, self.first_stop) {
            let ticks = stopped.saturating_sub(shown);
            self.run.reaction = ticks as f64 * TICK.as_secs_f64();
        }
        self.run
    }

    /// Advances the clock by one tick.
    pub fn advance(&mut self) {
        self.tick += 1;
        for delivery in self.due.remove(&self.tick).unwrap_or_default() {
            self.deliver(delivery);
        }
        // The requests of a dead instance go to the others.
        let alive: Vec<usize> = (0..self.rollouts.len())
            .filter(|n| !self.dead[*n])
            .collect();
        let mean = self.size.rate / alive.len() as f64 * TICK.as_secs_f64();
        for instance in alive {
            for _ in 0..traffic::arrivals(&mut self.rng, mean) {
                self.request(instance);
            }
            self.step(instance, Event::Tick);
        }
        self.recent_load *= 1.0 - TICK.as_secs_f64();
    }

    fn request(&mut self, instance: usize) {
        let service = self.stored.value.service.clone();
        let draw = self.rng.random();
        let version = self.rollouts[instance].choose(&service, draw).unwrap();
        let new = version == self.stored.value.to;
        if new {
            self.recent_load += 1.0;
            self.first_new.get_or_insert(self.tick);
        }
        let age = self.tick - self.first_new.unwrap_or(self.tick);
        let context = RequestContext {
            new,
            route: traffic::route(&mut self.rng),
            progress: self.secs() / self.size.deadline.as_secs_f64(),
            age: age as f64 * TICK.as_secs_f64(),
            load: self.recent_load,
        };
        self.count(&context);
        let answer = self.profile.answer(&context, &mut self.rng);
        let outcome = if answer.failed {
            Outcome::Failed
        } else {
            Outcome::Answered(answer.latency)
        };
        let ticks = (answer.latency.as_secs_f64() / TICK.as_secs_f64()) as u64;
        self.schedule(
            ticks + 1,
            Delivery::End(instance, context.route, version, outcome),
        );
    }

    fn count(&mut self, context: &RequestContext) {
        let exposed = self.profile.shows(context);
        self.run.new += u64::from(context.new);
        self.run.exposed += u64::from(exposed);
        self.run.after_stop += u64::from(context.new && self.first_stop.is_some());
        if exposed {
            self.first_exposed.get_or_insert(self.tick);
        }
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Event(instance, event) => self.step(instance, *event),
            Delivery::End(instance, route, version, outcome) => {
                let at = self.moment();
                let service = self.stored.value.service.clone();
                let route = self.routes[route].clone();
                self.rollouts[instance].record_outcome(at, &service, &route, &version, outcome);
            }
            Delivery::Write(instance, record, expect) => self.write(instance, *record, expect),
            Delivery::Read(instance) => self.read(instance),
        }
    }

    fn step(&mut self, instance: usize, event: Event) {
        if self.dead[instance] {
            return;
        }
        let mut actions = Vec::new();
        let at = self.moment();
        self.rollouts[instance].step(at, event, &mut actions);
        for action in actions {
            match action {
                Action::Write { record, expect } => {
                    self.run.writes += 1;
                    let write = Delivery::Write(instance, Box::new(record), expect);
                    self.schedule(CALL_TICKS, write);
                }
                Action::Read { .. } => self.schedule(CALL_TICKS, Delivery::Read(instance)),
                Action::Report(report) => self.broadcast(instance, &Event::Report(report)),
                Action::Stop(stop) => {
                    self.first_stop.get_or_insert(self.tick);
                    self.broadcast(instance, &Event::Stop(stop));
                }
                Action::Log(_) => {}
            }
        }
    }

    fn broadcast(&mut self, from: usize, event: &Event) {
        for to in (0..self.rollouts.len()).filter(|to| *to != from) {
            if self.rng.random_bool(1.0 - self.faults.lost_messages) {
                let delivery = Delivery::Event(to, Box::new(event.clone()));
                self.schedule(MESSAGE_TICKS, delivery);
            }
        }
    }

    fn schedule(&mut self, ticks: u64, delivery: Delivery) {
        self.due
            .entry(self.tick + ticks)
            .or_default()
            .push(delivery);
    }

    fn moment(&self) -> Moment {
        let millis = self.tick * TICK.as_millis() as u64;
        Moment {
            time: Time::from_millis(millis),
            wall: millis,
        }
    }
}
