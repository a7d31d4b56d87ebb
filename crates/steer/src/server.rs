//! State of one backend server: its chart, load, service times and failures.
//!
//! A [`Server`] gets the answers and failures of this instance's attempts and
//! the load that the server reports with its answers. It limits the requests
//! that this instance has in flight there to a window that adapts to the
//! reported queue, and it estimates the server's occupancy, slowdown and
//! failure rate.

use std::time::Duration;

use corianderway_chart::Chart;
use corianderway_model::Presence;
use corianderway_model::SortedMap;
use corianderway_model::Time;
use serde::Deserialize;

use crate::event::Load;
use crate::event::RequestId;
use crate::listing::ServerEntry;
use crate::machine_speed::Stretch;

/// The state chart of a backend server, as YAML.
pub const SERVER_CHART: &str = include_str!("../charts/edge-server.yaml");

pub(crate) type ServerChart = Chart<State, Signal, Guard, Effect>;

/// Duration of the first ejection; each further one takes twice as long.
const FIRST_EJECTION: Duration = Duration::from_millis(500);

/// Maximum duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(4);

/// Failed connection attempts in a row that eject a server.
const CONNECT_FAILURES_TO_EJECT: u32 = 2;

/// Failure rate above which a server is ejected.
const MAX_FAILURE_RATE: f64 = 0.5;

/// Weight of a new answer in the moving average of failures.
const FAILURE_RATE_GAIN: f64 = 0.2;

/// Weight of a new answer in the moving average of the slowdown.
const SLOWDOWN_GAIN: f64 = 0.3;

/// Time in which the slowdown's excess over 1 halves unless new answers confirm
/// it.
const SLOWDOWN_HALF_LIFE: Duration = Duration::from_secs(4);

/// Mean ratio of actual to expected time up to which a server doesn't count as
/// slow. A request whose object the server has evicted takes several times as
/// long as expected.
const MAX_NORMAL_SLOWDOWN: f64 = 1.8;

/// Ratio of actual to expected time from which a request is overdue.
const OVERDUE_RATIO: f64 = 1.5;

/// Time for which a reported load is used.
const LOAD_REPORT_TTL: Duration = Duration::from_secs(1);

/// Minimum remaining time, in milliseconds, that is expected of a request that
/// is building an object's state and takes longer than expected.
const MIN_BUILD_MS: f64 = 40.0;

/// Factor by which the window shrinks when too many requests wait at the
/// server.
const WINDOW_SHRINK_FACTOR: f64 = 0.8;

/// Minimum time between two reductions of a window, so that the first can take
/// effect.
const WINDOW_SHRINK_INTERVAL: Duration = Duration::from_millis(200);

/// Share of its window with which a server returns from a pause that it asked for.
const RETURN_SHARE: f64 = 0.25;

/// How long a server that said that it leaves may still be used if a service has no other:
/// less than the 2.5 s after which it must get no requests, since a request takes some time.
const RESIGNATION_GRACE: Duration = Duration::from_millis(1_500);

/// Objects remembered for each server; more than any server caches.
const MAX_OBJECTS: usize = 128;

/// State of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum State {
    Warming,
    Serving,
    Ejected,
    Leaving,
    Resigned,
}

/// An event in the chart of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Signal {
    /// The server reports that it is cold.
    ReportedCold,
    /// The evacuation of the server's failure domain has ended.
    Readmitted,
    /// The server's entry is listed again, or its address or presence has
    /// changed.
    Listed,
    /// The server is draining or its entry is gone.
    Withdrawn,
    /// Another server answered at its address.
    Misdirected,
    /// An answer of the server says that it leaves.
    SaidLeaving,
    /// The server answered without a failure.
    Succeeded,
    /// The server failed or could not be reached.
    Failed,
    Tick,
}

/// A condition that selects a transition.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Guard {
    /// The server failed too often recently.
    TooManyFailures,
    /// The server's cold period has not ended.
    StillCold,
    /// The server's ejection has not ended.
    StillEjected,
}

/// An action of a transition.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Effect {
    /// Begins an ejection.
    BeginEjection,
    /// Begins an ejection of the maximum length. The server may be back at its address while its
    /// entry stays as it is.
    BeginLongEjection,
    /// Begins a cold period. Until the server answers, one more failed connection attempt
    /// ejects it again.
    BeginCold,
    /// Begins a cold period, since the server's last report may be older than its last one.
    AssumeCold,
    /// Resets the counts of failed connection attempts and of ejections.
    ClearFailures,
}

