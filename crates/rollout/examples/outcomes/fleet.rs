//! A few instances and a platform under one logical clock.

use std::collections::BTreeMap;
use std::ops::Range;
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
/// Ticks until the list of instances tells of a change.
const LIST_TICKS: u64 = 50;
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

/// What goes wrong beside the new version.
#[derive(Clone, Debug, Default)]
pub struct Trouble {
    /// When the platform takes no call, in seconds.
    pub outage: Range<f64>,
    /// The part of the platform's answers that is lost after a write.
    pub lost: f64,
    /// The part of the messages between instances that is lost.
    pub dropped: f64,
    /// Whether each instance takes itself for the only one, so that all write.
    pub alone: bool,
    /// The instance that writes this state dies before it learns of it.
    pub killer: Option<State>,
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
    /// Writes asked of the platform, and those that it took.
    pub writes: u64,
    pub revisions: usize,
    /// The largest share of any instance before the end.
    pub most: f64,
}

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
            Delivery::Read(node) if self.trouble.outage.contains(&self.secs()) => {
                let service = self.stored.value.service.clone();
                self.answer(node, Event::Unknown { service });
            }
            Delivery::Read(node) => {
                let current = Some(self.stored.clone());
                let service = self.stored.value.service.clone();
                self.answer(node, Event::ReadBack { service, current });
            }
        }
    }

    fn write(&mut self, node: usize, record: Move, expect: u64) {
        let service = record.service.clone();
        if self.trouble.outage.contains(&self.secs()) {
            self.answer(node, Event::Unknown { service });
            return;
        }
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
        self.history.push(self.stored.clone());
        if self.trouble.killer == Some(self.stored.value.state) {
            self.trouble.killer = None;
            self.kill(node);
        } else if self.rng.random_bool(self.trouble.lost) {
            self.answer(node, Event::Unknown { service });
        } else {
            self.answer(node, Event::Written { service, version });
        }
        for other in 0..self.nodes.len() {
            let lag = self.rng.random_range(1..=WATCH_TICKS);
            let back = (self.trouble.outage.end / TICK.as_secs_f64()) as u64;
            let out = self.trouble.outage.contains(&(self.secs() + 1.0));
            let ticks = if out {
                back.saturating_sub(self.tick) + lag
            } else {
                lag
            };
            let event = Event::Record(self.stored.clone());
            self.later(ticks, Delivery::Event(other, Box::new(event)));
        }
    }

    // The list of instances lags by a few seconds.
    fn kill(&mut self, node: usize) {
        self.dead[node] = true;
        let alive = self.live.iter().zip(&self.dead).filter(|(_, dead)| !**dead);
        let live: Vec<InstanceId> = alive.map(|(id, _)| id.clone()).collect();
        for other in 0..self.nodes.len() {
            let event = Event::Live(live.clone());
            self.later(LIST_TICKS, Delivery::Event(other, Box::new(event)));
        }
    }

    fn answer(&mut self, node: usize, event: Event) {
        self.later(CALL_TICKS, Delivery::Event(node, Box::new(event)));
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
