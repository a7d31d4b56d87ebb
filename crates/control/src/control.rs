//! Combines configuration replication, membership and the platform watch of one instance.

use std::sync::Arc;
use std::time::Duration;

use corianderway_model::Entry;
use corianderway_model::InstanceId;
use corianderway_model::Time;

use crate::confirmations::Confirmations;
use crate::confirmations::InForce;
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
use crate::platform_watch::PlatformWatch;
use crate::set::ConfigSet;
use crate::watch_event::WatchAction;
use crate::watch_event::WatchEvent;
use crate::watchers::is_watcher;

/// The rate at which isolated instances of a fleet may start to call the platform.
const MAX_RECONNECTS_PER_S: u64 = 50;

/// The control state of one instance.
///
/// Each [`Event`] is passed to the state machine that it concerns. Their
/// results are routed between them: objects that the platform returns are
/// merged into the configuration set, and membership changes update the peers
/// that configuration is exchanged with.
#[derive(Clone, Debug)]
pub struct Control {
    config: Gossip,
    members: Members,
    watch: PlatformWatch,
    confirm: Confirmations,
    watcher: bool,
}

impl Control {
    /// Creates the state of an instance that knows no other member.
    ///
    /// Objects that `validate` rejects are neither held nor passed on.
    pub fn new(own: Entry, seed: u64, validate: fn(&Object) -> bool) -> Self {
        Self {
            config: Gossip::new(seed, validate),
            members: Members::new(own, seed.wrapping_add(2)),
            watch: PlatformWatch::new(seed.wrapping_add(4)),
            confirm: Confirmations::default(),
            watcher: true,
        }
    }

    /// Returns the configuration objects that this instance holds.
    pub fn config(&self) -> &ConfigSet {
        self.config.set()
    }

    /// Returns whether this instance may decide on keyed requests.
    pub fn standing(&self, now: Time) -> Standing {
        self.members.freshness().standing(now)
    }

    /// Returns the age of the platform's latest answer, to this instance or to
    /// one whose report reached it.
    pub fn platform_age(&self, now: Time) -> Option<Duration> {
        self.members.freshness().platform_age(now)
    }

    /// Returns whether this instance watches the platform itself.
    pub fn watching(&self) -> bool {
        self.watch.active()
    }

    /// Returns the other members that take part in gossip, sorted: all but
    /// unreachable and gone ones.
    pub fn reachable(&self) -> &Arc<[InstanceId]> {
        self.members.reachable()
    }

    /// Returns every member that is not gone, this one included, sorted by identity.
    pub fn entries(&self) -> impl Iterator<Item = (&Arc<Entry>, MemberState)> {
        self.members.entries()
    }

    /// Returns the entry of a member that is not gone.
    pub fn entry(&self, id: &InstanceId) -> Option<&Arc<Entry>> {
        self.members.entry(id)
    }

    /// Returns whether there is a record of a member; that of a gone member is
    /// kept for a while.
    pub fn is_known(&self, id: &InstanceId) -> bool {
        self.members.is_known(id)
    }

    /// Returns where a change is in force, if it is followed here.
    pub fn in_force(&self, stamp: &Stamp) -> InForce {
        if self.config().rank(&stamp.id) < Some(stamp.rank) {
            return InForce::Waiting(vec![self.members.own().id.clone()]);
        }
        self.confirm.state(stamp)
    }