/// A request of this instance in flight at a backend server.
#[derive(Clone, Copy, Debug)]
struct InFlight {
    id: RequestId,
    since: Time,
    // Expected time to the answer, in milliseconds.
    expected: f64,
    // The object whose state the request builds at the server.
    building: Option<u64>,
}

/// A backend server as seen by this instance.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) listed: ServerEntry,
    pub(crate) state: State,
    /// Hash of the server's id, for rendezvous hashing.
    pub(crate) hash: u64,
    /// When the entry went missing, if it has.
    pub(crate) missing: Option<Time>,
    /// End of the cold period.
    pub(crate) cold_until: Time,
    /// When this instance may send the next request while the server is cold.
    pub(crate) cold_next: Time,
    // Maximum number of this instance's requests in flight here, and what it was at first.
    window: f64,
    first_window: f64,
    window_shrunk: Time,
    requests: Vec<InFlight>,
    // The last reported load: its time, the requests of all instances that ran or waited,
    // and this instance's own in flight at that time.
    reported: Option<(Time, u32, u32)>,
    // When the server last answered a request of this instance, if it has.
    answered: Option<Time>,
    // How long work takes on the server's machine, as it last said.
    stretch: Option<Stretch>,
    // The objects whose state the server has cached, with the time of the last answer.
    objects: SortedMap<u64, Time>,
    // The moving average of actual over expected times, and when it was updated.
    slowdown: (Time, f64),
    failure_rate: f64,
    connect_failures: u32,
    ejections: u32,
    ejected_until: Time,
    full_until: Time,
    // End of the pause that the server asked for.
    paused_until: Time,
    // When the server said that it leaves.
    resigned: Option<Time>,
}

impl Server {
    /// Creates a server that accepts at first `window` requests of this
    /// instance at once.
    pub(crate) fn new(listed: ServerEntry, hash: u64, window: f64, now: Time) -> Self {
        Self {
            state: State::Warming,
            hash,
            missing: None,
            cold_until: now + listed.cold_left,
            cold_next: now,
            window,
            first_window: window,
            window_shrunk: now,
            requests: Vec::new(),
            reported: None,
            answered: None,
            stretch: None,
            objects: SortedMap::default(),
            slowdown: (now, 1.0),
            failure_rate: 0.0,
            connect_failures: 0,
            ejections: 0,
            ejected_until: now,
            full_until: now,
            paused_until: now,
            resigned: None,
            listed,
        }
    }

    /// Applies an event to the chart.
    ///
    /// `dispensable` says whether the service's other servers suffice without
    /// this one; `cold` is the length of a cold period that the server hasn't reported.
    pub(crate) fn advance(
        &mut self,
        chart: &ServerChart,
        now: Time,
        signal: Signal,
        dispensable: bool,
        cold: Duration,
    ) {
        let too_many_failures = self.connect_failures >= CONNECT_FAILURES_TO_EJECT
            || (self.failure_rate > MAX_FAILURE_RATE && dispensable);
        let step = chart.step(self.state, signal, |guard| match guard {
            Guard::TooManyFailures => too_many_failures,
            Guard::StillCold => now < self.cold_until,
            Guard::StillEjected => now < self.ejected_until,
        });
        self.state = step.to;
        for effect in step.actions {
            match effect {
                Effect::BeginEjection => {
                    let span =
                        (FIRST_EJECTION * 2_u32.pow(self.ejections.min(3))).min(MAX_EJECTION);
                    self.ejected_until = now + span;
                    self.ejections += 1;
                }
                Effect::BeginLongEjection => self.ejected_until = now + MAX_EJECTION,
                Effect::BeginCold => {
                    self.cold_until = now + cold;
                    self.connect_failures = CONNECT_FAILURES_TO_EJECT - 1;
                    self.failure_rate = MAX_FAILURE_RATE / 2.0;
                }
                Effect::AssumeCold => self.cold_until = self.cold_until.max(now + cold),
                Effect::ClearFailures => {
                    self.connect_failures = 0;
                    self.ejections = 0;
                }
            }
        }
    }

    /// Records that a request was sent to the server.
    pub(crate) fn begin(&mut self, id: RequestId, now: Time, expected: f64, building: Option<u64>) {
        let since = now;
        self.requests.push(InFlight {
            id,
            since,
            expected,
            building,
        });
    }

