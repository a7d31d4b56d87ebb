//! Parses the settings file of the entry daemon.

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
    /// The name of the instance; each start adds its own suffix.
    pub instance: InstanceId,
    /// The region of the instance.
    pub region: Region,
    /// The failure domain of the instance.
    pub domain: FailureDomain,
    /// The address that accepts callers' connections.
    pub callers: SocketAddr,
    /// The address that accepts other instances' connections.
    pub peers: SocketAddr,
    /// The address that serves metrics, health and status.
    pub metrics: SocketAddr,
    /// The address of the platform's object API.
    pub platform: SocketAddr,
    /// The instances to contact before the platform has responded.
    pub bootstrap: Vec<SocketAddr>,
    /// The log level: error, warn, info or debug.
    pub level: String,
    /// The maximum wait for open requests at a planned stop.
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

/// A settings file that can't be used.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file can't be read.
    #[snafu(display("{file}: {source}; give the path of a settings file"))]
    Read {
        /// The file.
        file: String,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The file isn't valid YAML, or a field is unknown, missing or has the wrong type.
    #[snafu(display("{file}: {source}; correct the YAML"))]
    Yaml {
        /// The file.
        file: String,
        /// The parser's error.
        source: serde_yaml_ng::Error,
    },
    /// A name is invalid.
    #[snafu(display("{file}: {source}"))]
    Name {
        /// The file.
        file: String,
        /// The reason why the name is invalid.
        source: corianderway_model::Error,
    },
    /// The value of a field is invalid.
    #[snafu(display("{file}: {field}: {value:?} can't be used; {remedy}"))]
    Field {
        /// The file.
        file: String,
        /// The field.
        field: &'static str,
        /// The invalid value.
        value: String,
        /// The values to use instead.
        remedy: &'static str,
    },
}

impl Settings {
    /// Loads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read, or a field is unknown, missing or invalid.
    pub fn load(file: &str) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(file).context(ReadSnafu { file })?;
        Self::parse(file, &text)
    }

    /// Parses and checks settings from text; `file` is the name that errors state.
    ///
    /// # Errors
    ///
    /// Fails if a field is unknown, missing or invalid.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsError> {
        let raw: Raw = serde_yaml_ng::from_str(text).context(YamlSnafu { file })?;
        check_level(file, &raw.level)?;
        let name_error = |source| SettingsError::Name {
            file: file.to_owned(),
            source,
        };
        Ok(Self {
            instance: raw.instance.try_into().map_err(name_error)?,
            region: raw.region.try_into().map_err(name_error)?,
            domain: raw.domain.try_into().map_err(name_error)?,
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
