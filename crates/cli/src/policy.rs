//! The policy for version moves of a service, from all contracts that route to it.

use std::time::Duration;

use corianderway_model::raw;
use corianderway_model::Contract;
use corianderway_model::Service;
use corianderway_model::VersionPolicy;

use crate::contract;
use crate::error::RefusedSnafu;
use crate::error::Result;
use crate::platform::Platform;

/// Combines the policies of all contracts that route to a service into the
/// strictest one, with `deadline` in place of theirs if it is given.
///
/// # Errors
///
/// Fails when no contract routes to the service, or `deadline` is longer than
/// theirs.
pub fn find(
    platform: &Platform,
    service: &Service,
    deadline: Option<Duration>,
) -> Result<VersionPolicy> {
    let mut policies = Vec::new();
    for stored in platform.list(contract::KIND)? {
        let contract = Contract::try_from(stored.decode::<raw::Contract>()?)?;
        if contract.routes.iter().any(|r| r.service == *service) {
            policies.push(contract.versions);
        }
    }
    let Some(mut policy) = policies.into_iter().reduce(strictest) else {
        let message = format!("no contract has a route to service {service}; check its name");
        return RefusedSnafu { message }.fail();
    };
    let requested = deadline.unwrap_or(policy.deadline);
    if requested > policy.deadline {
        let longest = in_seconds(policy.deadline);
        let message =
            format!("the contracts allow a move at most {longest}; give a shorter deadline");
        return RefusedSnafu { message }.fail();
    }
    policy.deadline = requested;
    Ok(policy)
}

fn strictest(a: VersionPolicy, b: VersionPolicy) -> VersionPolicy {
    VersionPolicy {
        share: a.share.min(b.share),
        deadline: a.deadline.min(b.deadline),
        margin: a.margin.min(b.margin),
    }
}

fn in_seconds(span: Duration) -> String {
    format!("{} s", span.as_secs())
}