    /// Returns the expected remaining time, in milliseconds, of a request in
    /// flight that is building the state of the object.
    pub(crate) fn build_left(&self, object: u64, now: Time) -> Option<f64> {
        let request = self
            .requests
            .iter()
            .find(|request| request.building == Some(object))?;
        Some((request.expected - millis(now.since(request.since))).max(MIN_BUILD_MS))
    }

    /// Returns how long a request in flight has taken so far, in milliseconds.
    pub(crate) fn elapsed(&self, id: RequestId, now: Time) -> Option<f64> {
        let request = self.requests.iter().find(|request| request.id == id)?;
        Some(millis(now.since(request.since)))
    }

    /// Removes a request that has ended. Returns its actual and its expected
    /// time, in milliseconds.
    pub(crate) fn end(&mut self, id: RequestId, now: Time) -> Option<(f64, f64)> {
        let at = self.requests.iter().position(|request| request.id == id)?;
        let request = self.requests.swap_remove(at);
        Some((millis(now.since(request.since)), request.expected))
    }

    /// Records a reported load and adapts the window.
    ///
    /// The window shrinks while more than `tolerated` requests wait at the
    /// server. Otherwise it grows while this instance uses it up.
    pub(crate) fn record_load(&mut self, now: Time, load: Load, tolerated: f64) {
        self.reported = Some((now, load.running + load.waiting, self.active()));
        let waiting = f64::from(load.waiting);
        if waiting > tolerated {
            self.shrink_window(now);
        } else if f64::from(self.active()) + 2.0 > self.window {
            let free = load.running < load.slots;
            let limit = f64::from(load.slots) + tolerated;
            let step = if free { 1.0 } else { 1.0 / self.window };
            self.window = (self.window + step).min(limit);
        }
    }

    /// Adapts the window to an answer without a load report: it grows back to what it was at
    /// first, by one for each window of answers, while this instance uses it up.
    pub(crate) fn restore_window(&mut self) {
        if f64::from(self.active()) + 2.0 > self.window {
            let restored = self.window + 1.0 / self.window;
            self.window = restored.min(self.first_window).max(self.window);
        }
    }

    /// Records how long work takes on the server's machine. Returns what it said before.
    pub(crate) fn record_stretch(&mut self, stated: Stretch) -> Option<Stretch> {
        self.stretch.replace(stated)
    }

    /// Returns how long work takes on the server's machine, as it last said.
    pub(crate) fn stretch(&self) -> Option<Stretch> {
        self.stretch
    }

    /// Shrinks the window, at most once per [`WINDOW_SHRINK_INTERVAL`].
    pub(crate) fn shrink_window(&mut self, now: Time) {
        if now.since(self.window_shrunk) >= WINDOW_SHRINK_INTERVAL {
            self.window_shrunk = now;
            self.window = (self.window * WINDOW_SHRINK_FACTOR).max(1.0);
        }
    }

    /// Returns whether the window permits another request.
    pub(crate) fn has_window(&self) -> bool {
        f64::from(self.active()) + 1.0 <= self.window
    }

    /// Returns the number of this instance's requests in flight here.
    pub(crate) fn active(&self) -> u32 {
        self.requests.len() as u32
    }

    /// Estimates the requests of all instances that run or wait at the server.
    ///
    /// Without a recent load report the share `utilization` of its slots counts
    /// as used by other instances.
    pub(crate) fn occupancy(&self, now: Time, utilization: f64) -> f64 {
        let in_flight = f64::from(self.active());
        let reported = self
            .reported
            .filter(|(at, ..)| now.since(*at) < LOAD_REPORT_TTL);
        let others = reported.map(|(_, total, own)| f64::from(total.saturating_sub(own)));
        in_flight + others.unwrap_or(utilization * f64::from(self.listed.backend.slots))
    }

    /// Records a complete answer and the ratio of its actual to its expected
    /// time.
    pub(crate) fn record_answer(&mut self, now: Time, ratio: f64, failed: bool) {
        self.answered = Some(now);
        self.connect_failures = 0;
        self.record_end(now, ratio, failed);
    }

    /// Records a request that got no answer by its deadline, after `took` milliseconds. Returns
    /// whether it counts as a failure: it is long overdue, and the server has answered no other
    /// request of this instance meanwhile.
    pub(crate) fn record_timeout(&mut self, now: Time, took: f64, expected: f64) -> bool {
        let ratio = took / expected.max(1.0);
        let answered = self.answered.is_some_and(|at| millis(now.since(at)) < took);
        let failed = !answered && ratio > OVERDUE_RATIO;
        if !failed {
            self.connect_failures = 0;
        }
        self.record_end(now, ratio, failed);
        failed
    }

