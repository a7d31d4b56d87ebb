//! One limit at one instance: its token bucket, and the loans borrowed and
//! granted.

use corianderway_model::InstanceId;
use corianderway_model::Time;

use crate::borrow::Borrower;
use crate::borrow::LoanMessage;
use crate::borrow::Need;
use crate::bucket::Amount;
use crate::bucket::Bucket;
use crate::bucket::Tokens;
use crate::bucket::Verdict;
use crate::demand::Demand;
use crate::floors::FloorBasis;
use crate::limit::Limit;
use crate::loan::GrantResult;
use crate::loan::Lender;
use crate::membership::Membership;
use crate::message::Ask;
use crate::message::Grant;
use crate::message::Release;
use crate::share::Share;

/// The share to hold, in quarters of the measured demand.
const DEMAND_QUARTERS: u64 = 5;
/// The same while requests are refused. Callers that wait for answers send no
/// more than is admitted, so the measured demand is too low then.
const REFUSED_DEMAND_QUARTERS: u64 = 12;
/// The bucket of a wanted share holds at least this many of the largest
/// requests.
const MIN_BURST_REQUESTS: u64 = 2;
const NEVER: Time = Time::from_nanos(u64::MAX);

/// One limit at one instance.
///
/// Input is demand, grants, and other instances' asks; output is admission
/// verdicts and loan messages. The bucket's share is the floor less what is lent,
/// plus what is borrowed.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) limit: Limit,
    pub(crate) key: u64,
    amount: Amount,
    bucket: Bucket,
    // The epoch and the floor generation that the share was computed from.
    epoch_number: u64,
    generation: u64,
    floor: Share,
    lender: Lender,
    borrower: Borrower,
    // When the first borrowed loan expires.
    next_expiry: Time,
    demand: Demand,
    // The largest cost of a request so far.
    max_cost: u64,
    // A request was refused since the last plan.
    refused: bool,
    // Listed among the entries that each tick plans for.
    pub(crate) active: bool,
}

impl Entry {
    pub(crate) fn new(now: Time, limit: Limit, amount: Amount) -> Self {
        Self {
            key: limit.hash(),
            limit,
            amount,
            bucket: Bucket::new(now),
            epoch_number: 0,
            generation: 0,
            floor: Share::NONE,
            lender: Lender::default(),
            borrower: Borrower::default(),
            next_expiry: NEVER,
            demand: Demand::default(),
            max_cost: Tokens::ONE.get(),
            refused: false,
            active: false,
        }
    }

    pub(crate) fn set_amount(&mut self, now: Time, amount: Amount) {
        if amount != self.amount {
            self.amount = amount;
            self.bucket.reconfigure(now, self.bucket.share(), amount);
        }
    }

    /// Sets the amount of a removed limit to zero. Keeps the entry while it has
    /// loans out, because the limit may be added again before they end.
    pub(crate) fn retire(mut self, now: Time) -> Option<Self> {
        self.set_amount(now, Amount::default());
        (!self.lender.is_empty()).then_some(self)
    }

    pub(crate) fn share(&self) -> Share {
        self.bucket.share()
    }

    pub(crate) fn lent(&self) -> Share {
        self.lender.lent()
    }

    pub(crate) fn tokens(&self) -> Tokens {
        self.bucket.tokens()
    }

    /// Recomputes the share if the floor changed or a loan expired. Does not
    /// allocate.
    pub(crate) fn refresh(&mut self, now: Time, membership: &Membership) {
        if self.generation != membership.floors().generation() {
            self.set_floor(now, membership);
        }
        if now >= self.next_expiry {
            self.set_share(now);
        }
    }

    // Drops all tokens if the new epoch did not directly follow the known one:
    // others may have used this share in between.
    fn set_floor(&mut self, now: Time, membership: &Membership) {
        let continuous = match membership.epoch_number() - self.epoch_number {
            0 => true,
            1 => membership.previous().is_some(),
            _ => false,
        };
        if !continuous {
            self.bucket.clear(now);
        }
        self.floor = floor(self.key, membership);
        (self.epoch_number, self.generation) =
            (membership.epoch_number(), membership.floors().generation());
        self.set_share(now);
    }

    fn set_share(&mut self, now: Time) {
        let (borrowed, next) = self.borrower.held(now);
        self.next_expiry = next.unwrap_or(NEVER);
        let share = self.floor.minus(self.lender.lent()) + borrowed;
        self.bucket.reconfigure(now, share, self.amount);
    }

    /// Spends tokens. The caller must call [`Entry::refresh`] first.
    pub(crate) fn admit(&mut self, now: Time, cost: Tokens, is_retry: bool) -> Verdict {
        if !is_retry {
            self.demand.record(cost.get());
        }
        self.max_cost = self.max_cost.max(cost.get());
        let verdict = self.bucket.admit(now, cost);
        self.refused |= verdict != Verdict::Admitted;
        verdict
    }

