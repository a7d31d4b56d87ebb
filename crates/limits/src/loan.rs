//! Loans of shares between the owners of a limit and other instances.

use std::time::Duration;

use corianderway_model::InstanceId;
use corianderway_model::Time;

use crate::message::Ask;
use crate::message::Grant;
use crate::share::Share;

/// Asks to one owner that may be unanswered at a time; the oldest is dropped.
const MAX_PENDING_ASKS: usize = 4;

/// A loan from one owner to this instance, granted or requested.
#[derive(Clone, Debug)]
pub(crate) struct Loan {
    pub(crate) owner: InstanceId,
    // The sequence number of the ask that was granted; 0 if none.
    pub(crate) grant_seq: u64,
    pub(crate) share: Share,
    // On this instance's clock, counted from when the ask was sent. The owner
    // counts from when it received the ask, so the loan ends here first.
    pub(crate) expires: Time,
    // In ascending order. A grant is accepted for any of them.
    pending: Vec<PendingAsk>,
}

/// The result of handling a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum GrantResult {
    Ignored,
    /// Accepted, for a smaller share than before. The lender may reuse the
    /// difference once it receives a release.
    Reduced,
    Applied,
}

/// An unanswered ask.
#[derive(Clone, Copy, Debug)]
struct PendingAsk {
    seq: u64,
    sent: Time,
}

impl Loan {
    pub(crate) fn new(owner: InstanceId) -> Self {
        Self {
            owner,
            grant_seq: 0,
            share: Share::NONE,
            expires: Time::ZERO,
            pending: vec![],
        }
    }

    pub(crate) fn has_expired(&self, now: Time) -> bool {
        now >= self.expires
    }

    /// Whether the newest ask was sent less than `reply_timeout` ago.
    pub(crate) fn awaits_reply(&self, now: Time, reply_timeout: Duration) -> bool {
        self.pending
            .last()
            .is_some_and(|ask| now.since(ask.sent) < reply_timeout)
    }

    /// Whether any ask may still be answered.
    pub(crate) fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// The number of unanswered asks.
    pub(crate) fn pending_asks(&self) -> usize {
        self.pending.len()
    }

    pub(crate) fn record_ask(&mut self, seq: u64, now: Time) {
        if self.pending.len() == MAX_PENDING_ASKS {
            self.pending.remove(0);
        }
        self.pending.push(PendingAsk { seq, sent: now });
    }

    /// Drops asks whose grants would have ended by now.
    pub(crate) fn drop_expired_asks(&mut self, now: Time, term: Duration) {
        self.pending.retain(|ask| now.since(ask.sent) < term);
    }

    /// Replaces the held loan by a grant. Ignores a grant that is a duplicate
    /// or answers none of the pending asks.
    pub(crate) fn apply(&mut self, grant: &Grant) -> GrantResult {
        let Some(ask) = self.pending.iter().find(|ask| ask.seq == grant.seq) else {
            return GrantResult::Ignored;
        };
        let reduced = self.grant_seq != 0 && grant.parts < self.share;
        self.expires = ask.sent + grant.term;
        self.grant_seq = grant.seq;
        self.share = grant.parts;
        self.pending.retain(|ask| ask.seq > grant.seq);
        if reduced {
            GrantResult::Reduced
        } else {
            GrantResult::Applied
        }
    }

    /// The sequence number of the newest ask.
    pub(crate) fn last_seq(&self) -> u64 {
        self.pending.last().map_or(self.grant_seq, |ask| ask.seq)
    }
}

/// An owner's loans to one borrower.
#[derive(Clone, Debug)]
pub(crate) struct BorrowerRecord {
    id: InstanceId,
    // The newest ask; older ones are duplicates or late.
    last_seq: u64,
    want: Share,
    // The borrower holds at most one of these.
    grants: Vec<LentGrant>,
}

