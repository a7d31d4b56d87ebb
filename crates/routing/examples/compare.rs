//! Compares routing policies on the same arrivals in a simulation.
//!
//! `cargo run --release -p corianderway-routing --example compare -- [SEEDS]`
//! prints a table with a row for each scenario and policy: the latency percentiles
//! over all seeds, and the range of p99 from seed to seed.

mod sim;

use std::env;

use crate::sim::report::Summary;
use crate::sim::scenario::Scenario;
use crate::sim::Policy;
use crate::sim::Sim;

const DEFAULT_SEEDS: u64 = 3;

fn main() {
    let seeds = env::args().nth(1).and_then(|s| s.parse().ok());
    let seeds = seeds.unwrap_or(DEFAULT_SEEDS);
    println!("{}", Summary::HEADER);
    for scenario in Scenario::ALL {
        for policy in Policy::ALL {
            let runs = (1..=seeds).map(|seed| Sim::new(scenario, policy, seed).run());
            let summary = Summary::new(runs.collect());
            println!("{}", summary.row(scenario.as_str(), policy.as_str()));
        }
    }
}
