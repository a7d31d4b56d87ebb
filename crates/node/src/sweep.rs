//! Removal of old claims, by one instance at a time.

use std::sync::Arc;

use corianderway_control::is_sweeper;
use corianderway_control::StoredClaim;
use corianderway_control::SweepAction;
use corianderway_control::SweepEvent;
use corianderway_model::Time;

use crate::claims::CLAIM_KIND;
use crate::event::Action;
use crate::event::Held;
use crate::event::Write;
use crate::node::Node;
use crate::tickets::Purpose;

impl Node {
    /// Steps the removal of old claims and carries out what it wants.
    pub(crate) fn sweep(&mut self, now: Time, event: SweepEvent, out: &mut Vec<Action>) {
        let mut actions = Vec::new();
        self.sweep.step(now, event, &mut actions);
        for action in actions {
            match action {
                SweepAction::List => out.push(Action::ListClaims),
                SweepAction::Remove { name, version } => {
                    let ticket = self.tickets.issue(Purpose::Removal);
                    let write = Write {
                        kind: CLAIM_KIND.into(),
                        name,
                        expect: Some(version),
                        value: None,
                    };
                    out.push(Action::Write { ticket, write });
                }
            }
        }
    }

    /// Takes a list of claims; one that can't be read stays where it is.
    pub(crate) fn take_claims(
        &mut self,
        now: Time,
        listed: Option<Vec<(Arc<str>, Held)>>,
        out: &mut Vec<Action>,
    ) {
        let event = match listed {
            Some(listed) => SweepEvent::Listed {
                claims: listed.into_iter().filter_map(stored).collect(),
                unix: self.unix_seconds(now),
            },
            None => SweepEvent::Failed,
        };
        self.sweep(now, event, out);
    }

    /// Begins or ends to sweep, after the members have changed.
    pub(crate) fn choose_sweeper(&mut self, now: Time, out: &mut Vec<Action>) {
        let live = self.live_entries().map(|entry| &entry.id);
        let event = if is_sweeper(&self.me.id, live) {
            SweepEvent::Chosen
        } else {
            SweepEvent::Deselected
        };
        self.sweep(now, event, out);
    }
}

fn stored((name, held): (Arc<str>, Held)) -> Option<StoredClaim> {
    let record = serde_json::from_str(&held.value).ok()?;
    let version = held.version;
    Some(StoredClaim {
        name,
        version,
        record,
    })
}
