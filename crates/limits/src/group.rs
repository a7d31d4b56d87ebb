//! Membership as one instance sees it: the current epoch, its lease, and the
//! standing that the chart gives.

use std::time::Duration;

use corianderway_model::InstanceId;
use corianderway_model::Time;
use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;

use crate::chart::Change;
use crate::chart::Standing;
use crate::epoch::Basis;
use crate::event::Action;
use crate::lease::Evidence;
use crate::message::Body;
use crate::message::Message;
use crate::message::Query;
use crate::message::Stored;
use crate::message::Vouch;
use crate::ranking::Ranking;
use crate::reads::Reads;
use crate::standing::Facts;
use crate::standing::Floors;
use crate::terms::Terms;

/// Polls in one lease.
const POLLS: u32 = 10;
/// Peers that one poll asks.
const FANOUT: usize = 3;
/// Answer times after which a read counts as failed.
const READ_WAIT: u32 = 4;
/// Instances that ask the platform, or a majority in its stead, in each poll.
const READERS: u32 = 3;

#[derive(Debug)]
pub(crate) struct Group {
    pub(crate) me: InstanceId,
    pub(crate) terms: Terms,
    pub(crate) rng: SmallRng,
    floors: Floors,
    pub(crate) current: Option<Known>,
    // The epoch before, if this instance held it and no other came between.
    previous: Option<Ranking>,
    evidence: Evidence,
    promised: bool,
    round: Round,
    polled: Time,
    reads: Reads,
}

#[derive(Debug)]
pub(crate) struct Known {
    pub(crate) stored: Stored,
    pub(crate) ranking: Ranking,
    // Earlier epochs are surely out of use from then on.
    pub(crate) ripe: Time,
}

// The questions of one poll and the members that did not promise.
#[derive(Debug, Default)]
struct Round {
    nonce: u64,
    sent: Time,
    standing: Vec<InstanceId>,
}

impl Group {
    pub(crate) fn new(me: InstanceId, terms: Terms, seed: u64) -> Self {
        Self {
            me,
            terms,
            rng: SmallRng::seed_from_u64(seed),
            floors: Floors::new(),
            current: None,
            previous: None,
            evidence: Evidence::default(),
            promised: false,
            round: Round::default(),
            polled: Time::ZERO,
            reads: Reads::default(),
        }
    }

    pub(crate) fn floors(&self) -> &Floors {
        &self.floors
    }

    pub(crate) fn previous(&self) -> Option<&Ranking> {
        self.previous.as_ref()
    }

    pub(crate) fn number(&self) -> u64 {
        self.current.as_ref().map_or(0, |k| k.stored.epoch.number())
    }

    pub(crate) fn until(&self) -> Time {
        self.evidence.until(&self.terms)
    }

    pub(crate) fn outage(&self) -> bool {
        self.reads.outage()
    }

    pub(crate) fn answered(&self) -> Option<Time> {
        self.reads.answered()
    }

    pub(crate) fn promised(&self) -> bool {
        self.promised
    }

    pub(crate) fn ripe(&self, now: Time) -> bool {
        self.current.as_ref().is_none_or(|k| now >= k.ripe)
    }

    /// The moment of the next change that time alone brings.
    pub(crate) fn wake(&self) -> Time {
        let ripe = self.current.as_ref().map_or(Time::ZERO, |k| k.ripe);
        match self.floors.standing() {
            Standing::Empty | Standing::Stale | Standing::Surrendered => Time::from_nanos(u64::MAX),
            Standing::Waiting => self.until().min(ripe),
            Standing::Held => self.until(),
        }
    }

    /// Brings the standing up to date; allocation free.
    pub(crate) fn turn(&mut self, now: Time) {
        if now >= self.until() {
            self.change(now, Change::Lapsed);
        } else if self.ripe(now) {
            self.change(now, Change::Settled);
        }
    }

    pub(crate) fn surrender(&mut self, now: Time) {
        self.change(now, Change::Surrendered);
    }