    fn record_end(&mut self, now: Time, ratio: f64, failed: bool) {
        self.failure_rate += (f64::from(u8::from(failed)) - self.failure_rate) * FAILURE_RATE_GAIN;
        let slowdown = self.mean_ratio(now);
        self.slowdown = (now, slowdown + (ratio - slowdown) * SLOWDOWN_GAIN);
    }

    /// Records an attempt that ended without an answer.
    pub(crate) fn record_failure(&mut self, unreachable: bool) {
        self.connect_failures += u32::from(unreachable);
        self.failure_rate += (1.0 - self.failure_rate) * FAILURE_RATE_GAIN;
    }

    /// Excludes the server for a time because it had no room.
    pub(crate) fn mark_full(&mut self, now: Time, span: Duration) {
        self.full_until = now + span;
        self.answered = Some(now);
    }

    /// Records that an answer says that the server leaves.
    pub(crate) fn resign(&mut self, now: Time) {
        self.resigned.get_or_insert(now);
    }

    /// Returns whether the server said so only recently, so that it still serves what
    /// reaches it.
    pub(crate) fn has_just_resigned(&self, now: Time) -> bool {
        let recent = |at| now.since(at) < RESIGNATION_GRACE;
        let is_listed = self.missing.is_none() && self.listed.backend.presence == Presence::Live;
        self.state == State::Resigned && is_listed && self.resigned.is_some_and(recent)
    }

    /// Excludes the server for a time that it asked for. Afterwards it gets a part of the
    /// requests that it got before, which grows with its answers.
    pub(crate) fn pause(&mut self, now: Time, span: Duration) {
        self.paused_until = self.paused_until.max(now + span);
        self.window = (self.window * RETURN_SHARE).max(1.0);
    }

    /// Returns how much longer the server wants no requests.
    pub(crate) fn pause_left(&self, now: Time) -> Duration {
        self.paused_until.since(now)
    }

    /// Returns whether the server recently reported that it has no room.
    pub(crate) fn is_full(&self, now: Time) -> bool {
        now < self.full_until
    }

    /// Returns the factor by which the server takes longer than expected; 1
    /// within the normal range.
    pub(crate) fn slowness(&self, now: Time) -> f64 {
        let slowdown = self.mean_ratio(now);
        if slowdown > MAX_NORMAL_SLOWDOWN {
            slowdown
        } else {
            1.0
        }
    }

    // Returns the moving average of actual over expected times, decayed to
    // `now`.
    fn mean_ratio(&self, now: Time) -> f64 {
        let (at, slowdown) = self.slowdown;
        let half_lives = now.since(at).as_secs_f64() / SLOWDOWN_HALF_LIFE.as_secs_f64();
        1.0 + (slowdown - 1.0) * 0.5_f64.powf(half_lives)
    }

    /// Returns the share of recent answers that were failures.
    pub(crate) fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Returns how far the oldest request exceeds [`OVERDUE_RATIO`] times its expected time,
    /// in milliseconds.
    pub(crate) fn overdue(&self, now: Time) -> f64 {
        let over = |request: &InFlight| {
            millis(now.since(request.since)) - request.expected * OVERDUE_RATIO
        };
        self.requests.iter().map(over).fold(0.0, f64::max)
    }

    /// Returns whether this instance recently sent the server requests for the object.
    pub(crate) fn has_object(&self, object: u64) -> bool {
        self.objects.get(&object).is_some()
    }

    /// Remembers that the server has cached the object's state.
    pub(crate) fn remember(&mut self, object: u64, now: Time) {
        self.objects.insert(object, now);
        if self.objects.len() > MAX_OBJECTS {
            let oldest = self.objects.iter().min_by_key(|row| *row.1);
            if let Some(oldest) = oldest.map(|row| *row.0) {
                self.objects.remove(&oldest);
            }
        }
    }

    /// Forgets an object whose request failed at this server.
    pub(crate) fn forget(&mut self, object: u64) {
        self.objects.remove(&object);
    }
}

/// Converts a duration to milliseconds.
pub(crate) fn millis(span: Duration) -> f64 {
    span.as_secs_f64() * 1_000.0
}
