//! The rates of client accounts, divided between the instances.
//!
//! Every listed instance has a share by what its callers demand. An instance
//! weighs its own demand by the figure that stands in the summary of its
//! failure domain, so that all of them divide the same sums. Those that hear
//! only a part of the fleet divide that part's equal share of the rate.
//!
//! A share of less than a few requests a second does not carry two that come
//! at once. So an instance keeps only a part of a small one, and the relay of
//! its failure domain lends the rest, token by token, to whoever needs it.

use std::collections::VecDeque;
use std::time::Duration;

use corianderway_model::Account;
use corianderway_model::Sorted;
use corianderway_model::Time;

use crate::bucket::Bucket;
use crate::digest::Demands;
use crate::hash;
use crate::plan::Plan;
use crate::rate::Rate;

/// The part of the rate that is divided equally at least: the first requests of
/// an account find a share everywhere. What nobody demands is, too.
const FLOOR: f64 = 0.2;

/// Digests whose demands are remembered until a summary contains them.
const UNACKNOWLEDGED: usize = 8;

/// The least demand that is told, in requests a second.
const TOLD_LEAST: f64 = 0.05;

/// How much more than its rate an account gets, against shares that are lost
/// between instances; the platform's bound is a tenth.
const MARGIN: f64 = 1.04;

/// Requests that an instance lets through at once in any case.
const ALLOWANCE: f64 = 1.5;

/// The same for all instances together where relays lend: the platform's bound
/// leaves 20 to instances and relays.
const ALLOWANCE_ALL: f64 = 6.0;

/// The same for a relay: less than a whole token would never be lent.
const ALLOWANCE_LENT: f64 = 1.0;

/// The equal share, in requests a second, of which an instance keeps half
/// where a relay lends. Smaller ones are mostly lent.
const KEPT_HALF: f64 = 5.0;

/// When to ask again for a token of an account that the relay does not know
/// yet: it hears of a configuration within a moment of the others.
const UNKNOWN_WAIT: Duration = Duration::from_millis(100);

/// The tokens with which an instance or a relay begins, in seconds of its rate: an
/// earlier run of it may have spent its own within the platform's window, whose slack is
/// a tenth of five seconds of rate and more.
const START_SECONDS: f64 = 0.35;

/// The shares of this instance in the rates of client accounts.
#[derive(Debug)]
pub(crate) struct Quotas {
    rows: Sorted<Account, Row>,
    lender: Lender,
    // Requests of all client accounts and of none.
    rate: Rate,
    settled: Time,
    // The demands of the latest digests, by the digests' numbers.
    sent: VecDeque<(u64, Demands)>,
}

/// What the instances demand, as a share is worked out.
#[derive(Debug)]
pub(crate) struct Told<'a> {
    /// The instances that are listed.
    pub(crate) listed: usize,
    /// Those of them whose demands are known.
    pub(crate) heard: usize,
    /// Whether this instance's own demands are among those that the others know.
    pub(crate) included: bool,
    /// The demands of the failure domains that are known.
    pub(crate) demands: Vec<&'a Demands>,
    /// The own failure domain, if its relay is known.
    pub(crate) domain: Option<Part<'a>>,
}

/// What the instances of one failure domain demand.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Part<'a> {
    /// The instances that were heard.
    pub(crate) heard: usize,
    pub(crate) demands: &'a Demands,
}

/// How the relay of the failure domain stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Lender {
    /// None is known, or it does not answer.
    Nobody,
    /// Another instance.
    Other,
    /// This instance.
    Own,
}

/// Whether a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Grant {
    Yes,
    /// The relay may lend a token for it.
    Ask,
    /// Not before this time.
    After(Duration),
}

#[derive(Debug)]
struct Row {
    hash: u32,
    rate: f64,
    burst: f64,
    // The share of the rate and of the burst, 0 to 1.
    share: f64,
    // What this instance keeps of its share.
    own: Bucket,
    // What it lends as the relay of its failure domain.
    pool: Bucket,
    // Until when the relay has no token.
    denied: Time,
    demand: Rate,
    // The demand that stands in the summary of the domain.
    told: f64,
    // Whether a share was worked out, so that tokens were given for it.
    begun: bool,
    // Whether a relay that is known would lend most of the share.
    is_lent: bool,
}

