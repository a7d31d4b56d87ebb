//! The state of one member, and how observations change it.

use std::sync::Arc;

use corianderway_chart::Chart;
use corianderway_model::Entry;
use corianderway_model::Presence;
use serde::Deserialize;

use crate::object::Id;
use crate::object::Kind;
use crate::object::Object;
use crate::object::Value;

/// The chart of a member, as its file spells it.
pub const MEMBER_CHART: &str = include_str!("../charts/member.yaml");

/// The versions that one announcement of a member spans.
const VERSIONS_PER_LIFE: u64 = 4;

/// What an instance holds of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// In service.
    Live,
    /// About to stop.
    Leaving,
    /// Did not answer twice; still counted as live.
    Suspect,
    /// Did not answer for long, and has not left.
    Silent,
    /// Left, or dropped from the platform's list.
    Gone,
}

/// What is observed of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum MemberEvent {
    Announced,
    Missed,
    Overdue,
    Unlisted,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Guard {
    AnnouncedLeaving,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Output {
    Spread,
}

/// The chart of members.
#[derive(Clone, Debug)]
pub(crate) struct MemberChart(Chart<MemberState, MemberEvent, Guard, Output>);

impl MemberChart {
    pub(crate) fn load() -> Self {
        Self(Chart::parse(MEMBER_CHART).expect("the chart is checked by tests"))
    }

    /// The object to spread after an observation, if it changes anything.
    pub(crate) fn next(&self, held: &Object, event: MemberEvent) -> Option<Object> {
        let leaving = MemberState::entry(held).is_some_and(|e| e.presence == Presence::Leaving);
        let step = self
            .0
            .step(MemberState::of(held), event, |guard| match guard {
                Guard::AnnouncedLeaving => leaving,
            });
        let Output::Spread = step.actions.first()?;
        MemberState::moved(held, step.to)
    }
}

impl MemberState {
    /// The state that an object tells of.
    pub(crate) fn of(object: &Object) -> Self {
        let Some(entry) = Self::entry(object) else {
            return Self::Gone;
        };
        match (object.version % VERSIONS_PER_LIFE, entry.presence) {
            (0, Presence::Live) => Self::Live,
            (0, Presence::Leaving) => Self::Leaving,
            (1, _) => Self::Suspect,
            _ => Self::Silent,
        }
    }

    /// The instance that an object tells of.
    pub(crate) fn entry(object: &Object) -> Option<&Arc<Entry>> {
        match &object.value {
            Value::Member(entry) => Some(entry),
            Value::Deleted | Value::Text(_) => None,
        }
    }

    /// How often the member has announced itself.
    pub(crate) fn life(object: &Object) -> u64 {
        object.version / VERSIONS_PER_LIFE
    }

    /// A member's own announcement.
    pub(crate) fn object(entry: Arc<Entry>, life: u64) -> Object {
        Object {
            id: Id::new(Kind::Member, entry.id.as_str()),
            version: life * VERSIONS_PER_LIFE,
            value: Value::Member(entry),
        }
    }

    // The same announcement of a member in another state.
    fn moved(held: &Object, to: Self) -> Option<Object> {
        let entry = Self::entry(held)?;
        let base = Self::life(held) * VERSIONS_PER_LIFE;
        let (version, value) = match to {
            Self::Live => (base, Value::Member(entry.clone())),
            Self::Leaving => {
                let mut leaving = (**entry).clone();
                leaving.presence = Presence::Leaving;
                (base, Value::Member(Arc::new(leaving)))
            }
            Self::Suspect => (base + 1, Value::Member(entry.clone())),
            Self::Silent => (base + 2, Value::Member(entry.clone())),
            Self::Gone => (base + 3, Value::Deleted),
        };
        Some(Object {
            id: held.id.clone(),
            version,
            value,
        })
    }
}
