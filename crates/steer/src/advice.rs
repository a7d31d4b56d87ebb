//! Which instances a caller is told to use.

use std::net::SocketAddr;

use corianderway_model::FailureDomain;
use corianderway_model::Region;

use crate::listing::Member;

/// The most addresses in one answer.
const MOST: usize = 64;

/// Instances below which those of the whole region are named, so that the loss
/// of one leaves a caller another.
const ENOUGH: usize = 2;

/// Chooses the instances nearest to a caller, of those that serve.
pub(crate) fn advise<'a>(
    serving: impl Iterator<Item = &'a Member>,
    region: Option<&Region>,
    domain: Option<&FailureDomain>,
) -> Vec<SocketAddr> {
    let serving: Vec<&Member> = serving.collect();
    let of = |keep: &dyn Fn(&Member) -> bool| -> Vec<SocketAddr> {
        let kept = serving.iter().filter(|member| keep(member));
        kept.map(|member| member.entry.callers).take(MOST).collect()
    };
    let same = of(&|member| Some(&member.entry.domain) == domain);
    if same.len() >= ENOUGH {
        return same;
    }
    let near = of(&|member| Some(&member.entry.region) == region);
    if near.is_empty() {
        of(&|_| true)
    } else {
        near
    }
}
