//! One instance's configuration, membership and freshness, wired together.

use std::sync::Arc;
use std::time::Duration;

use corianderway_model::Entry;
use corianderway_model::InstanceId;
use corianderway_model::Time;

use crate::confirm::Confirm;
use crate::confirm::InForce;
use crate::control_event::Action;
use crate::control_event::Event;
use crate::control_event::PeerMessage;
use crate::freshness::Standing;
use crate::gossip::Gossip;
use crate::gossip_event::GossipAction;
use crate::gossip_event::GossipEvent;
use crate::member::MemberState;
use crate::members::Members;
use crate::members_event::MembersAction;
use crate::members_event::MembersEvent;
use crate::message::Message;
use crate::object::Object;
use crate::object::Stamp;
use crate::set::ConfigSet;
use crate::source::Source;
use crate::source_event::SourceAction;
use crate::source_event::SourceEvent;
use crate::watchers::is_watcher;

/// How many instances out of touch may begin to ask the platform in a second.
const RECONNECTS_PER_SECOND: u64 = 50;

/// The control part of one instance.
#[derive(Clone, Debug)]
pub struct Control {
    config: Gossip,
    members: Members,
    source: Source,
    confirm: Confirm,
    watcher: bool,
}

impl Control {
    /// Starts with nothing but the instance itself; `validate` decides
    /// whether a stored object is sound.
    pub fn new(own: Entry, seed: u64, validate: fn(&Object) -> bool) -> Self {
        Self {
            config: Gossip::new(seed, validate),
            members: Members::new(own, seed.wrapping_add(2)),
            source: Source::new(seed.wrapping_add(4)),
            confirm: Confirm::default(),
            watcher: true,
        }
    }

    /// The held configuration.
    pub fn set(&self) -> &ConfigSet {
        self.config.set()
    }

    /// Whether keyed requests may be decided on.
    pub fn standing(&self, now: Time) -> Standing {
        self.members.freshness().standing(now)
    }

    /// How long ago the platform answered this instance or one it heard of.
    pub fn platform_age(&self, now: Time) -> Option<Duration> {
        self.members.freshness().platform_age(now)
    }

    /// Whether this instance follows the platform itself.
    pub fn watching(&self) -> bool {
        self.source.active()
    }

    /// The other members that are live, sorted.
    pub fn live(&self) -> &Arc<[InstanceId]> {
        self.members.live()
    }

    /// Every known member that has not gone, this one included, by identity.
    pub fn entries(&self) -> impl Iterator<Item = (&Arc<Entry>, MemberState)> {
        self.members.entries()
    }

    /// A known member that has not gone.
    pub fn entry(&self, id: &InstanceId) -> Option<&Arc<Entry>> {
        self.members.entry(id)
    }

    /// Whether a member is known, or known to have gone.
    pub fn remembers(&self, id: &InstanceId) -> bool {
        self.members.remembers(id)
    }

    /// Where a change that is followed here is in force.
    pub fn in_force(&self, stamp: &Stamp) -> InForce {
        if self.set().rank(&stamp.id) < Some(stamp.rank) {
            return InForce::Waiting(vec![self.members.own().id.clone()]);
        }
        self.confirm.state(stamp)
    }

