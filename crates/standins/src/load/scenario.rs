//! Scenario files.

use std::path::Path;
use std::time::Duration;

use corianderway_model::DurationText;
use serde::Deserialize;
use serde_with::serde_as;
use snafu::ensure;
use snafu::ResultExt;

use crate::load::act::Moment;
use crate::load::error::Error;
use crate::load::error::FieldSnafu;
use crate::load::error::FileSnafu;
use crate::load::error::YamlSnafu;

/// The maximum length of a scenario.
const MAX_LENGTH: Duration = Duration::from_mins(10);

/// One load experiment, as its file describes it.
#[serde_as]
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// The name, which reports show.
    pub name: String,
    /// One sentence on its purpose.
    pub about: String,
    /// The folder under `deploy/` with the topology and the contracts.
    pub deployment: String,
    /// The time during which requests are sent.
    #[serde_as(as = "DurationText")]
    pub length: Duration,
    /// The time at the start whose requests are not counted.
    #[serde_as(as = "DurationText")]
    #[serde(default)]
    pub warmup: Duration,
    /// Which entry instances the callers use.
    #[serde(default)]
    pub callers: Callers,
    /// The load of each client account, as a multiple of its contract's rate.
    pub load: f64,
    /// Client accounts whose load differs.
    #[serde(default)]
    pub shares: Vec<Share>,
    /// The routes that are called, for all client accounts.
    pub routes: Vec<Weight>,
    /// The probability that a request is also sent directly to a backend server,
    /// for comparison.
    #[serde(default)]
    pub direct: f64,
    /// The acts that are applied during the run.
    #[serde(default)]
    pub moments: Vec<Moment>,
}

/// Which entry instances the callers use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Callers {
    /// All, each with the same probability.
    #[default]
    Spread,
    /// The first one; the next ones only if it can't be connected to.
    Crowded,
}

/// The load of one client account.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Share {
    /// The client account.
    pub account: String,
    /// Its load as a multiple of its contract's rate.
    pub load: f64,
}

/// A route and how often it is called.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Weight {
    /// The route.
    pub route: String,
    /// Its weight relative to the other routes.
    pub weight: f64,
}

impl Scenario {
    /// Reads and validates a scenario file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read or a field is invalid.
    pub fn read(path: &Path) -> Result<Self, Error> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).context(FileSnafu { file: &file })?;
        let scenario: Self = serde_yaml_ng::from_str(&text).context(YamlSnafu { file: &file })?;
        scenario.check(&file)?;
        Ok(scenario)
    }

    /// Returns the load of a client account, as a multiple of its contract's rate.
    pub fn load_of(&self, account: &str) -> f64 {
        let share = self.shares.iter().find(|s| s.account == account);
        share.map_or(self.load, |s| s.load)
    }

    fn check(&self, file: &str) -> Result<(), Error> {
        let is_valid = (self.warmup..=MAX_LENGTH).contains(&self.length);
        ensure!(
            is_valid,
            FieldSnafu {
                file,
                field: "length",
                value: format!("{:?}", self.length),
                remedy: "it must be at least warmup and at most 10m",
            }
        );
        let loads = self.shares.iter().map(|s| s.load).chain([self.load]);
        for load in loads {
            ensure!(
                load.is_finite() && load >= 0.0,
                FieldSnafu {
                    file,
                    field: "load",
                    value: load.to_string(),
                    remedy: "it must be a finite number of at least 0",
                }
            );
        }
        ensure!(
            self.routes.iter().any(|r| r.weight > 0.0),
            FieldSnafu {
                file,
                field: "routes",
                value: "[]",
                remedy: "list at least one route with a weight above 0",
            }
        );
        Ok(())
    }
}
