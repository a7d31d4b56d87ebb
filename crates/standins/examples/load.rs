//! Runs load scenarios, prints their figures and writes them to files.

use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use corianderway_standins::load;
use corianderway_standins::load::Error;
use corianderway_standins::load::Scenario;
use corianderway_standins::load::Summary;
use corianderway_standins::load::Target;

struct Options {
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
        /// The number of runs, each with the next seed; 1 by default.
        optional --runs runs: u64
        /// The folder to write the figures as JSON and the plots as SVG to.
        optional --out out: PathBuf
    };
    let options = Options {
        deploy: flags.deploy.unwrap_or_else(|| "deploy".into()),
        out: flags.out,
        target: flags.target.unwrap_or_default(),
        seed: flags.seed.unwrap_or(1),
        runs: flags.runs.unwrap_or(1),
    };
    for file in &flags.scenario {
        if let Err(error) = options.run(file) {
            eprintln!("load: {error}");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}

impl Options {
    fn run(&self, file: &Path) -> Result<(), Error> {
        let scenario = Scenario::read(file)?;
        println!("{}", scenario.about);
        let mut runs = Vec::new();
        for seed in self.seed..self.seed + self.runs {
            let summary = load::run(&scenario, &self.deploy, self.target, seed)?;
            println!("{}\n", load::table(&summary));
            self.write_files(&summary)?;
            runs.push(summary);
        }
        if runs.len() > 1 {
            println!("{}\n", load::spread(&runs));
        }
        Ok(())
    }

    fn write_files(&self, summary: &Summary) -> Result<(), Error> {
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
