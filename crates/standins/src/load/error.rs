//! The error type of the load tool.

use std::io;

use snafu::Snafu;

use crate::fleet;
use crate::harness;

/// An error while a scenario is read or run.
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
    /// A file is not valid YAML of the expected form.
    #[snafu(display("{file}: {source}; correct the YAML"))]
    Yaml {
        /// The file.
        file: String,
        /// The parser's error.
        source: serde_yaml_ng::Error,
    },
    /// A field's value is invalid.
    #[snafu(display("{file}: {field}: {value:?} is invalid; {remedy}"))]
    Field {
        /// The file.
        file: String,
        /// The field.
        field: &'static str,
        /// Its value.
        value: String,
        /// How to correct the value.
        remedy: &'static str,
    },
    /// The fleet can't be started or changed.
    #[snafu(display("{source}"), context(false))]
    Fleet {
        /// The cause.
        source: fleet::Error,
    },
    /// A process can't be started, reached or stopped.
    #[snafu(display("{source}"), context(false))]
    Process {
        /// The cause.
        source: harness::Error,
    },
}
