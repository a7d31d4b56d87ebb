//! A chart as its file spells it, with every check that needs no enum.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde_with::serde_as;
use serde_with::OneOrMany;
use snafu::ensure;
use snafu::ResultExt;

use crate::error::AnsweredTwiceSnafu;
use crate::error::BranchesSnafu;
use crate::error::Error;
use crate::error::FinalAnswersSnafu;
use crate::error::MissingEventSnafu;
use crate::error::MissingStateSnafu;
use crate::error::Result;
use crate::error::UnansweredSnafu;
use crate::error::UnreachableSnafu;
use crate::error::YamlSnafu;

/// A chart with its names as strings.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Outline {
    /// The name of the chart.
    pub chart: String,
    /// One sentence on what the chart decides.
    #[serde(default)]
    pub about: String,
    /// The state in which each subject starts.
    pub initial: String,
    /// Every event that the chart answers.
    pub events: Vec<String>,
    /// Every state, by name.
    pub states: BTreeMap<String, Node>,
}

/// One state of an outline.
#[serde_as]
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Node {
    /// The branches for each event that is answered.
    #[serde_as(as = "BTreeMap<_, OneOrMany<_>>")]
    pub on: BTreeMap<String, Vec<Branch>>,
    /// The events that change nothing here.
    pub ignore: Vec<String>,
    /// Whether the subject ends here; a final state ignores every event.
    #[serde(rename = "final")]
    pub last: bool,
}

/// One way to answer an event.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Branch {
    /// The guard that must hold; the last branch has none.
    #[serde(default)]
    pub when: Option<String>,
    /// The next state.
    pub to: String,
    /// The actions, in order.
    #[serde(default, rename = "do")]
    pub actions: Vec<String>,
}

impl Outline {
    /// Reads and checks a chart file.
    ///
    /// # Errors
    ///
    /// Fails when the text is not a chart, a state is missing or unreachable,
    /// or a state leaves an event without exactly one answer.
    pub fn parse(text: &str) -> std::result::Result<Self, Error> {
        Ok(Self::read(text)?)
    }

    pub(crate) fn read(text: &str) -> Result<Self> {
        let outline: Self = serde_yaml_ng::from_str(text).context(YamlSnafu)?;
        outline.check()?;
        Ok(outline)
    }

    fn check(&self) -> Result<()> {
        self.check_listed(&self.initial)?;
        for (state, node) in &self.states {
            self.check_node(state, node)?;
        }
        self.check_reachable()
    }

    fn check_node(&self, state: &str, node: &Node) -> Result<()> {
        let chart = &self.chart;
        if node.last {
            let silent = node.on.is_empty() && node.ignore.is_empty();
            ensure!(silent, FinalAnswersSnafu { chart, state });
            return Ok(());
        }
        for event in &self.events {
            let answers = usize::from(node.on.contains_key(event))
                + node.ignore.iter().filter(|e| *e == event).count();
            ensure!(
                answers > 0,
                UnansweredSnafu {
                    chart,
                    state,
                    event
                }
            );
            ensure!(
                answers == 1,
                AnsweredTwiceSnafu {
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
        let open = branches.iter().position(|b| b.when.is_none());
        ensure!(
            open.is_some_and(|at| at + 1 == branches.len()),
            BranchesSnafu {
                chart,
                state,
                event
            }
        );
        branches.iter().try_for_each(|b| self.check_listed(&b.to))
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
        let mut seen = BTreeSet::new();
        let mut open = vec![self.initial.as_str()];
        while let Some(state) = open.pop() {
            if seen.insert(state) {
                let branches = self.states[state].on.values().flatten();
                open.extend(branches.map(|b| b.to.as_str()));
            }
        }
        for state in self.states.keys() {
            ensure!(
                seen.contains(state.as_str()),
                UnreachableSnafu { chart, state }
            );
        }
        Ok(())
    }
}
