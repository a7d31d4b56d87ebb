//! The deciding part of a backend server stand-in.

use std::collections::VecDeque;
use std::io;
use std::time::Duration;

use corianderway_chart::Chart;
use corianderway_model::Time;
use serde::Deserialize;

use crate::backend::faults::Faults;
use crate::backend::faults::Health;
use crate::backend::faults::LoadReport;
use crate::backend::gauge::Gauge;
use crate::backend::gauge::Load;
use crate::backend::history::History;
use crate::backend::history::Outcome;
use crate::backend::history::Record;
use crate::backend::plan::Plan;
use crate::backend::plan::Planner;
use crate::backend::settings::Settings;

const CHART: &str = include_str!("../../charts/backend.yaml");

/// Whether the server takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Just started and slow.
    Cold,
    /// In service.
    Live,
    /// Finishing what it has.
    Draining,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Event {
    Arrive,
    Warmed,
    Drain,
    Resume,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Guard {
    SlotFree,
    QueueFree,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Action {
    Start,
    StartCold,
    Queue,
    Shed,
}

/// A request as it arrives; the server, number and times are filled in by the runner.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Arrival {
    /// The number of the request, unique within the process.
    pub id: u64,
    /// What the history will say of it.
    pub record: Record,
}

/// What becomes of a request that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It runs by this plan.
    Run(Plan),
    /// It waits for a slot.
    Wait,
    /// It is refused and has not run.
    Shed,
}

/// The state of a backend server stand-in.
#[derive(Debug)]
pub struct Runner {
    settings: Settings,
    chart: Chart<State, Event, Guard, Action>,
    state: State,
    warm: Time,
    planner: Planner,
    running: Vec<u64>,
    queue: VecDeque<Arrival>,
    gauge: Gauge,
    history: History,
}

impl Runner {
    /// Starts cold.
    ///
    /// # Errors
    ///
    /// Fails when the history file can't be opened.
    ///
    /// # Panics
    ///
    /// Panics when the built-in chart is not a chart.
    pub fn new(now: Time, settings: Settings) -> io::Result<Self> {
        let chart = Chart::parse(CHART).expect("the built-in chart is checked by a test");
        let mut runner = Self {
            state: chart.initial(),
            chart,
            warm: now + settings.cold_start,
            planner: Planner::new(settings.service_time, settings.seed),
            running: Vec::new(),
            queue: VecDeque::new(),
            gauge: Gauge::default(),
            history: History::open(settings.history.as_deref())?,
            settings,
        };
        runner.measure(now);
        Ok(runner)
    }

    /// Decides a request that arrives.
    pub fn arrive(&mut self, now: Time, arrival: Arrival) -> Admission {
        let admission = match self.take(now, Event::Arrive) {
            Some(Action::Start) => Admission::Run(self.start(now, arrival, false)),
            Some(Action::StartCold) => Admission::Run(self.start(now, arrival, true)),
            Some(Action::Queue) => {
                self.queue.push_back(arrival);
                Admission::Wait
            }
            Some(Action::Shed) | None => Admission::Shed,
        };
        self.measure(now);
        admission
    }

    /// Ends a request that runs or waits, and names the one that runs next.
    pub fn finish(&mut self, now: Time, id: u64, outcome: Outcome) -> Option<(u64, Plan)> {
        self.queue.retain(|a| a.id != id);
        let next = match self.running.iter().position(|r| *r == id) {
            Some(at) => {
                self.running.swap_remove(at);
                self.history.finish(id, now.as_nanos(), outcome);
                self.next(now)
            }
            None => None,
        };
        self.measure(now);
        next
    }

    /// Begins or ends the drain.
    pub fn drain(&mut self, now: Time, drain: bool) {
        let event = if drain { Event::Drain } else { Event::Resume };
        self.take(now, event);
    }

    /// Replaces the faults.
    pub fn set_faults(&mut self, now: Time, faults: Faults) {
        self.planner.set(now, faults);
    }

    /// What the health endpoint says; `None` for silence.
    pub fn health(&mut self, now: Time) -> Option<State> {
        self.warm_up(now);
        match self.planner.faults.health {
            Health::Honest => Some(self.state),
            Health::Well => Some(State::Live),
            Health::Ill => Some(State::Draining),
            Health::Silent => None,
        }
    }

    /// What the load endpoint says; `None` for silence.
    pub fn load(&self, now: Time) -> Option<Load> {
        let lag = Duration::from_millis(self.planner.faults.load_lag_ms);
        let slots = self.settings.slots;
        match self.planner.faults.load {
            LoadReport::Honest => Some(self.gauge.shown(now, lag)),
            LoadReport::Idle => Some(Load {
                running: 0,
                queued: 0,
                slots,
            }),
            LoadReport::Full => Some(Load {
                running: slots,
                queued: self.settings.queue,
                slots,
            }),
            LoadReport::Silent => None,
        }
    }

    /// What has run.
    pub fn history(&self) -> &[Record] {
        self.history.records()
    }

    fn take(&mut self, now: Time, event: Event) -> Option<Action> {
        self.warm_up(now);
        let slot = self.running.len() < self.settings.slots as usize;
        let place = self.queue.len() < self.settings.queue as usize;
        let step = self.chart.step(self.state, event, |guard| match guard {
            Guard::SlotFree => slot,
            Guard::QueueFree => place,
        });
        self.state = step.to;
        step.actions.first().copied()
    }

    fn warm_up(&mut self, now: Time) {
        if now >= self.warm {
            self.state = self.chart.step(self.state, Event::Warmed, |_| false).to;
        }
    }

    fn start(&mut self, now: Time, arrival: Arrival, cold: bool) -> Plan {
        self.running.push(arrival.id);
        let running = self.running.len() as u32;
        let path = &arrival.record.path;
        let plan = self.planner.plan(now, path, running, cold);
        self.history.start(Record {
            server: self.settings.id.clone(),
            id: arrival.id,
            start: now.as_nanos(),
            ..arrival.record
        });
        plan
    }

    fn next(&mut self, now: Time) -> Option<(u64, Plan)> {
        let arrival = self.queue.pop_front()?;
        let id = arrival.id;
        Some((id, self.start(now, arrival, self.state == State::Cold)))
    }

    fn measure(&mut self, now: Time) {
        let load = Load {
            running: self.running.len() as u32,
            queued: self.queue.len() as u32,
            slots: self.settings.slots,
        };
        self.gauge.record(now, load);
    }
}
