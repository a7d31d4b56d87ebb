//! A few instances and a platform under one logical clock.

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
use crate::traffic::Kind;
use crate::traffic::Setting;

pub use self::measure::Run;
pub use self::measure::Size;
pub use self::measure::Trouble;

/// The time between two looks at the clock.
pub const TICK: Duration = Duration::from_millis(100);
/// Ticks for a message between instances, and for a call of the platform.
const MESSAGE_TICKS: u64 = 1;
const CALL_TICKS: u64 = 1;
/// The margin of the contract.
pub const MARGIN: f64 = 0.05;
/// The share of the contract.
pub const SHARE: f64 = 0.05;

/// The state of one run.
pub struct Fleet {
    size: Size,
    kind: Kind,
    rng: SmallRng,
    tick: u64,
    nodes: Vec<Rollout>,
    routes: Vec<RouteName>,
    live: Vec<InstanceId>,
    dead: Vec<bool>,
    trouble: Trouble,
    stored: Stored<Move>,
    history: Vec<Stored<Move>>,
    due: BTreeMap<u64, Vec<Delivery>>,
    recent: f64,
    first: Option<u64>,
    shown: Option<u64>,
    stopped: Option<u64>,
    run: Run,
}

enum Delivery {
    Event(usize, Box<Event>),
    End(usize, usize, Version, Outcome),
    Write(usize, Box<Move>, u64),
    Read(usize),
}

