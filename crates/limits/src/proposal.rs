//! Proposes new epochs: a majority of promises, then a conditional write.

use std::time::Duration;

use corianderway_model::InstanceId;
use corianderway_model::Time;
use rand::Rng;

use crate::epoch::Basis;
use crate::epoch::Epoch;
use crate::event::Action;
use crate::event::Outcome;
use crate::membership::Membership;
use crate::message::Body;
use crate::message::Query;
use crate::message::StoredEpoch;

/// Reply timeouts after which a write without an outcome, or a check of the
/// platform, is abandoned.
const WRITE_TIMEOUT_FACTOR: u32 = 10;
/// Leases without a majority of promises after which an epoch is forced.
const FORCE_DELAY_LEASES: u32 = 3;

/// The proposer of one instance.
///
/// Its input is the list of live instances, promises, and write outcomes; its
/// output is prepare messages and conditional writes. At most one proposal is
/// in progress. Without a majority of promises it writes only a forced or an
/// operator-confirmed epoch, whose members wait long enough for the old one to
/// end.
#[derive(Debug)]
pub(crate) struct Proposer {
    // Sorted.
    live: Vec<InstanceId>,
    // The time since which a new epoch has been needed.
    due_since: Option<Time>,
    phase: Phase,
    confirmed: bool,
}

/// The progress of a proposal.
#[derive(Debug)]
enum Phase {
    Idle,
    // Waits for a platform read to succeed, because proposing during an outage
    // would only stop renewals.
    Checking {
        since: Time,
    },
    Preparing(PrepareRound),
    Writing {
        nonce: u64,
        sent: Time,
        epoch: Epoch,
    },
}

/// The promises collected for one proposal.
#[derive(Debug)]
struct PrepareRound {
    query: Query,
    // When the round began, and when prepare messages were last sent.
    since: Time,
    sent: Time,
    promises: Vec<InstanceId>,
}

impl Proposer {
    pub(crate) fn new() -> Self {
        Self {
            live: vec![],
            due_since: None,
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
            self.due_since = None;
        }
    }

    pub(crate) fn confirm(&mut self) {
        self.confirmed = true;
        self.phase = Phase::Idle;
    }

    pub(crate) fn tick(&mut self, now: Time, membership: &mut Membership, out: &mut Vec<Action>) {
        match &self.phase {
            Phase::Idle => self.start(now, membership, out),
            Phase::Checking { since } => {
                let since = *since;
                self.await_platform(now, since, membership, out);
            }
            Phase::Preparing(_) => self.check_promises(now, membership, out),
            Phase::Writing { sent, .. } => {
                if now.since(*sent) > membership.timing.reply_timeout * WRITE_TIMEOUT_FACTOR {
                    self.reset(now, membership, out);
                }
            }
        }
    }

    fn start(&mut self, now: Time, membership: &mut Membership, out: &mut Vec<Action>) {
        let allowed =
            self.confirmed || (membership.is_exclusive(now) && !membership.platform_down());
        if !self.needs_epoch(membership) || !allowed {
            self.due_since = None;
            return;
        }
        let due_since = *self.due_since.get_or_insert(now);
        if now.since(due_since) >= self.start_delay(membership) {
            self.phase = Phase::Checking { since: now };
            membership.read_platform(now, out);
        }
    }

    // A new epoch is needed if the members changed, or if a promise keeps the
    // current epoch from being renewed and its proposer has not replaced it.
    fn needs_epoch(&self, membership: &Membership) -> bool {
        let listed = self.live.binary_search(&membership.own_id).is_ok();
        let changed = match &membership.current {
            Some(known) => {
                let same = known.stored.epoch.members() == self.live;
                !same || membership.has_promised() || self.confirmed
            }
            None => true,
        };
        listed && changed
    }

    // Delays each instance by its rank, which rotates with the epoch number, so
    // that usually one proposes and the others take over if it fails.
    fn start_delay(&self, membership: &Membership) -> Duration {
        let count = self.live.len().max(1);
        let rank = self.live.binary_search(&membership.own_id).unwrap_or(count);
        let offset = (rank + count - membership.epoch_number() as usize % count) % count;
        membership.timing.settle_delay + membership.timing.reply_timeout * 2 * offset as u32
    }

    fn await_platform(
        &mut self,
        now: Time,
        since: Time,
        membership: &mut Membership,
        out: &mut Vec<Action>,
    ) {
        if membership.last_answered().is_some_and(|sent| sent >= since) {
            self.phase = Phase::Idle;
            if self.needs_epoch(membership) {
                self.begin_proposal(now, membership, out);
            }
        } else if membership.platform_down()
            || now.since(since) > membership.timing.reply_timeout * WRITE_TIMEOUT_FACTOR
        {
            self.phase = Phase::Idle;
            self.due_since = None;
        } else {
            membership.read_platform(now, out);
        }
    }

