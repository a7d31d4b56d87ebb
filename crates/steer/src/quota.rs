//! Quotas: the shares of the instances in the rates of client accounts.
//!
//! Every listed instance has a share in proportion to its callers' demand. As its own
//! demand an instance uses the value that the latest summary of its failure domain
//! contains, so that all instances divide by the same sums. Instances that know the
//! demands of only some of the fleet divide no more than the equal shares of these in the
//! rate.
//!
//! A quota of less than a few requests per second does not admit two requests at once.
//! Therefore an instance keeps only a fraction of a small quota, and the relay of its
//! failure domain lends the rest, token by token, to the instances that need it.

use std::collections::VecDeque;
use std::time::Duration;

use corianderway_model::Account;
use corianderway_model::SortedMap;
use corianderway_model::Time;

use crate::bucket::Bucket;
use crate::digest::Demands;
use crate::hash;
use crate::plan::Plan;
use crate::rate::Rate;

/// The minimum fraction of the rate that is divided equally, so that every instance can
/// admit an account's first requests. The rate that is not demanded is divided equally
/// as well.
const FLOOR_FRACTION: f64 = 0.2;

/// The number of digests whose demands are kept until a summary contains them.
const MAX_UNACKNOWLEDGED: usize = 8;

/// The minimum demand that a digest contains.
const MIN_DEMAND_PER_S: f64 = 0.05;

/// The factor on an account's rate that makes up for shares that are lost between
/// instances; the platform tolerates a tenth above the rate.
const RATE_FACTOR: f64 = 1.04;

/// Requests that an instance admits at once beyond its share of the burst.
const EXTRA_BURST: f64 = 1.5;

/// Requests that all instances together admit at once beyond their bursts where relays
/// lend: the platform tolerates 20, those of the relays included.
const FLEET_EXTRA_BURST: f64 = 6.0;

/// Tokens that a relay lends at once beyond its share of the burst: with less than a
/// whole token it could never lend one.
const POOL_EXTRA_BURST: f64 = 1.0;

/// The equal share of a rate of which an instance keeps half where a relay lends. Smaller
/// shares are mostly lent.
const HALF_KEPT_PER_S: f64 = 5.0;

/// The wait that a relay reports for a token of an account that it doesn't know: it
/// receives a configuration shortly before or after the other instances.
const UNKNOWN_ACCOUNT_WAIT: Duration = Duration::from_millis(100);

/// The initial tokens of an instance or a relay, in seconds of its rate. An earlier run
/// may have spent its own tokens within the same window of the platform, which tolerates
/// a tenth of five seconds of the rate and more.
const INITIAL_TOKENS_S: f64 = 0.35;

/// The quotas of this instance for all client accounts that have a rate.
///
/// The input is the rates of the configuration and the demands of the fleet; the output
/// is a decision on each request and each loan. The shares of instances that know the same
/// demands add up to at most 1.
#[derive(Debug)]
pub(crate) struct Quotas {
    rows: SortedMap<Account, AccountQuota>,
    lender: Lender,
    // Requests with and without a client account.
    rate: Rate,
    // When the demands were last reported.
    last_report: Time,
    // The demands in the latest digests, by the digests' sequence numbers.
    unacknowledged: VecDeque<(u64, Demands)>,
}

/// The demands of the fleet, from which the shares are computed.
#[derive(Debug)]
pub(crate) struct FleetDemand<'a> {
    /// The number of listed instances.
    pub(crate) listed: usize,
    /// The number of them whose demands are known.
    pub(crate) reporting: usize,
    /// Whether the summary of the own failure domain contains this instance.
    pub(crate) included: bool,
    /// The demands of each failure domain whose summary is known.
    pub(crate) demands: Vec<&'a Demands>,
    /// The demands of the own failure domain, if its summary is known.
    pub(crate) domain: Option<DomainDemand<'a>>,
}

/// The demands of one failure domain.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DomainDemand<'a> {
    /// The number of its instances whose demands are known.
    pub(crate) reporting: usize,
    pub(crate) demands: &'a Demands,
}

/// Who lends tokens to this instance: the relay of its failure domain, if any.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Lender {
    /// No relay is known, or it does not answer.
    Unavailable,
    /// The relay is another instance.
    Other,
    /// The relay is this instance.
    Own,
}

/// The result of checking a request against its account's rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RateCheck {
    /// It may run.
    Passed,
    /// It may run if the relay lends a token for it.
    NeedsToken,
    /// It is over the rate; a retry makes sense after this time.
    RetryAfter(Duration),
}

