//! The state of all limits at one instance, and its step function.

mod messages;

use corianderway_model::InstanceId;
use corianderway_model::Time;

use crate::bucket::Amount;
use crate::bucket::Tokens;
use crate::bucket::Verdict;
use crate::chart::FloorStatus;
use crate::entry::Entry;
use crate::event::Action;
use crate::event::Event;
use crate::limit::Limit;
use crate::membership::Membership;
use crate::proposal::Proposer;
use crate::share::Share;
use crate::timing::Timing;

/// Entries whose floor one tick updates after an epoch change.
const FLOORS_PER_TICK: usize = 512;

/// All limits at one instance: its floors, its loans, and the epoch protocol.
///
/// [`Quota::admit`] decides requests and [`Quota::step`] handles every other
/// event; `step` appends the actions that the caller must carry out. The shares
/// that all instances may use at one time never sum to more than the whole
/// limit. The type is not synchronized: one thread owns it.
#[derive(Debug)]
pub struct Quota {
    membership: Membership,
    proposer: Proposer,
    // Sorted by the hash of the limit, then by the limit.
    entries: Vec<Entry>,
    // The hashes of `entries`, stored contiguously for the binary search.
    keys: Vec<u64>,
    // Indices of entries with demand, loans or borrowers.
    active: Vec<u32>,
    // The generation of the floors being updated, and the next entry to update.
    floor_sweep: (u64, usize),
    // The sequence number of the last ask.
    seq: u64,
    // The next time at which the standing changes without an event.
    next_change: Time,
}

/// An instance's state of one limit, for metrics and tests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LimitState {
    /// The share that the instance may use now.
    pub share: Share,
    /// The share of its floor that borrowers may use.
    pub lent: Share,
    /// The tokens available.
    pub tokens: Tokens,
}

impl Quota {
    /// Creates the limits of one run of an instance.
    ///
    /// `seed` must differ between instances: it seeds the nonces and the choice
    /// of peers.
    ///
    /// # Panics
    ///
    /// Panics if `charts/quota.yaml` is not a valid chart.
    pub fn new(own_id: InstanceId, timing: Timing, seed: u64) -> Self {
        Self {
            membership: Membership::new(own_id, timing, seed),
            proposer: Proposer::new(),
            entries: vec![],
            keys: vec![],
            active: vec![],
            floor_sweep: (0, 0),
            seq: 0,
            next_change: Time::from_nanos(u64::MAX),
        }
    }

    /// Spends `cost` tokens of a limit, or refuses the request.
    ///
    /// After a refusal, the next [`Event::Tick`] asks peers for a larger share.
    /// Does not allocate. `now` must be read for this call, because leases and
    /// loans end by it.
    pub fn admit(&mut self, now: Time, limit: &Limit, cost: Tokens) -> Verdict {
        self.try_spend(now, limit, cost, false)
    }

    /// Like [`Quota::admit`], for a request that was refused before and has
    /// waited. It is not counted as demand again.
    pub fn retry(&mut self, now: Time, limit: &Limit, cost: Tokens) -> Verdict {
        self.try_spend(now, limit, cost, true)
    }

    fn try_spend(&mut self, now: Time, limit: &Limit, cost: Tokens, is_retry: bool) -> Verdict {
        self.advance(now);
        let Some(index) = self.find(limit) else {
            let retry_after = self.membership.timing.reply_timeout;
            return Verdict::Refused { retry_after };
        };
        let entry = &mut self.entries[index];
        entry.refresh(now, &self.membership);
        let verdict = entry.admit(now, cost, is_retry);
        let Verdict::Refused { retry_after } = verdict else {
            return verdict;
        };
        if !entry.active {
            entry.active = true;
            self.active.push(index as u32);
        }
        // A loan may arrive before the bucket refills.
        let retry_after = retry_after.min(self.membership.timing.reply_timeout);
        Verdict::Refused { retry_after }
    }

    /// Whether this instance may use its floors.
    pub fn floor_status(&self) -> FloorStatus {
        self.membership.floors().standing()
    }

    /// The number of the current epoch at this instance; 0 if there is none.
    pub fn epoch(&self) -> u64 {
        self.membership.epoch_number()
    }

