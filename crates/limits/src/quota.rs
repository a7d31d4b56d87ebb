//! The step function for all limits of one instance.

mod messages;

use corianderway_model::InstanceId;
use corianderway_model::Time;

use crate::bucket::Amount;
use crate::bucket::Tokens;
use crate::bucket::Verdict;
use crate::chart::Standing;
use crate::entry::Entry;
use crate::event::Action;
use crate::event::Event;
use crate::group::Group;
use crate::limit::Limit;
use crate::parts::Parts;
use crate::proposal::Proposer;
use crate::terms::Terms;

/// Entries whose floors one tick brings up to date after an epoch changed.
const SWEEP: usize = 512;

/// All limits as one instance holds them.
///
/// One thread owns it. [`Quota::admit`] answers requests; [`Quota::step`]
/// takes everything else that happens and says what to do.
#[derive(Debug)]
pub struct Quota {
    group: Group,
    proposer: Proposer,
    // Sorted by key, the hash of the limit, then by limit.
    entries: Vec<Entry>,
    // The keys of the entries, close together for the search.
    keys: Vec<u64>,
    // Indices of entries with demand, loans or borrowers.
    active: Vec<u32>,
    // The generation of floors being swept, and how far the sweep is.
    swept: (u64, usize),
    seq: u64,
    // When time alone changes the standing.
    wake: Time,
}

/// What one instance holds of one limit, for metrics and checks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Holding {
    /// The share it may use now.
    pub share: Parts,
    /// The share of its floor that borrowers may use.
    pub lent: Parts,
    /// The tokens at hand.
    pub tokens: Tokens,
}

impl Quota {
    /// Makes the limits of one run of an instance; `seed` must differ between
    /// instances.
    ///
    /// # Panics
    ///
    /// Panics when the chart file in the source tree is not valid.
    pub fn new(me: InstanceId, terms: Terms, seed: u64) -> Self {
        Self {
            group: Group::new(me, terms, seed),
            proposer: Proposer::new(),
            entries: vec![],
            keys: vec![],
            active: vec![],
            swept: (0, 0),
            seq: 0,
            wake: Time::from_nanos(u64::MAX),
        }
    }

    /// Asks whether a request may run; its first refusal leads to asking peers
    /// for share at the next [`Event::Tick`].
    ///
    /// Allocation free. `now` must be read for this call, since a lease ends
    /// by it.
    pub fn admit(&mut self, now: Time, limit: &Limit, cost: Tokens) -> Verdict {
        self.spend(now, limit, cost, false)
    }

    /// Asks again for a request that was refused and has waited.
    pub fn retry(&mut self, now: Time, limit: &Limit, cost: Tokens) -> Verdict {
        self.spend(now, limit, cost, true)
    }

    fn spend(&mut self, now: Time, limit: &Limit, cost: Tokens, again: bool) -> Verdict {
        self.turn(now);
        let Some(at) = self.find(limit) else {
            let retry_after = self.group.terms.answer;
            return Verdict::Refused { retry_after };
        };
        let entry = &mut self.entries[at];
        entry.refresh(now, &self.group);
        let verdict = entry.admit(now, cost, again);
        let Verdict::Refused { retry_after } = verdict else {
            return verdict;
        };
        if !entry.active {
            entry.active = true;
            self.active.push(at as u32);
        }
        // A loan may come sooner than the bucket fills.
        let retry_after = retry_after.min(self.group.terms.answer);
        Verdict::Refused { retry_after }
    }

    /// Where the floors of this instance stand.
    pub fn standing(&self) -> Standing {
        self.group.floors().standing()
    }

    /// The number of the epoch that this instance knows; 0 if none.
    pub fn epoch(&self) -> u64 {
        self.group.number()
    }

