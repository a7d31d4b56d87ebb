//! The limits of all contracts: the quota part, its messages and its epoch.

use corianderway_limits::Action as LimitAction;
use corianderway_limits::Epoch;
use corianderway_limits::Event as LimitEvent;
use corianderway_limits::FloorStatus;
use corianderway_limits::Limit;
use corianderway_limits::Outcome as LimitOutcome;
use corianderway_limits::Share;
use corianderway_limits::StoredEpoch;
use corianderway_model::Time;
use serde::Deserialize;
use serde::Serialize;

use crate::event::Action;
use crate::event::Found;
use crate::event::Held;
use crate::event::Write;
use crate::event::Wrote;
use crate::message::Message;
use crate::node::Node;
use crate::tickets::Purpose;

/// The kind of the object that holds the epoch.
const EPOCH_KIND: &str = "epochs";

/// The name of the object that holds the epoch.
const EPOCH_NAME: &str = "limits";

impl Node {
    /// Steps the quota part and carries out what it wants.
    pub(crate) fn limits(&mut self, now: Time, event: LimitEvent, out: &mut Vec<Action>) {
        let mut actions = Vec::new();
        self.quota.step(now, event, &mut actions);
        for action in actions {
            match action {
                LimitAction::Send(message) => {
                    let to = message.to.clone();
                    self.send_to(&to, Message::Limits(message), out);
                }
                LimitAction::Read { nonce } => self.read_epoch(nonce, out),
                LimitAction::Propose {
                    nonce,
                    expect,
                    epoch,
                } => self.write_epoch(nonce, expect, &epoch, out),
            }
        }
    }

    /// Tells the quota part the limits of all contracts in force.
    pub(crate) fn set_limits(&mut self, now: Time, out: &mut Vec<Action>) {
        let contracts = self.contracts.all().iter();
        let limits = contracts.flat_map(|contract| Limit::of(contract)).collect();
        self.limits(now, LimitEvent::Limits(limits), out);
    }

    /// Takes the end of an epoch's read.
    pub(crate) fn epoch_read(
        &mut self,
        now: Time,
        nonce: u64,
        found: Found,
        out: &mut Vec<Action>,
    ) {
        let event = match found {
            Found::Nothing => LimitEvent::ReadDone {
                nonce,
                stored: None,
            },
            Found::Held(held) => match decode(&held) {
                Some(stored) => LimitEvent::ReadDone {
                    nonce,
                    stored: Some(stored),
                },
                None => LimitEvent::ReadFailed { nonce },
            },
            Found::Unknown => LimitEvent::ReadFailed { nonce },
        };
        self.limits(now, event, out);
    }

    /// Takes the end of an epoch's write.
    pub(crate) fn epoch_wrote(
        &mut self,
        now: Time,
        nonce: u64,
        wrote: &Wrote,
        out: &mut Vec<Action>,
    ) {
        let outcome = match wrote {
            Wrote::Done(version) => LimitOutcome::Written(*version),
            Wrote::Conflict(_) => LimitOutcome::Conflict,
            Wrote::Unreached => LimitOutcome::NotSent,
            Wrote::Unknown => LimitOutcome::Unknown,
        };
        self.limits(now, LimitEvent::WriteDone { nonce, outcome }, out);
    }

    /// Takes an operator's word that no member of an epoch runs any more that
    /// is not on the list of live instances.
    pub(crate) fn heed_confirmation(&mut self, now: Time, out: &mut Vec<Action>) {
        if self
            .confirmed
            .is_some_and(|epoch| epoch == self.quota.epoch())
        {
            self.confirmed = None;
            self.limits(now, LimitEvent::Confirmed, out);
        }
    }

    /// Whether this instance has quota of its own, as of the last look.
    pub(crate) fn has_quota(&self) -> bool {
        self.shared
    }

    /// Looks whether this instance has quota of its own.
    pub(crate) fn look_at_quota(&mut self, now: Time) {
        self.shared = match self.quota.floor_status() {
            FloorStatus::Held => true,
            // Between two epochs an instance has what both give it, if anything.
            FloorStatus::Waiting => self.contracts.all().first().is_some_and(|contract| {
                let limit = Limit::Rate(contract.account.clone());
                self.quota.limit_state(now, &limit).share > Share::NONE
            }),
            FloorStatus::Empty | FloorStatus::Stale | FloorStatus::Surrendered => false,
        };
    }

    fn read_epoch(&mut self, nonce: u64, out: &mut Vec<Action>) {
        let ticket = self.tickets.issue(Purpose::Epoch(nonce));
        out.push(Action::Read {
            ticket,
            kind: EPOCH_KIND.into(),
            name: EPOCH_NAME.into(),
        });
    }

    fn write_epoch(
        &mut self,
        nonce: u64,
        expect: Option<u64>,
        epoch: &Epoch,
        out: &mut Vec<Action>,
    ) {
        let Ok(text) = serde_json::to_string(epoch) else {
            return;
        };
        let ticket = self.tickets.issue(Purpose::Epoch(nonce));
        let write = Write {
            kind: EPOCH_KIND.into(),
            name: EPOCH_NAME.into(),
            expect,
            value: Some(text.into()),
        };
        out.push(Action::Write { ticket, write });
    }
}

/// The name of the object by which an operator confirms an epoch.
pub(crate) const CONFIRMED_NAME: &str = "confirmed";

/// An operator's word that the silent members of an epoch have ended.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Confirmation {
    /// The number of the epoch.
    pub epoch: u64,
    /// Who gives it.
    pub who: String,
}

fn decode(held: &Held) -> Option<StoredEpoch> {
    let epoch = serde_json::from_str(&held.value).ok()?;
    let version = held.version;
    Some(StoredEpoch { version, epoch })
}
