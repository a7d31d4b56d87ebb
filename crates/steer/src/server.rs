//! One backend server: its state, its load as told and counted, and its pace.

use std::time::Duration;

use corianderway_chart::Chart;
use corianderway_model::Sorted;
use corianderway_model::Time;
use serde::Deserialize;

use crate::event::Load;
use crate::event::RequestId;
use crate::listing::Listed;

/// The chart file of a backend server.
pub const SERVER_CHART: &str = include_str!("../charts/edge-server.yaml");

/// The checked chart of a backend server.
pub(crate) type ServerChart = Chart<State, Signal, Guard, Effect>;

/// The first time that a failing server gets nothing; doubles with each next one.
const HOLD: Duration = Duration::from_millis(500);

/// The longest time that a failing server gets nothing.
const HOLD_MOST: Duration = Duration::from_secs(4);

/// Connections in a row that could not be made before a server is left alone.
const STRIKES: u32 = 2;

/// The part of recent answers that are failures above which a server is left alone.
const FAULTS_MOST: f64 = 0.5;

/// The weight of a new answer in the part of failures.
const FAULT_GAIN: f64 = 0.2;

/// The weight of a new answer in the slowness.
const SLOW_GAIN: f64 = 0.3;

/// The time in which a slowness that is not confirmed loses half of its excess.
const SLOW_HALF_LIFE: Duration = Duration::from_secs(4);

/// The mean of times over expected times up to which a server is not slow: an
/// object whose state it has dropped takes several times as long as expected.
const SLOW_SPREAD: f64 = 1.8;

/// How long a told load is taken for true.
const TOLD_LIFE: Duration = Duration::from_secs(1);

/// The least time that a request which builds up state is expected to run on,
/// in milliseconds, once it is over its time.
const BUILD_LEAST_MS: f64 = 40.0;

/// What is left of a window after an answer told of too many waiting requests.
const SHRINK: f64 = 0.8;

/// The time between two reductions of a window, in which the first one shows.
const SHRINK_PAUSE: Duration = Duration::from_millis(200);

/// Objects remembered for one server; more than any of them keeps warm.
const OBJECTS: usize = 128;

/// Where a backend server stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum State {
    Warming,
    Serving,
    Ejected,
    Leaving,
}

/// What happens to a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Signal {
    /// It is cold for some time.
    Chilled,
    /// A new run of it, or its return, is listed.
    Listed,
    /// It drains, or its entry is gone.
    Withdrawn,
    /// It answered.
    Passed,
    /// It failed or could not be reached.
    Failed,
    /// Time passed.
    Tick,
}

/// What decides between two branches.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Guard {
    /// It failed too often of late.
    Condemned,
    /// Its cold time is not over.
    Cold,
    /// Its time without work is not over.
    Held,
}

/// What is done on the way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Effect {
    /// Begin its time without work.
    Hold,
    /// Begin a cold time.
    Chill,
    /// Forget its failures.
    Forgive,
}

/// One request that runs at a backend server for this instance.
#[derive(Clone, Copy, Debug)]
struct Run {
    id: RequestId,
    since: Time,
    // The time that it was expected to take, in milliseconds.
    expected: f64,
    // The object whose state the server builds up with it.
    builds: Option<u64>,
}

/// One backend server, as this instance knows it.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) listed: Listed,
    pub(crate) state: State,
    /// A hash of the identity, for rendezvous hashing.
    pub(crate) hash: u64,
    /// When its entry was found missing while the store was unsettled.
    pub(crate) missing: Option<Time>,
    /// Until when it is cold.
    pub(crate) cold_until: Time,
    /// When it may take its next request while cold.
    pub(crate) cold_next: Time,
    // Requests that this instance may have there at once.
    window: f64,
    shrunk: Time,
    runs: Vec<Run>,
    told: Option<(Time, u32, u32)>,
    objects: Sorted<u64, Time>,
    slow: (Time, f64),
    faults: f64,
    strikes: u32,
    holds: u32,
    held_until: Time,
    full_until: Time,
}

impl Server {
    /// Makes a server that is given `window` requests at once at first.
    pub(crate) fn new(listed: Listed, hash: u64, window: f64, now: Time) -> Self {
        Self {
            state: State::Warming,
            hash,
            missing: None,
            cold_until: now + listed.cold_left,
            cold_next: now,
            window,
            shrunk: now,
            runs: Vec::new(),
            told: None,
            objects: Sorted::default(),
            slow: (now, 1.0),
            faults: 0.0,
            strikes: 0,
            holds: 0,
            held_until: now,
            full_until: now,
            listed,
        }
    }

    /// Moves the server along its chart; `spare` says whether the service can
    /// do without it, `cold` how long it is cold after a return.
    pub(crate) fn advance(
        &mut self,
        chart: &ServerChart,
        now: Time,
        signal: Signal,
        spare: bool,
        cold: Duration,
    ) {
        let condemned = self.strikes >= STRIKES || (self.faults > FAULTS_MOST && spare);
        let step = chart.step(self.state, signal, |guard| match guard {
            Guard::Condemned => condemned,
            Guard::Cold => now < self.cold_until,
            Guard::Held => now < self.held_until,
        });
        self.state = step.to;
        for effect in step.actions {
            match effect {
                Effect::Hold => {
                    let span = (HOLD * 2_u32.pow(self.holds.min(3))).min(HOLD_MOST);
                    self.held_until = now + span;
                    self.holds += 1;
                }
                Effect::Chill => {
                    self.cold_until = now + cold;
                    self.strikes = STRIKES - 1;
                    self.faults = FAULTS_MOST / 2.0;
                }
                Effect::Forgive => {
                    self.strikes = 0;
                    self.holds = 0;
                }
            }
        }
    }

