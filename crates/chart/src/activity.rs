//! The checks of activities: what goes on in some states of a chart and not in the
//! others, such as an attempt in flight.

use std::collections::BTreeMap;

use serde::Deserialize;
use snafu::ensure;
use snafu::OptionExt;

use crate::definition::Branch;
use crate::definition::Definition;
use crate::error::ActivityBeginSnafu;
use crate::error::ActivityEndSnafu;
use crate::error::ActivityPlaceSnafu;
use crate::error::MissingActivitySnafu;
use crate::error::MissingEventSnafu;
use crate::error::Result;

/// An activity and the actions that begin and end it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Activity {
    /// The action that each transition into the activity performs, and no other one.
    #[serde(rename = "begin-by")]
    pub begin_by: String,
    /// The actions with which each transition out of the activity starts, by event. No other
    /// event ends the activity, and no other transition performs these actions.
    #[serde(rename = "end-by")]
    pub end_by: BTreeMap<String, Vec<String>>,
}

impl Activity {
    /// Returns the names of the actions that begin or end the activity.
    pub(crate) fn actions(&self) -> impl Iterator<Item = &String> {
        let ends = self.end_by.values().flatten();
        std::iter::once(&self.begin_by).chain(ends)
    }

    fn ends_by(&self, action: &String) -> bool {
        self.end_by.values().flatten().any(|a| a == action)
    }
}

impl Definition {
    /// Checks that the states of activities are neither initial nor final, and that each
    /// activity is listed and ends by listed events.
    pub(crate) fn check_activities(&self) -> Result<()> {
        let chart = &self.chart;
        for (activity, parts) in &self.activities {
            for event in parts.end_by.keys() {
                ensure!(
                    self.events.contains(event),
                    MissingEventSnafu {
                        chart,
                        state: activity,
                        event
                    }
                );
            }
        }
        for (state, node) in &self.states {
            let Some(activity) = &node.during else {
                continue;
            };
            ensure!(
                self.activities.contains_key(activity),
                MissingActivitySnafu { chart, activity }
            );
            ensure!(
                !node.terminal && *state != self.initial,
                ActivityPlaceSnafu {
                    chart,
                    state,
                    activity
                }
            );
        }
        Ok(())
    }

    /// Checks that a transition performs the actions of each activity that it begins or ends,
    /// and those of no other.
    pub(crate) fn check_transition(&self, state: &str, event: &str, branch: &Branch) -> Result<()> {
        let chart = &self.chart;
        let during = |state: &str, name| self.states[state].during.as_ref() == Some(name);
        for (activity, parts) in &self.activities {
            let (before, after) = (during(state, activity), during(&branch.to, activity));
            let begun = branch.actions.iter().filter(|a| **a == parts.begin_by);
            ensure!(
                begun.count() == usize::from(!before && after),
                ActivityBeginSnafu {
                    chart,
                    state,
                    event,
                    activity
                }
            );
            let wanted = if before && !after {
                parts.end_by.get(event).map(Vec::as_slice)
            } else {
                Some(&[][..])
            };
            let end = ActivityEndSnafu {
                chart,
                state,
                event,
                activity,
            };
            let wanted = wanted.context(end)?;
            let rest = branch.actions.strip_prefix(wanted).context(end)?;
            ensure!(!rest.iter().any(|action| parts.ends_by(action)), end);
        }
        Ok(())
    }
}
