//! How a new epoch comes about: promises first, then a conditional write.

use std::time::Duration;

use corianderway_model::InstanceId;
use corianderway_model::Time;
use rand::Rng;

use crate::epoch::Basis;
use crate::epoch::Epoch;
use crate::event::Action;
use crate::event::Outcome;
use crate::group::Group;
use crate::message::Body;
use crate::message::Query;
use crate::message::Stored;

/// Answer times after which a write without an outcome counts as unknown.
const WRITE_WAIT: u32 = 10;
/// Leases after which a missing majority lets an epoch be forced.
const FORCE_LEASES: u32 = 3;

/// The part of an instance that proposes epochs.
#[derive(Debug)]
pub(crate) struct Proposer {
    // Sorted.
    live: Vec<InstanceId>,
    // Since when an epoch has been due.
    due: Option<Time>,
    phase: Phase,
    confirmed: bool,
}

#[derive(Debug)]
enum Phase {
    Idle,
    // Waits for an answer of the platform, to propose only while it is up.
    Checking {
        since: Time,
    },
    Preparing(Preparing),
    Writing {
        nonce: u64,
        sent: Time,
        epoch: Epoch,
    },
}

#[derive(Debug)]
struct Preparing {
    query: Query,
    since: Time,
    sent: Time,
    promises: Vec<InstanceId>,
}

impl Proposer {
    pub(crate) fn new() -> Self {
        Self {
            live: vec![],
            due: None,
            phase: Phase::Idle,
            confirmed: false,
        }
    }

    pub(crate) fn live(&self) -> &[InstanceId] {
        &self.live
    }

    pub(crate) fn set_live(&mut self, mut live: Vec<InstanceId>) {
        live.sort();
        live.dedup();
        if live != self.live {
            self.live = live;
            self.due = None;
        }
    }

    pub(crate) fn confirm(&mut self) {
        self.confirmed = true;
        self.phase = Phase::Idle;
    }

    pub(crate) fn tick(&mut self, now: Time, group: &mut Group, out: &mut Vec<Action>) {
        match &self.phase {
            Phase::Idle => self.start(now, group, out),
            Phase::Checking { since } => {
                let since = *since;
                self.check(now, since, group, out);
            }
            Phase::Preparing(_) => self.prepare(now, group, out),
            Phase::Writing { sent, .. } => {
                if now.since(*sent) > group.terms.answer * WRITE_WAIT {
                    self.end(now, group, out);
                }
            }
        }
    }

    fn start(&mut self, now: Time, group: &mut Group, out: &mut Vec<Action>) {
        let allowed = self.confirmed || (group.ripe(now) && !group.outage());
        if !self.wanted(group) || !allowed {
            self.due = None;
            return;
        }
        let due = *self.due.get_or_insert(now);
        if now.since(due) >= self.delay(group) {
            self.phase = Phase::Checking { since: now };
            group.read(now, out);
        }
    }

    // An epoch is due when the members changed, or when a promise hinders the
    // current one and nobody went on to replace it.
    fn wanted(&self, group: &Group) -> bool {
        let listed = self.live.binary_search(&group.me).is_ok();
        let changed = match &group.current {
            Some(known) => {
                let same = known.stored.epoch.members() == self.live;
                !same || group.promised() || self.confirmed
            }
            None => true,
        };
        listed && changed
    }

    // The first live instances by rank go first; the rest step in later.
    fn delay(&self, group: &Group) -> Duration {
        let count = self.live.len().max(1);
        let rank = self.live.binary_search(&group.me).unwrap_or(count);
        let turn = (rank + count - group.number() as usize % count) % count;
        group.terms.quiet + group.terms.answer * 2 * turn as u32
    }

    fn check(&mut self, now: Time, since: Time, group: &mut Group, out: &mut Vec<Action>) {
        if group.answered().is_some_and(|sent| sent >= since) {
            self.phase = Phase::Idle;
            if self.wanted(group) {
                self.begin(now, group, out);
            }
        } else if group.outage() || now.since(since) > group.terms.answer * WRITE_WAIT {
            self.phase = Phase::Idle;
            self.due = None;
        } else {
            group.read(now, out);
        }
    }

