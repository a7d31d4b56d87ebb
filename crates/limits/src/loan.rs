//! Loans of shares between the homes of a limit and other instances.

use std::time::Duration;

use corianderway_model::InstanceId;
use corianderway_model::Time;

use crate::message::Ask;
use crate::message::Grant;
use crate::parts::Parts;

/// Asks to one home that may still be answered.
const OPEN_ASKS: usize = 4;

/// A loan that this instance has from one home, or has asked for.
#[derive(Clone, Debug)]
pub(crate) struct Loan {
    pub(crate) home: InstanceId,
    // The ask that the loan answered; 0 if none is held.
    pub(crate) seq: u64,
    pub(crate) parts: Parts,
    // Ends by this instance's clock, counted from its ask.
    pub(crate) until: Time,
    // Rising; a grant for any of them is taken.
    open: Vec<Open>,
}

/// What became of a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Taken {
    Refused,
    /// It is taken, and the lender may use the difference once it knows.
    Less,
    More,
}

/// An ask without an answer.
#[derive(Clone, Copy, Debug)]
struct Open {
    seq: u64,
    sent: Time,
}

impl Loan {
    pub(crate) fn new(home: InstanceId) -> Self {
        Self {
            home,
            seq: 0,
            parts: Parts::NONE,
            until: Time::ZERO,
            open: vec![],
        }
    }

    pub(crate) fn ended(&self, now: Time) -> bool {
        now >= self.until
    }

    /// Whether the newest ask may still be answered in the usual time, which
    /// grows with each ask that was not.
    pub(crate) fn waits(&self, now: Time, answer: Duration) -> bool {
        self.open
            .last()
            .is_some_and(|open| now.since(open.sent) < answer)
    }

    /// Whether any ask may still be answered.
    pub(crate) fn is_open(&self) -> bool {
        !self.open.is_empty()
    }

    /// The number of asks without an answer.
    pub(crate) fn open(&self) -> usize {
        self.open.len()
    }

    pub(crate) fn ask(&mut self, seq: u64, now: Time) {
        if self.open.len() == OPEN_ASKS {
            self.open.remove(0);
        }
        self.open.push(Open { seq, sent: now });
    }

    /// Drops asks whose grants would have ended by now.
    pub(crate) fn forget(&mut self, now: Time, term: Duration) {
        self.open.retain(|open| now.since(open.sent) < term);
    }

    /// Takes a grant in place of the one held; refuses a repeat or a stray.
    pub(crate) fn take(&mut self, grant: &Grant) -> Taken {
        let Some(open) = self.open.iter().find(|open| open.seq == grant.seq) else {
            return Taken::Refused;
        };
        let less = self.seq != 0 && grant.parts < self.parts;
        self.until = open.sent + grant.term;
        self.seq = grant.seq;
        self.parts = grant.parts;
        self.open.retain(|open| open.seq > grant.seq);
        if less {
            Taken::Less
        } else {
            Taken::More
        }
    }

    /// The newest ask.
    pub(crate) fn last(&self) -> u64 {
        self.open.last().map_or(self.seq, |open| open.seq)
    }
}

/// What a home has lent to one borrower.
#[derive(Clone, Debug)]
pub(crate) struct Debtor {
    id: InstanceId,
    // The newest ask; earlier ones are repeats or late.
    last: u64,
    want: Parts,
    // The borrower holds at most one of them.
    grants: Vec<Lent>,
}

#[derive(Clone, Copy, Debug)]
struct Lent {
    seq: u64,
    parts: Parts,
    until: Time,
}

/// All that a home has lent of one limit.
#[derive(Clone, Debug, Default)]
pub(crate) struct Book {
    // Sorted by borrower.
    debtors: Vec<Debtor>,
}

impl Book {
    pub(crate) fn is_empty(&self) -> bool {
        self.debtors.is_empty()
    }

    /// The share that borrowers may hold now.
    pub(crate) fn lent(&self) -> Parts {
        self.debtors.iter().map(Debtor::most).sum()
    }

    /// The most that one holder gets of a floor that is too small for what
    /// all want: the level at which the rest is divided evenly.
    pub(crate) fn level(&self, floor: Parts, own: Parts) -> Parts {
        let wants = || self.debtors.iter().map(|d| d.want).chain([own]);
        let mut level = 0;
        loop {
            let met: u64 = wants().map(Parts::get).filter(|w| *w <= level).sum();
            let unmet = wants().filter(|w| w.get() > level).count() as u64;
            if unmet == 0 {
                return Parts::WHOLE;
            }
            let next = floor.get().saturating_sub(met) / unmet;
            if next <= level {
                return Parts::new(level);
            }
            level = next;
        }
    }

    /// Drops loans whose term has passed.
    pub(crate) fn expire(&mut self, now: Time) {
        for debtor in &mut self.debtors {
            debtor.grants.retain(|g| now < g.until);
        }
        self.debtors.retain(|d| !d.grants.is_empty());
    }

    /// Notes an ask; false if it is a repeat or late.
    pub(crate) fn note(&mut self, from: &InstanceId, ask: &Ask) -> bool {
        let debtor = self.debtor(from);
        if ask.seq <= debtor.last {
            return false;
        }
        debtor.last = ask.seq;
        debtor.want = ask.want;
        debtor.grants.retain(|g| g.seq >= ask.have);
        true
    }

    /// The most that one borrower may hold now.
    pub(crate) fn most(&self, id: &InstanceId) -> Parts {
        let at = self.debtors.binary_search_by(|d| d.id.cmp(id));
        at.map_or(Parts::NONE, |at| self.debtors[at].most())
    }

    pub(crate) fn lend(&mut self, to: &InstanceId, seq: u64, parts: Parts, until: Time) {
        let lent = Lent { seq, parts, until };
        self.debtor(to).grants.push(lent);
    }

    /// Takes loans back that the borrower no longer holds and never will.
    pub(crate) fn release(&mut self, from: &InstanceId, seq: u64) {
        if let Ok(at) = self.debtors.binary_search_by(|d| d.id.cmp(from)) {
            let debtor = &mut self.debtors[at];
            debtor.last = debtor.last.max(seq);
            debtor.grants.retain(|g| g.seq > seq);
            if debtor.grants.is_empty() {
                debtor.want = Parts::NONE;
            }
        }
    }

    fn debtor(&mut self, id: &InstanceId) -> &mut Debtor {
        let at = match self.debtors.binary_search_by(|d| d.id.cmp(id)) {
            Ok(at) => at,
            Err(at) => {
                let debtor = Debtor {
                    id: id.clone(),
                    last: 0,
                    want: Parts::NONE,
                    grants: vec![],
                };
                self.debtors.insert(at, debtor);
                at
            }
        };
        &mut self.debtors[at]
    }
}

impl Debtor {
    fn most(&self) -> Parts {
        let most = self.grants.iter().map(|g| g.parts).max();
        most.unwrap_or_default()
    }
}
