//! How a chosen instance follows the platform.
//!
//! Answers carry the number of the call they belong to. A late answer to an
//! earlier call still offers its objects, which can't revert anything, but
//! it neither moves the chart nor counts as recent word of the platform.

use std::time::Duration;

use corianderway_chart::Chart;
use corianderway_model::Time;
use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;
use serde::Deserialize;

use crate::object::Object;
use crate::object::Stamp;
use crate::set::ConfigSet;
use crate::source_event::SourceAction;
use crate::source_event::SourceEvent;

/// The chart of a watch, as its file spells it.
pub const WATCH_CHART: &str = include_str!("../charts/watch.yaml");

/// How long the platform holds a watch open when nothing changes.
pub const WATCH_WAIT: Duration = Duration::from_secs(1);

/// How long an answer may take beyond that.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// The longest interruption after which a watch is taken up where it broke off.
const INTERRUPTION: Duration = Duration::from_secs(10);

/// The first pause after a failed call.
const FIRST_PAUSE: Duration = Duration::from_millis(200);

/// The longest pause after a failed call.
const LONGEST_PAUSE: Duration = Duration::from_secs(5);

/// The time between two lists while the store lacks what is held here.
const RECHECK: Duration = Duration::from_secs(2);

type WatchChart = Chart<State, Input, Guard, Output>;

/// How one instance follows the platform.
#[derive(Clone, Debug)]
pub struct Source {
    chart: WatchChart,
    state: State,
    rng: SmallRng,
    call: u64,
    asked: Time,
    due: Time,
    pause: Duration,
    reached: Option<Time>,
    revision: u64,
    // What the last list had older than the held set; sorted.
    lost: Vec<Stamp>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum State {
    Idle,
    Waiting,
    Listing,
    Watching,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Input {
    Chosen,
    Released,
    Listed,
    Watched,
    Behind,
    Failed,
    Due,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Guard {
    InterruptedBriefly,
    StoreBehind,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Output {
    Delay,
    List,
    Watch,
    Reached,
    Recheck,
    BackOff,
}

impl Source {
    /// Starts idle.
    ///
    /// # Panics
    ///
    /// Panics if the built-in chart is wrong, which the tests rule out.
    pub fn new(seed: u64) -> Self {
        let chart = WatchChart::parse(WATCH_CHART).expect("the chart is checked by tests");
        Self {
            state: chart.initial(),
            chart,
            rng: SmallRng::seed_from_u64(seed),
            call: 0,
            asked: Time::ZERO,
            due: Time::ZERO,
            pause: FIRST_PAUSE,
            reached: None,
            revision: 0,
            lost: Vec::new(),
        }
    }

    /// Whether this instance follows the platform.
    pub fn active(&self) -> bool {
        self.state != State::Idle
    }

    /// Answers one event; `held` is the set that objects are offered to.
    pub fn step(
        &mut self,
        now: Time,
        event: SourceEvent,
        held: &ConfigSet,
        out: &mut Vec<SourceAction>,
    ) {
        match event {
            SourceEvent::Tick if now >= self.due => self.input(now, Input::Due, out),
            SourceEvent::Tick => {}
            SourceEvent::Chosen(delay) => self.chosen(now, delay, out),
            SourceEvent::Released => self.input(now, Input::Released, out),
            SourceEvent::Listed {
                call,
                revision,
                objects,
            } => {
                if call == self.call && self.state == State::Listing {
                    self.revision = revision;
                    self.restore(&objects, held, out);
                }
                out.push(SourceAction::Offer(objects));
                self.answered(now, call, Input::Listed, out);
            }
            SourceEvent::Watched {
                call,
                revision,
                objects,
            } => {
                out.push(SourceAction::Offer(objects));
                self.watched(now, call, revision, out);
            }
            SourceEvent::Failed { call } => self.answered(now, call, Input::Failed, out),
        }
    }

    fn chosen(&mut self, now: Time, delay: Duration, out: &mut Vec<SourceAction>) {
        if self.state == State::Idle {
            self.due = now + delay;
            self.input(now, Input::Chosen, out);
        }
    }

    // A revision that falls tells that the store lost writes.
    fn watched(&mut self, now: Time, call: u64, revision: u64, out: &mut Vec<SourceAction>) {
        if call == self.call && revision < self.revision {
            self.input(now, Input::Behind, out);
            return;
        }
        if call == self.call {
            self.revision = revision;
        }
        self.answered(now, call, Input::Watched, out);
    }

    fn answered(&mut self, now: Time, call: u64, input: Input, out: &mut Vec<SourceAction>) {
        if call == self.call {
            self.input(now, input, out);
        }
    }

    fn input(&mut self, now: Time, input: Input, out: &mut Vec<SourceAction>) {
        let behind = !self.lost.is_empty();
        let recent = self.reached.is_some_and(|at| now.since(at) < INTERRUPTION);
        let step = self.chart.step(self.state, input, |guard| match guard {
            Guard::InterruptedBriefly => recent && !behind,
            Guard::StoreBehind => behind,
        });
        self.state = step.to;
        let outputs = step.actions.to_vec();
        for output in outputs {
            self.output(now, output, out);
        }
    }

    fn output(&mut self, now: Time, output: Output, out: &mut Vec<SourceAction>) {
        match output {
            Output::Delay => {}
            Output::List => {
                let call = self.next_call(now, ANSWER_TIMEOUT);
                out.push(SourceAction::List { call });
            }
            Output::Watch => {
                let call = self.next_call(now, WATCH_WAIT + ANSWER_TIMEOUT);
                let after = self.revision;
                out.push(SourceAction::Watch { call, after });
            }
            Output::Reached => {
                self.reached = Some(self.asked);
                self.pause = FIRST_PAUSE;
                out.push(SourceAction::Reached(self.asked));
            }
            Output::Recheck => self.due = now + RECHECK,
            Output::BackOff => self.back_off(now),
        }
    }

    fn next_call(&mut self, now: Time, timeout: Duration) -> u64 {
        self.call += 1;
        self.asked = now;
        self.due = now + timeout;
        self.call
    }

    // Waits for half to all of a pause that doubles with each failure.
    fn back_off(&mut self, now: Time) {
        self.call += 1;
        let share = self.rng.random_range(0.5..1.0);
        self.due = now + self.pause.mul_f64(share);
        self.pause = (self.pause * 2).min(LONGEST_PAUSE);
    }

    // Puts back what two lists in a row had older than the held set: one list
    // may have been answered before a change that a peer has already passed on.
    fn restore(&mut self, listed: &[Object], held: &ConfigSet, out: &mut Vec<SourceAction>) {
        let mut stored = listed.iter().map(Object::stamp).collect::<Vec<_>>();
        stored.sort();
        let before = std::mem::take(&mut self.lost);
        for object in held.all() {
            let stamp = object.stamp();
            let at = stored.binary_search_by(|s| s.id.cmp(&stamp.id)).ok();
            let older = match at {
                Some(at) => stored[at].rank < stamp.rank,
                None => !object.deleted(),
            };
            if !older {
                continue;
            }
            if before.binary_search(&stamp).is_ok() {
                let stored = at.map_or(0, |at| stored[at].rank.version);
                let object = object.clone();
                out.push(SourceAction::Restore { object, stored });
            }
            self.lost.push(stamp);
        }
    }
}
