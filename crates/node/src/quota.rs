//! Connects the quota state machine with the other instances and with the stored epoch.

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
use crate::event::ReadOutcome;
use crate::event::StoredValue;
use crate::event::Write;
use crate::event::WriteOutcome;
use crate::message::Message;
use crate::node::Node;
use crate::tickets::Purpose;

/// The kind of the stored object that holds the epoch.
const EPOCH_KIND: &str = "epochs";

/// The name of the stored object that holds the epoch.
const EPOCH_NAME: &str = "limits";

impl Node {
    /// Steps the quota state machine and performs its actions.
    pub(crate) fn step_quota(&mut self, now: Time, event: LimitEvent, out: &mut Vec<Action>) {
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

    /// Passes the limits of all contracts in force to the quota state machine.
    pub(crate) fn set_limits(&mut self, now: Time, out: &mut Vec<Action>) {
        let contracts = self.contracts.all().iter();
        let limits = contracts.flat_map(|contract| Limit::of(contract)).collect();
        self.step_quota(now, LimitEvent::Limits(limits), out);
    }

    /// Processes the result of reading the epoch.
    pub(crate) fn epoch_read(
        &mut self,
        now: Time,
        nonce: u64,
        found: ReadOutcome,
        out: &mut Vec<Action>,
    ) {
        let event = match found {
            ReadOutcome::Absent => LimitEvent::ReadDone {
                nonce,
                stored: None,
            },
            ReadOutcome::Found(held) => match decode(&held) {
                Some(stored) => LimitEvent::ReadDone {
                    nonce,
                    stored: Some(stored),
                },
                None => LimitEvent::ReadFailed { nonce },
            },
            ReadOutcome::Unknown => LimitEvent::ReadFailed { nonce },
        };
        self.step_quota(now, event, out);
    }

    /// Processes the result of writing the epoch.
    pub(crate) fn epoch_written(
        &mut self,
        now: Time,
        nonce: u64,
        wrote: &WriteOutcome,
        out: &mut Vec<Action>,
    ) {
        let outcome = match wrote {
            WriteOutcome::Written(version) => LimitOutcome::Written(*version),
            WriteOutcome::Conflict(_) => LimitOutcome::Conflict,
            WriteOutcome::NotSent => LimitOutcome::NotSent,
            WriteOutcome::Unknown => LimitOutcome::Unknown,
        };
        self.step_quota(now, LimitEvent::WriteDone { nonce, outcome }, out);
    }

    /// Applies an operator's confirmation for the current epoch: none of its members
    /// that are missing from the list of live instances runs any more.
    pub(crate) fn apply_confirmation(&mut self, now: Time, out: &mut Vec<Action>) {
        if self
            .confirmed_epoch
            .is_some_and(|epoch| epoch == self.quota.epoch())
        {
            self.confirmed_epoch = None;
            self.step_quota(now, LimitEvent::Confirmed, out);
        }
    }

    /// Whether this instance holds a quota, as of the last slow tick.
    pub(crate) fn has_quota(&self) -> bool {
        self.quota_held
    }

    /// Updates whether this instance holds a quota.
    pub(crate) fn update_quota_held(&mut self, now: Time) {
        self.quota_held = match self.quota.floor_status() {
            FloorStatus::Held => true,
            // While an earlier epoch may be in use, only the share that both epochs
            // grant can be used.
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

/// The name of the stored object with which an operator confirms an epoch.
pub(crate) const CONFIRMATION_NAME: &str = "confirmed";

/// An operator's confirmation that the silent members of an epoch have ended.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Confirmation {
    /// The number of the epoch.
    pub epoch: u64,
    /// The operator who confirms.
    pub who: String,
}

fn decode(held: &StoredValue) -> Option<StoredEpoch> {
    let epoch = serde_json::from_str(&held.value).ok()?;
    let version = held.version;
    Some(StoredEpoch { version, epoch })
}
