//! The version policy of a service, from all contracts that use it.

use std::time::Duration;

use corianderway_model::raw;
use corianderway_model::Contract;
use corianderway_model::Service;
use corianderway_model::VersionPolicy;

use crate::contract;
use crate::error::RefusedSnafu;
use crate::error::Result;
use crate::platform::Platform;

/// Finds the strictest policy of the contracts that use a service.
///
/// # Errors
///
/// Fails when no contract does, or `deadline` is later than theirs.
pub fn find(
    platform: &Platform,
    service: &Service,
    deadline: Option<Duration>,
) -> Result<VersionPolicy> {
    let mut policies = Vec::new();
    for held in platform.list(contract::KIND)? {
        let contract = Contract::try_from(held.read::<raw::Contract>()?)?;
        if contract.routes.iter().any(|r| r.service == *service) {
            policies.push(contract.versions);
        }
    }
    let Some(mut policy) = policies.into_iter().reduce(strictest) else {
        let message = format!("no contract has a route to service {service}; check its name");
        return RefusedSnafu { message }.fail();
    };
    let asked = deadline.unwrap_or(policy.deadline);
    if asked > policy.deadline {
        let most = humantime(policy.deadline);
        let message = format!("the contracts allow a move {most} at most; give a shorter deadline");
        return RefusedSnafu { message }.fail();
    }
    policy.deadline = asked;
    Ok(policy)
}

fn strictest(a: VersionPolicy, b: VersionPolicy) -> VersionPolicy {
    VersionPolicy {
        share: a.share.min(b.share),
        deadline: a.deadline.min(b.deadline),
        margin: a.margin.min(b.margin),
    }
}

fn humantime(span: Duration) -> String {
    format!("{} s", span.as_secs())
}
