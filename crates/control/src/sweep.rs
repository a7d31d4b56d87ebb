//! Removal of claims whose request key is too old to be accepted again.
//!
//! Names of claims begin with the hour in which the request key was created, so
//! that the oldest sort first and a sweep that finds no expired claim costs one
//! call. A removal is conditional on the listed version, so that two instances
//! may safely sweep at the same time.

use std::sync::Arc;
use std::time::Duration;

use corianderway_chart::Chart;
use corianderway_model::Time;
use serde::Deserialize;

use crate::claim_record::ClaimRecord;

/// The state chart of a sweep, as YAML.
pub const SWEEP_CHART: &str = include_str!("../charts/sweep.yaml");

/// The maximum number of claims that one call lists.
pub const SWEEP_PAGE: usize = 200;

/// The time between sweeps that find no expired claim, and the delay after a
/// failed list.
const SWEEP_INTERVAL: Duration = Duration::from_mins(1);

/// How long the platform has to answer a list.
const LIST_TIMEOUT: Duration = Duration::from_secs(5);

/// The maximum number of removals in each [`REMOVAL_INTERVAL`].
const REMOVALS_PER_INTERVAL: usize = 10;

/// The time between removals.
const REMOVAL_INTERVAL: Duration = Duration::from_millis(100);

type SweepChart = Chart<State, Input, Guard, Output>;

/// A stored claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredClaim {
    /// The name.
    pub name: Arc<str>,
    /// The version.
    pub version: u64,
    /// The claim.
    pub record: ClaimRecord,
}

/// An event that a sweep handles.
#[derive(Clone, Debug)]
pub enum SweepEvent {
    /// Time has passed.
    Tick,
    /// This instance is the one that removes claims.
    Chosen,
    /// This instance is no longer the one that removes claims.
    Deselected,
    /// The platform listed the oldest claims.
    Listed {
        /// The claims.
        claims: Vec<StoredClaim>,
        /// The wall-clock time, in seconds after the Unix epoch.
        unix: u64,
    },
    /// The list failed.
    Failed,
}

/// An action that a sweep requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SweepAction {
    /// List the first [`SWEEP_PAGE`] claims in the order of their names.
    List,
    /// Remove a claim if its version still matches.
    Remove {
        /// The name.
        name: Arc<str>,
        /// The version.
        version: u64,
    },
}

/// The sweep of one instance, which removes expired claims while it is chosen.
///
/// Lists the oldest claims, removes the expired ones at a bounded rate, and
/// lists again until none is expired.
#[derive(Clone, Debug)]
pub struct Sweep {
    chart: SweepChart,
    state: State,
    due: Time,
    // Listed and not yet removed.
    expired: Vec<StoredClaim>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum State {
    /// Another instance removes claims.
    Idle,
    /// The next list is scheduled.
    Waiting,
    /// A list is unanswered.
    Listing,
    /// Expired claims are being removed.
    Removing,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Input {
    Chosen,
    Released,
    Due,
    Listed,
    Failed,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Guard {
    HasExpired,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Output {
    List,
    ScheduleList,
    Remove,
}

impl Default for Sweep {
    fn default() -> Self {
        Self::new()
    }
}

impl Sweep {
    /// Creates an idle sweep.
    ///
    /// # Panics
    ///
    /// Panics if the built-in chart is invalid, which the tests rule out.
    pub fn new() -> Self {
        let chart = SweepChart::parse(SWEEP_CHART).expect("the chart is checked by tests");
        Self {
            state: chart.initial(),
            chart,
            due: Time::ZERO,
            expired: Vec::new(),
        }
    }

    /// Handles one event and appends the requested actions to `out`.
    pub fn step(&mut self, now: Time, event: SweepEvent, out: &mut Vec<SweepAction>) {
        let input = match event {
            SweepEvent::Tick if now < self.due => return,
            SweepEvent::Tick => Input::Due,
            SweepEvent::Chosen => Input::Chosen,
            SweepEvent::Deselected => Input::Released,
            SweepEvent::Failed => Input::Failed,
            SweepEvent::Listed { claims, unix } => {
                let expired = claims.into_iter().filter(|c| c.record.removable(unix));
                self.expired = expired.collect();
                Input::Listed
            }
        };
        let has_expired = !self.expired.is_empty();
        let step = self.chart.step(self.state, input, |guard| match guard {
            Guard::HasExpired => has_expired,
        });
        self.state = step.to;
        for output in step.actions {
            match output {
                Output::List => {
                    self.due = now + LIST_TIMEOUT;
                    out.push(SweepAction::List);
                }
                Output::ScheduleList => self.due = now + SWEEP_INTERVAL,
                Output::Remove => {
                    self.due = now + REMOVAL_INTERVAL;
                    let count = self.expired.len().min(REMOVALS_PER_INTERVAL);
                    out.extend(self.expired.drain(..count).map(SweepAction::from));
                }
            }
        }
    }
}

impl From<StoredClaim> for SweepAction {
    fn from(claim: StoredClaim) -> Self {
        Self::Remove {
            name: claim.name,
            version: claim.version,
        }
    }
}
