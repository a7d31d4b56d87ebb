//! Names of limits, and the limits of a contract.

use corianderway_model::Account;
use corianderway_model::Contract;
use corianderway_model::Region;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::bucket::Amount;
use crate::shift::PURCHASE_WINDOW_SECONDS;

/// The burst of a per-second limit, as a fraction of it.
///
/// A bucket of rate `(1 - x) * limit` and burst `x * limit` admits at most
/// `limit` in each second.
const BURST_FRACTION: f64 = 0.125;

/// The same fraction for small limits.
const SMALL_BURST_FRACTION: f64 = 0.5;

/// The burst of a small limit, in requests. It lets each of a dozen instances
/// hold one whole request.
const SMALL_BURST_REQUESTS: f64 = 16.0;

/// The name of a limit that all instances share.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Limit {
    /// Requests of a client account.
    Rate(Account),
    /// Requests of a client account in one region.
    Capacity(Account, Region),
    /// Growth of a client account's traffic that is shifted into a region.
    Shift(Account, Region),
}

impl Limit {
    /// Lists the limits of a contract with their amounts.
    pub fn of(contract: &Contract) -> Vec<(Self, Amount)> {
        let account = &contract.account;
        let rate = Amount::new(contract.rate, contract.burst);
        let mut limits = vec![(Self::Rate(account.clone()), rate)];
        for region in &contract.regions {
            let regional =
                |make: fn(Account, Region) -> Self| make(account.clone(), region.name.clone());
            limits.push((
                regional(Self::Capacity),
                amount_within(region.capacity, 1.0),
            ));
            limits.push((
                regional(Self::Shift),
                amount_within(region.shift, PURCHASE_WINDOW_SECONDS),
            ));
        }
        limits
    }

    // The same on all instances.
    pub(crate) fn hash(&self) -> u64 {
        match self {
            Self::Rate(account) => xxh3_64(account.as_str().as_bytes()),
            Self::Capacity(account, region) => hash_regional(1, account, region),
            Self::Shift(account, region) => hash_regional(2, account, region),
        }
    }
}

fn hash_regional(kind: u64, account: &Account, region: &Region) -> u64 {
    let account = xxh3_64(account.as_str().as_bytes());
    let region = xxh3_64(region.as_str().as_bytes());
    account.rotate_left(17) ^ region.wrapping_add(kind)
}

// An amount that admits at most `limit` requests in any span of `seconds`.
fn amount_within(limit: f64, seconds: f64) -> Amount {
    let small = SMALL_BURST_REQUESTS.min(limit * SMALL_BURST_FRACTION);
    let burst = small.max(limit * BURST_FRACTION);
    Amount::new((limit - burst) / seconds, burst)
}
