//! Limits on requests that are shifted to another region than the caller's.

use corianderway_limits::Limit;
use corianderway_limits::Quota;
use corianderway_limits::ShiftLimit;
use corianderway_limits::Tokens;
use corianderway_limits::Verdict;
use corianderway_model::Account;
use corianderway_model::Contract;
use corianderway_model::Region;
use corianderway_model::Time;

/// The limits of shifts, by client account and region.
#[derive(Debug, Default)]
pub(crate) struct Shifts {
    // Sorted by client account and region.
    rows: Vec<(Account, Region, ShiftLimit)>,
}

impl Shifts {
    fn row(&mut self, account: &Account, region: &Region) -> &mut ShiftLimit {
        let found = self
            .rows
            .binary_search_by(|row| (&row.0, &row.1).cmp(&(account, region)));
        let at = found.unwrap_or_else(|at| {
            let row = (account.clone(), region.clone(), ShiftLimit::new());
            self.rows.insert(at, row);
            at
        });
        &mut self.rows[at].2
    }
}

/// Whether a request may be shifted to `region`, within that region's capacity and the
/// limit of shifts. `is_retry` marks a request that was refused before and has waited.
pub(crate) fn may_shift(
    now: Time,
    quota: &mut Quota,
    shifts: &mut Shifts,
    contract: &Contract,
    region: &Region,
    is_retry: bool,
) -> bool {
    let account = &contract.account;
    if contract.region(region).is_none() || !has_capacity(now, quota, account, region, is_retry) {
        return false;
    }
    let limit = Limit::Shift(account.clone(), region.clone());
    let row = shifts.row(account, region);
    row.admit(now, quota, &limit) == Verdict::Admitted
}

/// Whether the client account has capacity left in a region.
pub(crate) fn has_capacity(
    now: Time,
    quota: &mut Quota,
    account: &Account,
    region: &Region,
    is_retry: bool,
) -> bool {
    let limit = Limit::Capacity(account.clone(), region.clone());
    let verdict = if is_retry {
        quota.retry(now, &limit, Tokens::ONE)
    } else {
        quota.admit(now, &limit, Tokens::ONE)
    };
    verdict == Verdict::Admitted
}
