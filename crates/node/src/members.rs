//! Other entry instances: who they are, and the control part that talks to them.

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
    /// Steps the control part and carries out what it wants.
    pub(crate) fn control(&mut self, now: Time, event: ControlEvent, out: &mut Vec<Action>) {
        let mut actions = Vec::new();
        self.control.step(now, event, &mut actions);
        for action in actions {
            match action {
                ControlAction::Send { to, message } => {
                    self.send_to(&to, Message::Control(message), out);
                }
                ControlAction::List { call } => out.push(Action::List { call }),
                ControlAction::Watch { call, after } => out.push(Action::Watch { call, after }),
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

    /// Takes the platform's list of entry instances.
    pub(crate) fn take_entries(&mut self, now: Time, entries: Vec<Entry>, out: &mut Vec<Action>) {
        self.listed = true;
        self.control(now, ControlEvent::Listed(entries), out);
    }

    /// Answers an instance that was told of this one by its settings.
    pub(crate) fn greeted_by(&mut self, now: Time, entry: Entry, out: &mut Vec<Action>) {
        let to = entry.peers;
        let message = Message::Welcome {
            entries: self.known_entries(),
            backends: self.backends.clone(),
        };
        out.push(Action::Send { to, message });
        self.learn(now, vec![entry], out);
    }

    /// Takes what a greeted instance knows of the fleet.
    pub(crate) fn welcomed(
        &mut self,
        now: Time,
        entries: Vec<Entry>,
        backends: Vec<Backend>,
        out: &mut Vec<Action>,
    ) {
        self.welcome = true;
        // The platform's own list, once it has come, is at least as recent.
        if !self.listed {
            self.take_backends(now, backends);
        }
        self.learn(now, entries, out);
    }

    /// Greets the addresses in the settings until one of them has answered or
    /// the platform has listed the fleet.
    pub(crate) fn greet(&self, out: &mut Vec<Action>) {
        if self.welcome || self.listed {
            return;
        }
        for to in self.bootstrap.iter().copied() {
            let message = Message::Hello(self.me.clone());
            out.push(Action::Send { to, message });
        }
    }

    /// Sends a message to an instance, if it is known.
    pub(crate) fn send_to(&self, to: &InstanceId, message: Message, out: &mut Vec<Action>) {
        if let Some(entry) = self.control.entry(to) {
            let to = entry.peers;
            out.push(Action::Send { to, message });
        }
    }

    /// Every live entry instance, this one among them while it takes work.
    pub(crate) fn live_entries(&self) -> impl Iterator<Item = &Arc<Entry>> {
        let entries = self.control.entries();
        let live = entries.filter(|(_, state)| *state == MemberState::Live);
        live.map(|(entry, _)| entry)
            .filter(|entry| entry.presence == Presence::Live)
    }

    // Adds to what is known; a list that lacks an instance would count against it.
    fn learn(&mut self, now: Time, entries: Vec<Entry>, out: &mut Vec<Action>) {
        let mut all = self.known_entries();
        for entry in entries {
            if all.iter().all(|known| known.id != entry.id) {
                all.push(entry);
            }
        }
        self.control(now, ControlEvent::Listed(all), out);
    }

    /// Every entry instance that is known and not gone.
    pub(crate) fn known_entries(&self) -> Vec<Entry> {
        let entries = self.control.entries();
        entries.map(|(entry, _)| Entry::clone(entry)).collect()
    }

    fn members_changed(&mut self, now: Time, out: &mut Vec<Action>) {
        let live: Vec<InstanceId> = self.live_entries().map(|e| e.id.clone()).collect();
        out.push(Action::Log(Record::Note {
            event: "members",
            detail: live
                .iter()
                .map(InstanceId::as_str)
                .collect::<Vec<_>>()
                .join(",")
                .into(),
        }));
        let region = &self.me.region;
        let near = self.live_entries().filter(|e| e.region == *region).count();
        self.fleet.set_instances(near);
        self.update_directory(now);
        self.choose_sweeper(now, out);
        self.choose_asked();
        self.moves(now, MoveEvent::Live(live.clone()), out);
        self.drain(now, DrainEvent::Live(live.clone()), out);
        self.limits(now, LimitEvent::Live(live), out);
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
