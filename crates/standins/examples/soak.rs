//! Runs the randomized soak test for a range of seeds, or repeats one seed.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use corianderway_standins::soak;
use corianderway_standins::soak::Options;
use corianderway_standins::soak::Report;

fn main() -> ExitCode {
    let flags = xflags::parse_or_exit! {
        /// The first seed; random by default.
        optional --seed seed: u64
        /// The number of consecutive seeds to run; 1 by default.
        optional --seeds seeds: u64
        /// The time in seconds during which faults are injected; 20 by default.
        optional --span span: u64
        /// The number of instances; 6 by default.
        optional --instances instances: usize
        /// The number of callers; 16 by default.
        optional --callers callers: usize
        /// The folder for the logs of failed runs.
        optional --keep keep: PathBuf
    };
    let first = flags.seed.unwrap_or_else(rand::random);
    let mut failed_runs = 0;
    for seed in (0..flags.seeds.unwrap_or(1)).map(|at| first.wrapping_add(at)) {
        let options = Options {
            seed,
            span: Duration::from_secs(flags.span.unwrap_or(20)),
            instances: flags.instances.unwrap_or(6),
            callers: flags.callers.unwrap_or(16),
            dir: std::env::temp_dir(),
        };
        match soak::run(&options) {
            Ok(report) => {
                failed_runs += u32::from(!report.violations.is_empty());
                print_report(&options, &report, flags.keep.as_ref());
            }
            Err(error) => {
                eprintln!("seed {seed}: {error}");
                return ExitCode::from(2);
            }
        }
    }
    ExitCode::from(u8::from(failed_runs > 0))
}

fn print_report(options: &Options, report: &Report, keep: Option<&PathBuf>) {
    let Options { seed, .. } = options;
    let (asked, served) = (report.requests, report.served);
    let faults = report.steps.len();
    let (refused, rejected) = (report.refused, report.rejected);
    println!(
        "seed {seed}: {faults} faults, {asked} requests, {served} served, {refused} writes refused, \
         {rejected} of them rejected by endpoints, stalled {} ms at most",
        report.stall.as_millis()
    );
    for line in &report.violations {
        println!("  violated: {line}");
    }
    if report.violations.is_empty() {
        return;
    }
    for step in &report.steps {
        println!("  {:7.3} s {:?}", step.at.as_secs_f64(), step.fault);
    }
    let Some(dir) = keep else { return };
    for (at, (name, lines)) in report.logs.iter().enumerate() {
        let file = dir.join(format!("soak-{seed}-{at:02}-{name}.log"));
        if let Err(error) = std::fs::write(&file, lines.join("\n")) {
            eprintln!("{}: {error}; choose a writable folder", file.display());
        }
    }
}