    /// The state of a limit at `now`; zero if the limit is unknown.
    pub fn limit_state(&mut self, now: Time, limit: &Limit) -> LimitState {
        self.advance(now);
        let Some(index) = self.find(limit) else {
            return LimitState::default();
        };
        let entry = &mut self.entries[index];
        entry.refresh(now, &self.membership);
        LimitState {
            share: entry.share(),
            lent: entry.lent(),
            tokens: entry.tokens(),
        }
    }

    /// Handles one event and appends the resulting actions to `out`.
    pub fn step(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        self.advance(now);
        match event {
            Event::Tick => self.tick(now, out),
            Event::Limits(limits) => self.set_limits(now, limits),
            Event::Live(live) => self.proposer.set_live(live),
            Event::Received(message) => self.receive(now, message, out),
            Event::ReadDone { nonce, stored } => self.membership.read_done(now, nonce, stored, out),
            Event::ReadFailed { nonce } => self.membership.read_failed(now, nonce, out),
            Event::WriteDone { nonce, outcome } => {
                self.proposer
                    .write_done(now, nonce, outcome, &mut self.membership, out);
            }
            Event::Confirmed => self.proposer.confirm(),
            Event::Stopping => self.stop(now, out),
        }
        self.next_change = self.membership.next_change();
    }

    fn advance(&mut self, now: Time) {
        if now >= self.next_change {
            self.membership.advance(now);
            self.next_change = self.membership.next_change();
        }
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        self.membership.poll(now, self.proposer.live(), out);
        self.proposer.tick(now, &mut self.membership, out);
        self.update_floors(now);
        let mut loan_messages = vec![];
        let (entries, seq) = (&mut self.entries, &mut self.seq);
        self.active.retain(|&index| {
            let entry = &mut entries[index as usize];
            entry.active = entry.plan(now, &self.membership, seq, &mut loan_messages);
            entry.active
        });
        self.send_loan_messages(loan_messages, out);
    }

    // An entry's bucket begins to fill when the entry learns its floor, so each
    // tick also updates entries that get no requests.
    fn update_floors(&mut self, now: Time) {
        if self.floor_sweep.0 != self.membership.floors().generation() {
            self.floor_sweep = (self.membership.floors().generation(), 0);
        }
        let end = (self.floor_sweep.1 + FLOORS_PER_TICK).min(self.entries.len());
        for entry in &mut self.entries[self.floor_sweep.1..end] {
            entry.refresh(now, &self.membership);
        }
        self.floor_sweep.1 = end;
    }

    fn set_limits(&mut self, now: Time, mut limits: Vec<(Limit, Amount)>) {
        limits.sort_by_cached_key(|(limit, _)| (limit.hash(), limit.clone()));
        limits.dedup_by(|a, b| a.0 == b.0);
        let mut old = std::mem::take(&mut self.entries).into_iter().peekable();
        for (limit, amount) in limits {
            let sort_key = (limit.hash(), &limit);
            while let Some(removed) = old.next_if(|e| (e.key, &e.limit) < sort_key) {
                self.entries.extend(removed.retire(now));
            }
            let existing = old.next_if(|e| e.limit == limit);
            let mut entry = existing.unwrap_or_else(|| Entry::new(now, limit, amount));
            entry.set_amount(now, amount);
            self.entries.push(entry);
        }
        self.entries.extend(old.filter_map(|e| e.retire(now)));
        self.keys = self.entries.iter().map(|e| e.key).collect();
        self.floor_sweep.1 = 0;
        self.active.clear();
        self.active.reserve(self.entries.len());
        let active = self.entries.iter().enumerate().filter(|(_, e)| e.active);
        self.active.extend(active.map(|(index, _)| index as u32));
    }

    fn find(&self, limit: &Limit) -> Option<usize> {
        let key = limit.hash();
        let first = self.keys.partition_point(|k| *k < key);
        let same = self.keys[first..].iter().take_while(|k| **k == key);
        (first..first + same.count()).find(|index| self.entries[*index].limit == *limit)
    }

    fn stop(&mut self, now: Time, out: &mut Vec<Action>) {
        self.membership.surrender(now);
        let mut loan_messages = vec![];
        for index in self.active.drain(..) {
            let entry = &mut self.entries[index as usize];
            entry.active = false;
            entry.release_all(now, &mut loan_messages);
        }
        self.send_loan_messages(loan_messages, out);
    }
}
