//! The rates of client accounts, divided between the instances.
//!
//! Every listed instance has a share by what its callers demand. An instance
//! weighs its own demand by the figure that stands in the summary of its
//! failure domain, so that all of them divide the same sums. Those that hear
//! only a part of the fleet divide that part's equal share of the rate.

use std::collections::VecDeque;
use std::time::Duration;

use corianderway_model::Account;
use corianderway_model::Sorted;
use corianderway_model::Time;

use crate::digest::Demands;
use crate::hash;
use crate::plan::Plan;
use crate::rate::Rate;

/// The demand that the listed instances are taken to have beside what they
/// tell, together, as a part of the rate: the first requests of an account
/// find a share everywhere.
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

/// The tokens with which an instance begins, in seconds of an equal share: an earlier
/// run of it may have spent its own within the platform's window, whose slack is
/// a tenth of five seconds of rate and more.
const START_SECONDS: f64 = 0.35;

/// The longest wait that a refused caller is told.
const RETRY_MOST: Duration = Duration::from_secs(2);

/// The shares of this instance in the rates of client accounts.
#[derive(Debug, Default)]
pub(crate) struct Quotas {
    rows: Sorted<Account, Row>,
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
}

#[derive(Debug)]
struct Row {
    hash: u32,
    rate: f64,
    burst: f64,
    // The share of the rate and of the burst, 0 to 1.
    share: f64,
    tokens: f64,
    filled: Time,
    demand: Rate,
    // The demand that stands in the summary of the domain.
    told: f64,
    // Whether a share was worked out, so that tokens were given for it.
    begun: bool,
}

impl Quotas {
    /// Takes the rates of a configuration; the tokens at hand are kept.
    pub(crate) fn configure(&mut self, now: Time, plan: &Plan) {
        let mut rows = Sorted::default();
        for terms in plan.accounts() {
            let Some(rate) = terms.rate else { continue };
            let old = self.rows.remove(&terms.account);
            let mut row = old.unwrap_or_else(|| Row::new(now, &terms.account));
            row.fill(now);
            (row.rate, row.burst) = (rate, terms.burst);
            rows.insert(terms.account.clone(), row);
        }
        self.rows = rows;
    }

    /// Whether a request of an account may run; otherwise when it may.
    pub(crate) fn admit(&mut self, now: Time, account: &Account) -> Result<(), Duration> {
        let Some(row) = self.rows.get_mut(account) else {
            return Ok(());
        };
        row.fill(now);
        row.demand.count();
        if row.tokens >= 1.0 {
            row.tokens -= 1.0;
            return Ok(());
        }
        let missing = (1.0 - row.tokens) / (row.rate * row.share).max(f64::MIN_POSITIVE);
        Err(Duration::try_from_secs_f64(missing).map_or(RETRY_MOST, |wait| wait.min(RETRY_MOST)))
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
    pub(crate) fn share(&mut self, now: Time, told: &Told<'_>) {
        for (_, row) in self.rows.iter_mut() {
            row.fill(now);
            row.share = row.divide(told);
            if !std::mem::replace(&mut row.begun, true) {
                row.tokens = ALLOWANCE + START_SECONDS * row.rate / told.listed as f64;
            }
            row.tokens = row.tokens.min(row.capacity());
        }
    }

    /// The share, tokens and demand of an account, for the log.
    pub(crate) fn explain(&self, account: &Account) -> String {
        self.rows.get(account).map_or_else(
            || "unlimited".to_owned(),
            |row| {
                let (rate, share) = (row.rate, row.share);
                let (tokens, demand) = (row.tokens, row.demand.mean());
                format!("rate:{rate:.0}/share:{share:.3}/tokens:{tokens:.1}/demand:{demand:.1}")
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
            tokens: ALLOWANCE,
            filled: now,
            demand: Rate::default(),
            told: 0.0,
            begun: false,
        }
    }

    // This instance's share, 0 to 1. Instances that are listed and not heard
    // may divide what is theirs in the same way behind a cut.
    fn divide(&self, told: &Told<'_>) -> f64 {
        let listed = told.listed as f64;
        let least = self.rate * FLOOR / listed;
        if !told.included {
            return 1.0 / listed;
        }
        let heard = told.heard.min(told.listed) as f64;
        let of = |demands: &&Demands| {
            let at = demands.binary_search_by_key(&self.hash, |d| d.0);
            at.map_or(0.0, |at| f64::from(demands[at].1))
        };
        let sum: f64 = told.demands.iter().map(of).sum();
        let part = (self.told + least) / (sum.max(self.told) + least * heard);
        part * heard / listed
    }

    fn capacity(&self) -> f64 {
        self.burst * self.share + ALLOWANCE
    }

    fn fill(&mut self, now: Time) {
        let gained = now.since(self.filled).as_secs_f64() * self.rate * self.share * MARGIN;
        self.tokens = (self.tokens + gained).min(self.capacity().max(self.tokens));
        self.filled = now;
    }
}
