//! The directory's choice of instances for a caller.

use std::net::SocketAddr;

use corianderway_model::FailureDomain;
use corianderway_model::Region;

use crate::listing::Member;

/// The maximum number of addresses in one answer.
const MAX_ADDRESSES: usize = 64;

/// The minimum number of instances in the caller's failure domain; below it, those
/// of the whole region are returned, so that the loss of one leaves another.
const MIN_DOMAIN_INSTANCES: usize = 2;

/// Returns the callers' addresses of the serving instances nearest to a caller: those
/// in its failure domain, else in its region, else all.
pub(crate) fn advise<'a>(
    serving: impl Iterator<Item = &'a Member>,
    region: Option<&Region>,
    domain: Option<&FailureDomain>,
) -> Vec<SocketAddr> {
    let serving: Vec<&Member> = serving.collect();
    let matching = |accepts: &dyn Fn(&Member) -> bool| -> Vec<SocketAddr> {
        let accepted = serving.iter().filter(|member| accepts(member));
        accepted
            .map(|member| member.entry.callers)
            .take(MAX_ADDRESSES)
            .collect()
    };
    let same = matching(&|member| Some(&member.entry.domain) == domain);
    if same.len() >= MIN_DOMAIN_INSTANCES {
        return same;
    }
    let near = matching(&|member| Some(&member.entry.region) == region);
    if near.is_empty() {
        matching(&|_| true)
    } else {
        near
    }
}
