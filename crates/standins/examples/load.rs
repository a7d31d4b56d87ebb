//! Runs scenarios and prints their figures.

use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use corianderway_standins::load;
use corianderway_standins::load::Error;
use corianderway_standins::load::Scenario;
use corianderway_standins::load::Summary;
use corianderway_standins::load::Target;

struct Plan {
    deploy: PathBuf,
    out: Option<PathBuf>,
    target: Target,
    seed: u64,
    runs: u64,
}

fn main() -> ExitCode {
    let flags = xflags::parse_or_exit! {
        /// The scenario files.
        repeated scenario: PathBuf
        /// The folder of the deployments; deploy by default.
        optional --deploy deploy: PathBuf
        /// entries, round-robin or least-connections; entries by default.
        optional --target target: Target
        /// The seed of the first run; 1 by default.
        optional --seed seed: u64
        /// Runs, each with the next seed; 1 by default.
        optional --runs runs: u64
        /// A folder for the figures as JSON and the plots as SVG.
        optional --out out: PathBuf
    };
    let plan = Plan {
        deploy: flags.deploy.unwrap_or_else(|| "deploy".into()),
        out: flags.out,
        target: flags.target.unwrap_or_default(),
        seed: flags.seed.unwrap_or(1),
        runs: flags.runs.unwrap_or(1),
    };
    for file in &flags.scenario {
        if let Err(error) = plan.run(file) {
            eprintln!("load: {error}");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}

impl Plan {
    fn run(&self, file: &Path) -> Result<(), Error> {
        let scenario = Scenario::read(file)?;
        println!("{}", scenario.about);
        let mut runs = Vec::new();
        for seed in self.seed..self.seed + self.runs {
            let summary = load::run(&scenario, &self.deploy, self.target, seed)?;
            println!("{}\n", load::table(&summary));
            self.keep(&summary)?;
            runs.push(summary);
        }
        if runs.len() > 1 {
            println!("{}\n", load::spread(&runs));
        }
        Ok(())
    }

    fn keep(&self, summary: &Summary) -> Result<(), Error> {
        let Some(out) = &self.out else {
            return Ok(());
        };
        let name = format!("{}-{:?}-{}", summary.scenario, summary.target, summary.seed);
        let path = out.join(name.to_lowercase());
        let json = serde_json::to_string_pretty(summary).expect("a summary has string keys only");
        write(&path.with_extension("json"), &json)?;
        write(&path.with_extension("svg"), &load::plot(summary))
    }
}

fn write(path: &Path, text: &str) -> Result<(), Error> {
    let file = path.display().to_string();
    std::fs::write(path, text).map_err(|source| Error::File { file, source })
}
