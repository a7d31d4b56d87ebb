//! A chart as deserialized from its file, with the checks that don't need the
//! caller's enums.
//!
//! A checked chart has only listed and reachable states, each state that isn't
//! final handles or ignores every event exactly once, and the last branch for an
//! event is its only unguarded one. Each transition performs the actions that the
//! states and activities it enters and leaves require.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde_with::serde_as;
use serde_with::OneOrMany;
use snafu::ensure;
use snafu::ResultExt;

use crate::activity::Activity;
use crate::error::EntryActionSnafu;
use crate::error::Error;
use crate::error::FinalHandlesEventsSnafu;
use crate::error::HandledTwiceSnafu;
use crate::error::MissingEventSnafu;
use crate::error::MissingStateSnafu;
use crate::error::Result;
use crate::error::UnguardedBranchSnafu;
use crate::error::UnhandledEventSnafu;
use crate::error::UnreachableSnafu;
use crate::error::YamlSnafu;

/// The contents of a chart file, with names as strings.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Definition {
    /// The name of the chart.
    pub chart: String,
    /// A description of what the chart decides, in one sentence.
    #[serde(default)]
    pub about: String,
    /// The state in which each subject starts.
    pub initial: String,
    /// All events of the chart.
    pub events: Vec<String>,
    /// What goes on in some of the states, by name.
    #[serde(default)]
    pub activities: BTreeMap<String, Activity>,
    /// All states by name.
    pub states: BTreeMap<String, Node>,
}

/// A state of a chart.
#[serde_as]
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Node {
    /// The branches of each event that is handled, in the order of evaluation.
    #[serde_as(as = "BTreeMap<_, OneOrMany<_>>")]
    pub on: BTreeMap<String, Vec<Branch>>,
    /// The events that are ignored in this state.
    pub ignore: Vec<String>,
    /// Whether the state is final; a final state ignores every event.
    #[serde(rename = "final")]
    pub terminal: bool,
    /// The actions of which each transition into the state performs exactly one, if
    /// there are any.
    #[serde(rename = "enter-by")]
    pub enter_by: Vec<String>,
    /// The activity that goes on in the state, if any.
    pub during: Option<String>,
}

/// A transition for an event, taken if its guard holds.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Branch {
    /// The guard; only the last branch of an event has none.
    #[serde(default)]
    pub when: Option<String>,
    /// The next state.
    pub to: String,
    /// The actions to perform, in order.
    #[serde(default, rename = "do")]
    pub actions: Vec<String>,
}

impl Definition {
    /// Parses and checks the text of a chart file.
    ///
    /// # Errors
    ///
    /// Fails if the text is not a chart, a state or event is not listed, a state is
    /// unreachable, or a state doesn't handle or ignore each event exactly once.
    pub fn parse(text: &str) -> std::result::Result<Self, Error> {
        Ok(Self::parse_inner(text)?)
    }

    pub(crate) fn parse_inner(text: &str) -> Result<Self> {
        let outline: Self = serde_yaml_ng::from_str(text).context(YamlSnafu)?;
        outline.check()?;
        Ok(outline)
    }

    fn check(&self) -> Result<()> {
        self.check_listed(&self.initial)?;
        self.check_activities()?;
        for (state, node) in &self.states {
            self.check_node(state, node)?;
        }
        self.check_reachable()
    }

    fn check_node(&self, state: &str, node: &Node) -> Result<()> {
        let chart = &self.chart;
        if node.terminal {
            let no_events = node.on.is_empty() && node.ignore.is_empty();
            ensure!(no_events, FinalHandlesEventsSnafu { chart, state });
            return Ok(());
        }
        for event in &self.events {
            let handlers = usize::from(node.on.contains_key(event))
                + node.ignore.iter().filter(|e| *e == event).count();
            ensure!(
                handlers > 0,
                UnhandledEventSnafu {
                    chart,
                    state,
                    event
                }
            );
            ensure!(
                handlers == 1,
                HandledTwiceSnafu {
                    chart,
                    state,
                    event
                }
            );
        }
        for event in node.on.keys().chain(&node.ignore) {
            ensure!(
                self.events.contains(event),
                MissingEventSnafu {
                    chart,
                    state,
                    event
                }
            );
        }
        for (event, branches) in &node.on {
            self.check_branches(state, event, branches)?;
        }
        Ok(())
    }

    fn check_branches(&self, state: &str, event: &str, branches: &[Branch]) -> Result<()> {
        let chart = &self.chart;
        let unguarded = branches.iter().position(|b| b.when.is_none());
        ensure!(
            unguarded.is_some_and(|at| at + 1 == branches.len()),
            UnguardedBranchSnafu {
                chart,
                state,
                event
            }
        );
        branches.iter().try_for_each(|branch| {
            self.check_listed(&branch.to)?;
            self.check_entry(state, event, branch)?;
            self.check_transition(state, event, branch)
        })
    }

    // Checks that a transition performs one of the actions that its target requires.
    fn check_entry(&self, state: &str, event: &str, branch: &Branch) -> Result<()> {
        let (chart, to) = (&self.chart, &branch.to);
        let required = &self.states[to].enter_by;
        let performed = branch.actions.iter().filter(|a| required.contains(a));
        ensure!(
            required.is_empty() || performed.count() == 1,
            EntryActionSnafu {
                chart,
                state,
                event,
                to
            }
        );
        Ok(())
    }

    fn check_listed(&self, state: &str) -> Result<()> {
        let chart = &self.chart;
        ensure!(
            self.states.contains_key(state),
            MissingStateSnafu { chart, state }
        );
        Ok(())
    }

    fn check_reachable(&self) -> Result<()> {
        let chart = &self.chart;
        let mut reached = BTreeSet::new();
        let mut pending = vec![self.initial.as_str()];
        while let Some(state) = pending.pop() {
            if reached.insert(state) {
                let branches = self.states[state].on.values().flatten();
                pending.extend(branches.map(|b| b.to.as_str()));
            }
        }
        for state in self.states.keys() {
            ensure!(
                reached.contains(state.as_str()),
                UnreachableSnafu { chart, state }
            );
        }
        Ok(())
    }
}