    /// Answers one event.
    pub fn step(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Tick => self.tick(now, out),
            Event::Listing(entries) => self.members(now, MembersEvent::Listing(entries), out),
            Event::Platform(event) => self.platform(now, event, out),
            Event::Written(object) => {
                self.config(now, GossipEvent::Offered(vec![object]), out);
            }
            Event::Follow(stamp) => {
                self.confirm.follow(now, stamp);
                self.set_confirming();
            }
            Event::Received { from, message } => self.receive(now, from, message, out),
            Event::Leave => self.members(now, MembersEvent::Leave, out),
        }
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        self.choose(now, out);
        self.platform(now, SourceEvent::Tick, out);
        self.members(now, MembersEvent::Tick, out);
        self.config(now, GossipEvent::Tick, out);
        for (to, stamp) in self.confirm.due(now) {
            let message = PeerMessage::Config(Message::Ask(stamp));
            out.push(Action::Send { to, message });
        }
    }

    // A watcher follows the platform, and so does an instance that is out of
    // touch; the latter wait for a while that grows with the fleet, so that
    // they do not all ask at once.
    fn choose(&mut self, now: Time, out: &mut Vec<Action>) {
        let fresh = self.members.freshness();
        let (at_risk, told) = (fresh.at_risk(now), fresh.told_lately(now));
        let event = match (self.source.active(), self.watcher) {
            (false, true) => SourceEvent::Chosen(Duration::ZERO),
            (false, false) if at_risk => SourceEvent::Chosen(self.reconnect_delay()),
            (true, false) if told => SourceEvent::Released,
            _ => return,
        };
        self.platform(now, event, out);
    }

    fn reconnect_delay(&mut self) -> Duration {
        let fleet = self.members.live().len() as u64;
        let longest = Duration::from_millis(fleet * 1000 / RECONNECTS_PER_SECOND);
        longest.mul_f64(self.members.random_share())
    }

    fn is_watcher(&self) -> bool {
        let own = self.members.own();
        let live = self.members.entries();
        let live = live.filter(|(_, state)| *state == MemberState::Live);
        let live = live.map(|(entry, _)| (&entry.id, &entry.region));
        is_watcher(&own.id, &own.region, live)
    }

    fn receive(
        &mut self,
        now: Time,
        from: InstanceId,
        message: PeerMessage,
        out: &mut Vec<Action>,
    ) {
        let keys = self.set().keys();
        match message {
            PeerMessage::Config(Message::Held { stamp, in_force }) => {
                if in_force {
                    self.confirm.holds(&from, &stamp);
                }
            }
            PeerMessage::Config(message) => {
                self.config(now, GossipEvent::Received { from, message }, out);
            }
            PeerMessage::Members(message) => {
                self.members(now, MembersEvent::Received { from, message }, out);
            }
            PeerMessage::Ask(question) => {
                let event = MembersEvent::Asked {
                    from,
                    question,
                    keys,
                };
                self.members(now, event, out);
            }
            PeerMessage::Answer(question, word) => {
                let event = MembersEvent::Answered {
                    from,
                    question,
                    word,
                    keys,
                };
                self.members(now, event, out);
            }
        }
    }

    fn platform(&mut self, now: Time, event: SourceEvent, out: &mut Vec<Action>) {
        let mut actions = Vec::new();
        self.source
            .step(now, event, self.config.set(), &mut actions);
        for action in actions {
            match action {
                SourceAction::List { call } => out.push(Action::List { call }),
                SourceAction::Watch { call, after } => out.push(Action::Watch { call, after }),
                SourceAction::Offer(objects) => {
                    self.config(now, GossipEvent::Offered(objects), out);
                }
                SourceAction::Reached(asked) => self.members.platform_answered(asked),
                SourceAction::Restore { object, stored } => {
                    out.push(Action::Restore { object, stored });
                }
            }
        }
    }

    fn config(&mut self, now: Time, event: GossipEvent, out: &mut Vec<Action>) {
        let mut actions = Vec::new();
        self.config.step(now, event, &mut actions);
        out.extend(actions.into_iter().map(|action| match action {
            GossipAction::Send { to, message } => Action::Send {
                to,
                message: PeerMessage::Config(message),
            },
            GossipAction::Accepted(object) => Action::InForce(object),
            GossipAction::Rejected(stamp) => Action::Rejected(stamp),
        }));
    }

    fn members(&mut self, now: Time, event: MembersEvent, out: &mut Vec<Action>) {
        let mut actions = Vec::new();
        self.members.step(now, event, &mut actions);
        for action in actions {
            let (to, message) = match action {
                MembersAction::Send { to, message } => (to, PeerMessage::Members(message)),
                MembersAction::Ask { to, question } => (to, PeerMessage::Ask(question)),
                MembersAction::Answer { to, question, word } => {
                    (to, PeerMessage::Answer(question, word))
                }
                MembersAction::Differs(peer) => {
                    self.config(now, GossipEvent::Compare(peer), out);
                    continue;
                }
                MembersAction::Changed => {
                    self.members_changed(now, out);
                    continue;
                }
            };
            out.push(Action::Send { to, message });
        }
    }

    fn members_changed(&mut self, now: Time, out: &mut Vec<Action>) {
        let peers = GossipEvent::Peers(self.members.live().clone());
        self.config(now, peers, out);
        self.set_confirming();
        self.watcher = self.is_watcher();
        out.push(Action::MembersChanged);
    }

    fn set_confirming(&mut self) {
        let own = &self.members.own().id;
        let others = self.members.entries().map(|(entry, _)| &entry.id);
        let others = others.filter(|id| *id != own).cloned();
        self.confirm.set_members(&others.collect::<Vec<_>>());
    }
}