impl Quotas {
    pub(crate) fn new() -> Self {
        Self {
            rows: Sorted::default(),
            lender: Lender::Nobody,
            rate: Rate::default(),
            settled: Time::ZERO,
            sent: VecDeque::new(),
        }
    }

    /// Takes the rates of a configuration; the tokens at hand are kept.
    pub(crate) fn configure(&mut self, now: Time, plan: &Plan) {
        let mut rows = Sorted::default();
        for terms in plan.accounts() {
            let Some(rate) = terms.rate else { continue };
            let old = self.rows.remove(&terms.account);
            let mut row = old.unwrap_or_else(|| Row::new(now, &terms.account));
            (row.rate, row.burst) = (rate, terms.burst);
            rows.insert(terms.account.clone(), row);
        }
        self.rows = rows;
    }

    /// Whether a request of an account may run.
    pub(crate) fn admit(&mut self, now: Time, account: &Account) -> Grant {
        let Some(row) = self.rows.get_mut(account) else {
            return Grant::Yes;
        };
        row.demand.count();
        let wait = match row.own.take(now) {
            Ok(()) => return Grant::Yes,
            Err(wait) => wait,
        };
        match self.lender {
            Lender::Nobody if row.is_lent => Grant::Ask,
            Lender::Nobody => Grant::After(wait),
            Lender::Own => row
                .pool
                .take(now)
                .map_or_else(Grant::After, |()| Grant::Yes),
            Lender::Other if now < row.denied => Grant::After(row.denied.since(now)),
            Lender::Other => Grant::Ask,
        }
    }

    /// Lends a token of an account; otherwise tells when there may be one.
    pub(crate) fn lend(&mut self, now: Time, account: u32) -> Result<(), Duration> {
        let mut rows = self.rows.iter_mut();
        let row = rows.find(|row| row.1.hash == account);
        let Some((_, row)) = row.filter(|_| self.lender == Lender::Own) else {
            return Err(UNKNOWN_WAIT);
        };
        row.pool.take(now)
    }

    /// Notes that the relay has no token for a time.
    pub(crate) fn deny(&mut self, now: Time, account: u32, wait: Duration) {
        for (_, row) in self.rows.iter_mut() {
            if row.hash == account {
                row.denied = now + wait;
            }
        }
    }

    /// Counts a request, of whichever account.
    pub(crate) fn count(&mut self) {
        self.rate.count();
    }

    /// The requests a second, and the demands, to tell in the digest of a number.
    pub(crate) fn tell(&mut self, now: Time, number: u64) -> (f32, Demands) {
        let span = now.since(self.settled);
        self.settled = now;
        let mut demands = Demands::new();
        for (_, row) in self.rows.iter_mut() {
            let demand = row.demand.settle(span);
            if demand > TOLD_LEAST {
                demands.push((row.hash, demand as f32));
            }
        }
        if self.sent.len() == UNACKNOWLEDGED {
            self.sent.pop_front();
        }
        self.sent.push_back((number, demands.clone()));
        (self.rate.settle(span) as f32, demands)
    }

    /// Notes that the summary of the domain contains the digest of a number.
    pub(crate) fn acknowledge(&mut self, number: u64) {
        self.sent.retain(|sent| sent.0 >= number);
        let Some((_, demands)) = self.sent.front().filter(|sent| sent.0 == number) else {
            return;
        };
        for (_, row) in self.rows.iter_mut() {
            let told = demands.iter().find(|d| d.0 == row.hash);
            row.told = told.map_or(0.0, |d| f64::from(d.1));
        }
    }

