//! One limit as one instance holds it: a bucket, loans taken and loans given.

use corianderway_model::InstanceId;
use corianderway_model::Time;

use crate::borrow::Borrower;
use crate::borrow::Need;
use crate::borrow::Plea;
use crate::bucket::Amount;
use crate::bucket::Bucket;
use crate::bucket::Tokens;
use crate::bucket::Verdict;
use crate::demand::Demand;
use crate::group::Group;
use crate::limit::Limit;
use crate::loan::Book;
use crate::loan::Taken;
use crate::message::Ask;
use crate::message::Grant;
use crate::message::Release;
use crate::parts::Parts;
use crate::standing::Use;

/// Shares are wanted for this many times the demand seen, over four.
const MARGIN_QUARTERS: u64 = 5;
/// The same while requests are refused: callers that wait for their answers
/// ask for no more than they get, so the demand seen is too low.
const HUNGRY_QUARTERS: u64 = 12;
/// Requests that a wanted share holds at least in its bucket.
const LEAST_BURST: u64 = 2;
const NEVER: Time = Time::from_nanos(u64::MAX);

#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) limit: Limit,
    pub(crate) key: u64,
    amount: Amount,
    bucket: Bucket,
    // The epoch and the generation of the floors that the share was set from.
    number: u64,
    generation: u64,
    floor: Parts,
    book: Book,
    borrower: Borrower,
    // When the first loan held ends.
    next: Time,
    demand: Demand,
    // The largest request of late.
    cost: u64,
    hungry: bool,
    pub(crate) active: bool,
}

impl Entry {
    pub(crate) fn new(now: Time, limit: Limit, amount: Amount) -> Self {
        Self {
            key: limit.hash(),
            limit,
            amount,
            bucket: Bucket::new(now),
            number: 0,
            generation: 0,
            floor: Parts::NONE,
            book: Book::default(),
            borrower: Borrower::default(),
            next: NEVER,
            demand: Demand::default(),
            cost: Tokens::ONE.get(),
            hungry: false,
            active: false,
        }
    }

    pub(crate) fn set_amount(&mut self, now: Time, amount: Amount) {
        if amount != self.amount {
            self.amount = amount;
            self.bucket.set(now, self.bucket.share(), amount);
        }
    }

    /// Keeps a limit that is in force no longer, at an amount of zero, while
    /// it is lent: it may come back sooner than the loans end.
    pub(crate) fn retire(mut self, now: Time) -> Option<Self> {
        self.set_amount(now, Amount::default());
        (!self.book.is_empty()).then_some(self)
    }

    pub(crate) fn share(&self) -> Parts {
        self.bucket.share()
    }

    pub(crate) fn lent(&self) -> Parts {
        self.book.lent()
    }

    pub(crate) fn tokens(&self) -> Tokens {
        self.bucket.tokens()
    }

    /// Brings the share up to date; allocation free.
    pub(crate) fn refresh(&mut self, now: Time, group: &Group) {
        if self.generation != group.floors().generation() {
            self.set_floor(now, group);
        }
        if now >= self.next {
            self.set_share(now);
        }
    }

    // Tokens of an epoch that was not followed by the current one are void:
    // its share may have been in other hands since.
    fn set_floor(&mut self, now: Time, group: &Group) {
        let followed = match group.number() - self.number {
            0 => true,
            1 => group.previous().is_some(),
            _ => false,
        };
        if !followed {
            self.bucket.empty(now);
        }
        self.floor = floor(self.key, group);
        (self.number, self.generation) = (group.number(), group.floors().generation());
        self.set_share(now);
    }

    fn set_share(&mut self, now: Time) {
        let (borrowed, next) = self.borrower.held(now);
        self.next = next.unwrap_or(NEVER);
        let share = self.floor.less(self.book.lent()) + borrowed;
        self.bucket.set(now, share, self.amount);
    }

    /// Spends tokens; the caller has refreshed the entry.
    pub(crate) fn admit(&mut self, now: Time, cost: Tokens, again: bool) -> Verdict {
        if !again {
            self.demand.add(cost.get());
        }
        self.cost = self.cost.max(cost.get());
        let verdict = self.bucket.admit(now, cost);
        self.hungry |= verdict != Verdict::Admitted;
        verdict
    }

