//! Connects the control state machine, which replicates configuration and tracks
//! members, with the other entry instances.

use std::sync::Arc;

use corianderway_control::Action as ControlAction;
use corianderway_control::Event as ControlEvent;
use corianderway_control::MemberState;
use corianderway_control::Object;
use corianderway_limits::Event as LimitEvent;
use corianderway_model::Backend;
use corianderway_model::Entry;
use corianderway_model::InstanceId;
use corianderway_model::Presence;
use corianderway_model::Time;
use corianderway_rollout::DrainEvent;
use corianderway_rollout::Event as MoveEvent;

use crate::event::Action;
use crate::event::Write;
use crate::message::Message;
use crate::node::Node;
use crate::record::Record;
use crate::tickets::Purpose;

impl Node {
    /// Steps the control state machine and performs its actions.
    pub(crate) fn step_control(&mut self, now: Time, event: ControlEvent, out: &mut Vec<Action>) {
        let mut actions = Vec::new();
        self.control.step(now, event, &mut actions);
        for action in actions {
            match action {
                ControlAction::Send { to, message } => {
                    self.send_to(&to, Message::Control(message), out);
                }
                ControlAction::List { call } => out.push(Action::ListConfig { call }),
                ControlAction::Watch { call, after } => {
                    out.push(Action::WatchConfig { call, after });
                }
                ControlAction::Restore { object, stored } => self.restore(&object, stored, out),
                ControlAction::Apply(object) => self.put_in_force(now, &object, out),
                ControlAction::Rejected(stamp) => out.push(Action::Log(Record::Config {
                    object: stamp.id.to_string().into(),
                    version: stamp.rank.version,
                    verdict: "rejected".into(),
                })),
                ControlAction::MembersChanged => self.members_changed(now, out),
            }
        }
    }

    /// Processes the platform's list of entry instances.
    pub(crate) fn update_entries(&mut self, now: Time, entries: Vec<Entry>, out: &mut Vec<Action>) {
        self.fleet_listed = true;
        self.step_control(now, ControlEvent::Listed(entries), out);
    }

    /// Answers an instance whose settings list the address of this one.
    pub(crate) fn handle_hello(&mut self, now: Time, entry: Entry, out: &mut Vec<Action>) {
        let to = entry.peers;
        let message = Message::Welcome {
            entries: self.known_entries(),
            backends: self.backends.clone(),
        };
        out.push(Action::Send { to, message });
        self.add_entries(now, vec![entry], out);
    }

    /// Processes the answer to a [`Message::Hello`]: what the sender knows of the
    /// fleet.
    pub(crate) fn handle_welcome(
        &mut self,
        now: Time,
        entries: Vec<Entry>,
        backends: Vec<Backend>,
        out: &mut Vec<Action>,
    ) {
        self.hello_answered = true;
        // The platform's own list is at least as recent.
        if !self.fleet_listed {
            self.update_backends(now, backends);
        }
        self.add_entries(now, entries, out);
    }

    /// Sends [`Message::Hello`] to the addresses in the settings until an instance has
    /// answered or the platform has listed the fleet.
    pub(crate) fn send_hello(&self, out: &mut Vec<Action>) {
        if self.hello_answered || self.fleet_listed {
            return;
        }
        for to in self.bootstrap.iter().copied() {
            let message = Message::Hello(self.me.clone());
            out.push(Action::Send { to, message });
        }
    }

    /// Sends a message to an instance. Does nothing if the instance is unknown.
    pub(crate) fn send_to(&self, to: &InstanceId, message: Message, out: &mut Vec<Action>) {
        if let Some(entry) = self.control.entry(to) {
            let to = entry.peers;
            out.push(Action::Send { to, message });
        }
    }

    /// The live entry instances, including this one unless it is leaving.
    pub(crate) fn live_entries(&self) -> impl Iterator<Item = &Arc<Entry>> {
        let entries = self.control.entries();
        let live = entries.filter(|(_, state)| *state == MemberState::Live);
        live.map(|(entry, _)| entry)
            .filter(|entry| entry.presence == Presence::Live)
    }

    // Adds entries to the known ones and reports the union, since an instance that is
    // missing from a list counts as one that may be gone.
    fn add_entries(&mut self, now: Time, entries: Vec<Entry>, out: &mut Vec<Action>) {
        let mut all = self.known_entries();
        for entry in entries {
            if all.iter().all(|known| known.id != entry.id) {
                all.push(entry);
            }
        }
        self.step_control(now, ControlEvent::Listed(all), out);
    }

    /// The known entry instances that are not gone.
    pub(crate) fn known_entries(&self) -> Vec<Entry> {
        let entries = self.control.entries();
        entries.map(|(entry, _)| Entry::clone(entry)).collect()
    }

    fn members_changed(&mut self, now: Time, out: &mut Vec<Action>) {
        let live: Vec<InstanceId> = self.live_entries().map(|e| e.id.clone()).collect();
        out.push(Action::Log(Record::Other {
            event: "members",
            detail: live
                .iter()
                .map(InstanceId::as_str)
                .collect::<Vec<_>>()
                .join(",")
                .into(),
        }));
        let region = &self.me.region;
        let in_region = self.live_entries().filter(|e| e.region == *region).count();
        self.fleet.set_instances(in_region);
        self.update_directory(now);
        self.choose_sweeper(now, out);
        self.choose_polled();
        self.step_moves(now, MoveEvent::Live(live.clone()), out);
        self.step_drains(now, DrainEvent::Live(live.clone()), out);
        self.step_quota(now, LimitEvent::Live(live), out);
    }

    fn restore(&mut self, object: &Object, stored: u64, out: &mut Vec<Action>) {
        let ticket = self.tickets.issue(Purpose::Restore);
        let write = Write {
            kind: object.id.kind.collection().into(),
            name: Arc::clone(&object.id.name),
            expect: (stored > 0).then_some(stored),
            value: object.text().cloned(),
        };
        out.push(Action::Write { ticket, write });
    }
}
