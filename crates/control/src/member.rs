//! The state of one member, and the observations that change it.
//!
//! A member is a replicated object whose version encodes an incarnation and a
//! state. Each announcement by the member itself starts an incarnation. Within
//! one, other instances only move the member to a state of higher rank, in the
//! order live, leaving, suspect, unreachable, gone. So all instances converge
//! on one state, and only a new announcement makes the member live again.

use std::sync::Arc;

use corianderway_chart::Chart;
use corianderway_model::Entry;
use corianderway_model::Presence;
use serde::Deserialize;

use crate::object::Id;
use crate::object::Kind;
use crate::object::Object;
use crate::object::Value;

/// The state chart of a member, in YAML.
pub const MEMBER_CHART: &str = include_str!("../charts/member.yaml");

/// The number of object versions that belong to one incarnation of a member.
const VERSIONS_PER_INCARNATION: u64 = 4;

/// The state of a member as one instance sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// In service.
    Live,
    /// About to stop.
    Leaving,
    /// Did not answer a probe and its repetition; still counted as live.
    Suspect,
    /// Did not announce itself anew while suspect, and has not left.
    Unreachable,
    /// Left, or was dropped from the platform's list.
    Gone,
}

/// An observation of a member by another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum MemberEvent {
    /// The platform lists the member as leaving.
    ListedLeaving,
    /// The member did not answer a probe and its repetition.
    NoAnswer,
    /// The member has been suspect for too long.
    SuspicionExpired,
    /// The platform's list does not have the member.
    Unlisted,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Guard {
    PresenceLeaving,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Output {
    Publish,
}

/// The parsed state chart of members.
#[derive(Clone, Debug)]
pub(crate) struct MemberChart(Chart<MemberState, MemberEvent, Guard, Output>);

impl MemberChart {
    pub(crate) fn load() -> Self {
        Self(Chart::parse(MEMBER_CHART).expect("the member chart is valid"))
    }

    /// Returns the object to publish after an observation, if the member's
    /// state changes.
    pub(crate) fn next(&self, held: &Object, event: MemberEvent) -> Option<Object> {
        let leaving = MemberState::entry(held).is_some_and(|e| e.presence == Presence::Leaving);
        let step = self
            .0
            .step(MemberState::of(held), event, |guard| match guard {
                Guard::PresenceLeaving => leaving,
            });
        let Output::Publish = step.actions.first()?;
        MemberState::in_state(held, step.to)
    }
}

impl MemberState {
    /// Returns the state that a member's object encodes.
    pub(crate) fn of(object: &Object) -> Self {
        let Some(entry) = Self::entry(object) else {
            return Self::Gone;
        };
        match (object.version % VERSIONS_PER_INCARNATION, entry.presence) {
            (0, Presence::Live) => Self::Live,
            (0, Presence::Leaving) => Self::Leaving,
            (1, _) => Self::Suspect,
            _ => Self::Unreachable,
        }
    }

    /// Returns the entry in a member's object; none in a tombstone.
    pub(crate) fn entry(object: &Object) -> Option<&Arc<Entry>> {
        match &object.value {
            Value::Member(entry) => Some(entry),
            Value::Deleted | Value::Text(_) => None,
        }
    }

    /// Returns the incarnation, which increases with each announcement.
    pub(crate) fn incarnation(object: &Object) -> u64 {
        object.version / VERSIONS_PER_INCARNATION
    }

    /// Creates the object by which a member announces itself.
    pub(crate) fn announcement(entry: Arc<Entry>, incarnation: u64) -> Object {
        Object {
            id: Id::new(Kind::Member, entry.id.as_str()),
            version: incarnation * VERSIONS_PER_INCARNATION,
            value: Value::Member(entry),
        }
    }

    // Returns the object of the same incarnation in another state.
    fn in_state(held: &Object, to: Self) -> Option<Object> {
        let entry = Self::entry(held)?;
        let base = Self::incarnation(held) * VERSIONS_PER_INCARNATION;
        let (version, value) = match to {
            Self::Live => (base, Value::Member(entry.clone())),
            Self::Leaving => {
                let mut leaving = (**entry).clone();
                leaving.presence = Presence::Leaving;
                (base, Value::Member(Arc::new(leaving)))
            }
            Self::Suspect => (base + 1, Value::Member(entry.clone())),
            Self::Unreachable => (base + 2, Value::Member(entry.clone())),
            Self::Gone => (base + 3, Value::Deleted),
        };
        Some(Object {
            id: held.id.clone(),
            version,
            value,
        })
    }
}