    /// Handles one event and appends the resulting actions to `out`.
    pub fn step(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Tick => self.tick(now, out),
            Event::Listed(entries) => self.step_members(now, MembersEvent::Listed(entries), out),
            Event::Platform(event) => self.step_watch(now, event, out),
            Event::Written(object) => {
                self.step_config(now, GossipEvent::LocalObjects(vec![object]), out);
            }
            Event::Follow(stamp) => {
                self.confirm.follow(now, stamp);
                self.update_confirm();
            }
            Event::Received { from, message } => self.receive(now, from, message, out),
            Event::Leave => self.step_members(now, MembersEvent::Leave, out),
        }
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        self.update_watch(now, out);
        self.step_watch(now, WatchEvent::Tick, out);
        self.step_members(now, MembersEvent::Tick, out);
        self.step_config(now, GossipEvent::Tick, out);
        for (to, stamp) in self.confirm.due_queries(now) {
            let message = PeerMessage::Config(Message::Ask(stamp));
            out.push(Action::Send { to, message });
        }
    }

    // Watchers watch the platform, and so does an instance that is about to be
    // isolated. The latter starts after a random delay whose maximum grows
    // with the fleet, so that not all call the platform at once.
    fn update_watch(&mut self, now: Time, out: &mut Vec<Action>) {
        let freshness = self.members.freshness();
        let (at_risk, peer_reported) = (freshness.at_risk(now), freshness.relayed_recently(now));
        let event = match (self.watch.active(), self.watcher) {
            (false, true) => WatchEvent::Activated(Duration::ZERO),
            (false, false) if at_risk => WatchEvent::Activated(self.reconnect_delay()),
            (true, false) if peer_reported => WatchEvent::Deactivated,
            _ => return,
        };
        self.step_watch(now, event, out);
    }

    fn reconnect_delay(&mut self) -> Duration {
        let fleet = self.members.reachable().len() as u64;
        let max_delay = Duration::from_millis(fleet * 1000 / MAX_RECONNECTS_PER_S);
        max_delay.mul_f64(self.members.random_share())
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
        let keys = self.config().key_digest();
        match message {
            PeerMessage::Config(Message::Held { stamp, in_force }) => {
                if in_force {
                    self.confirm.record_confirmation(&from, &stamp);
                }
            }
            PeerMessage::Config(message) => {
                self.step_config(now, GossipEvent::Received { from, message }, out);
            }
            PeerMessage::Members(message) => {
                self.step_members(now, MembersEvent::Received { from, message }, out);
            }
            PeerMessage::Ask(probe) => {
                let event = MembersEvent::ProbeReceived { from, probe, keys };
                self.step_members(now, event, out);
            }
            PeerMessage::Answer(probe, word) => {
                let event = MembersEvent::ProbeAnswered {
                    from,
                    probe,
                    word,
                    keys,
                };
                self.step_members(now, event, out);
            }
        }
    }

    fn step_watch(&mut self, now: Time, event: WatchEvent, out: &mut Vec<Action>) {
        let mut actions = Vec::new();
        self.watch.step(now, event, self.config.set(), &mut actions);
        for action in actions {
            match action {
                WatchAction::List { call } => out.push(Action::List { call }),
                WatchAction::Watch { call, after } => out.push(Action::Watch { call, after }),
                WatchAction::Merge(objects) => {
                    self.step_config(now, GossipEvent::LocalObjects(objects), out);
                }
                WatchAction::Synced(called_at) => self.members.platform_answered(called_at),
                WatchAction::Restore { object, stored } => {
                    out.push(Action::Restore { object, stored });
                }
            }
        }
    }

    fn step_config(&mut self, now: Time, event: GossipEvent, out: &mut Vec<Action>) {
        let mut actions = Vec::new();
        self.config.step(now, event, &mut actions);
        out.extend(actions.into_iter().map(|action| match action {
            GossipAction::Send { to, message } => Action::Send {
                to,
                message: PeerMessage::Config(message),
            },
            GossipAction::Accepted(object) => Action::Apply(object),
            GossipAction::Rejected(stamp) => Action::Rejected(stamp),
        }));
    }

    fn step_members(&mut self, now: Time, event: MembersEvent, out: &mut Vec<Action>) {
        let mut actions = Vec::new();
        self.members.step(now, event, &mut actions);
        for action in actions {
            let (to, message) = match action {
                MembersAction::Send { to, message } => (to, PeerMessage::Members(message)),
                MembersAction::SendProbe { to, probe } => (to, PeerMessage::Ask(probe)),
                MembersAction::AnswerProbe { to, probe, word } => {
                    (to, PeerMessage::Answer(probe, word))
                }
                MembersAction::KeysDiffer(peer) => {
                    self.step_config(now, GossipEvent::Compare(peer), out);
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
        let peers = GossipEvent::Peers(self.members.reachable().clone());
        self.step_config(now, peers, out);
        self.update_confirm();
        self.watcher = self.is_watcher();
        out.push(Action::MembersChanged);
    }

    fn update_confirm(&mut self) {
        let own = &self.members.own().id;
        let others = self.members.entries().map(|(entry, _)| &entry.id);
        let others = others.filter(|id| *id != own).cloned();
        self.confirm.set_members(&others.collect::<Vec<_>>());
    }
}
