//! Whether a change is in force at every member, as an operator is told.

use std::time::Duration;

use corianderway_model::InstanceId;
use corianderway_model::Time;

use crate::object::Stamp;

/// Members that are asked at a time.
const ASKED_AT_ONCE: usize = 100;

/// The time between two rounds of questions.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);

/// How long a member has to answer before it is asked again.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a change is followed.
const FOLLOWED: Duration = Duration::from_mins(10);

/// Where a change is in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InForce {
    /// Every member holds the change or a newer one.
    Everywhere,
    /// These members have not said so.
    Waiting(Vec<InstanceId>),
    /// The change is not followed here; ask for it first.
    NotFollowed,
}

/// The changes that operators wait for on this instance.
#[derive(Clone, Debug, Default)]
pub(crate) struct Confirm {
    // Sorted by stamp.
    changes: Vec<Change>,
}

#[derive(Clone, Debug)]
struct Change {
    stamp: Stamp,
    since: Time,
    round_at: Time,
    // Sorted by identity.
    members: Vec<Pending>,
}

#[derive(Clone, Debug)]
struct Pending {
    id: InstanceId,
    asked: Option<Time>,
    holds: bool,
}

impl Confirm {
    /// Starts to follow a change.
    pub(crate) fn follow(&mut self, now: Time, stamp: Stamp) {
        if let Err(at) = self.find(&stamp) {
            let change = Change {
                stamp,
                since: now,
                round_at: now,
                members: Vec::new(),
            };
            self.changes.insert(at, change);
        }
    }

    /// Takes the members that must hold every change, silent ones included.
    pub(crate) fn set_members(&mut self, members: &[InstanceId]) {
        for change in &mut self.changes {
            change.set_members(members);
        }
    }

    /// Notes the answer of a member.
    pub(crate) fn holds(&mut self, from: &InstanceId, stamp: &Stamp) {
        let Ok(at) = self.find(stamp) else { return };
        let members = &mut self.changes[at].members;
        if let Ok(at) = members.binary_search_by(|m| m.id.cmp(from)) {
            members[at].holds = true;
        }
    }

    /// The questions that are due.
    pub(crate) fn due(&mut self, now: Time) -> Vec<(InstanceId, Stamp)> {
        self.changes.retain(|c| now.since(c.since) < FOLLOWED);
        let due = self.changes.iter_mut().filter(|c| now >= c.round_at);
        due.flat_map(|c| c.round(now)).collect()
    }

    /// Where a change is in force.
    pub(crate) fn state(&self, stamp: &Stamp) -> InForce {
        let Ok(at) = self.find(stamp) else {
            return InForce::NotFollowed;
        };
        let waiting = self.changes[at].members.iter().filter(|m| !m.holds);
        let waiting = waiting.map(|m| m.id.clone()).collect::<Vec<_>>();
        if waiting.is_empty() {
            return InForce::Everywhere;
        }
        InForce::Waiting(waiting)
    }

    fn find(&self, stamp: &Stamp) -> Result<usize, usize> {
        self.changes.binary_search_by(|c| c.stamp.cmp(stamp))
    }
}

impl Change {
    fn set_members(&mut self, members: &[InstanceId]) {
        let known = std::mem::take(&mut self.members);
        let pending = members.iter().map(|id| {
            let at = known.binary_search_by(|m| m.id.cmp(id)).ok();
            let fresh = Pending {
                id: id.clone(),
                asked: None,
                holds: false,
            };
            at.map_or(fresh, |at| known[at].clone())
        });
        self.members = pending.collect();
    }

    fn round(&mut self, now: Time) -> Vec<(InstanceId, Stamp)> {
        self.round_at = now + ROUND_INTERVAL;
        let late = |at: Option<Time>| at.is_none_or(|at| now.since(at) >= ANSWER_TIMEOUT);
        let due = self
            .members
            .iter_mut()
            .filter(|m| !m.holds && late(m.asked));
        let asked = due.take(ASKED_AT_ONCE).map(|member| {
            member.asked = Some(now);
            (member.id.clone(), self.stamp.clone())
        });
        asked.collect()
    }
}
