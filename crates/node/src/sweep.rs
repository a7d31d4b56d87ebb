//! Removal of old claims, by one instance at a time.

use std::sync::Arc;

use corianderway_control::is_sweeper;
use corianderway_control::StoredClaim;
use corianderway_control::SweepAction;
use corianderway_control::SweepEvent;
use corianderway_model::Time;

use crate::claims::CLAIM_KIND;
use crate::event::Action;
use crate::event::StoredValue;
use crate::event::Write;
use crate::node::Node;
use crate::tickets::Purpose;

impl Node {
    /// Steps the sweep state machine and performs its actions.
    pub(crate) fn step_sweep(&mut self, now: Time, event: SweepEvent, out: &mut Vec<Action>) {
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

    /// Processes a listing of claims. A claim that cannot be decoded is left in the
    /// store.
    pub(crate) fn handle_claim_list(
        &mut self,
        now: Time,
        listed: Option<Vec<(Arc<str>, StoredValue)>>,
        out: &mut Vec<Action>,
    ) {
        let event = match listed {
            Some(listed) => SweepEvent::Listed {
                claims: listed.into_iter().filter_map(stored).collect(),
                unix: self.unix_seconds(now),
            },
            None => SweepEvent::Failed,
        };
        self.step_sweep(now, event, out);
    }

    /// Starts or stops sweeping, after a change of the members.
    pub(crate) fn choose_sweeper(&mut self, now: Time, out: &mut Vec<Action>) {
        let live = self.live_entries().map(|entry| &entry.id);
        let event = if is_sweeper(&self.me.id, live) {
            SweepEvent::Chosen
        } else {
            SweepEvent::Deselected
        };
        self.step_sweep(now, event, out);
    }
}

fn stored((name, held): (Arc<str>, StoredValue)) -> Option<StoredClaim> {
    let record = serde_json::from_str(&held.value).ok()?;
    let version = held.version;
    Some(StoredClaim {
        name,
        version,
        record,
    })
}
