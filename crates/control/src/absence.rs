//! The times at which members became suspect or gone, and their timeouts.

use std::time::Duration;

use corianderway_model::Time;

use crate::member::MemberState;
use crate::object::Id;
use crate::object::Object;

/// How long a suspect member has to announce itself again.
const SUSPECT_TIMEOUT: Duration = Duration::from_secs(4);

/// How long the departure of a member is sent on to peers.
const SPREAD_WINDOW: Duration = Duration::from_mins(50);

/// How long the departure of a member is remembered.
///
/// Exceeds [`SPREAD_WINDOW`] by more than the difference between the times at
/// which instances learn of the departure.
const GONE_TTL: Duration = Duration::from_hours(1);

/// When this instance learned that members became suspect or gone.
///
/// Members in other states are not in the list.
#[derive(Clone, Debug, Default)]
pub(crate) struct AbsenceTimes {
    // Sorted by id.
    all: Vec<Entry>,
}

#[derive(Clone, Debug)]
struct Entry {
    id: Id,
    state: MemberState,
    at: Time,
}

impl AbsenceTimes {
    /// Records the state that a member has from now on.
    pub(crate) fn record(&mut self, now: Time, object: &Object) {
        let state = MemberState::of(object);
        let tracked = matches!(state, MemberState::Suspect | MemberState::Gone);
        let entry = Entry {
            id: object.id.clone(),
            state,
            at: now,
        };
        match (self.all.binary_search_by(|e| e.id.cmp(&object.id)), tracked) {
            (Ok(at), true) => self.all[at] = entry,
            (Err(at), true) => self.all.insert(at, entry),
            (Ok(at), false) => drop(self.all.remove(at)),
            (Err(_), false) => {}
        }
    }

    /// The members that have been suspect for [`SUSPECT_TIMEOUT`] or longer.
    pub(crate) fn timed_out(&self, now: Time) -> Vec<Id> {
        let suspects = self.all.iter().filter(|e| e.state == MemberState::Suspect);
        let late = suspects.filter(|e| now.since(e.at) >= SUSPECT_TIMEOUT);
        late.map(|e| e.id.clone()).collect()
    }

    /// The members whose departure is no longer sent on to peers.
    pub(crate) fn past_spread(&self, now: Time) -> Vec<Id> {
        let gone = self.all.iter().filter(|e| e.state == MemberState::Gone);
        let late = gone.filter(|e| now.since(e.at) >= SPREAD_WINDOW);
        late.map(|e| e.id.clone()).collect()
    }

    /// Removes and returns the members that have been gone for [`GONE_TTL`] or longer.
    pub(crate) fn remove_expired(&mut self, now: Time) -> Vec<Id> {
        let forgotten = |e: &mut Entry| e.state == MemberState::Gone && now.since(e.at) >= GONE_TTL;
        let taken = self.all.extract_if(.., forgotten);
        taken.map(|e| e.id).collect()
    }
}