/// The quota of one client account.
#[derive(Debug)]
struct AccountQuota {
    hash: u32,
    rate: f64,
    burst: f64,
    // The share in the rate and the burst, from 0 to 1.
    share: f64,
    // The tokens that this instance keeps of its share.
    own: Bucket,
    // The tokens that it lends as the relay of its failure domain.
    pool: Bucket,
    // Until when the relay has no token, by its latest answer.
    denied_until: Time,
    demand: Rate,
    // This instance's demand as the latest summary of the domain contains it.
    reported: f64,
    // Whether the initial tokens were added, with the first computation of a share.
    is_started: bool,
    // Whether a relay lends most of the share when one is available.
    is_lent: bool,
}

impl Quotas {
    pub(crate) fn new() -> Self {
        Self {
            rows: SortedMap::default(),
            lender: Lender::Unavailable,
            rate: Rate::default(),
            last_report: Time::ZERO,
            unacknowledged: VecDeque::new(),
        }
    }

    /// Applies the rates of a configuration. Accounts that stay keep their tokens.
    pub(crate) fn configure(&mut self, now: Time, plan: &Plan) {
        let mut rows = SortedMap::default();
        for terms in plan.accounts() {
            let Some(rate) = terms.rate else { continue };
            let old = self.rows.remove(&terms.account);
            let mut row = old.unwrap_or_else(|| AccountQuota::new(now, &terms.account));
            (row.rate, row.burst) = (rate, terms.burst);
            rows.insert(terms.account.clone(), row);
        }
        self.rows = rows;
    }

    /// Decides whether a request of an account may run, and counts it as demand.
    pub(crate) fn admit(&mut self, now: Time, account: &Account) -> RateCheck {
        let Some(row) = self.rows.get_mut(account) else {
            return RateCheck::Passed;
        };
        row.demand.count();
        let wait = match row.own.take(now) {
            Ok(()) => return RateCheck::Passed,
            Err(wait) => wait,
        };
        match self.lender {
            Lender::Unavailable if row.is_lent => RateCheck::NeedsToken,
            Lender::Unavailable => RateCheck::RetryAfter(wait),
            Lender::Own => row
                .pool
                .take(now)
                .map_or_else(RateCheck::RetryAfter, |()| RateCheck::Passed),
            Lender::Other if now < row.denied_until => {
                RateCheck::RetryAfter(row.denied_until.since(now))
            }
            Lender::Other => RateCheck::NeedsToken,
        }
    }

    /// Lends a token of the account with the given hash.
    ///
    /// # Errors
    ///
    /// Returns the time until a token may be available if there is none.
    pub(crate) fn lend(&mut self, now: Time, account: u32) -> Result<(), Duration> {
        let mut rows = self.rows.iter_mut();
        let row = rows.find(|row| row.1.hash == account);
        let Some((_, row)) = row.filter(|_| self.lender == Lender::Own) else {
            return Err(UNKNOWN_ACCOUNT_WAIT);
        };
        row.pool.take(now)
    }

    /// Records that the relay has no token of an account for a time.
    pub(crate) fn deny(&mut self, now: Time, account: u32, wait: Duration) {
        for (_, row) in self.rows.iter_mut() {
            if row.hash == account {
                row.denied_until = now + wait;
            }
        }
    }

    /// Counts a request in the total rate.
    pub(crate) fn count(&mut self) {
        self.rate.count();
    }

    /// Returns the total rate and the demands for the digest with the given sequence
    /// number.
    pub(crate) fn report(&mut self, now: Time, sequence: u64) -> (f32, Demands) {
        let span = now.since(self.last_report);
        self.last_report = now;
        let mut demands = Demands::new();
        for (_, row) in self.rows.iter_mut() {
            let demand = row.demand.update(span);
            if demand > MIN_DEMAND_PER_S {
                demands.push((row.hash, demand as f32));
            }
        }
        if self.unacknowledged.len() == MAX_UNACKNOWLEDGED {
            self.unacknowledged.pop_front();
        }
        self.unacknowledged.push_back((sequence, demands.clone()));
        (self.rate.update(span) as f32, demands)
    }

    /// Records that the summary of the domain contains the digest with the given sequence
    /// number.
    pub(crate) fn acknowledge(&mut self, sequence: u64) {
        self.unacknowledged.retain(|sent| sent.0 >= sequence);
        let Some((_, demands)) = self
            .unacknowledged
            .front()
            .filter(|sent| sent.0 == sequence)
        else {
            return;
        };
        for (_, row) in self.rows.iter_mut() {
            let demand = demands.iter().find(|d| d.0 == row.hash);
            row.reported = demand.map_or(0.0, |d| f64::from(d.1));
        }
    }

