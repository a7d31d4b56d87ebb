//! The side of one limit that borrows: which homes to ask, and for how much.

use corianderway_model::InstanceId;
use corianderway_model::Time;

use crate::group::Group;
use crate::limit::Limit;
use crate::loan::Loan;
use crate::loan::Taken;
use crate::message::Ask;
use crate::message::Grant;
use crate::message::Release;
use crate::parts::Parts;
use crate::ranking::Ranking;

/// Asks without an answer after which a home counts as silent.
const SILENT_ASKS: usize = 2;

/// What an entry asks of its homes, or gives back to them.
#[derive(Debug)]
pub(crate) enum Plea {
    Ask(InstanceId, Ask),
    Release(InstanceId, Release),
}

/// The loans of one limit.
#[derive(Debug, Default)]
pub(crate) struct Borrower {
    // Sorted by home.
    loans: Vec<Loan>,
    // The homes to ask, in order, and the epoch they were listed for.
    homes: Vec<InstanceId>,
    listed: u64,
    // The number of homes to ask.
    width: usize,
}

/// The share that is needed, and how urgently.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Need {
    pub(crate) parts: Parts,
    /// A request was refused since the last plan.
    pub(crate) hungry: bool,
}

impl Borrower {
    pub(crate) fn is_empty(&self) -> bool {
        self.loans.is_empty()
    }

    /// The share held, and when the first loan ends.
    pub(crate) fn held(&self, now: Time) -> (Parts, Option<Time>) {
        let held = self.loans.iter().filter(|l| !l.ended(now));
        let next = held.clone().map(|l| l.until).min();
        (held.map(|l| l.parts).sum(), next)
    }

    /// Takes a loan if it answers one of the latest asks.
    pub(crate) fn take(&mut self, from: &InstanceId, grant: &Grant) -> Taken {
        let found = self.loans.binary_search_by(|l| l.home.cmp(from));
        found.map_or(Taken::Refused, |at| self.loans[at].take(grant))
    }

    /// Gives all loans back.
    pub(crate) fn give_back(&mut self, limit: &Limit, out: &mut Vec<Plea>) {
        for loan in self.loans.drain(..) {
            let (limit, seq) = (limit.clone(), loan.last());
            out.push(Plea::Release(loan.home, Release { limit, seq }));
        }
        self.width = 0;
    }

    /// Asks for loans and renews those that are half through their term.
    pub(crate) fn plan(
        &mut self,
        now: Time,
        need: Need,
        group: &Group,
        (limit, key): (&Limit, u64),
        seq: &mut u64,
        out: &mut Vec<Plea>,
    ) {
        self.list(key, group);
        let terms = &group.terms;
        for loan in &mut self.loans {
            loan.forget(now, terms.loan);
        }
        self.loans.retain(|l| l.is_open() || !l.ended(now));
        let held = self.held(now).0;
        let waits = self.loans.iter().any(|l| l.waits(now, terms.answer));
        self.widen(need, held, waits);
        let loans: Vec<_> = (0..self.width).map(|at| self.loan(at)).collect();
        let silent = |at: &&usize| self.loans[**at].open() >= SILENT_ASKS;
        let heard = loans.len() - loans.iter().filter(silent).count();
        let missing = need.parts.less(held).get().div_ceil(heard.max(1) as u64);
        // Others may want what is held beyond the need.
        let ample = need.parts.get() < held.get() / 4 * 3;
        for at in loans {
            let loan = &mut self.loans[at];
            let has = if loan.ended(now) {
                Parts::NONE
            } else {
                loan.parts
            };
            let want = has.scale(need.parts.get(), held.get()) + Parts::new(missing);
            let late = loan.until < now + terms.loan / 2;
            let kept = has > Parts::NONE && (late || ample);
            let due = kept || (need.hungry && missing > 0);
            if loan.waits(now, terms.answer) || !due {
                continue;
            }
            *seq += 1;
            let ask = Ask {
                limit: limit.clone(),
                seq: *seq,
                have: loan.seq,
                want,
            };
            loan.ask(*seq, now);
            out.push(Plea::Ask(loan.home.clone(), ask));
        }
    }

    // Asks more homes while fewer give too little.
    fn widen(&mut self, need: Need, held: Parts, waits: bool) {
        let homes = self.homes.len();
        let part = Parts::WHOLE.get() / homes.max(1) as u64;
        let least = 1 + (need.parts.get() / part.max(1)) as usize;
        if self.width < least {
            self.width = least;
        } else if held < need.parts && !waits && need.hungry {
            self.width *= 2;
        }
        self.width = self.width.min(homes);
    }

    // Lists the other homes; each instance begins elsewhere in the list.
    fn list(&mut self, key: u64, group: &Group) {
        let Some(known) = &group.current else { return };
        if self.listed == group.number() {
            return;
        }
        self.homes = known.ranking.homes(key);
        let start = Ranking::start(&group.me, self.homes.len());
        self.homes.rotate_left(start);
        self.homes.retain(|h| *h != group.me);
        self.listed = group.number();
    }

    // The position of the loan from the home at `at`, which may hold nothing.
    fn loan(&mut self, at: usize) -> usize {
        let home = &self.homes[at];
        let found = self.loans.binary_search_by(|l| l.home.cmp(home));
        found.unwrap_or_else(|at| {
            self.loans.insert(at, Loan::new(home.clone()));
            at
        })
    }
}
