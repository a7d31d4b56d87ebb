//! Compares lent shares with fixed even shares by the requests refused although
//! within the rate.
//!
//! Both policies get the same arrivals. A request is within the rate if one
//! bucket of the whole limit, which receives the requests of all callers,
//! admits it.

#[path = "../tests/fleet/mod.rs"]
mod fleet;

use std::time::Duration;

use corianderway_limits::Timing;
use fleet::seeds;
use fleet::Fleet;
use fleet::Policy;

const RATE: f64 = 400.0;
const BURST: f64 = 400.0;
const INSTANCES: usize = 10;
const RUN_TIME: Duration = Duration::from_mins(2);
const WARMUP: Duration = Duration::from_secs(20);

/// How callers spread their requests over instances and time.
#[derive(Clone, Copy, Debug)]
enum Callers {
    Even,
    /// All on one instance.
    Crowded,
    /// All on one instance, which changes every 20 s.
    Roaming,
    /// In bursts of half a second.
    Bursts,
    /// Even, with 1 of 10 instances silent.
    Silent,
    /// All on one instance, at three times the rate.
    Excess,
    /// All on one instance, with the platform down.
    Outage,
}

#[derive(Clone, Copy, Debug, Default)]
struct RunStats {
    wrongly_refused: f64,
    utilization: f64,
    messages: f64,
    platform_calls: f64,
}

fn run(seed: u64, callers: Callers, policy: Policy, max_wait_ms: u64) -> RunStats {
    let mut fleet = Fleet::new(seed, INSTANCES, RATE, BURST, Timing::default());
    fleet.policy = policy;
    fleet.max_wait_ms = max_wait_ms;
    fleet.faults.delay_ms = 70;
    fleet.offered_rate = 0.0;
    fleet.run(WARMUP);
    fleet.offered_rate = RATE * 0.9;
    match callers {
        Callers::Even | Callers::Roaming => {}
        Callers::Crowded => concentrate(&mut fleet, 0),
        Callers::Bursts => {
            fleet.idle_ms = 1_000;
            fleet.offered_rate = RATE * 1.8;
        }
        Callers::Silent => {
            fleet.pause(9, 1_000_000);
            fleet.nodes[9].weight = 0.0;
        }
        Callers::Excess => {
            concentrate(&mut fleet, 0);
            fleet.offered_rate = RATE * 3.0;
        }
        Callers::Outage => {
            concentrate(&mut fleet, 0);
            fleet.outage(1_000_000);
        }
    }
    let before = (fleet.messages, fleet.platform.calls);
    for segment in 0..6 {
        if let Callers::Roaming = callers {
            concentrate(&mut fleet, segment);
        }
        fleet.run(RUN_TIME / 6);
    }
    let seconds = RUN_TIME.as_secs_f64();
    assert!(
        fleet.conserved(),
        "LIMITS_SEED={seed} {callers:?} {policy:?}"
    );
    RunStats {
        wrongly_refused: fleet.wrongly_refused as f64
            / (fleet.wrongly_refused + fleet.admitted()) as f64
            * 100.0,
        utilization: fleet.admitted() as f64 / (RATE * seconds) * 100.0,
        messages: (fleet.messages - before.0) as f64 / seconds / INSTANCES as f64,
        platform_calls: (fleet.platform.calls - before.1) as f64 / seconds,
    }
}

fn concentrate(fleet: &mut Fleet, on: usize) {
    for (index, node) in fleet.nodes.iter_mut().enumerate() {
        node.weight = if index == on { 1.0 } else { 0.0 };
    }
}

fn main() {
    println!("callers  policy  wait_ms  wrongful_%[least..most]  used_%  messages/s/instance  platform_calls/s");
    let all = [
        Callers::Even,
        Callers::Crowded,
        Callers::Roaming,
        Callers::Bursts,
        Callers::Silent,
        Callers::Excess,
        Callers::Outage,
    ];
    for callers in all {
        for (policy, max_wait_ms) in [
            (Policy::Even, 0),
            (Policy::Even, 250),
            (Policy::Lent, 0),
            (Policy::Lent, 250),
        ] {
            let runs: Vec<_> = (seeds(5).into_iter())
                .map(|seed| run(seed, callers, policy, max_wait_ms))
                .collect();
            print(callers, policy, max_wait_ms, &runs);
        }
    }
}

fn print(callers: Callers, policy: Policy, max_wait_ms: u64, runs: &[RunStats]) {
    let mean = |of: fn(&RunStats) -> f64| runs.iter().map(of).sum::<f64>() / runs.len() as f64;
    let least = runs
        .iter()
        .map(|m| m.wrongly_refused)
        .fold(f64::MAX, f64::min);
    let most = runs.iter().map(|m| m.wrongly_refused).fold(0.0, f64::max);
    println!(
        "{:8} {:6} {max_wait_ms:7}  {:7.3} [{least:.3}..{most:.3}]  {:6.1}  {:8.2}  {:6.2}",
        format!("{callers:?}"),
        format!("{policy:?}"),
        mean(|m| m.wrongly_refused),
        mean(|m| m.utilization),
        mean(|m| m.messages),
        mean(|m| m.platform_calls),
    );
}