/// A grant that a borrower may hold.
#[derive(Clone, Copy, Debug)]
struct LentGrant {
    seq: u64,
    share: Share,
    expires: Time,
}

/// All loans that an owner has granted of one limit.
///
/// A loan counts until it expires or the borrower confirms that it no longer
/// holds it, so [`Lender::lent`] is never below what borrowers use.
#[derive(Clone, Debug, Default)]
pub(crate) struct Lender {
    // Sorted by borrower.
    borrowers: Vec<BorrowerRecord>,
}

impl Lender {
    pub(crate) fn is_empty(&self) -> bool {
        self.borrowers.is_empty()
    }

    /// The share that borrowers may hold now.
    pub(crate) fn lent(&self) -> Share {
        self.borrowers.iter().map(BorrowerRecord::max_held).sum()
    }

    /// The max-min fair cap on each holder's share of a floor that is too small
    /// for all wants, including the owner's.
    pub(crate) fn fair_cap(&self, floor: Share, own: Share) -> Share {
        let wants = || self.borrowers.iter().map(|b| b.want).chain([own]);
        let mut level = 0;
        loop {
            let met: u64 = wants().map(Share::get).filter(|w| *w <= level).sum();
            let unmet = wants().filter(|w| w.get() > level).count() as u64;
            if unmet == 0 {
                return Share::WHOLE;
            }
            let next = floor.get().saturating_sub(met) / unmet;
            if next <= level {
                return Share::new(level);
            }
            level = next;
        }
    }

    /// Drops expired loans.
    pub(crate) fn expire(&mut self, now: Time) {
        for borrower in &mut self.borrowers {
            borrower.grants.retain(|g| now < g.expires);
        }
        self.borrowers.retain(|b| !b.grants.is_empty());
    }

    /// Records an ask. Returns false if it is a duplicate or late.
    pub(crate) fn record_ask(&mut self, from: &InstanceId, ask: &Ask) -> bool {
        let borrower = self.borrower(from);
        if ask.seq <= borrower.last_seq {
            return false;
        }
        borrower.last_seq = ask.seq;
        borrower.want = ask.want;
        borrower.grants.retain(|g| g.seq >= ask.have);
        true
    }

    /// The largest share that one borrower may hold now.
    pub(crate) fn max_held(&self, id: &InstanceId) -> Share {
        let index = self.borrowers.binary_search_by(|b| b.id.cmp(id));
        index.map_or(Share::NONE, |index| self.borrowers[index].max_held())
    }

    pub(crate) fn add_grant(&mut self, to: &InstanceId, seq: u64, share: Share, expires: Time) {
        let grant = LentGrant {
            seq,
            share,
            expires,
        };
        self.borrower(to).grants.push(grant);
    }

    /// Drops the loans up to `seq`, which the borrower does not hold and will
    /// not accept any more.
    pub(crate) fn release(&mut self, from: &InstanceId, seq: u64) {
        if let Ok(index) = self.borrowers.binary_search_by(|b| b.id.cmp(from)) {
            let borrower = &mut self.borrowers[index];
            borrower.last_seq = borrower.last_seq.max(seq);
            borrower.grants.retain(|g| g.seq > seq);
            if borrower.grants.is_empty() {
                borrower.want = Share::NONE;
            }
        }
    }

    fn borrower(&mut self, id: &InstanceId) -> &mut BorrowerRecord {
        let index = match self.borrowers.binary_search_by(|b| b.id.cmp(id)) {
            Ok(index) => index,
            Err(index) => {
                let borrower = BorrowerRecord {
                    id: id.clone(),
                    last_seq: 0,
                    want: Share::NONE,
                    grants: vec![],
                };
                self.borrowers.insert(index, borrower);
                index
            }
        };
        &mut self.borrowers[index]
    }
}

impl BorrowerRecord {
    fn max_held(&self) -> Share {
        let max_held = self.grants.iter().map(|g| g.share).max();
        max_held.unwrap_or_default()
    }
}
