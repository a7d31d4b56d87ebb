//! The state of a backend server stand-in, without I/O and clock.

use std::collections::VecDeque;
use std::io;
use std::time::Duration;

use corianderway_chart::Chart;
use corianderway_model::Time;
use serde::Deserialize;

use crate::backend::faults::Faults;
use crate::backend::faults::HealthReport;
use crate::backend::faults::LoadReport;
use crate::backend::gauge::Load;
use crate::backend::gauge::LoadHistory;
use crate::backend::history::History;
use crate::backend::history::Outcome;
use crate::backend::history::Record;
use crate::backend::plan::Plan;
use crate::backend::plan::Planner;
use crate::backend::settings::Settings;

const CHART: &str = include_str!("../../charts/backend.yaml");

/// The server's state, which decides whether it accepts requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Started recently; requests take longer.
    Cold,
    /// In service.
    Live,
    /// Finishes running and queued requests, and refuses new ones.
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

/// An arriving request. The runner sets its record's server, number and times.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Arrival {
    /// The number of the request, unique within the process.
    pub id: u64,
    /// Its record for the history.
    pub record: Record,
}

/// The decision on an arriving request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It runs as planned.
    Run(Plan),
    /// It waits for a slot.
    Wait,
    /// It is refused without having run.
    Shed,
}

/// The slots, queue, load and history of a backend server stand-in.
///
/// At most `slots` requests run and at most `queue` requests wait.
#[derive(Debug)]
pub struct Runner {
    settings: Settings,
    chart: Chart<State, Event, Guard, Action>,
    state: State,
    warm_at: Time,
    planner: Planner,
    running: Vec<u64>,
    queue: VecDeque<Arrival>,
    load_history: LoadHistory,
    history: History,
}

impl Runner {
    /// Creates a runner that is cold until `cold_start` has passed.
    ///
    /// # Errors
    ///
    /// Returns an error if the history file can't be opened.
    ///
    /// # Panics
    ///
    /// Panics if the built-in chart is invalid.
    pub fn new(now: Time, settings: Settings) -> io::Result<Self> {
        let chart = Chart::parse(CHART).expect("the built-in chart is checked by a test");
        let mut runner = Self {
            state: chart.initial(),
            chart,
            warm_at: now + settings.cold_start,
            planner: Planner::new(settings.service_time, settings.seed),
            running: Vec::new(),
            queue: VecDeque::new(),
            load_history: LoadHistory::default(),
            history: History::open(settings.history.as_deref())?,
            settings,
        };
        runner.record_load(now);
        Ok(runner)
    }

    /// Admits, queues or sheds an arriving request.
    pub fn arrive(&mut self, now: Time, arrival: Arrival) -> Admission {
        let admission = match self.step_chart(now, Event::Arrive) {
            Some(Action::Start) => Admission::Run(self.start(now, arrival, false)),
            Some(Action::StartCold) => Admission::Run(self.start(now, arrival, true)),
            Some(Action::Queue) => {
                self.queue.push_back(arrival);
                Admission::Wait
            }
            Some(Action::Shed) | None => Admission::Shed,
        };
        self.record_load(now);
        admission
    }

    /// Ends a running or queued request, and returns the number and plan of the
    /// queued one that starts in its place.
    pub fn finish(&mut self, now: Time, id: u64, outcome: Outcome) -> Option<(u64, Plan)> {
        self.queue.retain(|a| a.id != id);
        let next = match self.running.iter().position(|r| *r == id) {
            Some(at) => {
                self.running.swap_remove(at);
                self.history.finish(id, now.as_nanos(), outcome);
                self.start_next(now)
            }
            None => None,
        };
        self.record_load(now);
        next
    }

    /// Begins a drain, or ends it if `drain` is false.
    pub fn drain(&mut self, now: Time, drain: bool) {
        let event = if drain { Event::Drain } else { Event::Resume };
        self.step_chart(now, event);
    }

    /// Replaces the faults.
    pub fn set_faults(&mut self, now: Time, faults: Faults) {
        self.planner.set_faults(now, faults);
    }

    /// Returns the state that the health endpoint reports, or `None` if it is not
    /// to answer.
    pub fn health(&mut self, now: Time) -> Option<State> {
        self.warm_up(now);
        match self.planner.faults.health {
            HealthReport::Honest => Some(self.state),
            HealthReport::Well => Some(State::Live),
            HealthReport::Ill => Some(State::Draining),
            HealthReport::Silent => None,
        }
    }

    /// Returns the load that the load endpoint reports, or `None` if it is not to
    /// answer.
    pub fn load(&self, now: Time) -> Option<Load> {
        let lag = Duration::from_millis(self.planner.faults.load_lag_ms);
        let slots = self.settings.slots;
        match self.planner.faults.load {
            LoadReport::Honest => Some(self.load_history.as_of(now, lag)),
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

    /// Returns the records of all requests that were given a slot.
    pub fn history(&self) -> &[Record] {
        self.history.records()
    }

    fn step_chart(&mut self, now: Time, event: Event) -> Option<Action> {
        self.warm_up(now);
        let slot_free = self.running.len() < self.settings.slots as usize;
        let queue_free = self.queue.len() < self.settings.queue as usize;
        let step = self.chart.step(self.state, event, |guard| match guard {
            Guard::SlotFree => slot_free,
            Guard::QueueFree => queue_free,
        });
        self.state = step.to;
        step.actions.first().copied()
    }

    fn warm_up(&mut self, now: Time) {
        if now >= self.warm_at {
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

    fn start_next(&mut self, now: Time) -> Option<(u64, Plan)> {
        let arrival = self.queue.pop_front()?;
        let id = arrival.id;
        Some((id, self.start(now, arrival, self.state == State::Cold)))
    }

    fn record_load(&mut self, now: Time) {
        let load = Load {
            running: self.running.len() as u32,
            queued: self.queue.len() as u32,
            slots: self.settings.slots,
        };
        self.load_history.record(now, load);
    }
}
