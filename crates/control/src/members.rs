//! Which instances there are, and whether this one is in touch with them.
//!
//! Members are objects of a set of their own that spreads as configuration
//! does. Each instance asks one other at a time whether it is there; two
//! questions without an answer make it suspect, and only the member itself
//! takes that back, by announcing itself anew with a higher version.

use std::sync::Arc;

use corianderway_model::Entry;
use corianderway_model::FailureDomain;
use corianderway_model::InstanceId;
use corianderway_model::Presence;
use corianderway_model::Time;

use crate::freshness::Freshness;
use crate::freshness::Word;
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
use crate::questions::Outcome;
use crate::questions::Pace;
use crate::questions::Pools;
use crate::questions::Questions;
use crate::set::Digest;
use crate::since::Since;

/// The membership as one instance sees it.
#[derive(Clone, Debug)]
pub struct Members {
    own: Arc<Entry>,
    life: u64,
    chart: MemberChart,
    gossip: Gossip,
    fresh: Freshness,
    questions: Questions,
    // Sorted by identity: live ones but this one, and silent ones.
    live: Arc<[InstanceId]>,
    silent: Vec<InstanceId>,
    parents: Vec<InstanceId>,
    since: Since,
    changed: bool,
}

impl Members {
    /// Starts as the only member.
    pub fn new(own: Entry, seed: u64) -> Self {
        let fresh = Freshness::new(&own.domain);
        let mut members = Self {
            own: Arc::new(own),
            life: 0,
            chart: MemberChart::load(),
            gossip: Gossip::new(seed, |object| object.id.kind == Kind::Member),
            fresh,
            questions: Questions::new(seed.wrapping_add(1)),
            live: Arc::new([]),
            silent: Vec::new(),
            parents: Vec::new(),
            since: Since::default(),
            changed: true,
        };
        members.announce(Time::ZERO, &mut Vec::new());
        members
    }

    /// How recent the word of platform and peers is.
    pub fn freshness(&self) -> &Freshness {
        &self.fresh
    }

    /// Notes that the platform's whole state, as of `asked` or later, is held.
    pub fn platform_answered(&mut self, asked: Time) {
        self.fresh.platform_answered(asked);
    }

    /// This instance.
    pub fn own(&self) -> &Arc<Entry> {
        &self.own
    }

    /// The other members that are live, sorted.
    pub fn live(&self) -> &Arc<[InstanceId]> {
        &self.live
    }

    /// The members that do not answer and have not left, sorted.
    pub fn silent(&self) -> &[InstanceId] {
        &self.silent
    }

    /// Every known member that has not gone, this one included, by identity.
    pub fn entries(&self) -> impl Iterator<Item = (&Arc<Entry>, MemberState)> {
        let members = self.gossip.set().live(Kind::Member);
        members.filter_map(|o| Some((MemberState::entry(o)?, MemberState::of(o))))
    }

    /// A known member that has not gone.
    pub fn entry(&self, id: &InstanceId) -> Option<&Arc<Entry>> {
        MemberState::entry(self.gossip.set().get(&name(id))?)
    }

    /// A random number from 0 to 1.
    pub(crate) fn random_share(&mut self) -> f64 {
        self.questions.random_share()
    }

    /// Whether a member is known, or known to have gone.
    pub fn remembers(&self, id: &InstanceId) -> bool {
        self.gossip.set().get(&name(id)).is_some()
    }

    /// Answers one event.
    pub fn step(&mut self, now: Time, event: MembersEvent, out: &mut Vec<MembersAction>) {
        match event {
            MembersEvent::Tick => self.tick(now, out),
            MembersEvent::Listing(entries) => self.listing(now, entries, out),
            MembersEvent::Leave => self.leave(now, out),
            MembersEvent::Received { from, message } => {
                let event = GossipEvent::Received { from, message };
                self.gossip_step(now, event, out);
            }
            MembersEvent::Asked {
                from,
                question,
                keys,
            } => {
                let word = self.fresh.word(now, keys);
                out.push(MembersAction::Answer {
                    to: from,
                    question,
                    word,
                });
            }
            MembersEvent::Answered {
                from,
                question,
                word,
                keys,
            } => self.answered(from, question, &word, keys, out),
        }
        if std::mem::take(&mut self.changed) {
            self.refresh(now, out);
        }
    }

    fn tick(&mut self, now: Time, out: &mut Vec<MembersAction>) {
        self.gossip_step(now, GossipEvent::Tick, out);
        self.overdue(now, out);
        let pace = self.fresh.pace(now);
        let unheard = match pace {
            Pace::Usual => Vec::new(),
            Pace::Silent | Pace::Urgent => self.unheard(now),
        };
        let pools = Pools {
            parents: &self.parents,
            live: &self.live,
            unheard: &unheard,
            silent: &self.silent,
            pace,
        };
        match self.questions.tick(now, pools) {
            Some(Outcome::Ask { to, question }) => self.ask(now, to, question, out),
            Some(Outcome::Missed(id)) => self.observe(now, &name(&id), MemberEvent::Missed, out),
            None => {}
        }
    }

