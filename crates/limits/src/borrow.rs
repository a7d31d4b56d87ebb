//! The borrowing side of one limit: which owners to ask, and for how much.

use corianderway_model::InstanceId;
use corianderway_model::Time;

use crate::limit::Limit;
use crate::loan::GrantResult;
use crate::loan::Loan;
use crate::membership::Membership;
use crate::message::Ask;
use crate::message::Grant;
use crate::message::Release;
use crate::ranking::Ranking;
use crate::share::Share;

/// Unanswered asks after which an owner counts as unresponsive.
const UNRESPONSIVE_ASKS: usize = 2;

/// A message from an entry to an owner.
#[derive(Debug)]
pub(crate) enum LoanMessage {
    Ask(InstanceId, Ask),
    Release(InstanceId, Release),
}

/// The loans that this instance has borrowed of one limit.
#[derive(Debug, Default)]
pub(crate) struct Borrower {
    // Sorted by owner.
    loans: Vec<Loan>,
    // The owners in the order to ask them, and the epoch they belong to.
    owners: Vec<InstanceId>,
    listed_epoch: u64,
    // The number of owners to ask.
    fanout: usize,
}

/// The share to borrow, and whether requests are being refused for lack of it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Need {
    pub(crate) share: Share,
    /// A request was refused since the last plan.
    pub(crate) refused: bool,
}

impl Borrower {
    pub(crate) fn is_empty(&self) -> bool {
        self.loans.is_empty()
    }

    /// The borrowed share, and when the first of its loans expires.
    pub(crate) fn held(&self, now: Time) -> (Share, Option<Time>) {
        let held = self.loans.iter().filter(|l| !l.has_expired(now));
        let next = held.clone().map(|l| l.expires).min();
        (held.map(|l| l.share).sum(), next)
    }

    /// Applies a grant if it answers a pending ask.
    pub(crate) fn apply_grant(&mut self, from: &InstanceId, grant: &Grant) -> GrantResult {
        let found = self.loans.binary_search_by(|l| l.owner.cmp(from));
        found.map_or(GrantResult::Ignored, |index| self.loans[index].apply(grant))
    }

    /// Releases all loans.
    pub(crate) fn release_all(&mut self, limit: &Limit, out: &mut Vec<LoanMessage>) {
        for loan in self.loans.drain(..) {
            let (limit, seq) = (limit.clone(), loan.last_seq());
            out.push(LoanMessage::Release(loan.owner, Release { limit, seq }));
        }
        self.fanout = 0;
    }

    /// Asks for missing shares, and renews loans that have passed half their
    /// term.
    ///
    /// The need is divided among the owners that respond. Loans are also
    /// renewed, at a smaller share, while clearly more is held than needed.
    pub(crate) fn plan(
        &mut self,
        now: Time,
        need: Need,
        membership: &Membership,
        (limit, key): (&Limit, u64),
        seq: &mut u64,
        out: &mut Vec<LoanMessage>,
    ) {
        self.list_owners(key, membership);
        let timing = &membership.timing;
        for loan in &mut self.loans {
            loan.drop_expired_asks(now, timing.loan);
        }
        self.loans
            .retain(|l| l.has_pending() || !l.has_expired(now));
        let held = self.held(now).0;
        let awaiting = self
            .loans
            .iter()
            .any(|l| l.awaits_reply(now, timing.reply_timeout));
        self.adjust_fanout(need, held, awaiting);
        let loans: Vec<_> = (0..self.fanout)
            .map(|index| self.loan_index(index))
            .collect();
        let unresponsive = |index: &&usize| self.loans[**index].pending_asks() >= UNRESPONSIVE_ASKS;
        let responsive = loans.len() - loans.iter().filter(unresponsive).count();
        let missing = need
            .share
            .minus(held)
            .get()
            .div_ceil(responsive.max(1) as u64);
        // Other instances may need the excess.
        let excess = need.share.get() < held.get() / 4 * 3;
        for index in loans {
            let loan = &mut self.loans[index];
            let current = if loan.has_expired(now) {
                Share::NONE
            } else {
                loan.share
            };
            let want = current.scale(need.share.get(), held.get()) + Share::new(missing);
            let expiring = loan.expires < now + timing.loan / 2;
            let renew = current > Share::NONE && (expiring || excess);
            let due = renew || (need.refused && missing > 0);
            if loan.awaits_reply(now, timing.reply_timeout) || !due {
                continue;
            }
            *seq += 1;
            let ask = Ask {
                limit: limit.clone(),
                seq: *seq,
                have: loan.grant_seq,
                want,
            };
            loan.record_ask(*seq, now);
            out.push(LoanMessage::Ask(loan.owner.clone(), ask));
        }
    }

    // Doubles the number of owners to ask while those asked grant too little.
    fn adjust_fanout(&mut self, need: Need, held: Share, awaiting: bool) {
        let owners = self.owners.len();
        let owner_floor = Share::WHOLE.get() / owners.max(1) as u64;
        let min_fanout = 1 + (need.share.get() / owner_floor.max(1)) as usize;
        if self.fanout < min_fanout {
            self.fanout = min_fanout;
        } else if held < need.share && !awaiting && need.refused {
            self.fanout *= 2;
        }
        self.fanout = self.fanout.min(owners);
    }

    // Lists the other owners. Each instance starts at another owner, which
    // spreads the asks.
    fn list_owners(&mut self, key: u64, membership: &Membership) {
        let Some(k) = &membership.current else { return };
        if self.listed_epoch == membership.epoch_number() {
            return;
        }
        self.owners = k.ranking.owners(key);
        let start = Ranking::start_index(&membership.own_id, self.owners.len());
        self.owners.rotate_left(start);
        self.owners.retain(|o| *o != membership.own_id);
        self.listed_epoch = membership.epoch_number();
    }

    // The index of the loan from the owner at `index`; creates an empty loan if
    // there is none.
    fn loan_index(&mut self, index: usize) -> usize {
        let owner = &self.owners[index];
        let found = self.loans.binary_search_by(|l| l.owner.cmp(owner));
        found.unwrap_or_else(|index| {
            self.loans.insert(index, Loan::new(owner.clone()));
            index
        })
    }
}
