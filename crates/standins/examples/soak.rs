//! Plays the randomized soak by hand: seeds in a row, or one seed again.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use corianderway_standins::soak;
use corianderway_standins::soak::Options;
use corianderway_standins::soak::Report;

fn main() -> ExitCode {
    let flags = xflags::parse_or_exit! {
        /// The first seed; drawn if none is given.
        optional --seed seed: u64
        /// How many seeds are played, one after the other; 1 by default.
        optional --seeds seeds: u64
        /// For how many seconds faults are injected; 20 by default.
        optional --span span: u64
        /// The instances; 6 by default.
        optional --instances instances: usize
        /// The callers; 16 by default.
        optional --callers callers: usize
        /// Where the logs of a broken run are kept.
        optional --keep keep: PathBuf
    };
    let first = flags.seed.unwrap_or_else(rand::random);
    let mut red = 0;
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
                red += u32::from(!report.broken.is_empty());
                tell(&options, &report, flags.keep.as_ref());
            }
            Err(error) => {
                eprintln!("seed {seed}: {error}");
                return ExitCode::from(2);
            }
        }
    }
    ExitCode::from(u8::from(red > 0))
}

fn tell(options: &Options, report: &Report, keep: Option<&PathBuf>) {
    let Options { seed, .. } = options;
    let (asked, served) = (report.asked, report.served);
    let faults = report.steps.len();
    println!("seed {seed}: {faults} faults, {asked} asked, {served} served");
    for line in &report.broken {
        println!("  broken: {line}");
    }
    if report.broken.is_empty() {
        return;
    }
    for step in &report.steps {
        println!("  {:7.3} s {:?}", step.at.as_secs_f64(), step.fault);
    }
    let Some(dir) = keep else { return };
    for (at, (name, lines)) in report.logs.iter().enumerate() {
        let file = dir.join(format!("soak-{seed}-{at:02}-{name}.log"));
        if let Err(error) = std::fs::write(&file, lines.join("\n")) {
            eprintln!(
                "{}: {error}; name a folder that can be written",
                file.display()
            );
        }
    }
}
