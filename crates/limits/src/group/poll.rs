//! Questions to the platform and to peers on whether the epoch is current.

use std::time::Duration;

use corianderway_model::InstanceId;
use corianderway_model::Time;
use rand::rngs::SmallRng;
use rand::Rng;

use super::Group;
use crate::event::Action;
use crate::lease::Evidence;
use crate::message::Body;
use crate::message::Query;
use crate::message::Stored;
use crate::message::Vouch;

/// Polls in one lease.
const POLLS: u32 = 10;
/// Peers that one poll asks.
const FANOUT: usize = 3;
/// Answer times after which a read counts as failed.
const READ_WAIT: u32 = 4;
/// Instances that ask the platform, or a majority in its stead, in each poll.
const READERS: u32 = 3;

// The questions of one poll and the members that did not promise.
#[derive(Debug, Default)]
pub(super) struct Round {
    nonce: u64,
    sent: Time,
    pub(super) standing: Vec<InstanceId>,
}

impl Group {
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
        let standing = if self.promised() {
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

    pub(crate) fn answer(&self, now: Time, to: InstanceId, query: Query, out: &mut Vec<Action>) {
        let (platform, majority) = self.evidence.ages(now);
        let current = self.current.as_ref().map(|k| &k.stored);
        let newer = current.filter(|s| s.epoch.number() > query.number);
        let vouch = Vouch {
            nonce: query.nonce,
            number: self.number(),
            promised: self.promised(),
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