impl Fleet {
    pub fn new(kind: Kind, size: Size, seed: u64) -> Self {
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
            kind,
            rng: SmallRng::seed_from_u64(seed),
            tick: 0,
            nodes: Vec::new(),
            routes: traffic::ROUTES
                .map(|(name, _)| name.try_into().unwrap())
                .to_vec(),
            live: ids.clone(),
            dead: vec![false; ids.len()],
            trouble: Trouble::default(),
            stored: stored.clone(),
            history: vec![stored.clone()],
            due: BTreeMap::new(),
            recent: 0.0,
            first: None,
            shown: None,
            stopped: None,
            run: Run::default(),
        };
        for id in &ids {
            fleet.nodes.push(Rollout::new(id.clone()).unwrap());
        }
        for node in 0..ids.len() {
            fleet.step(node, Event::Live(ids.clone()));
            fleet.step(node, Event::Record(stored.clone()));
            let room = Event::Room {
                service: stored.value.service.clone(),
                version: stored.value.to.clone(),
                share: Share::ONE,
            };
            fleet.step(node, room);
        }
        fleet
    }

    /// Lets more go wrong.
    #[must_use]
    pub fn with_trouble(mut self, trouble: Trouble) -> Self {
        self.trouble = trouble;
        if self.trouble.alone {
            for (node, own) in self.live.clone().into_iter().enumerate() {
                self.step(node, Event::Live(vec![own]));
            }
        }
        self
    }

    /// Every revision that the platform has held.
    pub fn history(&self) -> &[Stored<Move>] {
        &self.history
    }

    /// The share that each living instance gives the new version.
    pub fn shares(&self) -> Vec<Share> {
        let service = &self.stored.value.service;
        let alive = self
            .nodes
            .iter()
            .zip(&self.dead)
            .filter(|(_, dead)| !**dead);
        let share = |node: &Rollout| node.standpoint(service).map(|s| s.share);
        alive.filter_map(|(node, _)| share(node)).collect()
    }

    /// Seconds since the start.
    pub fn secs(&self) -> f64 {
        self.tick as f64 * TICK.as_secs_f64()
    }

    /// Whether the move is over or too late to be watched further.
    pub fn is_over(&self) -> bool {
        self.stored.value.is_over() || self.secs() > 2.0 * self.size.deadline.as_secs_f64()
    }

    /// Runs to the end of the move, or past its deadline.
    pub fn run(mut self) -> Run {
        while !self.is_over() {
            self.advance();
            let most = self.shares().into_iter().max().unwrap_or(Share::ZERO);
            self.run.most = self.run.most.max(most.ratio());
        }
        self.run.revisions = self.history().len();
        self.run.finished = self.stored.value.state == State::Done;
        self.run.withdrawn = self.stored.value.state == State::Withdrawn;
        self.run.secs = self.secs();
        if let (Some(shown), Some(stopped)) = (self.shown, self.stopped) {
            let ticks = stopped.saturating_sub(shown);
            self.run.reaction = ticks as f64 * TICK.as_secs_f64();
        }
        self.run
    }

    /// Lets one tick pass.
    pub fn advance(&mut self) {
        self.tick += 1;
        for delivery in self.due.remove(&self.tick).unwrap_or_default() {
            self.deliver(delivery);
        }
        // The callers of a dead instance go to the others.
        let alive: Vec<usize> = (0..self.nodes.len()).filter(|n| !self.dead[*n]).collect();
        let mean = self.size.rate / alive.len() as f64 * TICK.as_secs_f64();
        for node in alive {
            for _ in 0..traffic::arrivals(&mut self.rng, mean) {
                self.request(node);
            }
            self.step(node, Event::Tick);
        }
        self.recent *= 1.0 - TICK.as_secs_f64();
    }

    fn request(&mut self, node: usize) {
        let service = self.stored.value.service.clone();
        let draw = self.rng.random();
        let version = self.nodes[node].choose(&service, draw).unwrap();
        let new = version == self.stored.value.to;
        if new {
            self.recent += 1.0;
            self.first.get_or_insert(self.tick);
        }
        let age = self.tick - self.first.unwrap_or(self.tick);
        let setting = Setting {
            new,
            route: traffic::route(&mut self.rng),
            part: self.secs() / self.size.deadline.as_secs_f64(),
            age: age as f64 * TICK.as_secs_f64(),
            load: self.recent,
        };
        self.note(&setting);
        let answer = self.kind.answer(&setting, &mut self.rng);
        let end = if answer.failed {
            Outcome::Failed
        } else {
            Outcome::Answered(answer.latency)
        };
        let ticks = (answer.latency.as_secs_f64() / TICK.as_secs_f64()) as u64;
        self.later(ticks + 1, Delivery::End(node, setting.route, version, end));
    }

    fn note(&mut self, at: &Setting) {
        let met = self.kind.shows(at);
        self.run.new += u64::from(at.new);
        self.run.met += u64::from(met);
        self.run.after += u64::from(at.new && self.stopped.is_some());
        if met {
            self.shown.get_or_insert(self.tick);
        }
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Event(node, event) => self.step(node, *event),
            Delivery::End(node, route, version, end) => {
                let at = self.moment();
                let service = self.stored.value.service.clone();
                let route = self.routes[route].clone();
                self.nodes[node].finished(at, &service, &route, &version, end);
            }
            Delivery::Write(node, record, expect) => self.write(node, *record, expect),
            Delivery::Read(node) => self.read(node),
        }
    }

    fn step(&mut self, node: usize, event: Event) {
        if self.dead[node] {
            return;
        }
        let mut actions = Vec::new();
        let at = self.moment();
        self.nodes[node].step(at, event, &mut actions);
        for action in actions {
            match action {
                Action::Write { record, expect } => {
                    self.run.writes += 1;
                    let write = Delivery::Write(node, Box::new(record), expect);
                    self.later(CALL_TICKS, write);
                }
                Action::Read { .. } => self.later(CALL_TICKS, Delivery::Read(node)),
                Action::Report(report) => self.send(node, &Event::Report(report)),
                Action::Stop(stop) => {
                    self.stopped.get_or_insert(self.tick);
                    self.send(node, &Event::Stop(stop));
                }
                Action::Log(_) => {}
            }
        }
    }

    fn send(&mut self, from: usize, event: &Event) {
        for to in (0..self.nodes.len()).filter(|to| *to != from) {
            if self.rng.random_bool(1.0 - self.trouble.dropped) {
                let delivery = Delivery::Event(to, Box::new(event.clone()));
                self.later(MESSAGE_TICKS, delivery);
            }
        }
    }

    fn later(&mut self, ticks: u64, delivery: Delivery) {
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