    fn begin_proposal(&mut self, now: Time, membership: &mut Membership, out: &mut Vec<Action>) {
        if membership.current.is_none() || self.confirmed {
            return self.propose(now, Basis::Confirmed, membership, out);
        }
        let query = Query {
            nonce: membership.rng.random(),
            number: membership.epoch_number(),
        };
        membership.promise(query);
        self.phase = Phase::Preparing(PrepareRound {
            query,
            since: now,
            sent: now,
            promises: vec![membership.own_id.clone()],
        });
        self.send_prepares(membership, out);
        self.check_promises(now, membership, out);
    }

    fn send_prepares(&self, membership: &Membership, out: &mut Vec<Action>) {
        let (Phase::Preparing(round), Some(known)) = (&self.phase, &membership.current) else {
            return;
        };
        let query = round.query;
        let members = known.stored.epoch.members().iter();
        for to in members.filter(|m| !round.promises.contains(m)) {
            membership.send(to.clone(), Body::Prepare(query), out);
        }
    }

    fn check_promises(&mut self, now: Time, membership: &mut Membership, out: &mut Vec<Action>) {
        let (Phase::Preparing(round), Some(known)) = (&mut self.phase, &membership.current) else {
            return;
        };
        let epoch = &known.stored.epoch;
        if epoch.number() != round.query.number {
            self.reset(now, membership, out);
            return;
        }
        if membership.platform_down() {
            let query = round.query;
            withdraw(query, membership, out);
            self.reset(now, membership, out);
            return;
        }
        let promised = round.promises.iter().filter(|m| epoch.contains(m)).count();
        if promised >= epoch.majority() {
            self.propose(now, Basis::Promised, membership, out);
        } else if now.since(round.since) > membership.timing.lease * FORCE_DELAY_LEASES {
            self.propose(now, Basis::Forced, membership, out);
        } else if now.since(round.sent) > membership.timing.reply_timeout * 2 {
            round.sent = now;
            self.send_prepares(membership, out);
        }
    }

    pub(crate) fn handle_promise(
        &mut self,
        now: Time,
        from: InstanceId,
        query: Query,
        membership: &mut Membership,
        out: &mut Vec<Action>,
    ) {
        let Phase::Preparing(round) = &mut self.phase else {
            return;
        };
        if round.query == query && !round.promises.contains(&from) {
            round.promises.push(from);
            self.check_promises(now, membership, out);
        }
    }

    fn propose(
        &mut self,
        now: Time,
        basis: Basis,
        membership: &mut Membership,
        out: &mut Vec<Action>,
    ) {
        let epoch = Epoch::new(
            membership.epoch_number() + 1,
            basis,
            self.live.iter().cloned(),
        );
        let nonce = match &self.phase {
            Phase::Preparing(round) => round.query.nonce,
            _ => membership.rng.random(),
        };
        out.push(Action::Propose {
            nonce,
            expect: membership.current.as_ref().map(|k| k.stored.version),
            epoch: epoch.clone(),
        });
        let sent = now;
        self.phase = Phase::Writing { nonce, sent, epoch };
    }

    pub(crate) fn write_done(
        &mut self,
        now: Time,
        nonce: u64,
        outcome: Outcome,
        membership: &mut Membership,
        out: &mut Vec<Action>,
    ) {
        let Phase::Writing {
            nonce: pending,
            sent,
            epoch,
        } = &self.phase
        else {
            return;
        };
        if *pending != nonce {
            return;
        }
        if let Outcome::Written(version) = outcome {
            let epoch = epoch.clone();
            membership.observe(now, *sent, StoredEpoch { version, epoch });
            self.confirmed = false;
        } else if outcome == Outcome::NotSent {
            let number = epoch.number() - 1;
            withdraw(Query { nonce, number }, membership, out);
        }
        self.reset(now, membership, out);
    }

    // Discards the proposal and reads the platform, which shows whether a write
    // took effect.
    fn reset(&mut self, now: Time, membership: &mut Membership, out: &mut Vec<Action>) {
        self.phase = Phase::Idle;
        self.due_since = None;
        membership.read_platform(now, out);
    }
}

// Lets the members vouch for the epoch again. Only valid if the proposal was
// never sent to the platform.
fn withdraw(query: Query, membership: &mut Membership, out: &mut Vec<Action>) {
    membership.withdraw(query);
    let Some(k) = &membership.current else { return };
    let members = k.stored.epoch.members();
    for to in members.iter().filter(|m| **m != membership.own_id) {
        membership.send(to.clone(), Body::Withdraw(query), out);
    }
}