    fn unheard(&self, now: Time) -> Vec<InstanceId> {
        let others = self.entries().filter(|(entry, state)| {
            let live = *state <= MemberState::Leaving && entry.id != self.own.id;
            live && !self.fresh.spoke_lately(now, &entry.domain)
        });
        others.map(|(entry, _)| entry.id.clone()).collect()
    }

    // A member that may not know this one is told of it with the question.
    fn ask(&mut self, now: Time, to: InstanceId, question: u64, out: &mut Vec<MembersAction>) {
        if !self.gossip.filled() {
            let own = MemberState::object(self.own.clone(), self.life);
            let message = Message::Objects(vec![own]);
            let to = to.clone();
            out.push(MembersAction::Send { to, message });
        }
        if self.silent.binary_search(&to).is_ok() {
            self.gossip_step(now, GossipEvent::Compare(to.clone()), out);
        }
        out.push(MembersAction::Ask { to, question });
    }

    fn answered(
        &mut self,
        from: InstanceId,
        question: u64,
        word: &Word,
        keys: Digest,
        out: &mut Vec<MembersAction>,
    ) {
        if let Some(asked) = self.questions.answered(&from, question) {
            self.fresh.heard(asked, keys, word);
            if word.keys != keys {
                out.push(MembersAction::Differs(from));
            }
        }
    }

    fn listing(&mut self, now: Time, entries: Vec<Entry>, out: &mut Vec<MembersAction>) {
        let mut listed = Vec::with_capacity(entries.len());
        let mut unknown = Vec::new();
        for entry in entries {
            let id = name(&entry.id);
            if self.gossip.set().get(&id).is_none() {
                unknown.push(MemberState::object(Arc::new(entry), 0));
            } else if entry.presence == Presence::Leaving {
                self.observe(now, &id, MemberEvent::Announced, out);
            }
            listed.push(id);
        }
        self.gossip_step(now, GossipEvent::Offered(unknown), out);
        listed.sort();
        let held = self.entries().map(|(entry, _)| name(&entry.id));
        let mut missing = held.collect::<Vec<_>>();
        missing.retain(|id| listed.binary_search(id).is_err());
        for id in missing {
            self.observe(now, &id, MemberEvent::Unlisted, out);
        }
    }

    fn leave(&mut self, now: Time, out: &mut Vec<MembersAction>) {
        let mut own = (*self.own).clone();
        own.presence = Presence::Leaving;
        self.own = Arc::new(own);
        self.life += 1;
        self.announce(now, out);
    }

    fn announce(&mut self, now: Time, out: &mut Vec<MembersAction>) {
        let object = MemberState::object(self.own.clone(), self.life);
        self.offer(now, object, out);
    }

    fn overdue(&mut self, now: Time, out: &mut Vec<MembersAction>) {
        for id in self.since.overdue(now) {
            self.observe(now, &id, MemberEvent::Overdue, out);
        }
        for id in self.since.retired(now) {
            self.gossip.retire(&id);
        }
        for id in self.since.take_forgotten(now) {
            self.gossip.forget(&id);
        }
    }

    // Moves a member along its chart and spreads its new state.
    fn observe(&mut self, now: Time, id: &Id, event: MemberEvent, out: &mut Vec<MembersAction>) {
        let Some(object) = self.gossip.set().get(id) else {
            return;
        };
        if let Some(next) = self.chart.next(object, event) {
            self.offer(now, next, out);
        }
    }

    fn offer(&mut self, now: Time, object: Object, out: &mut Vec<MembersAction>) {
        self.gossip_step(now, GossipEvent::Offered(vec![object]), out);
    }

    fn gossip_step(&mut self, now: Time, event: GossipEvent, out: &mut Vec<MembersAction>) {
        let mut actions = Vec::new();
        self.gossip.step(now, event, &mut actions);
        for action in actions {
            match action {
                GossipAction::Send { to, message } => out.push(MembersAction::Send { to, message }),
                GossipAction::Accepted(object) => self.accepted(now, &object, out),
                GossipAction::Rejected(_) => {}
            }
        }
    }

    fn accepted(&mut self, now: Time, object: &Object, out: &mut Vec<MembersAction>) {
        self.changed = true;
        self.since.note(now, object);
        let own = object.id.name.as_ref() == self.own.id.as_str();
        if own && MemberState::of(object) > MemberState::Leaving {
            self.life = MemberState::life(object) + 1;
            self.announce(now, out);
        }
    }

    fn refresh(&mut self, now: Time, out: &mut Vec<MembersAction>) {
        let mut live = Vec::new();
        let mut silent = Vec::new();
        for (entry, state) in self.entries() {
            match state {
                _ if entry.id == self.own.id => {}
                MemberState::Silent => silent.push(entry.id.clone()),
                _ => live.push(entry.id.clone()),
            }
        }
        let domains = self.entries().map(|(entry, _)| entry.domain.clone());
        let domains = domains.collect::<Vec<FailureDomain>>();
        self.fresh.set_domains(&domains);
        self.parents = parents::of(&self.own, self.entries());
        self.live = live.into();
        self.silent = silent;
        let peers = GossipEvent::Peers(self.live.clone());
        self.gossip_step(now, peers, out);
        out.push(MembersAction::Changed);
    }
}

fn name(id: &InstanceId) -> Id {
    Id::new(Kind::Member, id.as_str())
}