    /// Recomputes the shares from the demands of the fleet.
    pub(crate) fn update_shares(&mut self, now: Time, lender: Lender, fleet: &FleetDemand<'_>) {
        let takes_over = lender == Lender::Own && self.lender != Lender::Own;
        self.lender = lender;
        for (_, row) in self.rows.iter_mut() {
            row.update(now, lender, fleet);
            if !std::mem::replace(&mut row.is_started, true) {
                let equal = row.rate / fleet.listed as f64;
                let initial = INITIAL_TOKENS_S * kept_fraction(equal) * equal;
                row.own.reset(now, extra_burst(fleet) + initial);
            }
            if takes_over {
                // The previous relay may have lent the same tokens already.
                let initial = INITIAL_TOKENS_S * row.pool.rate();
                row.pool.reset(now, POOL_EXTRA_BURST + initial);
            }
        }
    }

    /// Returns the share, tokens and demand of an account as text for the log.
    pub(crate) fn explain(&self, account: &Account) -> String {
        self.rows.get(account).map_or_else(
            || "unlimited".to_owned(),
            |row| {
                let (rate, share) = (row.rate, row.share);
                let (tokens, demand) = (row.own.tokens(), row.demand.mean());
                let lender = match self.lender {
                    Lender::Unavailable => "none".to_owned(),
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

impl AccountQuota {
    fn new(now: Time, account: &Account) -> Self {
        Self {
            hash: hash::short(account.as_str()),
            rate: 0.0,
            burst: 0.0,
            share: 0.0,
            own: Bucket::new(now, EXTRA_BURST),
            pool: Bucket::new(now, 0.0),
            denied_until: Time::ZERO,
            demand: Rate::default(),
            reported: 0.0,
            is_started: false,
            is_lent: false,
        }
    }

    // Sets the share in the rate and the burst, and the pool if this instance is the
    // relay: what the instances of the domain don't keep.
    fn update(&mut self, now: Time, lender: Lender, fleet: &FleetDemand<'_>) {
        let listed = fleet.listed as f64;
        let equal = self.rate / listed;
        self.is_lent = equal < HALF_KEPT_PER_S;
        let (kept, extra_burst) = match lender {
            Lender::Unavailable => (1.0, EXTRA_BURST),
            Lender::Other | Lender::Own => (kept_fraction(equal), extra_burst(fleet)),
        };
        self.share = if fleet.included {
            self.share_of(fleet, self.reported, 1)
        } else {
            1.0 / listed
        };
        let own = kept * self.share;
        self.own.configure(
            now,
            self.rate * own * RATE_FACTOR,
            self.burst * own + extra_burst,
        );
        let Some(domain) = fleet.domain.filter(|_| lender == Lender::Own) else {
            return;
        };
        let demand = demand_in(domain.demands, self.hash);
        let lent = (1.0 - kept) * self.share_of(fleet, demand, domain.reporting);
        self.pool.configure(
            now,
            self.rate * lent * RATE_FACTOR,
            self.burst * lent + POOL_EXTRA_BURST,
        );
    }

    // Returns the share, from 0 to 1, of `count` instances with the given total demand.
    // The share of listed instances whose demands are unknown is left to them, since they
    // may divide it in the same way on the other side of a network partition.
    fn share_of(&self, fleet: &FleetDemand<'_>, demand: f64, count: usize) -> f64 {
        let listed = fleet.listed as f64;
        let reporting = fleet.reporting.min(fleet.listed) as f64;
        let demands = fleet.demands.iter();
        let sum: f64 = demands.map(|demands| demand_in(demands, self.hash)).sum();
        let sum = sum.max(demand);
        let rate = self.rate * reporting / listed;
        let floor = (rate - sum).max(rate * FLOOR_FRACTION) / reporting.max(1.0);
        let fraction = (demand + floor * count as f64) / (sum + floor * reporting);
        fraction * reporting / listed
    }
}

// Returns the fraction of its share that an instance keeps where a relay lends.
fn kept_fraction(equal: f64) -> f64 {
    equal / (equal + HALF_KEPT_PER_S)
}

// Returns the requests that an instance admits at once beyond its burst where a relay
// lends.
fn extra_burst(fleet: &FleetDemand<'_>) -> f64 {
    EXTRA_BURST.min(FLEET_EXTRA_BURST / fleet.listed as f64)
}

// Returns the demand for the account with the given hash.
fn demand_in(demands: &Demands, account: u32) -> f64 {
    let at = demands.binary_search_by_key(&account, |d| d.0);
    at.map_or(0.0, |at| f64::from(demands[at].1))
}
