//! How long members have been suspect or gone.

use std::time::Duration;

use corianderway_model::Time;

use crate::member::MemberState;
use crate::object::Id;
use crate::object::Object;

/// How long a suspect has to announce itself anew.
const SUSPICION: Duration = Duration::from_secs(4);

/// How long it is passed on that a member has gone.
const PASSED_ON: Duration = Duration::from_mins(50);

/// How long it is remembered, longer by more than instances differ in when
/// they heard of it.
const REMEMBERED: Duration = Duration::from_hours(1);

/// When members became suspect or gone, as this instance heard it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Since {
    // Sorted by identity.
    all: Vec<Timed>,
}

#[derive(Clone, Debug)]
struct Timed {
    id: Id,
    state: MemberState,
    at: Time,
}

impl Since {
    /// Notes the state that a member has from now on.
    pub(crate) fn note(&mut self, now: Time, object: &Object) {
        let state = MemberState::of(object);
        let timed = matches!(state, MemberState::Suspect | MemberState::Gone);
        let entry = Timed {
            id: object.id.clone(),
            state,
            at: now,
        };
        match (self.all.binary_search_by(|t| t.id.cmp(&object.id)), timed) {
            (Ok(at), true) => self.all[at] = entry,
            (Err(at), true) => self.all.insert(at, entry),
            (Ok(at), false) => drop(self.all.remove(at)),
            (Err(_), false) => {}
        }
    }

    /// The members that have been suspect for too long.
    pub(crate) fn overdue(&self, now: Time) -> Vec<Id> {
        let suspects = self.all.iter().filter(|t| t.state == MemberState::Suspect);
        let late = suspects.filter(|t| now.since(t.at) >= SUSPICION);
        late.map(|t| t.id.clone()).collect()
    }

    /// The members of which it need not be passed on any more that they have gone.
    pub(crate) fn retired(&self, now: Time) -> Vec<Id> {
        let gone = self.all.iter().filter(|t| t.state == MemberState::Gone);
        let late = gone.filter(|t| now.since(t.at) >= PASSED_ON);
        late.map(|t| t.id.clone()).collect()
    }

    /// Takes out the members that have been gone for so long that they need
    /// not be remembered.
    pub(crate) fn take_forgotten(&mut self, now: Time) -> Vec<Id> {
        let forgotten =
            |t: &mut Timed| t.state == MemberState::Gone && now.since(t.at) >= REMEMBERED;
        let taken = self.all.extract_if(.., forgotten);
        taken.map(|t| t.id).collect()
    }
}
