//! Removal of claims that no request can need any more.
//!
//! Names of claims begin with the hour in which the request key was made, so
//! the oldest come first in the order of names and a sweep that finds nothing
//! old costs one call. A removal is bound to the version that was listed; two
//! instances that sweep at once do no harm.

use std::sync::Arc;
use std::time::Duration;

use corianderway_chart::Chart;
use corianderway_model::Time;
use serde::Deserialize;

use crate::claim_record::ClaimRecord;

/// The chart of a sweep, as its file spells it.
pub const SWEEP_CHART: &str = include_str!("../charts/sweep.yaml");

/// Claims that one call lists.
pub const SWEEP_PAGE: usize = 200;

/// The time between sweeps that find nothing old.
const REST: Duration = Duration::from_mins(1);

/// How long a list may take.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Removals each time that some are due.
const REMOVED_AT_ONCE: usize = 10;

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

/// What happens to a sweep.
#[derive(Clone, Debug)]
pub enum SweepEvent {
    /// Time has passed.
    Tick,
    /// This instance is to sweep.
    Chosen,
    /// This instance need not sweep any longer.
    Released,
    /// The oldest claims, at `unix` seconds after the Unix epoch.
    Listed {
        /// The claims.
        claims: Vec<StoredClaim>,
        /// The time on the wall clock.
        unix: u64,
    },
    /// The list failed.
    Failed,
}

/// What a sweep wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SweepAction {
    /// List the first [`SWEEP_PAGE`] claims in the order of their names.
    List,
    /// Remove a claim, on condition of its version.
    Remove {
        /// The name.
        name: Arc<str>,
        /// The version.
        version: u64,
    },
}

/// The sweep of one instance.
#[derive(Clone, Debug)]
pub struct Sweep {
    chart: SweepChart,
    state: State,
    due: Time,
    old: Vec<StoredClaim>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum State {
    Idle,
    Resting,
    Listing,
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
    SomeOld,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Output {
    List,
    Rest,
    Remove,
}

impl Default for Sweep {
    fn default() -> Self {
        Self::new()
    }
}

impl Sweep {
    /// Starts idle.
    ///
    /// # Panics
    ///
    /// Panics if the built-in chart is wrong, which the tests rule out.
    pub fn new() -> Self {
        let chart = SweepChart::parse(SWEEP_CHART).expect("the chart is checked by tests");
        Self {
            state: chart.initial(),
            chart,
            due: Time::ZERO,
            old: Vec::new(),
        }
    }

    /// Answers one event.
    pub fn step(&mut self, now: Time, event: SweepEvent, out: &mut Vec<SweepAction>) {
        let input = match event {
            SweepEvent::Tick if now < self.due => return,
            SweepEvent::Tick => Input::Due,
            SweepEvent::Chosen => Input::Chosen,
            SweepEvent::Released => Input::Released,
            SweepEvent::Failed => Input::Failed,
            SweepEvent::Listed { claims, unix } => {
                let old = claims.into_iter().filter(|c| c.record.removable(unix));
                self.old = old.collect();
                Input::Listed
            }
        };
        let some_old = !self.old.is_empty();
        let step = self.chart.step(self.state, input, |guard| match guard {
            Guard::SomeOld => some_old,
        });
        self.state = step.to;
        for output in step.actions {
            match output {
                Output::List => {
                    self.due = now + ANSWER_TIMEOUT;
                    out.push(SweepAction::List);
                }
                Output::Rest => self.due = now + REST,
                Output::Remove => {
                    self.due = now + REMOVAL_INTERVAL;
                    let some = self.old.len().min(REMOVED_AT_ONCE);
                    out.extend(self.old.drain(..some).map(SweepAction::from));
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
