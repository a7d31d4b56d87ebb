//! Epoch membership of one instance: the current epoch, its lease, and the
//! floor state that follows from them.

mod poll;

use std::time::Duration;

use corianderway_model::InstanceId;
use corianderway_model::Time;
use rand::rngs::SmallRng;
use rand::SeedableRng;

use self::poll::QueryRound;
use crate::chart::FloorEvent;
use crate::chart::FloorStatus;
use crate::epoch::Basis;
use crate::event::Action;
use crate::floors::Facts;
use crate::floors::FloorState;
use crate::lease::Evidence;
use crate::message::Body;
use crate::message::Message;
use crate::message::Query;
use crate::message::StoredEpoch;
use crate::promises::Promises;
use crate::ranking::Ranking;
use crate::reads::PlatformReads;
use crate::timing::Timing;

/// The epoch that one instance knows, with the evidence that it is current.
///
/// Input is platform reads, peers' answers and time; output is queries and
/// reads. The floors are in use only while the lease lasts.
#[derive(Debug)]
pub(crate) struct Membership {
    pub(crate) own_id: InstanceId,
    pub(crate) timing: Timing,
    pub(crate) rng: SmallRng,
    floors: FloorState,
    pub(crate) current: Option<CurrentEpoch>,
    // The epoch before the current one, if this instance knew it, their numbers
    // are consecutive, and the current one is not operator-confirmed.
    previous: Option<Ranking>,
    evidence: Evidence,
    promises: Promises,
    round: QueryRound,
    // When the last poll was made.
    last_poll: Time,
    reads: PlatformReads,
}

/// The newest epoch that this instance knows to be written.
#[derive(Debug)]
pub(crate) struct CurrentEpoch {
    pub(crate) stored: StoredEpoch,
    pub(crate) ranking: Ranking,
    // The time from which no instance can use an earlier epoch.
    pub(crate) exclusive_from: Time,
}

impl Membership {
    pub(crate) fn new(own_id: InstanceId, timing: Timing, seed: u64) -> Self {
        Self {
            own_id,
            timing,
            rng: SmallRng::seed_from_u64(seed),
            floors: FloorState::new(),
            current: None,
            previous: None,
            evidence: Evidence::default(),
            promises: Promises::default(),
            round: QueryRound::default(),
            last_poll: Time::ZERO,
            reads: PlatformReads::default(),
        }
    }

    pub(crate) fn floors(&self) -> &FloorState {
        &self.floors
    }

    pub(crate) fn previous(&self) -> Option<&Ranking> {
        self.previous.as_ref()
    }

    pub(crate) fn epoch_number(&self) -> u64 {
        self.current.as_ref().map_or(0, |k| k.stored.epoch.number())
    }

    pub(crate) fn lease_end(&self) -> Time {
        self.evidence.lease_end(&self.timing)
    }

    pub(crate) fn platform_down(&self) -> bool {
        self.reads.platform_down()
    }

    pub(crate) fn last_answered(&self) -> Option<Time> {
        self.reads.last_answered()
    }

    pub(crate) fn has_promised(&self) -> bool {
        self.promises.any()
    }

    pub(crate) fn is_exclusive(&self, now: Time) -> bool {
        self.current
            .as_ref()
            .is_none_or(|k| now >= k.exclusive_from)
    }

    /// The next time at which the standing changes without an event.
    pub(crate) fn next_change(&self) -> Time {
        let exclusive_from = self
            .current
            .as_ref()
            .map_or(Time::ZERO, |k| k.exclusive_from);
        match self.floors.standing() {
            FloorStatus::Empty | FloorStatus::Stale | FloorStatus::Surrendered => {
                Time::from_nanos(u64::MAX)
            }
            FloorStatus::Waiting => self.lease_end().min(exclusive_from),
            FloorStatus::Held => self.lease_end(),
        }
    }

    /// Updates the standing to `now`. Does not allocate.
    pub(crate) fn advance(&mut self, now: Time) {
        if now >= self.lease_end() {
            self.apply(now, FloorEvent::Expired);
        } else if self.is_exclusive(now) {
            self.apply(now, FloorEvent::Settled);
        }
    }

    pub(crate) fn surrender(&mut self, now: Time) {
        self.apply(now, FloorEvent::Surrendered);
    }

    fn apply(&mut self, now: Time, event: FloorEvent) {
        let current = self.current.as_ref();
        let facts = Facts {
            not_member: !current.is_some_and(|k| k.stored.epoch.contains(&self.own_id)),
            lease_expired: now >= self.lease_end(),
            exclusive: self.is_exclusive(now),
        };
        self.floors.apply(event, facts);
    }

    pub(crate) fn send(&self, to: InstanceId, body: Body, out: &mut Vec<Action>) {
        let from = self.own_id.clone();
        out.push(Action::Send(Message { from, to, body }));
    }

    /// Promises not to vouch for the current epoch any more. Returns false if
    /// the query is for another epoch or its promise was withdrawn.
    pub(crate) fn promise(&mut self, query: Query) -> bool {
        query.number == self.epoch_number() && self.promises.give(query.nonce)
    }

    /// Withdraws a promise whose proposal can no longer be written.
    pub(crate) fn withdraw(&mut self, query: Query) {
        if query.number == self.epoch_number() {
            self.promises.withdraw(query.nonce);
        }
    }

    /// Records what the platform stored at some time after `sent`.
    pub(crate) fn observe(&mut self, now: Time, sent: Time, stored: StoredEpoch) {
        let (number, version) = (stored.epoch.number(), stored.version);
        let mut evidence = Evidence::default();
        evidence.record_platform(sent);
        self.adopt(now, stored, evidence);
        let same =
            |k: &CurrentEpoch| k.stored.epoch.number() == number && k.stored.version == version;
        if self.current.as_ref().is_some_and(same) {
            self.evidence.record_platform(sent);
            self.renew(now);
        }
    }

    // Switches to `stored` if it is newer. It must be known to be written.
    fn adopt(&mut self, now: Time, stored: StoredEpoch, evidence: Evidence) {
        let number = stored.epoch.number();
        if number <= self.epoch_number() {
            return;
        }
        let is_successor =
            number == self.epoch_number() + 1 && stored.epoch.basis() != Basis::Confirmed;
        let ranking = Ranking::new(&stored.epoch, &self.own_id);
        let delay = self.exclusive_delay(&stored);
        let known = CurrentEpoch {
            stored,
            ranking,
            exclusive_from: now + delay,
        };
        let before = self.current.replace(known);
        self.previous = before.filter(|_| is_successor).map(|k| k.ranking);
        self.evidence = evidence;
        self.promises = Promises::default();
        self.round.vouching.clear();
        self.apply(now, FloorEvent::Adopted);
    }

    fn exclusive_delay(&self, stored: &StoredEpoch) -> Duration {
        let lease = self.timing.lease + self.timing.max_drift;
        match stored.epoch.basis() {
            Basis::Confirmed if stored.epoch.number() == 1 => Duration::ZERO,
            Basis::Confirmed | Basis::Promised => lease,
            Basis::Forced => lease + self.timing.max_outage,
        }
    }

    fn renew(&mut self, now: Time) {
        if now < self.lease_end() {
            self.apply(now, FloorEvent::Renewed);
        }
    }
}
