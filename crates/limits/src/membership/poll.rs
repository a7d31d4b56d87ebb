//! Checks with the platform and with peers that the epoch is current.

use std::time::Duration;

use corianderway_model::InstanceId;
use corianderway_model::Time;
use rand::rngs::SmallRng;
use rand::Rng;

use super::Membership;
use crate::event::Action;
use crate::lease::Evidence;
use crate::message::Body;
use crate::message::Query;
use crate::message::StoredEpoch;
use crate::message::Vouch;

/// Polls per lease.
const POLLS_PER_LEASE: u32 = 10;
/// Peers that one poll queries.
const PEERS_PER_POLL: usize = 3;
/// Reply timeouts after which a read has failed.
const READ_TIMEOUT_FACTOR: u32 = 4;
/// Expected number of instances per poll that read the platform, or query a
/// majority during an outage.
const READERS_PER_POLL: u32 = 3;

// The queries of one poll, and the members that have not promised to stop
// vouching.
#[derive(Debug, Default)]
pub(super) struct QueryRound {
    nonce: u64,
    sent: Time,
    pub(super) vouching: Vec<InstanceId>,
}

impl Membership {
    /// Renews the evidence that the epoch is current, if a poll is due.
    ///
    /// Queries a few peers. A random few of the instances also read the
    /// platform, or query a majority while the platform is down.
    pub(crate) fn poll(&mut self, now: Time, live: &[InstanceId], out: &mut Vec<Action>) {
        if now.since(self.last_poll) < self.timing.lease / POLLS_PER_LEASE {
            return;
        }
        self.last_poll = now;
        if self
            .reads
            .expire(now, self.timing.reply_timeout * READ_TIMEOUT_FACTOR)
        {
            self.platform_failed(now, out);
        }
        let current_at = self.evidence.last_current(&self.timing);
        let age = current_at.map_or(Duration::MAX, |at| now.since(at));
        let fresh = age < self.timing.lease / 4;
        if fresh && !self.platform_down() {
            return;
        }
        let known = self.current.as_ref().map(|k| k.stored.epoch.members());
        let members = known.unwrap_or(live);
        let readers = self.reader_count(age);
        let count = members.len().max(1) as u32;
        let is_reader = self.rng.random_range(0..count) < readers;
        let peers = random_peers(members, &self.own_id, PEERS_PER_POLL, &mut self.rng);
        if is_reader {
            self.read_platform(now, out);
        }
        if fresh {
            return;
        }
        if is_reader && self.platform_down() && self.current.is_some() {
            self.query_majority(now, out);
        } else {
            self.send_queries(now, peers, out);
        }
    }

    // Replaces a platform read during an outage.
    fn query_majority(&mut self, now: Time, out: &mut Vec<Action>) {
        let Some(known) = &self.current else { return };
        let members = known.stored.epoch.members();
        let count = known.stored.epoch.majority() + members.len() / 4;
        let peers = random_peers(members, &self.own_id, count, &mut self.rng);
        self.send_queries(now, peers, out);
    }

    // More instances read the platform when the evidence gets old.
    fn reader_count(&self, age: Duration) -> u32 {
        if age < self.timing.lease / 2 {
            READERS_PER_POLL
        } else {
            READERS_PER_POLL * 8
        }
    }

    pub(crate) fn read_platform(&mut self, now: Time, out: &mut Vec<Action>) {
        let nonce = self.rng.random();
        if self.reads.begin(now, nonce) {
            out.push(Action::Read { nonce });
        }
    }

    // Marks the platform as down and queries a majority instead.
    fn platform_failed(&mut self, now: Time, out: &mut Vec<Action>) {
        self.reads.fail(now);
        self.query_majority(now, out);
    }

    fn send_queries(&mut self, now: Time, peers: Vec<InstanceId>, out: &mut Vec<Action>) {
        if peers.is_empty() {
            return;
        }
        let nonce = self.rng.random();
        let vouching = if self.has_promised() {
            vec![]
        } else {
            vec![self.own_id.clone()]
        };
        self.round = QueryRound {
            nonce,
            sent: now,
            vouching,
        };
        let number = self.epoch_number();
        for to in peers {
            self.send(to, Body::Query(Query { nonce, number }), out);
        }
    }

    pub(crate) fn answer_query(
        &self,
        now: Time,
        to: InstanceId,
        query: Query,
        out: &mut Vec<Action>,
    ) {
        let (platform, majority) = self.evidence.ages(now);
        let current = self.current.as_ref().map(|k| &k.stored);
        let newer = current.filter(|s| s.epoch.number() > query.number);
        let vouch = Vouch {
            nonce: query.nonce,
            number: self.epoch_number(),
            promised: self.has_promised(),
            platform,
            majority,
            newer: newer.cloned(),
        };
        self.send(to, Body::Vouch(vouch), out);
    }

    pub(crate) fn handle_vouch(&mut self, now: Time, from: InstanceId, vouch: Vouch) {
        if vouch.nonce != self.round.nonce {
            return;
        }
        let sent = self.round.sent;
        let mut evidence = Evidence::default();
        evidence.merge_reported(sent, vouch.platform, vouch.majority);
        if let Some(stored) = vouch.newer.filter(|s| s.epoch.number() == vouch.number) {
            self.adopt(now, stored, evidence);
        }
        if vouch.number == 0 || vouch.number != self.epoch_number() {
            return;
        }
        self.evidence
            .merge_reported(sent, vouch.platform, vouch.majority);
        self.reads.recover(self.evidence.last_platform());
        if !vouch.promised {
            self.count_vouch(from);
        }
        self.renew(now);
    }

    // Counts a member that has not promised. A majority of them proves that the
    // epoch was current when the queries were sent.
    fn count_vouch(&mut self, from: InstanceId) {
        let Some(known) = &self.current else { return };
        let epoch = &known.stored.epoch;
        let vouching = &mut self.round.vouching;
        if epoch.contains(&from) && !vouching.contains(&from) {
            vouching.push(from);
        }
        let members = vouching.iter().filter(|m| epoch.contains(m)).count();
        if members >= epoch.majority() {
            self.evidence.record_majority(self.round.sent);
        }
    }

    /// Handles a read result. A result older than the known epoch is treated as
    /// a failed read.
    pub(crate) fn read_done(
        &mut self,
        now: Time,
        nonce: u64,
        stored: Option<StoredEpoch>,
        out: &mut Vec<Action>,
    ) {
        let Some(sent) = self.reads.end(nonce) else {
            return;
        };
        let held = stored.as_ref().map_or(0, |s| s.epoch.number());
        if held < self.epoch_number() {
            return self.platform_failed(now, out);
        }
        self.reads.succeed(sent);
        if let Some(stored) = stored {
            self.observe(now, sent, stored);
        }
    }

    pub(crate) fn read_failed(&mut self, now: Time, nonce: u64, out: &mut Vec<Action>) {
        if self.reads.end(nonce).is_some() {
            self.platform_failed(now, out);
        }
    }
}

// Picks up to `count` distinct peers: consecutive ones from a random start.
fn random_peers(
    all: &[InstanceId],
    own_id: &InstanceId,
    count: usize,
    rng: &mut SmallRng,
) -> Vec<InstanceId> {
    let start = rng.random_range(0..all.len().max(1));
    (all.iter().cycle().skip(start).take(all.len()))
        .filter(|id| *id != own_id)
        .take(count)
        .cloned()
        .collect()
}
