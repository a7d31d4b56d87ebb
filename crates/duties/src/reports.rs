//! The reports of the holder: when the counts of a window are frozen, sent and settled.

use std::time::Duration;

use corianderway_chart::Chart;
use corianderway_model::Account;
use corianderway_model::SortedMap;
use corianderway_model::Time;
use serde::Deserialize;
use snafu::ResultExt as _;

use crate::event::Moment;
use crate::event::Terms;
use crate::record::Record;
use crate::record::Report;
use crate::ChartError;
use crate::ChartSnafu;

/// The state chart of the report on one window, as YAML.
pub const REPORT_CHART: &str = include_str!("../charts/duty-report.yaml");

type ReportChart = Chart<State, Signal, Guard, Effect>;

/// How long after a window's end most of its attempts have ended.
const SETTLE_DELAY: Duration = Duration::from_secs(2);

/// The fraction of the time until a report is due after which missing answers are not awaited.
const WAIT_FRACTION: f64 = 0.6;

/// How long a new holder collects before it freezes a window that is late already.
const COLLECT_TIME: Duration = Duration::from_secs(1);

/// The delay before a report is repeated the first time; it doubles with each repetition.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(200);

/// The maximum delay before a report is repeated.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1_600);

/// The number of windows that are kept while they can't be reported.
pub(crate) const MAX_WINDOWS: u64 = 24;

/// The state of the chart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum State {
    Open,
    Frozen,
    Ready,
    Sent,
    Settled,
    Refused,
    Skipped,
}

/// An event of the chart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Signal {
    Tick,
    /// The object with the frozen counts was acknowledged.
    Stored,
    Accepted,
    Rejected,
    Unanswered,
}

/// A condition of a branch of the chart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Guard {
    /// Another holder may have sent it, and its counts are not known here.
    Lost,
    /// All instances have told their counts, or there is no time to wait for them.
    Complete,
    /// The lease runs, most instances know that the report may be sent, no other call is in
    /// flight, and the pace permits one.
    MaySend,
}

/// An action of the chart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Effect {
    Freeze,
    Send,
    BackOff,
}

/// One window after the latest settled one.
#[derive(Clone, Debug)]
struct Window {
    state: State,
    counts: Vec<(Account, u64)>,
    // When its end and the delay after it were first noticed.
    ended: Option<Time>,
    retries: u32,
    next_send: Time,
}

/// What the reports depend on beside their own state.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Progress {
    /// Since when all other instances have told their counts, at least once each.
    pub(crate) told_since: Option<Time>,
    /// Since when at least half of them have.
    pub(crate) most_told_since: Option<Time>,
    /// The latest window of which at least half of them know that it may be sent.
    pub(crate) most_know: u64,
    /// Whether the lease runs.
    pub(crate) may_act: bool,
}

/// The windows after the latest settled one, at the holder.
#[derive(Clone, Debug)]
pub struct Reports {
    chart: ReportChart,
    terms: Terms,
    began: Time,
    settled: u64,
    // The latest window whose report any holder may have sent.
    maybe_sent: u64,
    windows: SortedMap<u64, Window>,
    // The latest frozen window in the write that is in flight.
    saving: Option<u64>,
    last_call: Option<Time>,
    unsaved: bool,
}

impl Reports {
    /// Makes the reports of an instance that doesn't hold the duty yet.
    ///
    /// # Errors
    ///
    /// Fails if the state chart is faulty.
    pub fn new(terms: Terms) -> Result<Self, ChartError> {
        let file = "duty-report.yaml";
        Ok(Self {
            chart: Chart::parse(REPORT_CHART).context(ChartSnafu { file })?,
            terms,
            began: Time::ZERO,
            settled: 0,
            maybe_sent: 0,
            windows: SortedMap::default(),
            saving: None,
            last_call: None,
            unsaved: false,
        })
    }

    /// Returns the window of a wall-clock time.
    pub(crate) fn window(&self, wall_ms: u64) -> u64 {
        wall_ms / (self.terms.window.as_millis() as u64).max(1)
    }

    /// Returns the latest settled window.
    pub(crate) fn settled(&self) -> u64 {
        self.settled
    }

