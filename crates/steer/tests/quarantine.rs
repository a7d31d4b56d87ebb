//! What instances that start learn of the requests that crash backend servers, in virtual time.

mod rig;

use std::time::Duration;

use crate::rig::suspects::plan;
use crate::rig::suspects::Trial;
use crate::rig::suspects::SPREAD;

/// How long crashes are remembered.
const CRASH_TTL: Duration = Duration::from_mins(10);

// Guards against a request that crashes more servers after restarts: each instance passed on
// only the crashes that it had observed itself, so that its restart took them from all (BUDGET).
#[test]
fn a_quarantine_outlives_the_restarts_of_all_instances_in_turn() {
    let mut trial = Trial::start_with_spread_crashes();
    for _round in 0..2 {
        for number in 0..trial.cluster.members.len() {
            assert!(
                trial.is_quarantined(number),
                "before the restart of {number}"
            );
            trial.cluster.restart_one(number, trial.now, plan());
            trial.pass(SPREAD);
            assert!(
                trial.is_quarantined(number),
                "after the restart of {number}"
            );
        }
    }
}

// Guards against crashes that are never forgotten since instances tell each other of them.
#[test]
fn a_quarantine_ends_though_instances_restart() {
    let mut trial = Trial::start_with_spread_crashes();
    let begun = trial.now;
    let mut number = 0;
    while trial.now.since(begun) < CRASH_TTL + SPREAD {
        trial.cluster.restart_one(number, trial.now, plan());
        trial.pass(Duration::from_secs(30));
        number = (number + 1) % trial.cluster.members.len();
    }
    for number in 0..trial.cluster.members.len() {
        assert!(!trial.is_quarantined(number), "instance {number}");
    }
}
