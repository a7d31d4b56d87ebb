//! Names of limits, and the limits of a contract.

use corianderway_model::Account;
use corianderway_model::Contract;
use corianderway_model::Region;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::bucket::Amount;
use crate::shift::SPAN;

/// The part of a per-second limit that may come at once.
///
/// A bucket of rate `(1 - x) * limit` and burst `x * limit` admits at most
/// the limit in each second.
const BURST_PART: f64 = 0.125;

/// The part of a small limit that may come at once.
const SMALL_BURST_PART: f64 = 0.5;

/// Requests that may come at once under a small limit: enough for each of a
/// dozen instances to hold a whole one.
const SMALL_BURST: f64 = 16.0;

/// One limit that all instances share.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Limit {
    /// Requests of a client account.
    Rate(Account),
    /// Requests of a client account in a region.
    Capacity(Account, Region),
    /// Growth of a client account's traffic moved into a region.
    Shift(Account, Region),
}

impl Limit {
    /// Lists the limits of a contract with their amounts.
    pub fn of(contract: &Contract) -> Vec<(Self, Amount)> {
        let account = &contract.account;
        let rate = Amount::new(contract.rate, contract.burst);
        let mut limits = vec![(Self::Rate(account.clone()), rate)];
        for region in &contract.regions {
            let name =
                |make: fn(Account, Region) -> Self| make(account.clone(), region.name.clone());
            limits.push((name(Self::Capacity), within(region.capacity, 1.0)));
            limits.push((name(Self::Shift), within(region.shift, SPAN)));
        }
        limits
    }

    // A hash that is the same on all instances.
    pub(crate) fn hash(&self) -> u64 {
        match self {
            Self::Rate(account) => xxh3_64(account.as_str().as_bytes()),
            Self::Capacity(account, region) => join(1, account, region),
            Self::Shift(account, region) => join(2, account, region),
        }
    }
}

fn join(kind: u64, account: &Account, region: &Region) -> u64 {
    let account = xxh3_64(account.as_str().as_bytes());
    let region = xxh3_64(region.as_str().as_bytes());
    account.rotate_left(17) ^ region.wrapping_add(kind)
}

// A rate and a burst that admit at most `limit` in any span of so many seconds.
fn within(limit: f64, seconds: f64) -> Amount {
    let small = SMALL_BURST.min(limit * SMALL_BURST_PART);
    let burst = small.max(limit * BURST_PART);
    Amount::new((limit - burst) / seconds, burst)
}