    /// Notes that a request was sent to it.
    pub(crate) fn begin(&mut self, id: RequestId, now: Time, expected: f64, builds: Option<u64>) {
        let since = now;
        self.runs.push(Run {
            id,
            since,
            expected,
            builds,
        });
    }

    /// How many milliseconds the first request for an object, with which the
    /// server builds up its state, is still expected to run.
    pub(crate) fn builds(&self, object: u64, now: Time) -> Option<f64> {
        let run = self.runs.iter().find(|run| run.builds == Some(object))?;
        Some((run.expected - millis(now.since(run.since))).max(BUILD_LEAST_MS))
    }

    /// Notes that a request ended there; gives back how long it ran and how
    /// long it was expected to, in milliseconds.
    pub(crate) fn end(&mut self, id: RequestId, now: Time) -> Option<(f64, f64)> {
        let at = self.runs.iter().position(|run| run.id == id)?;
        let run = self.runs.swap_remove(at);
        Some((millis(now.since(run.since)), run.expected))
    }

    /// Takes the load that an answer told, and adapts the window to it: it
    /// shrinks while more than `tolerated` requests wait there, and grows
    /// while this instance uses it up and nothing much waits.
    pub(crate) fn tell(&mut self, now: Time, load: Load, tolerated: f64) {
        self.told = Some((now, load.running + load.waiting, self.own()));
        let waiting = f64::from(load.waiting);
        if waiting > tolerated {
            self.shrink(now);
        } else if f64::from(self.own()) + 2.0 > self.window {
            let free = load.running < load.slots;
            let most = f64::from(load.slots) + tolerated;
            let step = if free { 1.0 } else { 1.0 / self.window };
            self.window = (self.window + step).min(most);
        }
    }

    /// Makes the window smaller, at most once in a while.
    pub(crate) fn shrink(&mut self, now: Time) {
        if now.since(self.shrunk) >= SHRINK_PAUSE {
            self.shrunk = now;
            self.window = (self.window * SHRINK).max(1.0);
        }
    }

    /// Whether this instance may send it another request.
    pub(crate) fn has_window(&self) -> bool {
        f64::from(self.own()) + 1.0 <= self.window
    }

    /// Requests that this instance has there.
    pub(crate) fn own(&self) -> u32 {
        self.runs.len() as u32
    }

    /// Requests that run or wait there, of all instances, as far as known;
    /// `usual` of its slots are taken to be busy where it has told nothing of late.
    pub(crate) fn occupancy(&self, now: Time, usual: f64) -> f64 {
        let own = f64::from(self.own());
        let told = self.told.filter(|(at, ..)| now.since(*at) < TOLD_LIFE);
        let others = told.map(|(_, total, then)| f64::from(total.saturating_sub(then)));
        own + others.unwrap_or(usual * f64::from(self.listed.backend.slots))
    }

    /// Notes an answer that came whole, against the time it was expected to take.
    pub(crate) fn pass(&mut self, now: Time, ratio: f64, failed: bool) {
        self.strikes = 0;
        self.faults += (f64::from(u8::from(failed)) - self.faults) * FAULT_GAIN;
        let slow = self.mean_ratio(now);
        self.slow = (now, slow + (ratio - slow) * SLOW_GAIN);
    }

    /// Notes an attempt that brought no answer.
    pub(crate) fn fault(&mut self, unreachable: bool) {
        self.strikes += u32::from(unreachable);
        self.faults += (1.0 - self.faults) * FAULT_GAIN;
    }

    /// Notes that it could not take a request, so that it gets none for a moment.
    pub(crate) fn fill(&mut self, now: Time, span: Duration) {
        self.full_until = now + span;
    }

    /// Whether it said lately that it is full.
    pub(crate) fn is_full(&self, now: Time) -> bool {
        now < self.full_until
    }

    /// How many times longer than its like it takes; 1 within the usual spread.
    pub(crate) fn slowness(&self, now: Time) -> f64 {
        let slow = self.mean_ratio(now);
        if slow > SLOW_SPREAD {
            slow
        } else {
            1.0
        }
    }

    // The mean of the times it took over those expected, of late.
    fn mean_ratio(&self, now: Time) -> f64 {
        let (at, slow) = self.slow;
        let halves = now.since(at).as_secs_f64() / SLOW_HALF_LIFE.as_secs_f64();
        1.0 + (slow - 1.0) * 0.5_f64.powf(halves)
    }

    /// The part of its recent answers that were failures.
    pub(crate) fn faults(&self) -> f64 {
        self.faults
    }

    /// By how many milliseconds its oldest request is over its expected time.
    pub(crate) fn overdue(&self, now: Time) -> f64 {
        let over = |run: &Run| millis(now.since(run.since)) - run.expected * 1.5;
        self.runs.iter().map(over).fold(0.0, f64::max)
    }

    /// Whether this instance sent it requests for an object lately.
    pub(crate) fn knows(&self, object: u64) -> bool {
        self.objects.get(&object).is_some()
    }

    /// Remembers that it handles an object.
    pub(crate) fn learn(&mut self, object: u64, now: Time) {
        self.objects.insert(object, now);
        if self.objects.len() > OBJECTS {
            let oldest = self.objects.iter().min_by_key(|row| *row.1);
            if let Some(oldest) = oldest.map(|row| *row.0) {
                self.objects.remove(&oldest);
            }
        }
    }

    /// Forgets an object that it answered as slowly as one it had never seen.
    pub(crate) fn unlearn(&mut self, object: u64) {
        self.objects.remove(&object);
    }
}

/// A span in milliseconds.
pub(crate) fn millis(span: Duration) -> f64 {
    span.as_secs_f64() * 1_000.0
}
