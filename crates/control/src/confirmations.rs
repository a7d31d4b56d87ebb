//! Whether a change is in force at every member, for operators who wait for it.

use std::time::Duration;

use corianderway_model::InstanceId;
use corianderway_model::Time;

use crate::object::Stamp;

/// The maximum number of members that are asked about one change in a round.
const MAX_ROUND_QUERIES: usize = 100;

/// The time between two rounds of queries.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);

/// How long a member has to answer before it is asked again.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// How long the spread of a change is followed.
const FOLLOW_TTL: Duration = Duration::from_mins(10);

/// Where a change is in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InForce {
    /// Every member holds the change or a newer one.
    Everywhere,
    /// These members have not confirmed the change.
    Waiting(Vec<InstanceId>),
    /// This instance does not follow the change; send [`Event::Follow`](crate::Event::Follow) first.
    NotFollowed,
}

/// The changes whose spread this instance follows for operators.
///
/// A member that has confirmed a change is not asked about it again.
#[derive(Clone, Debug, Default)]
pub(crate) struct Confirmations {
    // Sorted by stamp.
    changes: Vec<Change>,
}

#[derive(Clone, Debug)]
struct Change {
    stamp: Stamp,
    followed_at: Time,
    next_round: Time,
    // Sorted by id.
    members: Vec<Pending>,
}

#[derive(Clone, Debug)]
struct Pending {
    id: InstanceId,
    asked_at: Option<Time>,
    holds: bool,
}

impl Confirmations {
    /// Starts to follow a change, unless it is followed already.
    pub(crate) fn follow(&mut self, now: Time, stamp: Stamp) {
        if let Err(at) = self.find(&stamp) {
            let change = Change {
                stamp,
                followed_at: now,
                next_round: now,
                members: Vec::new(),
            };
            self.changes.insert(at, change);
        }
    }

    /// Sets the members that must hold every change, silent ones included.
    pub(crate) fn set_members(&mut self, members: &[InstanceId]) {
        for change in &mut self.changes {
            change.set_members(members);
        }
    }

    /// Records that a member holds a change.
    pub(crate) fn record_confirmation(&mut self, from: &InstanceId, stamp: &Stamp) {
        let Ok(at) = self.find(stamp) else { return };
        let members = &mut self.changes[at].members;
        if let Ok(at) = members.binary_search_by(|m| m.id.cmp(from)) {
            members[at].holds = true;
        }
    }

    /// Drops changes followed for too long and returns the queries that are due.
    pub(crate) fn due_queries(&mut self, now: Time) -> Vec<(InstanceId, Stamp)> {
        self.changes
            .retain(|c| now.since(c.followed_at) < FOLLOW_TTL);
        let due = self.changes.iter_mut().filter(|c| now >= c.next_round);
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
            let unasked = Pending {
                id: id.clone(),
                asked_at: None,
                holds: false,
            };
            at.map_or(unasked, |at| known[at].clone())
        });
        self.members = pending.collect();
    }

    fn round(&mut self, now: Time) -> Vec<(InstanceId, Stamp)> {
        self.next_round = now + ROUND_INTERVAL;
        let late = |at: Option<Time>| at.is_none_or(|at| now.since(at) >= ANSWER_TIMEOUT);
        let due = self
            .members
            .iter_mut()
            .filter(|m| !m.holds && late(m.asked_at));
        let queries = due.take(MAX_ROUND_QUERIES).map(|member| {
            member.asked_at = Some(now);
            (member.id.clone(), self.stamp.clone())
        });
        queries.collect()
    }
}