    /// Returns the latest window whose report any holder may have sent.
    pub(crate) fn maybe_sent(&self) -> u64 {
        self.maybe_sent
    }

    /// Records what another instance knows of the windows.
    pub(crate) fn learn(&mut self, settled: u64, maybe_sent: u64) {
        self.settled = self.settled.max(settled);
        self.maybe_sent = self.maybe_sent.max(maybe_sent);
    }

    /// Returns whether a change must be stored before anything follows from it.
    pub(crate) fn is_unsaved(&self) -> bool {
        self.unsaved
    }

    /// Prepares a tenure: takes over what the earlier holder stored, or begins after the
    /// window `before` if there is nothing.
    pub(crate) fn prepare(&mut self, record: Option<&Record>, before: u64) {
        self.windows = SortedMap::default();
        self.saving = None;
        self.unsaved = false;
        let stored = record.map_or(before, |record| record.settled);
        self.settled = self.settled.max(stored);
        for report in record.map_or(&[][..], |record| &record.frozen) {
            if report.window > self.settled {
                let window = Window {
                    state: State::Frozen,
                    counts: report.counts.clone(),
                    ..Window::open()
                };
                self.windows.insert(report.window, window);
            }
        }
    }

    /// Begins the tenure that was prepared.
    pub(crate) fn begin(&mut self, now: Time) {
        self.began = now;
    }

    /// Ends the tenure.
    pub(crate) fn lose(&mut self) {
        self.windows = SortedMap::default();
        self.saving = None;
        self.unsaved = false;
    }

    /// Returns the frozen reports for a write that begins.
    pub(crate) fn save(&mut self) -> Vec<Report> {
        self.unsaved = false;
        let frozen = self.windows.iter();
        let frozen = frozen.filter(|row| !matches!(row.1.state, State::Open | State::Skipped));
        let frozen: Vec<Report> = frozen
            .map(|(number, window)| Report {
                window: *number,
                counts: window.counts.clone(),
            })
            .collect();
        self.saving = frozen.last().map(|report| report.window);
        frozen
    }

    /// Records that the write was acknowledged. The frozen reports may be sent once the other
    /// instances know of them.
    pub(crate) fn saved(&mut self) {
        let Some(last) = self.saving.take() else {
            return;
        };
        self.maybe_sent = self.maybe_sent.max(last);
        let numbers: Vec<u64> = self.windows.iter().map(|row| *row.0).collect();
        for number in numbers.into_iter().filter(|number| *number <= last) {
            if self
                .windows
                .get(&number)
                .is_some_and(|w| w.state == State::Frozen)
            {
                self.apply(number, Signal::Stored, |_, _| false);
            }
        }
    }

    /// Records that the write was not acknowledged.
    pub(crate) fn unsaved(&mut self) {
        self.saving = None;
        self.unsaved = true;
    }

    /// Applies the answer to a report; returns how often it was sent.
    pub(crate) fn answer(&mut self, now: Time, number: u64, signal: Signal) -> u32 {
        if self
            .windows
            .get(&number)
            .is_none_or(|w| w.state != State::Sent)
        {
            return 0;
        }
        self.apply(number, signal, |_, _| false);
        let Some(window) = self.windows.get_mut(&number) else {
            return 0;
        };
        if window.state == State::Ready {
            let delay = FIRST_RETRY_DELAY * 2u32.saturating_pow(window.retries.min(8));
            window.next_send = now + delay.min(MAX_RETRY_DELAY);
            window.retries += 1;
        }
        let tries = window.retries;
        self.settle();
        tries
    }

    /// Returns how long after its end a window's report was answered, and whether that is
    /// late.
    pub(crate) fn lateness(&self, number: u64, wall_ms: u64) -> (u64, bool) {
        let length = self.terms.window.as_millis() as u64;
        let after = wall_ms.saturating_sub((number + 1) * length);
        (after, after > self.terms.due.as_millis() as u64)
    }