    /// Works the shares out anew.
    pub(crate) fn share(&mut self, now: Time, lender: Lender, told: &Told<'_>) {
        let takes_over = lender == Lender::Own && self.lender != Lender::Own;
        self.lender = lender;
        for (_, row) in self.rows.iter_mut() {
            row.divide(now, lender, told);
            if !std::mem::replace(&mut row.begun, true) {
                let equal = row.rate / told.listed as f64;
                let start = START_SECONDS * kept(equal) * equal;
                row.own.begin(now, allowance(told) + start);
            }
            if takes_over {
                // The relay before it may have lent what is its own.
                let start = START_SECONDS * row.pool.rate();
                row.pool.begin(now, ALLOWANCE_LENT + start);
            }
        }
    }

    /// The share, tokens and demand of an account, for the log.
    pub(crate) fn explain(&self, account: &Account) -> String {
        self.rows.get(account).map_or_else(
            || "unlimited".to_owned(),
            |row| {
                let (rate, share) = (row.rate, row.share);
                let (tokens, demand) = (row.own.tokens(), row.demand.mean());
                let lender = match self.lender {
                    Lender::Nobody => "none".to_owned(),
                    Lender::Other => "relay".to_owned(),
                    Lender::Own => format!("own/pool:{:.1}", row.pool.tokens()),
                };
                format!(
                    "rate:{rate:.0}/share:{share:.3}/tokens:{tokens:.1}/demand:{demand:.1}/lender:{lender}"
                )
            },
        )
    }
}

impl Row {
    fn new(now: Time, account: &Account) -> Self {
        Self {
            hash: hash::short(account.as_str()),
            rate: 0.0,
            burst: 0.0,
            share: 0.0,
            own: Bucket::new(now, ALLOWANCE),
            pool: Bucket::new(now, 0.0),
            denied: Time::ZERO,
            demand: Rate::default(),
            told: 0.0,
            begun: false,
            is_lent: false,
        }
    }

    // Takes its part of the rate and of the burst, and as a relay what the
    // instances of the domain don't keep.
    fn divide(&mut self, now: Time, lender: Lender, told: &Told<'_>) {
        let listed = told.listed as f64;
        let equal = self.rate / listed;
        self.is_lent = equal < KEPT_HALF;
        let (kept, allowance) = match lender {
            Lender::Nobody => (1.0, ALLOWANCE),
            Lender::Other | Lender::Own => (kept(equal), allowance(told)),
        };
        self.share = if told.included {
            self.part(told, self.told, 1)
        } else {
            1.0 / listed
        };
        let own = kept * self.share;
        self.own
            .set(now, self.rate * own * MARGIN, self.burst * own + allowance);
        let Some(domain) = told.domain.filter(|_| lender == Lender::Own) else {
            return;
        };
        let demand = demand_in(domain.demands, self.hash);
        let lent = (1.0 - kept) * self.part(told, demand, domain.heard);
        self.pool.set(
            now,
            self.rate * lent * MARGIN,
            self.burst * lent + ALLOWANCE_LENT,
        );
    }

    // The share, 0 to 1, of instances that demand so much. Those that are
    // listed and not heard may divide what is theirs in the same way behind a cut.
    fn part(&self, told: &Told<'_>, demand: f64, count: usize) -> f64 {
        let listed = told.listed as f64;
        let heard = told.heard.min(told.listed) as f64;
        let demands = told.demands.iter();
        let sum: f64 = demands.map(|demands| demand_in(demands, self.hash)).sum();
        let sum = sum.max(demand);
        let rate = self.rate * heard / listed;
        let least = (rate - sum).max(rate * FLOOR) / heard.max(1.0);
        let part = (demand + least * count as f64) / (sum + least * heard);
        part * heard / listed
    }
}

// The part of its share that an instance keeps where a relay lends.
fn kept(equal: f64) -> f64 {
    equal / (equal + KEPT_HALF)
}

// What an instance lets through at once there beyond its burst.
fn allowance(told: &Told<'_>) -> f64 {
    ALLOWANCE.min(ALLOWANCE_ALL / told.listed as f64)
}

fn demand_in(demands: &Demands, account: u32) -> f64 {
    let at = demands.binary_search_by_key(&account, |d| d.0);
    at.map_or(0.0, |at| f64::from(demands[at].1))
}
