//! The list and watch calls by which an instance follows the platform's store.
//!
//! An answer carries the number of its call. The objects of a late answer, to
//! an earlier call, are still merged, since a merge can't revert anything; but
//! the answer neither changes the state nor counts as recent contact with the
//! platform.

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
use crate::watch_event::WatchAction;
use crate::watch_event::WatchEvent;

/// The state chart of the platform watch, in YAML.
pub const WATCH_CHART: &str = include_str!("../charts/watch.yaml");

/// How long the platform holds a watch open when nothing changes.
pub const WATCH_TIMEOUT: Duration = Duration::from_secs(1);

/// The timeout of a call, beyond the time for which a watch is held open.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// The longest interruption after which a watch resumes at its last revision
/// without a new list.
const RESUME_WINDOW: Duration = Duration::from_secs(10);

/// The upper end of the random delay after the first failed call.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(200);

/// The maximum of that upper end, which doubles with each failure.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);

/// The time between two lists while the store lacks held objects.
const RECHECK_INTERVAL: Duration = Duration::from_secs(2);

type WatchChart = Chart<State, Input, Guard, Output>;

/// The watch of the platform's store by one instance.
///
/// While active it lists all objects once, then waits for changes after the
/// listed revision in one watch call after another. At most one call is
/// current. A revision that decreases means that the store lost writes; the
/// objects are then listed again and the lost ones are written back.
#[derive(Clone, Debug)]
pub struct PlatformWatch {
    chart: WatchChart,
    state: State,
    rng: SmallRng,
    call: u64,
    called_at: Time,
    timer_at: Time,
    retry_delay: Duration,
    synced_at: Option<Time>,
    revision: u64,
    // The held states that the last list lacked or had older, sorted.
    outdated: Vec<Stamp>,
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
    Activated,
    Deactivated,
    Listed,
    Watched,
    RevisionDecreased,
    Failed,
    Timeout,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Guard {
    CanResume,
    StoreOutdated,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Output {
    Delay,
    List,
    Watch,
    Synced,
    Recheck,
    BackOff,
}

impl PlatformWatch {
    /// Creates an idle watch.
    ///
    /// # Panics
    ///
    /// Panics if the built-in chart is invalid; a test parses it.
    pub fn new(seed: u64) -> Self {
        let chart = WatchChart::parse(WATCH_CHART).expect("the watch chart is valid");
        Self {
            state: chart.initial(),
            chart,
            rng: SmallRng::seed_from_u64(seed),
            call: 0,
            called_at: Time::ZERO,
            timer_at: Time::ZERO,
            retry_delay: INITIAL_RETRY_DELAY,
            synced_at: None,
            revision: 0,
            outdated: Vec::new(),
        }
    }

    /// Returns whether this instance watches the platform.
    pub fn active(&self) -> bool {
        self.state != State::Idle
    }

    /// Handles one event and appends the resulting actions to `out`; `held` is
    /// the set that objects are merged into.
    pub fn step(
        &mut self,
        now: Time,
        event: WatchEvent,
        held: &ConfigSet,
        out: &mut Vec<WatchAction>,
    ) {
        match event {
            WatchEvent::Tick if now >= self.timer_at => self.step_chart(now, Input::Timeout, out),
            WatchEvent::Tick => {}
            WatchEvent::Activated(delay) => self.activate(now, delay, out),
            WatchEvent::Deactivated => self.step_chart(now, Input::Deactivated, out),
            WatchEvent::Listed {
                call,
                revision,
                objects,
            } => {
                if call == self.call && self.state == State::Listing {
                    self.revision = revision;
                    self.restore_outdated(&objects, held, out);
                }
                out.push(WatchAction::Merge(objects));
                self.finish_call(now, call, Input::Listed, out);
            }
            WatchEvent::Watched {
                call,
                revision,
                objects,
            } => {
                out.push(WatchAction::Merge(objects));
                self.finish_watch(now, call, revision, out);
            }
            WatchEvent::Failed { call } => self.finish_call(now, call, Input::Failed, out),
        }
    }

    fn activate(&mut self, now: Time, delay: Duration, out: &mut Vec<WatchAction>) {
        if self.state == State::Idle {
            self.timer_at = now + delay;
            self.step_chart(now, Input::Activated, out);
        }
    }

    // A decreased revision shows that the store lost writes.
    fn finish_watch(&mut self, now: Time, call: u64, revision: u64, out: &mut Vec<WatchAction>) {
        if call == self.call && revision < self.revision {
            self.step_chart(now, Input::RevisionDecreased, out);
            return;
        }
        if call == self.call {
            self.revision = revision;
        }
        self.finish_call(now, call, Input::Watched, out);
    }

    fn finish_call(&mut self, now: Time, call: u64, input: Input, out: &mut Vec<WatchAction>) {
        if call == self.call {
            self.step_chart(now, input, out);
        }
    }

    fn step_chart(&mut self, now: Time, input: Input, out: &mut Vec<WatchAction>) {
        let store_outdated = !self.outdated.is_empty();
        let recent = self
            .synced_at
            .is_some_and(|at| now.since(at) < RESUME_WINDOW);
        let step = self.chart.step(self.state, input, |guard| match guard {
            Guard::CanResume => recent && !store_outdated,
            Guard::StoreOutdated => store_outdated,
        });
        self.state = step.to;
        let outputs = step.actions.to_vec();
        for output in outputs {
            self.perform(now, output, out);
        }
    }

    fn perform(&mut self, now: Time, output: Output, out: &mut Vec<WatchAction>) {
        match output {
            Output::Delay => {}
            Output::List => {
                let call = self.start_call(now, ANSWER_TIMEOUT);
                out.push(WatchAction::List { call });
            }
            Output::Watch => {
                let call = self.start_call(now, WATCH_TIMEOUT + ANSWER_TIMEOUT);
                let after = self.revision;
                out.push(WatchAction::Watch { call, after });
            }
            Output::Synced => {
                self.synced_at = Some(self.called_at);
                self.retry_delay = INITIAL_RETRY_DELAY;
                out.push(WatchAction::Synced(self.called_at));
            }
            Output::Recheck => self.timer_at = now + RECHECK_INTERVAL,
            Output::BackOff => self.back_off(now),
        }
    }

    fn start_call(&mut self, now: Time, timeout: Duration) -> u64 {
        self.call += 1;
        self.called_at = now;
        self.timer_at = now + timeout;
        self.call
    }

    // Delays the next call by half to all of the retry delay, which doubles
    // with each failure.
    fn back_off(&mut self, now: Time) {
        self.call += 1;
        let share = self.rng.random_range(0.5..1.0);
        self.timer_at = now + self.retry_delay.mul_f64(share);
        self.retry_delay = (self.retry_delay * 2).min(MAX_RETRY_DELAY);
    }

    // Restores the objects that two lists in a row lacked or had older than the
    // held set. One list is not enough: it may have been answered before a
    // change that a peer has already passed on.
    fn restore_outdated(
        &mut self,
        listed: &[Object],
        held: &ConfigSet,
        out: &mut Vec<WatchAction>,
    ) {
        let mut stored = listed.iter().map(Object::stamp).collect::<Vec<_>>();
        stored.sort();
        let previous = std::mem::take(&mut self.outdated);
        for object in held.all() {
            let stamp = object.stamp();
            let at = stored.binary_search_by(|s| s.id.cmp(&stamp.id)).ok();
            let older = match at {
                Some(at) => stored[at].rank < stamp.rank,
                None => !object.is_deleted(),
            };
            if !older {
                continue;
            }
            if previous.binary_search(&stamp).is_ok() {
                let stored = at.map_or(0, |at| stored[at].rank.version);
                let object = object.clone();
                out.push(WatchAction::Restore { object, stored });
            }
            self.outdated.push(stamp);
        }
    }
}
