//! The directory's choice of instances for a caller.

use std::net::SocketAddr;

use corianderway_model::FailureDomain;
use corianderway_model::Region;
use corianderway_model::SortedMap;

use crate::listing::Member;

/// The maximum number of addresses in one answer.
const MAX_ADDRESSES: usize = 64;

/// The minimum number of instances in the caller's failure domain; below it, those
/// of the whole region are returned, so that the loss of one leaves another.
const MIN_DOMAIN_INSTANCES: usize = 2;

/// The processor time that a request needs at an instance, in milliseconds; the exchange
/// of state with other instances is included.
const REQUEST_PROCESSOR_MS: f64 = 1.0;

/// The fraction of their processor time up to which the strongest instances serve all
/// callers.
const MAX_UTILIZATION: f64 = 0.8;

/// The fraction of the largest processor time from which an instance counts as one of
/// the strongest.
const STRONGEST_SHARE: f64 = 0.5;

/// Returns the callers' addresses of the serving instances nearest to a caller: those
/// in its failure domain, else in its region, else all.
///
/// Callers pick among the addresses at random. Of instances with unequal processor
/// times, only the strongest are returned while they can serve all requests:
/// `request_rate` returns those of a failure domain, per second. Instances that don't
/// keep up with their work are left out while others do.
pub(crate) fn advise<'a>(
    serving: impl Iterator<Item = &'a Member>,
    region: Option<&Region>,
    domain: Option<&FailureDomain>,
    is_late: impl Fn(&Member) -> bool,
    request_rate: impl Fn(&FailureDomain) -> f64,
) -> Vec<SocketAddr> {
    let serving: Vec<&Member> = serving.collect();
    let matching = |accepts: &dyn Fn(&Member) -> bool| -> Vec<&Member> {
        let accepted = serving.iter().copied();
        accepted.filter(|member| accepts(member)).collect()
    };
    let mut nearest = matching(&|member| Some(&member.entry.domain) == domain);
    if nearest.len() < MIN_DOMAIN_INSTANCES {
        nearest = matching(&|member| Some(&member.entry.region) == region);
    }
    if nearest.is_empty() {
        nearest = matching(&|_| true);
    }
    let nearest = strongest(nearest, is_late, request_rate);
    let addresses = nearest.iter().map(|member| member.entry.callers);
    addresses.take(MAX_ADDRESSES).collect()
}

/// Returns the serving instances that directories name to the callers of their failure
/// domains. Only these receive requests in numbers.
pub(crate) fn named<'a>(
    serving: impl Iterator<Item = &'a Member>,
    is_late: impl Fn(&Member) -> bool,
    request_rate: impl Fn(&FailureDomain) -> f64,
) -> Vec<&'a Member> {
    let mut domains: SortedMap<FailureDomain, Vec<&Member>> = SortedMap::default();
    for member in serving {
        let near = domains.get_or_insert_with(member.entry.domain.clone(), Vec::new);
        near.push(member);
    }
    let near = domains.iter().map(|row| row.1.clone());
    near.flat_map(|near| strongest(near, &is_late, &request_rate))
        .collect()
}

// Returns the strongest of the instances if they can serve the requests of all. Otherwise
// returns all that keep up with their work, or all if none of the strongest does: then
// it is their load that delays them.
fn strongest(
    members: Vec<&Member>,
    is_late: impl Fn(&Member) -> bool,
    request_rate: impl Fn(&FailureDomain) -> f64,
) -> Vec<&Member> {
    let most = members.iter().map(|member| member.millicores).max();
    let threshold = f64::from(most.unwrap_or(0)) * STRONGEST_SHARE;
    let prompt = members.iter().copied().filter(|member| !is_late(member));
    let prompt: Vec<&Member> = prompt.collect();
    let is_strong = |member: &&Member| f64::from(member.millicores) >= threshold;
    let strong: Vec<&Member> = prompt.iter().copied().filter(is_strong).collect();
    let millicores: f64 = strong.iter().map(|m| f64::from(m.millicores)).sum();
    let mut domains: Vec<&FailureDomain> = members.iter().map(|m| &m.entry.domain).collect();
    domains.sort_unstable();
    domains.dedup();
    let rate: f64 = domains.into_iter().map(request_rate).sum();
    // A millicore is a millisecond of processor time per second.
    let suffices = rate * REQUEST_PROCESSOR_MS <= millicores * MAX_UTILIZATION;
    if suffices && strong.len() >= MIN_DOMAIN_INSTANCES {
        strong
    } else if strong.is_empty() || prompt.len() < MIN_DOMAIN_INSTANCES {
        members
    } else {
        prompt
    }
}
