//! Prints requests refused although within rate: lent shares beside even ones.
//!
//! Both run on the same arrivals. A request is within rate if one bucket of
//! the whole limit, which sees all callers at once, admits it.

#[path = "../tests/fleet/mod.rs"]
mod fleet;

use std::time::Duration;

use corianderway_limits::Terms;
use fleet::seeds;
use fleet::Fleet;
use fleet::Policy;

const RATE: f64 = 400.0;
const BURST: f64 = 400.0;
const INSTANCES: usize = 10;
const SPAN: Duration = Duration::from_mins(2);
const WARM: Duration = Duration::from_secs(20);

#[derive(Clone, Copy, Debug)]
enum Callers {
    Even,
    Crowded,
    /// All on one instance, another one every 20 s.
    Roaming,
    /// In bursts of half a second.
    Bursts,
    /// Even, with 1 of 10 instances silent.
    Silent,
    /// Crowded, at three times the rate.
    Excess,
    /// Crowded, with the platform out.
    Outage,
}

#[derive(Clone, Copy, Debug, Default)]
struct Row {
    wrongful: f64,
    used: f64,
    messages: f64,
    calls: f64,
}

fn run(seed: u64, callers: Callers, policy: Policy, patience_ms: u64) -> Row {
    let mut fleet = Fleet::new(seed, INSTANCES, RATE, BURST, Terms::default());
    fleet.policy = policy;
    fleet.patience_ms = patience_ms;
    fleet.faults.delay_ms = 70;
    fleet.offered = 0.0;
    fleet.run(WARM);
    fleet.offered = RATE * 0.9;
    match callers {
        Callers::Even | Callers::Roaming => {}
        Callers::Crowded => crowd(&mut fleet, 0),
        Callers::Bursts => {
            fleet.idle_ms = 1_000;
            fleet.offered = RATE * 1.8;
        }
        Callers::Silent => {
            fleet.pause(9, 1_000_000);
            fleet.nodes[9].weight = 0.0;
        }
        Callers::Excess => {
            crowd(&mut fleet, 0);
            fleet.offered = RATE * 3.0;
        }
        Callers::Outage => {
            crowd(&mut fleet, 0);
            fleet.outage(1_000_000);
        }
    }
    let before = (fleet.messages, fleet.platform.calls);
    for part in 0..6 {
        if let Callers::Roaming = callers {
            crowd(&mut fleet, part);
        }
        fleet.run(SPAN / 6);
    }
    let seconds = SPAN.as_secs_f64();
    assert!(
        fleet.conserved(),
        "LIMITS_SEED={seed} {callers:?} {policy:?}"
    );
    Row {
        wrongful: fleet.wrongful as f64 / (fleet.wrongful + fleet.admitted()) as f64 * 100.0,
        used: fleet.admitted() as f64 / (RATE * seconds) * 100.0,
        messages: (fleet.messages - before.0) as f64 / seconds / INSTANCES as f64,
        calls: (fleet.platform.calls - before.1) as f64 / seconds,
    }
}

fn crowd(fleet: &mut Fleet, on: usize) {
    for (at, node) in fleet.nodes.iter_mut().enumerate() {
        node.weight = if at == on { 1.0 } else { 0.0 };
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
        for (policy, patience) in [
            (Policy::Even, 0),
            (Policy::Even, 250),
            (Policy::Lent, 0),
            (Policy::Lent, 250),
        ] {
            let rows: Vec<_> = (seeds(5).into_iter())
                .map(|seed| run(seed, callers, policy, patience))
                .collect();
            print(callers, policy, patience, &rows);
        }
    }
}

fn print(callers: Callers, policy: Policy, patience: u64, rows: &[Row]) {
    let mean = |of: fn(&Row) -> f64| rows.iter().map(of).sum::<f64>() / rows.len() as f64;
    let least = rows.iter().map(|r| r.wrongful).fold(f64::MAX, f64::min);
    let most = rows.iter().map(|r| r.wrongful).fold(0.0, f64::max);
    println!(
        "{:8} {:6} {patience:7}  {:7.3} [{least:.3}..{most:.3}]  {:6.1}  {:8.2}  {:6.2}",
        format!("{callers:?}"),
        format!("{policy:?}"),
        mean(|r| r.wrongful),
        mean(|r| r.used),
        mean(|r| r.messages),
        mean(|r| r.calls),
    );
}
