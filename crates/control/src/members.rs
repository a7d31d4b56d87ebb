//! Membership with failure detection by probes, in the manner of SWIM.
//!
//! Members are objects of a set of their own, replicated by gossip as
//! configuration is. Each instance regularly probes one other member. A member
//! that doesn't answer a probe and its repetition becomes suspect, and only
//! the member itself refutes that, by announcing a new incarnation. Answers to
//! probes also carry how recent the sender's data is.

use std::sync::Arc;

use corianderway_model::Entry;
use corianderway_model::FailureDomain;
use corianderway_model::InstanceId;
use corianderway_model::Presence;
use corianderway_model::Time;

use crate::absence::AbsenceTimes;
use crate::freshness::Freshness;
use crate::freshness::FreshnessReport;
use crate::gossip::Gossip;
use crate::gossip_event::GossipAction;
use crate::gossip_event::GossipEvent;
use crate::member::MemberChart;
use crate::member::MemberEvent;
use crate::member::MemberState;
use crate::members_event::MembersAction;
use crate::members_event::MembersEvent;
use crate::message::Message;
use crate::object::Id;
use crate::object::Kind;
use crate::object::Object;
use crate::parents;
use crate::probes::Candidates;
use crate::probes::Pace;
use crate::probes::ProbeAction;
use crate::probes::Probes;
use crate::set::Digest;

/// The membership as one instance sees it.
///
/// Handles probes, answers, gossip and the platform's list of instances, and
/// returns messages to peers and notices of changes. After an event that
/// changed a member, `reachable`, `unreachable`, `parents` and the counted failure
/// domains agree with the replicated set again.
#[derive(Clone, Debug)]
pub struct Members {
    own: Arc<Entry>,
    incarnation: u64,
    chart: MemberChart,
    gossip: Gossip,
    freshness: Freshness,
    probes: Probes,
    // The other members that are not gone, sorted by identity.
    reachable: Arc<[InstanceId]>,
    unreachable: Vec<InstanceId>,
    parents: Vec<InstanceId>,
    state_times: AbsenceTimes,
    changed: bool,
}

impl Members {
    /// Creates a membership whose only member is this instance.
    pub fn new(own: Entry, seed: u64) -> Self {
        let freshness = Freshness::new(&own.domain);
        let mut members = Self {
            own: Arc::new(own),
            incarnation: 0,
            chart: MemberChart::load(),
            gossip: Gossip::new(seed, |object| object.id.kind == Kind::Member),
            freshness,
            probes: Probes::new(seed.wrapping_add(1)),
            reachable: Arc::new([]),
            unreachable: Vec::new(),
            parents: Vec::new(),
            state_times: AbsenceTimes::default(),
            changed: true,
        };
        members.announce(Time::ZERO, &mut Vec::new());
        members
    }

    /// Returns how recent the data from the platform and the failure domains is.
    pub fn freshness(&self) -> &Freshness {
        &self.freshness
    }

    /// Records that the platform's whole state, as of `asked` or later, is held.
    pub fn platform_answered(&mut self, asked: Time) {
        self.freshness.platform_answered(asked);
    }

    /// Returns the entry of this instance.
    pub fn own(&self) -> &Arc<Entry> {
        &self.own
    }

    /// Returns the other members that are neither unreachable nor gone, sorted.
    pub fn reachable(&self) -> &Arc<[InstanceId]> {
        &self.reachable
    }

    /// Returns the members that don't answer and have not left, sorted.
    pub fn unreachable(&self) -> &[InstanceId] {
        &self.unreachable
    }

    /// Returns every member that is not gone, this one included, sorted by identity.
    pub fn entries(&self) -> impl Iterator<Item = (&Arc<Entry>, MemberState)> {
        let members = self.gossip.set().live(Kind::Member);
        members.filter_map(|o| Some((MemberState::entry(o)?, MemberState::of(o))))
    }

    /// Returns the entry of a member that is not gone.
    pub fn entry(&self, id: &InstanceId) -> Option<&Arc<Entry>> {
        MemberState::entry(self.gossip.set().get(&member(id))?)
    }

