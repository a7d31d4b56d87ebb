//! Whether the store is away, as far as this instance can tell.
//!
//! Entries of live backend servers lapse while the store is away, and are back soon after its
//! return. The loss of another instance, whose replica this one follows, is no outage: it says
//! nothing of the store. Nor is its word that it lost the store, unless instances of other
//! failure domains missed answers, too: the store may answer everyone but that instance.

use std::time::Duration;

use corianderway_chart::Chart;
use corianderway_model::Time;
use serde::Deserialize;

use crate::source::State as SourceState;
use crate::steer::Steer;

/// The state chart of an outage of the store, as YAML.
pub const OUTAGE_CHART: &str = include_str!("../charts/edge-store.yaml");

pub(crate) type OutageChart = Chart<State, Signal, Guard, Effect>;

/// How long after the store's return entries of backend servers may still be missing.
const RETURN_WINDOW: Duration = Duration::from_secs(3);

/// How long instances of other failure domains may tell later of answers that they missed.
/// They miss one within 1.2 s of the start of an outage, before any instance takes the store
/// for lost.
const SUSPICION_WINDOW: Duration = Duration::from_secs(3);

/// How long after a missed answer of the store an instance tells others of it.
const DOUBT_WINDOW: Duration = Duration::from_secs(3);

/// The state of the chart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum State {
    Present,
    Suspected,
    Away,
    Returned,
}

/// An event of the chart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Signal {
    /// The store did not answer this instance.
    Lost,
    /// The store did not answer the instance whose replica this one follows.
    NeighborLost,
    /// The store did not answer an instance of another failure domain.
    OthersDoubt,
    /// The store came back from an older copy.
    Restored,
    /// The contents of the store, or of a replica, are up to date.
    Reached,
    Tick,
}

/// A condition of a branch of the chart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Guard {
    /// Entries that lapsed had the time to return.
    EntriesBack,
    /// Instances of other failure domains missed answers, or none of them tells.
    AwayForOthers,
    /// If others had missed answers, they would have told by now.
    SuspicionOver,
}

/// An action of the chart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Effect {
    /// Records the time of the store's return.
    RecordReturn,
    /// Records the time of the neighbor's word.
    RecordSuspicion,
}

/// The state of the store.
#[derive(Debug)]
pub(crate) struct Outage {
    chart: OutageChart,
    state: State,
    returned: Time,
    suspected: Time,
}

impl Outage {
    pub(crate) fn new(chart: OutageChart) -> Self {
        Self {
            chart,
            state: State::Present,
            returned: Time::ZERO,
            suspected: Time::ZERO,
        }
    }

    /// Applies an event to the chart. `for_others` says whether the store is away for
    /// instances of other failure domains, as far as they tell.
    pub(crate) fn advance(&mut self, now: Time, signal: Signal, for_others: bool) {
        let (returned, suspected) = (self.returned, self.suspected);
        let step = self.chart.step(self.state, signal, |guard| match guard {
            Guard::EntriesBack => now.since(returned) >= RETURN_WINDOW,
            Guard::AwayForOthers => for_others,
            Guard::SuspicionOver => now.since(suspected) >= SUSPICION_WINDOW,
        });
        self.state = step.to;
        for effect in step.actions {
            match effect {
                Effect::RecordReturn => self.returned = now,
                Effect::RecordSuspicion => self.suspected = now,
            }
        }
    }

    /// Returns whether entries of live backend servers may be missing.
    pub(crate) fn is_unsettled(&self) -> bool {
        matches!(self.state, State::Away | State::Returned)
    }
}

impl Steer {
    /// Records that the source lost the store.
    pub(crate) fn record_loss(&mut self, now: Time) {
        // A neighbor's word tells of the neighbor alone.
        if self.selector.state == SourceState::FollowingStore {
            self.store_missed = Some(now);
            self.advance_outage(now, Signal::Lost);
        } else {
            self.advance_outage(now, Signal::NeighborLost);
        }
    }

    /// Advances the chart of an outage of the store.
    pub(crate) fn advance_outage(&mut self, now: Time, signal: Signal) {
        let for_others = self.members.miss_store(now);
        self.outage.advance(now, signal, for_others);
    }

    /// Returns whether the store recently did not answer this instance.
    pub(crate) fn doubts_store(&self, now: Time) -> bool {
        let missed = self.store_missed;
        missed.is_some_and(|at| now.since(at) < DOUBT_WINDOW)
    }
}
