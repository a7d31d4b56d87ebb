//! What can go wrong with a scenario.

use std::io;

use snafu::Snafu;

use crate::fleet;
use crate::harness;

/// A scenario that can't be run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A file can't be read or written.
    #[snafu(display("{file}: {source}; check the path"))]
    File {
        /// The file.
        file: String,
        /// The system's error.
        source: io::Error,
    },
    /// A file is not of its format.
    #[snafu(display("{file}: {source}; correct the YAML"))]
    Yaml {
        /// The file.
        file: String,
        /// The parser's error.
        source: serde_yaml_ng::Error,
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
    /// The fleet failed.
    #[snafu(display("{source}"), context(false))]
    Fleet {
        /// What failed.
        source: fleet::Error,
    },
    /// A process failed.
    #[snafu(display("{source}"), context(false))]
    Process {
        /// What failed.
        source: harness::Error,
    },
}