    /// Returns a random number from 0 to 1, 1 excluded.
    pub(crate) fn random_share(&mut self) -> f64 {
        self.probes.random_share()
    }

    /// Returns whether there is a record of a member; that of a gone member is
    /// kept for a while.
    pub fn is_known(&self, id: &InstanceId) -> bool {
        self.gossip.set().get(&member(id)).is_some()
    }

    /// Handles one event and appends the resulting actions to `out`.
    pub fn step(&mut self, now: Time, event: MembersEvent, out: &mut Vec<MembersAction>) {
        match event {
            MembersEvent::Tick => self.tick(now, out),
            MembersEvent::Listed(entries) => self.apply_list(now, entries, out),
            MembersEvent::Leave => self.leave(now, out),
            MembersEvent::Received { from, message } => {
                let event = GossipEvent::Received { from, message };
                self.step_gossip(now, event, out);
            }
            MembersEvent::ProbeReceived { from, probe, keys } => {
                let word = self.freshness.report(now, keys);
                out.push(MembersAction::AnswerProbe {
                    to: from,
                    probe,
                    word,
                });
            }
            MembersEvent::ProbeAnswered {
                from,
                probe,
                word,
                keys,
            } => self.finish_probe(from, probe, &word, keys, out),
        }
        if std::mem::take(&mut self.changed) {
            self.update_views(now, out);
        }
    }

    fn tick(&mut self, now: Time, out: &mut Vec<MembersAction>) {
        self.step_gossip(now, GossipEvent::Tick, out);
        self.check_state_times(now, out);
        let pace = self.freshness.pace(now);
        let unheard = match pace {
            Pace::Normal => Vec::new(),
            Pace::PlatformSilent | Pace::Urgent => self.unheard_members(now),
        };
        let pools = Candidates {
            parents: &self.parents,
            live: &self.reachable,
            out_of_contact: &unheard,
            silent: &self.unreachable,
            pace,
        };
        match self.probes.tick(now, pools) {
            Some(ProbeAction::Send { to, question }) => self.send_probe(now, to, question, out),
            Some(ProbeAction::Missed(id)) => {
                self.apply(now, &member(&id), MemberEvent::NoAnswer, out);
            }
            None => {}
        }
    }

    // Returns the members of failure domains without a recent report.
    fn unheard_members(&self, now: Time) -> Vec<InstanceId> {
        let others = self.entries().filter(|(entry, state)| {
            let live = *state <= MemberState::Leaving && entry.id != self.own.id;
            live && !self.freshness.domain_recent(now, &entry.domain)
        });
        others.map(|(entry, _)| entry.id.clone()).collect()
    }

    // Sends a probe. Until the initial sync has finished the receiver may not
    // know this member, so its announcement goes along.
    fn send_probe(&mut self, now: Time, to: InstanceId, probe: u64, out: &mut Vec<MembersAction>) {
        if !self.gossip.is_synced() {
            let own = MemberState::announcement(self.own.clone(), self.incarnation);
            let message = Message::Objects(vec![own]);
            let to = to.clone();
            out.push(MembersAction::Send { to, message });
        }
        if self.unreachable.binary_search(&to).is_ok() {
            self.step_gossip(now, GossipEvent::Compare(to.clone()), out);
        }
        out.push(MembersAction::SendProbe { to, probe });
    }

    fn finish_probe(
        &mut self,
        from: InstanceId,
        probe: u64,
        word: &FreshnessReport,
        keys: Digest,
        out: &mut Vec<MembersAction>,
    ) {
        if let Some(asked) = self.probes.answered(&from, probe) {
            self.freshness.apply_report(asked, keys, word);
            if word.keys != keys {
                out.push(MembersAction::KeysDiffer(from));
            }
        }
    }

