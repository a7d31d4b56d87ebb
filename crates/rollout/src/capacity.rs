//! Whether the servers that are left can carry the load of those that drain.

use corianderway_model::Service;

use crate::drain::Drain;
use crate::drain::DrainScope;
use crate::drain::Place;

/// The part of the slots left that the load may fill when a drain begins.
const ADMIT: f64 = 0.8;
/// The part of the slots left that the load may fill while a drain goes on.
const KEEP: f64 = 1.0;

/// The load of one backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerLoad {
    /// Where it stands.
    pub place: Place,
    /// The service it runs.
    pub service: Service,
    /// Requests it runs at once.
    pub slots: u32,
    /// Slots in use, on average.
    pub busy: f64,
    /// Whether it takes new work, apart from any drain.
    pub takes: bool,
}

/// Whether a drain may begin.
pub(crate) fn fits(drain: &Drain, others: &[&Drain], loads: &[ServerLoad]) -> bool {
    carries(drain, others, loads, ADMIT)
}

/// Whether a drain has to be taken back for now.
pub(crate) fn overloads(drain: &Drain, others: &[&Drain], loads: &[ServerLoad]) -> bool {
    !carries(drain, others, loads, KEEP)
}

fn carries(drain: &Drain, others: &[&Drain], loads: &[ServerLoad], part: f64) -> bool {
    let gone = scopes(drain, others);
    let mut services: Vec<&Service> = covered(drain, loads).collect();
    services.sort();
    services.dedup();
    services.into_iter().all(|service| {
        let servers = || loads.iter().filter(|l| l.service == *service);
        let stays = |l: &&ServerLoad| l.takes && !gone.iter().any(|s| s.covers(&l.place));
        let left: f64 = servers().filter(stays).map(|l| f64::from(l.slots)).sum();
        let busy: f64 = servers().map(|l| l.busy).sum();
        left > 0.0 && busy <= left * part
    })
}

// The services that lose a server which takes work, or would but for the drain.
fn covered<'a>(drain: &'a Drain, loads: &'a [ServerLoad]) -> impl Iterator<Item = &'a Service> {
    let lost = |l: &&ServerLoad| drain.scope.covers(&l.place) && (l.takes || drain.withheld);
    loads.iter().filter(lost).map(|l| &l.service)
}

// What gets no work if this drain goes on: planned drains that came earlier
// are reckoned with, so that two of them are not admitted on the same room.
fn scopes<'a>(drain: &'a Drain, others: &[&'a Drain]) -> Vec<&'a DrainScope> {
    let counts = |d: &&&Drain| d.withheld || (!d.is_over() && d.is_before(drain));
    let others = others.iter().filter(counts).map(|d| &d.scope);
    others.chain([&drain.scope]).collect()
}
