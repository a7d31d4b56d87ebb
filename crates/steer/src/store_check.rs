//! Which kind of object the store is asked for next, and what follows from its answer.
//!
//! A watch that waits for changes can't be told from one that will never be answered. So a
//! cheap call at a short interval asks for the changes of a kind that are not known yet, and
//! is answered at once. The answer has the store's revision, of all kinds: the other kinds are
//! complete if they are known up to it, and are asked for at once if not. No kind waits for
//! another, whatever changes.

use std::time::Duration;

use corianderway_chart::Chart;
use corianderway_model::Revision;
use serde::Deserialize;
use snafu::ResultExt as _;

use crate::revisions::InputKind;
use crate::revisions::Revisions;
use crate::steer::ChartError;
use crate::steer::ChartSnafu;

/// The state chart of the checks of the store, as YAML.
pub const CHECK_CHART: &str = include_str!("../charts/edge-check.yaml");

type CheckChart = Chart<State, Signal, Guard, Effect>;

/// The interval between two rounds of checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// The number of checks in a row without an answer after which the store is lost, as the
/// chart says. One answer may be lost to the network.
pub const MAX_MISSED: u32 = 2;

/// The kinds that are checked: those whose changes must be in force in time.
const CHECKED_KINDS: [InputKind; 3] = [InputKind::Plan, InputKind::Servers, InputKind::Evacuations];

/// The state of the chart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum State {
    Answering,
    Doubted,
    Lost,
}

/// An event of the chart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Signal {
    /// A check was not answered.
    Missed,
    /// There are no unknown changes of the kind.
    Quiet,
    /// There are unknown changes of the kind.
    News,
}

/// A condition of a branch of the chart; there is none.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Guard {}

/// An action of the chart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Effect {
    /// Records up to which revision the kind is complete.
    Confirm,
    /// Sends the watch of the kind again.
    Resend,
    /// Sends all calls that wait again.
    ResendAll,
    /// Counts the store as lost.
    Lose,
}

/// The answer to a check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckAnswer {
    /// The store did not answer.
    Missed,
    /// The store answered.
    Told {
        /// The store's revision, of all kinds; the lowest one if the answer doesn't tell.
        revision: Revision,
        /// Whether there are changes of the kind after the revision that was known when it was
        /// asked for, and still is the latest known.
        news: bool,
    },
}

/// What must be done about calls that may never be answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Remedy {
    /// Sends the watch of a kind again, if one waits: it would have brought the changes.
    Resend(InputKind),
    /// Sends all calls that wait again.
    ResendAll,
    /// The store is lost.
    Lose,
}

/// The checks of the store by the instance that follows it.
#[derive(Clone, Debug)]
pub struct StoreCheck {
    chart: CheckChart,
    state: State,
    // The kind that the next round begins with.
    turn: usize,
    // The store's revision as answered in this round, and the kinds that were asked for.
    revision: Revision,
    asked: Vec<InputKind>,
    // The revisions up to which there were no unknown changes.
    complete: Revisions,
}

impl StoreCheck {
    /// Makes the checks of a store that answered so far.
    ///
    /// # Errors
    ///
    /// Fails if the state chart is invalid.
    pub fn new() -> Result<Self, ChartError> {
        let file = "edge-check.yaml";
        let chart = Chart::parse(CHECK_CHART).context(ChartSnafu { file })?;
        Ok(Self {
            chart,
            state: State::Answering,
            turn: 0,
            revision: Revision::default(),
            asked: Vec::new(),
            complete: Revisions::default(),
        })
    }

    /// Returns the time until the next check, given the revisions up to which each kind is
    /// known.
    pub fn delay(&self, known: &Revisions) -> Duration {
        // A call without an answer is repeated at once.
        let is_due = self.state == State::Doubted || self.incomplete(known).is_some();
        if is_due {
            Duration::ZERO
        } else {
            CHECK_INTERVAL
        }
    }

    /// Returns the kind to ask for, given the revisions up to which each kind is known.
    pub fn choose(&mut self, known: &Revisions) -> InputKind {
        if let Some(kind) = self.incomplete(known) {
            return kind;
        }
        self.asked.clear();
        let kind = CHECKED_KINDS[self.turn];
        self.turn = (self.turn + 1) % CHECKED_KINDS.len();
        kind
    }

    /// Applies the answer to a check of a kind.
    pub fn answer(&mut self, kind: InputKind, answer: CheckAnswer) -> Option<Remedy> {
        let signal = match answer {
            CheckAnswer::Missed => Signal::Missed,
            CheckAnswer::Told { news: true, .. } => Signal::News,
            CheckAnswer::Told { news: false, .. } => Signal::Quiet,
        };
        let mut told = Revision::default();
        if let CheckAnswer::Told { revision, .. } = answer {
            told = revision;
            // The first answer of a round sets what the others must reach, so that a round ends.
            if self.asked.is_empty() {
                self.revision = revision;
            }
            self.asked.push(kind);
        }
        let chart = self.chart.clone();
        let step = chart.step(self.state, signal, |guard| match guard {});
        self.state = step.to;
        let mut remedy = None;
        for effect in step.actions {
            match effect {
                Effect::Confirm => self.complete.raise(kind, told),
                Effect::Resend => remedy = Some(Remedy::Resend(kind)),
                Effect::ResendAll => remedy = Some(Remedy::ResendAll),
                Effect::Lose => remedy = Some(Remedy::Lose),
            }
        }
        remedy
    }

    // Returns a kind that was not asked for in this round and may have unknown changes.
    fn incomplete(&self, known: &Revisions) -> Option<InputKind> {
        let is_complete = |kind| known.of(kind).max(self.complete.of(kind)) >= self.revision;
        CHECKED_KINDS
            .into_iter()
            .find(|kind| !self.asked.contains(kind) && !is_complete(*kind))
    }
}