    // The share that serves the measured demand, and the same with a margin.
    fn wanted_shares(&mut self, now: Time) -> (Share, Share) {
        let rate = self.demand.rate(now);
        if rate == 0 {
            return (Share::NONE, Share::NONE);
        }
        let share = |rate: u64| Share::from_ratio(rate, self.amount.rate.get());
        let burst = self.max_cost.saturating_mul(MIN_BURST_REQUESTS);
        let burst = Share::from_ratio(burst, self.amount.burst.get());
        let quarters = if self.refused {
            REFUSED_DEMAND_QUARTERS
        } else {
            DEMAND_QUARTERS
        };
        let ample = rate.saturating_mul(quarters) / 4;
        (share(rate).max(burst), share(ample).max(burst))
    }

    // The share to borrow; none while the instance's own share is enough.
    fn needed_share(&mut self, now: Time) -> Share {
        let own = self.floor.minus(self.lender.lent());
        let (base, ample) = self.wanted_shares(now);
        if base > own || self.refused {
            ample.minus(own)
        } else {
            Share::NONE
        }
    }

    /// Asks for, renews or releases loans. Returns false when the entry needs
    /// no further planning.
    pub(crate) fn plan(
        &mut self,
        now: Time,
        membership: &Membership,
        seq: &mut u64,
        out: &mut Vec<LoanMessage>,
    ) -> bool {
        self.refresh(now, membership);
        self.lender.expire(now);
        self.set_share(now);
        let need = self.needed_share(now);
        if need == Share::NONE {
            self.release_all(now, out);
        } else {
            let refused = self.refused;
            let need = Need {
                share: need,
                refused,
            };
            let id = (&self.limit, self.key);
            self.borrower.plan(now, need, membership, id, seq, out);
        }
        self.refused = false;
        !self.borrower.is_empty() || !self.lender.is_empty() || need != Share::NONE
    }

    /// Releases all borrowed loans.
    pub(crate) fn release_all(&mut self, now: Time, out: &mut Vec<LoanMessage>) {
        self.borrower.release_all(&self.limit, out);
        self.set_share(now);
    }

    /// Grants what the floor has to spare. Returns `None` for a duplicate or
    /// late ask.
    pub(crate) fn lend(
        &mut self,
        now: Time,
        from: &InstanceId,
        ask: &Ask,
        membership: &Membership,
    ) -> Option<Grant> {
        self.refresh(now, membership);
        self.lender.expire(now);
        self.set_share(now);
        if !self.lender.record_ask(from, ask) {
            return None;
        }
        let term = membership
            .timing
            .loan
            .min(membership.lease_end().since(now));
        let before = self.lender.max_held(from);
        let parts = self.lendable(now, from, ask.want);
        let tokens = self.bucket.split_tokens(parts.minus(before));
        let expires = now + term + membership.timing.max_drift;
        self.lender.add_grant(from, ask.seq, parts, expires);
        self.set_share(now);
        Some(Grant {
            limit: ask.limit.clone(),
            seq: ask.seq,
            parts,
            tokens,
            term,
        })
    }

    // Limits an ask to its fair share if the floor can't meet all wants.
    fn lendable(&mut self, now: Time, from: &InstanceId, want: Share) -> Share {
        let own = self.wanted_shares(now).1.min(self.floor);
        let fair = want.min(self.lender.fair_cap(self.floor, own));
        let others = self.lender.lent().minus(self.lender.max_held(from));
        fair.min(self.floor.minus(others))
    }

    /// Applies a grant if it answers a pending ask. Returns a release for the
    /// previous loan if the new one is smaller.
    pub(crate) fn apply_grant(
        &mut self,
        now: Time,
        from: &InstanceId,
        grant: &Grant,
        membership: &Membership,
    ) -> Option<Release> {
        self.refresh(now, membership);
        let result = self.borrower.apply_grant(from, grant);
        if result == GrantResult::Ignored {
            return None;
        }
        self.set_share(now);
        self.bucket.add_tokens(grant.tokens);
        (result == GrantResult::Reduced).then(|| Release {
            limit: grant.limit.clone(),
            seq: grant.seq - 1,
        })
    }

    pub(crate) fn release(
        &mut self,
        now: Time,
        from: &InstanceId,
        release: &Release,
        membership: &Membership,
    ) {
        self.refresh(now, membership);
        self.lender.release(from, release.seq);
        self.lender.expire(now);
        self.set_share(now);
    }
}

fn floor(key: u64, membership: &Membership) -> Share {
    let current = membership.current.as_ref().map(|k| k.ranking.floor(key));
    let previous = membership.previous().map(|r| r.floor(key));
    match membership.floors().basis() {
        FloorBasis::Zero => Share::NONE,
        FloorBasis::Minimum => current.min(previous).unwrap_or_default(),
        FloorBasis::Current => current.unwrap_or_default(),
    }
}
