//! Membership as one instance sees it: the current epoch, its lease, and the
//! standing that the chart gives.

mod poll;

use std::time::Duration;

use corianderway_model::InstanceId;
use corianderway_model::Time;
use rand::rngs::SmallRng;
use rand::SeedableRng;

use self::poll::Round;
use crate::chart::Change;
use crate::chart::Standing;
use crate::epoch::Basis;
use crate::event::Action;
use crate::lease::Evidence;
use crate::message::Body;
use crate::message::Message;
use crate::message::Query;
use crate::message::Stored;
use crate::promises::Promises;
use crate::ranking::Ranking;
use crate::reads::Reads;
use crate::standing::Facts;
use crate::standing::Floors;
use crate::terms::Terms;

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
    promises: Promises,
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
            promises: Promises::default(),
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
        self.promises.any()
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

    pub(crate) fn send(&self, to: InstanceId, body: Body, out: &mut Vec<Action>) {
        let from = self.me.clone();
        out.push(Action::Send(Message { from, to, body }));
    }

    /// Promises to vouch for the current epoch no longer.
    pub(crate) fn promise(&mut self, query: Query) -> bool {
        query.number == self.number() && self.promises.give(query.nonce)
    }

    /// Takes a promise back; its proposal is surely not written.
    pub(crate) fn withdraw(&mut self, query: Query) {
        if query.number == self.number() {
            self.promises.withdraw(query.nonce);
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
        self.promises = Promises::default();
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
