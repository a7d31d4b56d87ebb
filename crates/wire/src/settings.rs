//! The settings file of the entry daemon.

use std::net::SocketAddr;
use std::time::Duration;

use corianderway_model::DurationText;
use corianderway_model::FailureDomain;
use corianderway_model::InstanceId;
use corianderway_model::Region;
use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;
use snafu::ResultExt;
use snafu::Snafu;

/// The checked settings of an entry daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The name of the instance; each start adds a suffix of its own.
    pub instance: InstanceId,
    /// The region.
    pub region: Region,
    /// The failure domain.
    pub domain: FailureDomain,
    /// Where callers are accepted.
    pub callers: SocketAddr,
    /// Where peers are accepted.
    pub peers: SocketAddr,
    /// Where metrics, health and status are served.
    pub metrics: SocketAddr,
    /// The platform's object API.
    pub platform: SocketAddr,
    /// Peers to ask before the platform answers.
    pub bootstrap: Vec<SocketAddr>,
    /// The log level: error, warn, info or debug.
    pub level: String,
    /// The longest wait for open requests at a planned stop.
    pub grace: Duration,
}

#[serde_as]
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct Raw {
    instance: String,
    region: String,
    domain: String,
    callers: SocketAddr,
    peers: SocketAddr,
    metrics: SocketAddr,
    platform: SocketAddr,
    #[serde(default)]
    bootstrap: Vec<SocketAddr>,
    #[serde(default = "default_level")]
    level: String,
    #[serde_as(as = "DurationText")]
    #[serde(default = "default_grace")]
    grace: Duration,
}

/// Settings that can't be used.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file can't be read.
    #[snafu(display("{file}: {source}; give the path of a settings file"))]
    Read {
        /// The file.
        file: String,
        /// The system's error.
        source: std::io::Error,
    },
    /// The file is not a settings file.
    #[snafu(display("{file}: {source}; correct the YAML"))]
    Yaml {
        /// The file.
        file: String,
        /// The parser's error.
        source: serde_yaml_ng::Error,
    },
    /// A name can't be used.
    #[snafu(display("{file}: {source}"))]
    Name {
        /// The file.
        file: String,
        /// What is wrong with the name.
        source: corianderway_model::Error,
    },
    /// A field can't be used.
    #[snafu(display("{file}: {field}: {value:?} can't be used; {remedy}"))]
    Field {
        /// The file.
        file: String,
        /// The field.
        field: &'static str,
        /// Its value.
        value: String,
        /// What to write instead.
        remedy: &'static str,
    },
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be read or a field can't be used.
    pub fn load(file: &str) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(file).context(ReadSnafu { file })?;
        Self::parse(file, &text)
    }

    /// Checks the text of a settings file; `file` is named in errors.
    ///
    /// # Errors
    ///
    /// Fails when a field is unknown, missing or can't be used.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsError> {
        let raw: Raw = serde_yaml_ng::from_str(text).context(YamlSnafu { file })?;
        check_level(file, &raw.level)?;
        let named = |source| SettingsError::Name {
            file: file.to_owned(),
            source,
        };
        Ok(Self {
            instance: raw.instance.try_into().map_err(named)?,
            region: raw.region.try_into().map_err(named)?,
            domain: raw.domain.try_into().map_err(named)?,
            callers: raw.callers,
            peers: raw.peers,
            metrics: raw.metrics,
            platform: raw.platform,
            bootstrap: raw.bootstrap,
            level: raw.level,
            grace: raw.grace,
        })
    }
}

fn check_level(file: &str, level: &str) -> Result<(), SettingsError> {
    let field = "level";
    let remedy = "use error, warn, info or debug";
    let known = ["error", "warn", "info", "debug"].contains(&level);
    snafu::ensure!(
        known,
        FieldSnafu {
            file,
            field,
            value: level,
            remedy
        }
    );
    Ok(())
}

fn default_level() -> String {
    "info".to_owned()
}

fn default_grace() -> Duration {
    Duration::from_secs(30)
}
