//! Measures the error rates of the analysis, and prints them beside the stated bounds.
//!
//! `cargo run --release -p corianderway-rollout --example errors -- [SEEDS]`

use std::time::Duration;

use corianderway_model::RouteName;
use corianderway_model::Time;
use corianderway_rollout::Analysis;
use corianderway_rollout::AnalysisParams;
use corianderway_rollout::Arm;
use corianderway_rollout::MoveKey;
use corianderway_rollout::Outcome;
use corianderway_rollout::Report;
use corianderway_rollout::CONDEMN_ALPHA;
use corianderway_rollout::PASS_ALPHA;
use corianderway_rollout::SUSPECT_ALPHA;
use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;

/// The margin of the contract.
const MARGIN: f64 = 0.05;
/// The length of a run in seconds; there is one report a second.
const RUN_SECS: u64 = 600;
/// Requests a second at the old version.
const OLD_PER_S: u32 = 95;
/// Requests a second at the new version.
const NEW_PER_S: u32 = 5;
/// The number of routes, which get equal traffic.
const ROUTES: usize = 4;

/// The behaviour of the two versions.
#[derive(Clone, Copy)]
struct Pair {
    /// The failure rate of the old version.
    old_failures: f64,
    /// The failure rate of the new version.
    new_failures: f64,
    /// The latency of the new version, as a multiple of the old one's.
    slowdown: f64,
}

/// The results that the analysis has had within a run.
#[derive(Default)]
struct Results {
    condemned: bool,
    suspected: bool,
    passed: bool,
}

fn main() {
    let seeds = std::env::args().nth(1).and_then(|a| a.parse().ok());
    let seeds: u64 = seeds.unwrap_or(1000);
    println!("stated: condemn {CONDEMN_ALPHA} suspect {SUSPECT_ALPHA} pass {PASS_ALPHA}");
    println!(
        "{:>6} {:>6} {:>6} {:>9} {:>9} {:>9}  of {seeds}",
        "old", "new", "slow", "condemned", "suspected", "passed"
    );
    for old_failures in [0.01, 0.1, 0.001, 0.4] {
        for (worse, slowdown) in [(0.0, 1.0), (0.01, 1.0), (MARGIN, 1.0), (0.0, 1.6)] {
            let pair = Pair {
                old_failures,
                new_failures: old_failures + worse,
                slowdown,
            };
            print(pair, seeds);
        }
    }
}

fn print(pair: Pair, seeds: u64) {
    let runs: Vec<Results> = (0..seeds).map(|seed| run(pair, seed)).collect();
    let count = |pick: fn(&Results) -> bool| runs.iter().filter(|r| pick(r)).count();
    println!(
        "{:>6} {:>6.3} {:>6} {:>9} {:>9} {:>9}",
        pair.old_failures,
        pair.new_failures,
        pair.slowdown,
        count(|r| r.condemned),
        count(|r| r.suspected),
        count(|r| r.passed),
    );
}

// Runs the analysis. A version passes if it is proven before it is suspected.
fn run(pair: Pair, seed: u64) -> Results {
    let mut rng = SmallRng::seed_from_u64(seed);
    let key = MoveKey {
        service: "finder".try_into().unwrap(),
        to: "v2".try_into().unwrap(),
        started: 0,
    };
    let mut report = Report::new(key, "entry-1".try_into().unwrap());
    let names = (0..ROUTES).map(|n| format!("route-{n}").try_into().unwrap());
    let routes: Vec<RouteName> = names.collect();
    let params = AnalysisParams {
        margin: MARGIN,
        span: Duration::from_secs(RUN_SECS),
        warm: Time::ZERO,
    };
    let mut analysis = Analysis::new(params, Time::ZERO);
    let mut results = Results::default();
    for second in 1..=RUN_SECS {
        for request in 0..OLD_PER_S + NEW_PER_S {
            let arm = if request < NEW_PER_S {
                Arm::New
            } else {
                Arm::Old
            };
            let route = &routes[rng.random_range(0..ROUTES)];
            report.count(route, arm, outcome(pair, arm, &mut rng));
        }
        report.sequence = second;
        analysis.apply(Time::from_millis(second * 1000), &report);
        results.suspected |= analysis.suspected().is_some();
        results.passed |= analysis.is_proven(PASS_ALPHA) && !results.suspected;
        if analysis.condemned().is_some() {
            results.condemned = true;
            return results;
        }
    }
    results
}

// Draws an outcome. Latencies are exponential, with a heavier tail than most services
// have.
fn outcome(pair: Pair, arm: Arm, rng: &mut SmallRng) -> Outcome {
    let (failures, slowdown) = match arm {
        Arm::Old => (pair.old_failures, 1.0),
        Arm::New => (pair.new_failures, pair.slowdown),
    };
    if rng.random_bool(failures) {
        return Outcome::Failed;
    }
    let mean_secs = 0.02 * slowdown;
    let draw = 1.0 - rng.random::<f64>();
    Outcome::Answered(Duration::from_secs_f64(-mean_secs * draw.ln()))
}
