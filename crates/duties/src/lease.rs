//! The lease of a duty: who may take it over, and until when its holder may act.

use std::time::Duration;

use corianderway_chart::Chart;
use corianderway_model::Time;
use serde::Deserialize;
use snafu::ResultExt as _;

use crate::book::Source;
use crate::record::Found;
use crate::record::Record;
use crate::record::Version;
use crate::ChartError;
use crate::ChartSnafu;

/// The state chart of a lease, as YAML.
pub const LEASE_CHART: &str = include_str!("../charts/duty-lease.yaml");

type LeaseChart = Chart<State, Signal, Guard, Effect>;

/// How long nothing is heard from a holder before its object is read: one question may be
/// lost.
const SILENCE: Duration = Duration::from_millis(2_300);

/// The additional delay for each instance that takes over before this one, so that usually
/// only one tries.
const RANK_DELAY: Duration = Duration::from_millis(500);

/// The delay before the next read after a failure, for each rank.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// The maximum rank that delays.
const MAX_RANK: u32 = 12;

/// The fraction of the lease for which its holder may act: a call may be on its way meanwhile.
const ACT_FRACTION: f64 = 5.0 / 6.0;

/// The minimum time between two writes of the holder.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(200);

/// How long an instance that gave the duty up for want of answers leaves it to others.
const ISOLATION_PAUSE: Duration = Duration::from_secs(5);

/// The state of the chart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum State {
    Following,
    Reading,
    Waiting,
    Taking,
    Holding,
    Renewing,
}

/// An event of the chart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Signal {
    Tick,
    /// The latest holder that is known asked for counts.
    Heard,
    Read,
    /// The store gave no usable answer.
    Failed,
    Written,
    /// The object has another version than the write expected.
    Conflict,
}

/// A condition of a branch of the chart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Guard {
    /// No holder was heard for long, and it is this instance's turn to read.
    Silent,
    /// No other instance can hold the lease with the object as it was last known.
    Lapsed,
    /// This instance's own lease has ended.
    Ended,
    /// Too few instances answer for the counts to be right.
    Isolated,
    /// A renewal is due, or there is something to store.
    Due,
    /// Another instance has a higher token.
    Superseded,
    /// The object is as an earlier write of this tenure left it.
    Own,
}

/// An action of the chart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Effect {
    Read,
    /// Writes the object with a new token.
    Take,
    /// Begins the tenure.
    Begin,
    Renew,
    /// Extends the tenure.
    Confirm,
    /// Ends the tenure.
    Lose,
    /// Delays the next read.
    BackOff,
}

/// What a step of the lease depends on beside its own state.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Surroundings {
    /// The number of instances that take over before this one.
    pub(crate) rank: u32,
    /// Whether too few instances answer.
    pub(crate) isolated: bool,
    /// Whether there is something to store.
    pub(crate) unsaved: bool,
}

/// The tenure of this instance.
#[derive(Clone, Copy, Debug)]
struct Tenure {
    token: u64,
    beat: u64,
    version: Version,
    // When the latest acknowledged write was sent.
    renewed: Time,
    // When the latest write was sent.
    sent: Time,
}

/// The lease as one instance knows it.
#[derive(Clone, Debug)]
pub struct Lease {
    chart: LeaseChart,
    state: State,
    me: Source,
    length: Duration,
    // The latest version that is known, and when it was first known.
    seen: Option<(Version, Time)>,
    record: Option<Record>,
    // The highest token that is known.
    token: u64,
    heard: Time,
    next_read: Time,
    // The write in flight, then the tenure.
    tenure: Option<Tenure>,
    // The era of the latest acknowledged write.
    era: Option<u64>,
}

impl Lease {
    /// Makes the lease of an instance that has just started.
    ///
    /// # Errors
    ///
    /// Fails if the state chart is faulty.
    pub fn new(me: Source, length: Duration, now: Time) -> Result<Self, ChartError> {
        let file = "duty-lease.yaml";
        let chart = Chart::parse(LEASE_CHART).context(ChartSnafu { file })?;
        Ok(Self {
            state: State::Following,
            chart,
            me,
            length,
            seen: None,
            record: None,
            token: 0,
            heard: now,
            next_read: now,
            tenure: None,
            era: None,
        })
    }

    /// Returns whether this instance holds the duty, whether or not it may act.
    pub fn is_held(&self) -> bool {
        matches!(self.state, State::Holding | State::Renewing)
    }

    /// Returns the time from which the holder may not act any more, if this instance holds
    /// the duty and has not reached it.
    pub fn may_act(&self, now: Time) -> Option<Time> {
        let tenure = self.tenure.filter(|_| self.is_held())?;
        let end = self.end(&tenure);
        (now < end).then_some(end)
    }

    /// Returns this instance's token, if it holds the duty.
    pub fn token(&self) -> Option<u64> {
        let tenure = self.tenure.filter(|_| self.is_held());
        tenure.map(|tenure| tenure.token)
    }

    /// Returns the version of the object after this instance's latest acknowledged write.
    pub(crate) fn version(&self) -> Version {
        self.tenure.map_or_else(Version::default, |t| t.version)
    }

    /// Returns the contents of the object as it was last read.
    pub(crate) fn record(&self) -> Option<&Record> {
        self.record.as_ref()
    }