    // The share that serves the demand of late, and one with a margin.
    fn want(&mut self, now: Time) -> (Parts, Parts) {
        let rate = self.demand.rate(now);
        if rate == 0 {
            return (Parts::NONE, Parts::NONE);
        }
        let share = |rate: u64| Parts::ratio(rate, self.amount.rate.get());
        let burst = self.cost.saturating_mul(LEAST_BURST);
        let burst = Parts::ratio(burst, self.amount.burst.get());
        let quarters = if self.hungry {
            HUNGRY_QUARTERS
        } else {
            MARGIN_QUARTERS
        };
        let ample = rate.saturating_mul(quarters) / 4;
        (share(rate).max(burst), share(ample).max(burst))
    }

    // The share to borrow: none while the own share serves the demand.
    fn need(&mut self, now: Time) -> Parts {
        let own = self.floor.less(self.book.lent());
        let (least, ample) = self.want(now);
        if least > own || self.hungry {
            ample.less(own)
        } else {
            Parts::NONE
        }
    }

    /// Asks for loans, renews them, or gives them back; false once there is
    /// nothing to look after.
    pub(crate) fn plan(
        &mut self,
        now: Time,
        group: &Group,
        seq: &mut u64,
        out: &mut Vec<Plea>,
    ) -> bool {
        self.refresh(now, group);
        self.book.expire(now);
        self.set_share(now);
        let need = self.need(now);
        if need == Parts::NONE {
            self.give_back(now, out);
        } else {
            let hungry = self.hungry;
            let need = Need {
                parts: need,
                hungry,
            };
            let name = (&self.limit, self.key);
            self.borrower.plan(now, need, group, name, seq, out);
        }
        self.hungry = false;
        !self.borrower.is_empty() || !self.book.is_empty() || need != Parts::NONE
    }

    /// Gives all loans back.
    pub(crate) fn give_back(&mut self, now: Time, out: &mut Vec<Plea>) {
        self.borrower.give_back(&self.limit, out);
        self.set_share(now);
    }

    /// Lends to an asker what the floor has to spare; `None` for a repeat.
    pub(crate) fn lend(
        &mut self,
        now: Time,
        from: &InstanceId,
        ask: &Ask,
        group: &Group,
    ) -> Option<Grant> {
        self.refresh(now, group);
        self.book.expire(now);
        self.set_share(now);
        if !self.book.note(from, ask) {
            return None;
        }
        let term = group.terms.loan.min(group.until().since(now));
        let before = self.book.most(from);
        let parts = self.spare(now, from, ask.want);
        let tokens = self.bucket.split(parts.less(before));
        let until = now + term + group.terms.drift;
        self.book.lend(from, ask.seq, parts, until);
        self.set_share(now);
        Some(Grant {
            limit: ask.limit.clone(),
            seq: ask.seq,
            parts,
            tokens,
            term,
        })
    }

    // Divides the floor evenly between those that want much when it is short.
    fn spare(&mut self, now: Time, from: &InstanceId, want: Parts) -> Parts {
        let own = self.want(now).1.min(self.floor);
        let fair = want.min(self.book.level(self.floor, own));
        let others = self.book.lent().less(self.book.most(from));
        fair.min(self.floor.less(others))
    }

    /// Takes a loan if it answers one of the latest asks; says what to give
    /// back of the loan before.
    pub(crate) fn take(
        &mut self,
        now: Time,
        from: &InstanceId,
        grant: &Grant,
        group: &Group,
    ) -> Option<Release> {
        self.refresh(now, group);
        let taken = self.borrower.take(from, grant);
        if taken == Taken::Refused {
            return None;
        }
        self.set_share(now);
        self.bucket.add(grant.tokens);
        (taken == Taken::Less).then(|| Release {
            limit: grant.limit.clone(),
            seq: grant.seq - 1,
        })
    }

    pub(crate) fn release(
        &mut self,
        now: Time,
        from: &InstanceId,
        release: &Release,
        group: &Group,
    ) {
        self.refresh(now, group);
        self.book.release(from, release.seq);
        self.book.expire(now);
        self.set_share(now);
    }
}

fn floor(key: u64, group: &Group) -> Parts {
    let now = group.current.as_ref().map(|k| k.ranking.floor(key));
    let then = group.previous().map(|r| r.floor(key));
    match group.floors().basis() {
        Use::Nothing => Parts::NONE,
        Use::Least => now.min(then).unwrap_or_default(),
        Use::Floor => now.unwrap_or_default(),
    }
}