    fn change(&mut self, now: Time, change: Change) {
        let current = self.current.as_ref();
        let facts = Facts {
            absent: !current.is_some_and(|k| k.stored.epoch.has(&self.me)),
            stale: now >= self.until(),
            ripe: self.ripe(now),
        };
        self.floors.change(change, facts);
    }

    /// Asks peers or the platform whether the epoch is current, if it is time.
    pub(crate) fn poll(&mut self, now: Time, live: &[InstanceId], out: &mut Vec<Action>) {
        if now.since(self.polled) < self.terms.lease / POLLS {
            return;
        }
        self.polled = now;
        if self.reads.expire(now, self.terms.answer * READ_WAIT) {
            self.fail(now, out);
        }
        let moment = self.evidence.moment(&self.terms);
        let age = moment.map_or(Duration::MAX, |at| now.since(at));
        let fresh = age < self.terms.lease / 4;
        if fresh && !self.outage() {
            return;
        }
        let known = self.current.as_ref().map(|k| k.stored.epoch.members());
        let members = known.unwrap_or(live);
        let readers = self.readers(age);
        let count = members.len().max(1) as u32;
        let wide = self.rng.random_range(0..count) < readers;
        let peers = pick(members, &self.me, FANOUT, &mut self.rng);
        if wide {
            self.read(now, out);
        }
        if fresh {
            return;
        }
        if wide && self.outage() && self.current.is_some() {
            self.query_majority(now, out);
        } else {
            self.query(now, peers, out);
        }
    }

    // Takes the place of the platform while it is out.
    fn query_majority(&mut self, now: Time, out: &mut Vec<Action>) {
        let Some(known) = &self.current else { return };
        let members = known.stored.epoch.members();
        let count = known.stored.epoch.majority() + members.len() / 4;
        let peers = pick(members, &self.me, count, &mut self.rng);
        self.query(now, peers, out);
    }

    // More instances read as the evidence grows old.
    fn readers(&self, age: Duration) -> u32 {
        if age < self.terms.lease / 2 {
            READERS
        } else {
            READERS * 8
        }
    }

    pub(crate) fn read(&mut self, now: Time, out: &mut Vec<Action>) {
        let nonce = self.rng.random();
        if self.reads.begin(now, nonce) {
            out.push(Action::Read { nonce });
        }
    }

    // Turns to the peers while the platform is out.
    fn fail(&mut self, now: Time, out: &mut Vec<Action>) {
        self.reads.fail(now);
        self.query_majority(now, out);
    }

    fn query(&mut self, now: Time, peers: Vec<InstanceId>, out: &mut Vec<Action>) {
        if peers.is_empty() {
            return;
        }
        let nonce = self.rng.random();
        let standing = if self.promised {
            vec![]
        } else {
            vec![self.me.clone()]
        };
        self.round = Round {
            nonce,
            sent: now,
            standing,
        };
        let number = self.number();
        for to in peers {
            self.send(to, Body::Query(Query { nonce, number }), out);
        }
    }

    pub(crate) fn send(&self, to: InstanceId, body: Body, out: &mut Vec<Action>) {
        let from = self.me.clone();
        out.push(Action::Send(Message { from, to, body }));
    }

    pub(crate) fn answer(&self, now: Time, to: InstanceId, query: Query, out: &mut Vec<Action>) {
        let (platform, majority) = self.evidence.ages(now);
        let current = self.current.as_ref().map(|k| &k.stored);
        let newer = current.filter(|s| s.epoch.number() > query.number);
        let vouch = Vouch {
            nonce: query.nonce,
            number: self.number(),
            promised: self.promised,
            platform,
            majority,
            newer: newer.cloned(),
        };
        self.send(to, Body::Vouch(vouch), out);
    }

