//! A few instances and a platform under one logical clock.

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

/// The time between two looks at the clock.
pub const TICK: Duration = Duration::from_millis(100);
/// Ticks for a message between instances, and for a call of the platform.
const MESSAGE_TICKS: u64 = 1;
const CALL_TICKS: u64 = 1;
/// Ticks until a watch tells an instance of a change, at most.
const WATCH_TICKS: u64 = 10;
/// The margin of the contract.
pub const MARGIN: f64 = 0.05;
/// The share of the contract.
pub const SHARE: f64 = 0.05;

/// The size of a run.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub instances: usize,
    /// Requests a second, over all instances.
    pub rate: f64,
    pub deadline: Duration,
}

/// How a run went.
#[derive(Clone, Copy, Debug, Default)]
pub struct Run {
    pub finished: bool,
    pub withdrawn: bool,
    /// Seconds from the start to the end.
    pub secs: f64,
    /// Requests at the new version.
    pub new: u64,
    /// Requests that met the fault.
    pub met: u64,
    /// Requests at the new version that began after the first stop.
    pub after: u64,
    /// Seconds from the first request that met the fault to the first stop.
    pub reaction: f64,
    /// Writes asked of the platform.
    pub writes: u64,
}

/// The state of one run.
pub struct Fleet {
    size: Size,
    kind: Kind,
    rng: SmallRng,
    tick: u64,
    nodes: Vec<Rollout>,
    routes: Vec<RouteName>,
    stored: Stored<Move>,
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
            stored: stored.clone(),
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

    /// Runs to the end of the move, or past its deadline.
    pub fn run(mut self) -> Run {
        let last = 2 * self.size.deadline.as_millis() as u64 / TICK.as_millis() as u64;
        while self.tick < last && !self.stored.value.is_over() {
            self.advance();
        }
        self.run.finished = self.stored.value.state == State::Done;
        self.run.withdrawn = self.stored.value.state == State::Withdrawn;
        self.run.secs = self.secs();
        if let (Some(shown), Some(stopped)) = (self.shown, self.stopped) {
            let ticks = stopped.saturating_sub(shown);
            self.run.reaction = ticks as f64 * TICK.as_secs_f64();
        }
        self.run
    }

    fn advance(&mut self) {
        self.tick += 1;
        for delivery in self.due.remove(&self.tick).unwrap_or_default() {
            self.deliver(delivery);
        }
        for node in 0..self.nodes.len() {
            let mean = self.size.rate / self.size.instances as f64 * TICK.as_secs_f64();
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
            Delivery::Read(node) => {
                let current = Some(self.stored.clone());
                let service = self.stored.value.service.clone();
                self.answer(node, Event::ReadBack { service, current });
            }
        }
    }

    fn write(&mut self, node: usize, record: Move, expect: u64) {
        let service = record.service.clone();
        if expect != self.stored.version {
            let current = Some(self.stored.clone());
            self.answer(node, Event::Conflict { service, current });
            return;
        }
        let version = expect + 1;
        self.stored = Stored {
            value: record,
            version,
        };
        self.answer(node, Event::Written { service, version });
        for other in 0..self.nodes.len() {
            let ticks = self.rng.random_range(1..=WATCH_TICKS);
            let event = Event::Record(self.stored.clone());
            self.later(ticks, Delivery::Event(other, Box::new(event)));
        }
    }

    fn answer(&mut self, node: usize, event: Event) {
        self.later(CALL_TICKS, Delivery::Event(node, Box::new(event)));
    }

    fn step(&mut self, node: usize, event: Event) {
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
            let delivery = Delivery::Event(to, Box::new(event.clone()));
            self.later(MESSAGE_TICKS, delivery);
        }
    }

    fn later(&mut self, ticks: u64, delivery: Delivery) {
        self.due
            .entry(self.tick + ticks)
            .or_default()
            .push(delivery);
    }

    fn secs(&self) -> f64 {
        self.tick as f64 * TICK.as_secs_f64()
    }

    fn moment(&self) -> Moment {
        let millis = self.tick * TICK.as_millis() as u64;
        Moment {
            time: Time::from_millis(millis),
            wall: millis,
        }
    }
}
