//! Instances on the platform under random faults, run as processes.
//!
//! `cargo run --release --example soak -- --seeds 50` runs more seeds.

use std::path::PathBuf;
use std::time::Duration;

use corianderway_standins::soak;
use corianderway_standins::soak::Options;
use serde::Deserialize;

/// The number of instances and of callers in each run.
const INSTANCES: usize = 6;
const CALLERS: usize = 12;

/// A run, read from `soak.yaml`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Run {
    seed: u64,
    span_s: u64,
    cause: String,
}

#[test]
fn every_guarantee_holds_under_random_faults() {
    let runs: Vec<Run> = serde_yaml_ng::from_str(include_str!("soak.yaml")).unwrap();
    for run in runs {
        let options = Options {
            seed: run.seed,
            span: Duration::from_secs(run.span_s),
            instances: INSTANCES,
            callers: CALLERS,
            dir: PathBuf::from(env!("CARGO_TARGET_TMPDIR")),
        };
        let report = soak::run(&options).unwrap();
        let (asked, served) = (report.requests, report.served);
        println!(
            "seed {} ({}): {served} of {asked} served",
            run.seed, run.cause
        );
        if report.violations.is_empty() {
            continue;
        }
        let steps: Vec<String> = report.steps.iter().map(|s| format!("{s:?}")).collect();
        let logs = report.logs.iter().map(|(name, lines)| {
            let notable = lines.iter().filter(|line| !line.contains("request="));
            let lines: Vec<&str> = notable.map(String::as_str).collect();
            format!("{name}\n{}", lines.join("\n"))
        });
        let logs: Vec<String> = logs.collect();
        panic!(
            "{run:?}\n{}\n{}\n{}",
            report.violations.join("\n"),
            steps.join("\n"),
            logs.join("\n")
        );
    }
}