    fn apply_list(&mut self, now: Time, entries: Vec<Entry>, out: &mut Vec<MembersAction>) {
        let mut listed = Vec::with_capacity(entries.len());
        let mut unknown = Vec::new();
        for entry in entries {
            let id = member(&entry.id);
            if self.gossip.set().get(&id).is_none() {
                unknown.push(MemberState::announcement(Arc::new(entry), 0));
            } else if entry.presence == Presence::Leaving {
                self.apply(now, &id, MemberEvent::ListedLeaving, out);
            }
            listed.push(id);
        }
        self.step_gossip(now, GossipEvent::LocalObjects(unknown), out);
        listed.sort();
        let held = self.entries().map(|(entry, _)| member(&entry.id));
        let mut missing = held.collect::<Vec<_>>();
        missing.retain(|id| listed.binary_search(id).is_err());
        for id in missing {
            self.apply(now, &id, MemberEvent::Unlisted, out);
        }
    }

    fn leave(&mut self, now: Time, out: &mut Vec<MembersAction>) {
        let mut own = (*self.own).clone();
        own.presence = Presence::Leaving;
        self.own = Arc::new(own);
        self.incarnation += 1;
        self.announce(now, out);
    }

    fn announce(&mut self, now: Time, out: &mut Vec<MembersAction>) {
        let object = MemberState::announcement(self.own.clone(), self.incarnation);
        self.offer(now, object, out);
    }

    fn check_state_times(&mut self, now: Time, out: &mut Vec<MembersAction>) {
        for id in self.state_times.timed_out(now) {
            self.apply(now, &id, MemberEvent::SuspicionExpired, out);
        }
        for id in self.state_times.past_spread(now) {
            self.gossip.retire(&id);
        }
        for id in self.state_times.remove_expired(now) {
            self.gossip.forget(&id);
        }
    }

    // Applies an observation to a member's chart and publishes its new state.
    fn apply(&mut self, now: Time, id: &Id, event: MemberEvent, out: &mut Vec<MembersAction>) {
        let Some(object) = self.gossip.set().get(id) else {
            return;
        };
        if let Some(next) = self.chart.next(object, event) {
            self.offer(now, next, out);
        }
    }

    fn offer(&mut self, now: Time, object: Object, out: &mut Vec<MembersAction>) {
        self.step_gossip(now, GossipEvent::LocalObjects(vec![object]), out);
    }

    fn step_gossip(&mut self, now: Time, event: GossipEvent, out: &mut Vec<MembersAction>) {
        let mut actions = Vec::new();
        self.gossip.step(now, event, &mut actions);
        for action in actions {
            match action {
                GossipAction::Send { to, message } => out.push(MembersAction::Send { to, message }),
                GossipAction::Accepted(object) => self.object_accepted(now, &object, out),
                GossipAction::Rejected(_) => {}
            }
        }
    }

    fn object_accepted(&mut self, now: Time, object: &Object, out: &mut Vec<MembersAction>) {
        self.changed = true;
        self.state_times.record(now, object);
        let own = object.id.name.as_ref() == self.own.id.as_str();
        if own && MemberState::of(object) > MemberState::Leaving {
            self.incarnation = MemberState::incarnation(object) + 1;
            self.announce(now, out);
        }
    }

    fn update_views(&mut self, now: Time, out: &mut Vec<MembersAction>) {
        let mut reachable = Vec::new();
        let mut unreachable = Vec::new();
        for (entry, state) in self.entries() {
            match state {
                _ if entry.id == self.own.id => {}
                MemberState::Unreachable => unreachable.push(entry.id.clone()),
                _ => reachable.push(entry.id.clone()),
            }
        }
        let domains = self.entries().map(|(entry, _)| entry.domain.clone());
        let domains = domains.collect::<Vec<FailureDomain>>();
        self.freshness.set_domains(&domains);
        self.parents = parents::of(&self.own, self.entries());
        self.reachable = reachable.into();
        self.unreachable = unreachable;
        let peers = GossipEvent::Peers(self.reachable.clone());
        self.step_gossip(now, peers, out);
        out.push(MembersAction::Changed);
    }
}

fn member(id: &InstanceId) -> Id {
    Id::new(Kind::Member, id.as_str())
}