    /// What this instance holds of a limit at a moment.
    pub fn holding(&mut self, now: Time, limit: &Limit) -> Holding {
        self.turn(now);
        let Some(at) = self.find(limit) else {
            return Holding::default();
        };
        let entry = &mut self.entries[at];
        entry.refresh(now, &self.group);
        Holding {
            share: entry.share(),
            lent: entry.lent(),
            tokens: entry.tokens(),
        }
    }

    /// Takes one event and appends what to do.
    pub fn step(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        self.turn(now);
        match event {
            Event::Tick => self.tick(now, out),
            Event::Limits(limits) => self.set_limits(now, limits),
            Event::Live(live) => self.proposer.set_live(live),
            Event::Received(message) => self.receive(now, message, out),
            Event::Read { nonce, stored } => self.group.has_read(now, nonce, stored, out),
            Event::Unread { nonce } => self.group.not_read(now, nonce, out),
            Event::Proposed { nonce, outcome } => {
                self.proposer
                    .proposed(now, nonce, outcome, &mut self.group, out);
            }
            Event::Confirmed => self.proposer.confirm(),
            Event::Stopping => self.stop(now, out),
        }
        self.wake = self.group.wake();
    }

    fn turn(&mut self, now: Time) {
        if now >= self.wake {
            self.group.turn(now);
            self.wake = self.group.wake();
        }
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        self.group.poll(now, self.proposer.live(), out);
        self.proposer.tick(now, &mut self.group, out);
        self.sweep(now);
        let mut pleas = vec![];
        let (entries, seq) = (&mut self.entries, &mut self.seq);
        self.active.retain(|&at| {
            let entry = &mut entries[at as usize];
            entry.active = entry.plan(now, &self.group, seq, &mut pleas);
            entry.active
        });
        self.send(pleas, out);
    }

    // Fills begin when an entry learns of its floor, so each learns it soon.
    fn sweep(&mut self, now: Time) {
        if self.swept.0 != self.group.floors().generation() {
            self.swept = (self.group.floors().generation(), 0);
        }
        let end = (self.swept.1 + SWEEP).min(self.entries.len());
        for entry in &mut self.entries[self.swept.1..end] {
            entry.refresh(now, &self.group);
        }
        self.swept.1 = end;
    }

    fn set_limits(&mut self, now: Time, mut limits: Vec<(Limit, Amount)>) {
        limits.sort_by_cached_key(|(limit, _)| (limit.hash(), limit.clone()));
        limits.dedup_by(|a, b| a.0 == b.0);
        let mut old = std::mem::take(&mut self.entries).into_iter().peekable();
        for (limit, amount) in limits {
            let name = (limit.hash(), &limit);
            while let Some(gone) = old.next_if(|e| (e.key, &e.limit) < name) {
                self.entries.extend(gone.retire(now));
            }
            let kept = old.next_if(|e| e.limit == limit);
            let mut entry = kept.unwrap_or_else(|| Entry::new(now, limit, amount));
            entry.set_amount(now, amount);
            self.entries.push(entry);
        }
        self.entries.extend(old.filter_map(|e| e.retire(now)));
        self.keys = self.entries.iter().map(|e| e.key).collect();
        self.swept.1 = 0;
        self.active.clear();
        self.active.reserve(self.entries.len());
        let active = self.entries.iter().enumerate().filter(|(_, e)| e.active);
        self.active.extend(active.map(|(at, _)| at as u32));
    }

    fn find(&self, limit: &Limit) -> Option<usize> {
        let key = limit.hash();
        let first = self.keys.partition_point(|k| *k < key);
        let same = self.keys[first..].iter().take_while(|k| **k == key);
        (first..first + same.count()).find(|at| self.entries[*at].limit == *limit)
    }

    fn stop(&mut self, now: Time, out: &mut Vec<Action>) {
        self.group.surrender(now);
        let mut pleas = vec![];
        for at in self.active.drain(..) {
            let entry = &mut self.entries[at as usize];
            entry.active = false;
            entry.give_back(now, &mut pleas);
        }
        self.send(pleas, out);
    }
}
