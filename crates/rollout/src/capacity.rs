//! Whether the remaining backend servers can carry the load of those that drain.

use corianderway_model::Service;

use crate::drain::Drain;
use crate::drain::DrainScope;
use crate::drain::ServerLocation;

/// The maximum load, as a fraction of the remaining slots, at which a drain begins.
const MAX_ADMIT_LOAD: f64 = 0.8;
/// The maximum load, as a fraction of the remaining slots, at which a drain goes on.
const MAX_DRAIN_LOAD: f64 = 1.0;

/// The load of one backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerLoad {
    /// Its location.
    pub location: ServerLocation,
    /// The service it runs.
    pub service: Service,
    /// The maximum of requests that it runs at once.
    pub slots: u32,
    /// Slots in use, on average.
    pub busy: f64,
    /// Whether it accepts new work, drains not considered.
    pub accepts_work: bool,
}

/// Returns whether a drain may begin.
pub(crate) fn fits(drain: &Drain, others: &[&Drain], loads: &[ServerLoad]) -> bool {
    can_carry(drain, others, loads, MAX_ADMIT_LOAD)
}

/// Returns whether a drain must go back to planned, since the load is too high.
pub(crate) fn overloads(drain: &Drain, others: &[&Drain], loads: &[ServerLoad]) -> bool {
    !can_carry(drain, others, loads, MAX_DRAIN_LOAD)
}

fn can_carry(drain: &Drain, others: &[&Drain], loads: &[ServerLoad], fraction: f64) -> bool {
    let excluded = excluded_scopes(drain, others);
    let mut services: Vec<&Service> = affected_services(drain, loads).collect();
    services.sort();
    services.dedup();
    services.into_iter().all(|service| {
        let servers = || loads.iter().filter(|l| l.service == *service);
        let remains =
            |l: &&ServerLoad| l.accepts_work && !excluded.iter().any(|s| s.covers(&l.location));
        let available: f64 = servers().filter(remains).map(|l| f64::from(l.slots)).sum();
        let busy: f64 = servers().map(|l| l.busy).sum();
        available > 0.0 && busy <= available * fraction
    })
}

// Returns the services that lose a backend server which accepts work. Once work is
// withheld, servers are reported as not accepting any, so all in the scope count.
fn affected_services<'a>(
    drain: &'a Drain,
    loads: &'a [ServerLoad],
) -> impl Iterator<Item = &'a Service> {
    let lost =
        |l: &&ServerLoad| drain.scope.covers(&l.location) && (l.accepts_work || drain.withheld);
    loads.iter().filter(lost).map(|l| &l.service)
}

// Returns the scopes that get no work if this drain goes on. They include drains that
// were planned earlier, so that no two are admitted to the same free capacity.
fn excluded_scopes<'a>(drain: &'a Drain, others: &[&'a Drain]) -> Vec<&'a DrainScope> {
    let counts = |d: &&&Drain| d.withheld || (!d.is_over() && d.is_before(drain));
    let others = others.iter().filter(counts).map(|d| &d.scope);
    others.chain([&drain.scope]).collect()
}