    fn begin(&mut self, now: Time, group: &mut Group, out: &mut Vec<Action>) {
        if group.current.is_none() || self.confirmed {
            return self.write(now, Basis::Confirmed, group, out);
        }
        let query = Query {
            nonce: group.rng.random(),
            number: group.number(),
        };
        group.promise(query);
        self.phase = Phase::Preparing(Preparing {
            query,
            since: now,
            sent: now,
            promises: vec![group.me.clone()],
        });
        self.ask(group, out);
        self.prepare(now, group, out);
    }

    fn ask(&self, group: &Group, out: &mut Vec<Action>) {
        let (Phase::Preparing(round), Some(known)) = (&self.phase, &group.current) else {
            return;
        };
        let query = round.query;
        let members = known.stored.epoch.members().iter();
        for to in members.filter(|m| !round.promises.contains(m)) {
            group.send(to.clone(), Body::Prepare(query), out);
        }
    }

    fn prepare(&mut self, now: Time, group: &mut Group, out: &mut Vec<Action>) {
        let (Phase::Preparing(round), Some(known)) = (&mut self.phase, &group.current) else {
            return;
        };
        let epoch = &known.stored.epoch;
        if epoch.number() != round.query.number {
            self.end(now, group, out);
            return;
        }
        if group.outage() {
            let query = round.query;
            withdraw(query, group, out);
            self.end(now, group, out);
            return;
        }
        let promised = round.promises.iter().filter(|m| epoch.has(m)).count();
        if promised >= epoch.majority() {
            self.write(now, Basis::Promised, group, out);
        } else if now.since(round.since) > group.terms.lease * FORCE_LEASES {
            self.write(now, Basis::Forced, group, out);
        } else if now.since(round.sent) > group.terms.answer * 2 {
            round.sent = now;
            self.ask(group, out);
        }
    }

    pub(crate) fn promised(
        &mut self,
        now: Time,
        from: InstanceId,
        query: Query,
        group: &mut Group,
        out: &mut Vec<Action>,
    ) {
        let Phase::Preparing(round) = &mut self.phase else {
            return;
        };
        if round.query == query && !round.promises.contains(&from) {
            round.promises.push(from);
            self.prepare(now, group, out);
        }
    }

    fn write(&mut self, now: Time, basis: Basis, group: &mut Group, out: &mut Vec<Action>) {
        let epoch = Epoch::new(group.number() + 1, basis, self.live.iter().cloned());
        let nonce = match &self.phase {
            Phase::Preparing(round) => round.query.nonce,
            _ => group.rng.random(),
        };
        out.push(Action::Propose {
            nonce,
            expect: group.current.as_ref().map(|k| k.stored.version),
            epoch: epoch.clone(),
        });
        let sent = now;
        self.phase = Phase::Writing { nonce, sent, epoch };
    }

    pub(crate) fn proposed(
        &mut self,
        now: Time,
        nonce: u64,
        outcome: Outcome,
        group: &mut Group,
        out: &mut Vec<Action>,
    ) {
        let Phase::Writing {
            nonce: mine,
            sent,
            epoch,
        } = &self.phase
        else {
            return;
        };
        if *mine != nonce {
            return;
        }
        if let Outcome::Written(version) = outcome {
            let epoch = epoch.clone();
            group.seen(now, *sent, Stored { version, epoch });
            self.confirmed = false;
        } else if outcome == Outcome::Unsent {
            let number = epoch.number() - 1;
            withdraw(Query { nonce, number }, group, out);
        }
        self.end(now, group, out);
    }

    // Starts over; what the platform holds settles what became of a write.
    fn end(&mut self, now: Time, group: &mut Group, out: &mut Vec<Action>) {
        self.phase = Phase::Idle;
        self.due = None;
        group.read(now, out);
    }
}

// Lets the members vouch again; the proposal was not sent and won't be.
fn withdraw(query: Query, group: &mut Group, out: &mut Vec<Action>) {
    group.withdraw(query);
    let Some(known) = &group.current else { return };
    let members = known.stored.epoch.members();
    for to in members.iter().filter(|m| **m != group.me) {
        group.send(to.clone(), Body::Withdraw(query), out);
    }
}