    /// Records that another holder asked; an earlier one than the latest known is ignored.
    pub(crate) fn hear(&mut self, now: Time, token: u64, version: Version) -> bool {
        if token < self.token || self.token() == Some(token) {
            return false;
        }
        self.token = token;
        self.heard = now;
        self.observe(now, version);
        true
    }

    /// Records what the store returned.
    pub(crate) fn find(&mut self, now: Time, found: Found) {
        self.observe(now, found.version);
        let stored = found.record.as_ref().map_or(0, |record| record.token);
        self.token = self.token.max(stored);
        self.record = found.record;
    }

    /// Applies an event to the chart.
    pub(crate) fn advance(
        &mut self,
        now: Time,
        signal: Signal,
        around: Surroundings,
    ) -> Vec<Effect> {
        let step = self
            .chart
            .step(self.state, signal, |guard| self.holds(now, guard, around));
        let effects = step.actions.to_vec();
        self.state = step.to;
        for effect in &effects {
            match effect {
                Effect::BackOff => {
                    let rank = around.rank.min(MAX_RANK);
                    self.next_read = now + RETRY_DELAY * (rank + 1);
                }
                Effect::Lose => {
                    self.tenure = None;
                    // Others had no occasion to notice the silence yet.
                    self.heard = now;
                    if around.isolated {
                        self.next_read = now + ISOLATION_PAUSE;
                    }
                }
                Effect::Read | Effect::Take | Effect::Begin | Effect::Renew | Effect::Confirm => {}
            }
        }
        effects
    }

    /// Begins a takeover: returns the new token, the number of the write, and the revision
    /// that the object must still have.
    pub(crate) fn take(&mut self, now: Time, wall_ms: u64) -> (u64, u64, u64) {
        let version = self.seen.map_or_else(Version::default, |seen| seen.0);
        let own = self.record.as_ref().filter(|_| self.is_own());
        let (token, beat) = match own {
            Some(record) => (record.token, record.beat + 1),
            // The wall clock keeps tokens rising if the store has lost the latest one.
            None => ((self.token + 1).max(wall_ms), 1),
        };
        self.tenure = Some(Tenure {
            token,
            beat,
            version,
            renewed: now,
            sent: now,
        });
        (token, beat, version.revision)
    }

    /// Begins a renewal, as [`take`](Self::take) does; returns nothing if there is no tenure.
    pub(crate) fn renew(&mut self, now: Time) -> Option<(u64, u64, u64)> {
        let tenure = self.tenure.as_mut()?;
        tenure.sent = now;
        tenure.beat += 1;
        Some((tenure.token, tenure.beat, tenure.version.revision))
    }

    /// Records an acknowledged write. Returns whether it counts: one in another era than the
    /// object that it replaced may have met the condition by chance.
    pub(crate) fn acknowledge(&mut self, now: Time, version: Version) -> bool {
        self.observe(now, version);
        let Some(tenure) = self.tenure.as_mut() else {
            return false;
        };
        // An absent object has an era as well.
        if tenure.version.era != version.era {
            return false;
        }
        tenure.version = version;
        tenure.renewed = tenure.sent;
        self.token = self.token.max(tenure.token);
        self.era = Some(version.era);
        true
    }

    /// Goes on from the version that was found, if the object is this tenure's own.
    pub(crate) fn adopt(&mut self) {
        if let (Some(tenure), Some((version, _))) = (self.tenure.as_mut(), self.seen) {
            tenure.version = version;
        }
    }

    fn observe(&mut self, now: Time, version: Version) {
        if self.seen.is_none_or(|seen| seen.0 != version) {
            self.seen = Some((version, now));
        }
    }

    // Returns whether the object, as last read, was written by this run and no later holder
    // is known. Another era may have brought back an early copy.
    fn is_own(&self) -> bool {
        let era = self.seen.map(|seen| seen.0.era);
        self.record.as_ref().is_some_and(|record| {
            (&record.holder, record.run) == (&self.me.0, self.me.1)
                && record.token == self.token
                && self.era == era
        })
    }

    fn end(&self, tenure: &Tenure) -> Time {
        tenure.renewed + self.length.mul_f64(ACT_FRACTION)
    }

    fn holds(&self, now: Time, guard: Guard, around: Surroundings) -> bool {
        let tenure = self.tenure.as_ref();
        match guard {
            Guard::Silent => {
                let rank = around.rank.min(MAX_RANK);
                now >= self.heard + SILENCE + RANK_DELAY * rank && now >= self.next_read
            }
            Guard::Lapsed => {
                let wait = self.length + self.length / 10;
                let waited = self.seen.is_some_and(|(_, first)| now >= first + wait);
                waited || self.is_own()
            }
            Guard::Ended => tenure.is_none_or(|tenure| now >= self.end(tenure)),
            Guard::Isolated => around.isolated,
            Guard::Due => tenure.is_some_and(|tenure| {
                let due = now.since(tenure.renewed) >= self.length / 3 || around.unsaved;
                due && now.since(tenure.sent) >= MIN_WRITE_INTERVAL
            }),
            Guard::Superseded => tenure.is_some_and(|tenure| self.token > tenure.token),
            Guard::Own => {
                let token = tenure.map(|tenure| tenure.token);
                self.is_own() && Some(self.token) == token
            }
        }
    }
}