    /// Lets time pass; returns the report to send, if there is one, and the windows that are
    /// skipped.
    pub(crate) fn tick(
        &mut self,
        at: Moment,
        progress: Progress,
        total: impl Fn(u64) -> Vec<(Account, u64)>,
    ) -> (Option<Report>, Vec<u64>) {
        let current = self.window(at.wall_ms);
        let first = (self.settled + 1).max(current.saturating_sub(MAX_WINDOWS));
        for number in first..=current {
            self.windows.get_or_insert_with(number, Window::open);
        }
        let (mut report, mut skipped) = (None, Vec::new());
        let numbers: Vec<u64> = self.windows.iter().map(|row| *row.0).collect();
        for number in numbers {
            self.note_end(at, number);
            let state = |this: &Self| this.windows.get(&number).map(|window| window.state);
            let guard = |this: &Self, guard| match guard {
                Guard::Lost => number <= this.maybe_sent,
                Guard::Complete => this.is_complete(at, number, progress),
                Guard::MaySend => {
                    let known = progress.may_act && number <= progress.most_know;
                    known && this.may_call(at.now, number)
                }
            };
            if state(self).is_none_or(|state| self.chart.is_final(state)) {
                continue;
            }
            for effect in self.apply(number, Signal::Tick, guard) {
                match effect {
                    Effect::Freeze => {
                        self.unsaved = true;
                        if let Some(window) = self.windows.get_mut(&number) {
                            window.counts = total(number);
                        }
                    }
                    Effect::Send => {
                        self.last_call = Some(at.now);
                        let counts = self.windows.get(&number).map(|w| w.counts.clone());
                        report = counts.map(|counts| Report {
                            window: number,
                            counts,
                        });
                    }
                    Effect::BackOff => {}
                }
            }
            if state(self) == Some(State::Skipped) {
                skipped.push(number);
            }
        }
        self.settle();
        (report, skipped)
    }

    fn apply(
        &mut self,
        number: u64,
        signal: Signal,
        holds: impl Fn(&Self, Guard) -> bool,
    ) -> Vec<Effect> {
        let Some(state) = self.windows.get(&number).map(|window| window.state) else {
            return Vec::new();
        };
        let step = self.chart.step(state, signal, |guard| holds(self, guard));
        let (to, effects) = (step.to, step.actions.to_vec());
        if let Some(window) = self.windows.get_mut(&number) {
            window.state = to;
        }
        effects
    }

    // Moves on over windows that need no report any more.
    fn settle(&mut self) {
        loop {
            let next = self.windows.iter().next();
            let Some((number, window)) = next.map(|(number, w)| (*number, w.state)) else {
                return;
            };
            if !self.chart.is_final(window) {
                return;
            }
            self.windows.remove(&number);
            self.settled = self.settled.max(number);
        }
    }

    fn note_end(&mut self, at: Moment, number: u64) {
        let settle = SETTLE_DELAY.as_millis() as u64;
        let length = self.terms.window.as_millis() as u64;
        if at.wall_ms < (number + 1) * length + settle {
            return;
        }
        if let Some(window) = self.windows.get_mut(&number) {
            window.ended.get_or_insert(at.now);
        }
    }

    fn is_complete(&self, at: Moment, number: u64, progress: Progress) -> bool {
        let ended = self.windows.get(&number).and_then(|window| window.ended);
        let Some(ended) = ended else {
            return false;
        };
        if progress.told_since.is_some_and(|since| since >= ended) {
            return true;
        }
        let (after, _) = self.lateness(number, at.wall_ms);
        let limit = self.terms.due.mul_f64(WAIT_FRACTION).as_millis() as u64;
        let collected = progress
            .most_told_since
            .is_some_and(|since| since >= self.began);
        after >= limit && collected && at.now.since(self.began) >= COLLECT_TIME
    }

    fn may_call(&self, now: Time, number: u64) -> bool {
        let busy = self.windows.iter().any(|row| row.1.state == State::Sent);
        let paced = self
            .last_call
            .is_none_or(|last| now.since(last) >= self.terms.pace);
        let window = self.windows.get(&number);
        !busy && paced && window.is_some_and(|window| now >= window.next_send)
    }
}

impl Window {
    fn open() -> Self {
        Self {
            state: State::Open,
            counts: Vec::new(),
            ended: None,
            retries: 0,
            next_send: Time::ZERO,
        }
    }
}