    pub(crate) fn vouched(&mut self, now: Time, from: InstanceId, vouch: Vouch) {
        if vouch.nonce != self.round.nonce {
            return;
        }
        let sent = self.round.sent;
        let mut evidence = Evidence::default();
        evidence.inherit(sent, vouch.platform, vouch.majority);
        if let Some(stored) = vouch.newer.filter(|s| s.epoch.number() == vouch.number) {
            self.adopt(now, stored, evidence);
        }
        if vouch.number == 0 || vouch.number != self.number() {
            return;
        }
        self.evidence.inherit(sent, vouch.platform, vouch.majority);
        self.reads.recover(self.evidence.last_platform());
        if !vouch.promised {
            self.count(from);
        }
        self.renew(now);
    }

    // Counts a member that did not promise; a majority is evidence.
    fn count(&mut self, from: InstanceId) {
        let Some(known) = &self.current else { return };
        let epoch = &known.stored.epoch;
        let standing = &mut self.round.standing;
        if epoch.has(&from) && !standing.contains(&from) {
            standing.push(from);
        }
        let members = standing.iter().filter(|m| epoch.has(m)).count();
        if members >= epoch.majority() {
            self.evidence.majority(self.round.sent);
        }
    }

    /// Promises to vouch for the current epoch no longer.
    pub(crate) fn promise(&mut self, number: u64) -> bool {
        let known = number == self.number();
        self.promised |= known;
        known
    }

    /// Ends a read; an answer older than what is known counts as none.
    pub(crate) fn has_read(
        &mut self,
        now: Time,
        nonce: u64,
        stored: Option<Stored>,
        out: &mut Vec<Action>,
    ) {
        let Some(sent) = self.reads.end(nonce) else {
            return;
        };
        let held = stored.as_ref().map_or(0, |s| s.epoch.number());
        if held < self.number() {
            return self.fail(now, out);
        }
        self.reads.succeed(sent);
        if let Some(stored) = stored {
            self.seen(now, sent, stored);
        }
    }

    pub(crate) fn not_read(&mut self, now: Time, nonce: u64, out: &mut Vec<Action>) {
        if self.reads.end(nonce).is_some() {
            self.fail(now, out);
        }
    }

    /// Takes what the platform held at some moment after `sent`.
    pub(crate) fn seen(&mut self, now: Time, sent: Time, stored: Stored) {
        let (number, version) = (stored.epoch.number(), stored.version);
        let mut evidence = Evidence::default();
        evidence.platform(sent);
        self.adopt(now, stored, evidence);
        let same = |k: &Known| k.stored.epoch.number() == number && k.stored.version == version;
        if self.current.as_ref().is_some_and(same) {
            self.evidence.platform(sent);
            self.renew(now);
        }
    }

    // Moves on to an epoch that is surely written, if it is newer.
    fn adopt(&mut self, now: Time, stored: Stored, evidence: Evidence) {
        let number = stored.epoch.number();
        if number <= self.number() {
            return;
        }
        let next = number == self.number() + 1 && stored.epoch.basis() != Basis::Confirmed;
        let ranking = Ranking::new(&stored.epoch, &self.me);
        let wait = self.wait(&stored);
        let known = Known {
            stored,
            ranking,
            ripe: now + wait,
        };
        let before = self.current.replace(known);
        self.previous = before.filter(|_| next).map(|k| k.ranking);
        self.evidence = evidence;
        self.promised = false;
        self.round.standing.clear();
        self.change(now, Change::Adopted);
    }

    fn wait(&self, stored: &Stored) -> Duration {
        let lease = self.terms.lease + self.terms.drift;
        match stored.epoch.basis() {
            Basis::Confirmed if stored.epoch.number() == 1 => Duration::ZERO,
            Basis::Confirmed | Basis::Promised => lease,
            Basis::Forced => lease + self.terms.outage,
        }
    }

    fn renew(&mut self, now: Time) {
        if now < self.until() {
            self.change(now, Change::Renewed);
        }
    }
}

// Picks distinct peers at random, in a run of the list.
fn pick(all: &[InstanceId], me: &InstanceId, count: usize, rng: &mut SmallRng) -> Vec<InstanceId> {
    let start = rng.random_range(0..all.len().max(1));
    (all.iter().cycle().skip(start).take(all.len()))
        .filter(|id| *id != me)
        .take(count)
        .cloned()
        .collect()
}
