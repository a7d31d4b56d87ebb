//! The rates of client accounts, divided between the instances.
//!
//! A part of each rate belongs to every listed instance in equal shares; the
//! rest follows the demands that the instances tell each other. An instance
//! weighs its own demand by the figure that the others were told, so that all
//! of them work out the same shares. One that hears nobody keeps to its equal
//! share, which the others never use.

use std::time::Duration;

use corianderway_model::Account;
use corianderway_model::Sorted;
use corianderway_model::Time;

use crate::hash;
use crate::plan::Plan;

/// The part of a rate that belongs to the listed instances in equal shares.
const EQUAL_PART: f64 = 0.4;

/// The demand that each instance is taken to have at least, as a part of the
/// rate, so that the first requests of an account find a share everywhere.
const DEMAND_FLOOR: f64 = 0.02;

/// How much more than its rate an account gets, against shares that are lost
/// between instances; the platform's bound is a tenth.
const MARGIN: f64 = 1.04;

/// Requests that an instance lets through at once in any case.
const ALLOWANCE: f64 = 1.5;

/// The tokens with which an instance begins, in seconds of an equal share: an earlier
/// run of it may have spent its own within the platform's window, whose slack is
/// a tenth of five seconds of rate and more.
const START_SECONDS: f64 = 0.35;

/// The time after which all instances that can be reached know a told demand.
const SPREAD: Duration = Duration::from_millis(200);

/// The weight of the latest second in the demand.
const GAIN: f64 = 0.6;

/// The longest wait that a refused caller is told.
const RETRY_MOST: Duration = Duration::from_secs(2);

/// The shares of this instance in the rates of client accounts.
#[derive(Debug, Default)]
pub(crate) struct Quotas {
    rows: Sorted<Account, Row>,
    told: Time,
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
    // Requests since the demand was last worked out.
    asked: f64,
    demand: f64,
    // The demand that the others were told last.
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
        row.asked += 1.0;
        if row.tokens >= 1.0 {
            row.tokens -= 1.0;
            return Ok(());
        }
        let missing = (1.0 - row.tokens) / (row.rate * row.share).max(f64::MIN_POSITIVE);
        Err(Duration::try_from_secs_f64(missing).map_or(RETRY_MOST, |wait| wait.min(RETRY_MOST)))
    }

    /// The demands to tell the other instances.
    pub(crate) fn tell(&mut self, now: Time) -> Vec<(u32, f32)> {
        let span = now.since(self.told).as_secs_f64().max(0.1);
        self.told = now;
        let mut told = Vec::new();
        for (_, row) in self.rows.iter_mut() {
            row.demand += (row.asked / span - row.demand) * GAIN;
            (row.asked, row.told) = (0.0, row.demand);
            if row.demand > 0.05 {
                told.push((row.hash, row.demand as f32));
            }
        }
        told
    }

    /// Works the shares out anew from the demands that `others` told, of
    /// `listed` instances in all.
    pub(crate) fn share<'a>(
        &mut self,
        now: Time,
        listed: usize,
        others: impl Iterator<Item = &'a [(u32, f32)]>,
    ) {
        // Before the others know the demand they divide by the one before.
        let begun = self.rows.iter().all(|(_, row)| row.begun);
        if begun && now.since(self.told) < SPREAD {
            return;
        }
        // What the others demand of each account, by its hash: in one pass, since
        // a large fleet tells thousands of demands.
        let mut count = 0.0;
        let mut told: Sorted<u32, Vec<f32>> = Sorted::default();
        for (_, row) in self.rows.iter() {
            told.insert(row.hash, Vec::new());
        }
        for demands in others {
            count += 1.0;
            for (hash, demand) in demands {
                if let Some(demands) = told.get_mut(hash) {
                    demands.push(*demand);
                }
            }
        }
        for (_, row) in self.rows.iter_mut() {
            row.fill(now);
            let floor = row.rate * DEMAND_FLOOR;
            let mine = row.told.max(floor);
            let theirs = told.get(&row.hash).map_or(&[][..], Vec::as_slice);
            let silent = (count - theirs.len() as f64).max(0.0);
            let wanted = theirs.iter().map(|d| f64::from(*d).max(floor));
            let sum = mine + wanted.sum::<f64>() + silent * floor;
            let equal = EQUAL_PART / listed as f64;
            let alone = count < 1.0 && listed > 1;
            let wanted = if alone || sum <= 0.0 {
                0.0
            } else {
                (1.0 - EQUAL_PART) * mine / sum
            };
            row.share = if listed > 1 { equal + wanted } else { 1.0 };
            if !std::mem::replace(&mut row.begun, true) {
                row.tokens = ALLOWANCE + START_SECONDS * row.rate / listed as f64;
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
                let (tokens, demand) = (row.tokens, row.demand);
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
            asked: 0.0,
            demand: 0.0,
            told: 0.0,
            begun: false,
        }
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
