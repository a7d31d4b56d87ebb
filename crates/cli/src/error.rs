//! The errors of the command and their exit codes.

use std::net::SocketAddr;
use std::time::Duration;

use snafu::Snafu;

use crate::diff::Change;

/// The result of running a verb.
pub type Result<T> = std::result::Result<T, Error>;

/// Why the command failed.
///
/// Each variant has an exit code, see [`Error::code`]. The messages say what to
/// do next.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The arguments are invalid.
    #[snafu(display("{message}\nsee corianderway --help"))]
    Usage {
        /// What is invalid.
        message: String,
    },
    /// The input is invalid or the state of the fleet does not allow the request.
    #[snafu(display("{message}"))]
    Refused {
        /// The reason, and what to do about it.
        message: String,
    },
    /// A file could not be read.
    #[snafu(display("{file}: {source}; check the path"))]
    File {
        /// The path of the file.
        file: String,
        /// The I/O error.
        source: std::io::Error,
    },
    /// A contract or a name is invalid.
    #[snafu(display("{source}"), context(false))]
    Model {
        /// The validation error.
        source: corianderway_model::Error,
    },
    /// The plan of a version move was rejected.
    #[snafu(display("{source}"), context(false))]
    Plan {
        /// The reason.
        source: corianderway_rollout::Error,
    },
    /// A state chart is invalid.
    #[snafu(display("{source}"), context(false))]
    Chart {
        /// The validation error.
        source: corianderway_chart::Error,
    },
    /// A JSON value could not be converted to or from its Rust type.
    #[snafu(display("{object} has an invalid value ({source}); write it again"))]
    Value {
        /// The object, or the path that was requested.
        object: String,
        /// The conversion error.
        source: serde_json::Error,
    },
    /// Another operator changed the object since it was read.
    #[snafu(display(
        "conflict: {object} was changed by another operator; review the change and try again\n{}",
        describe(*version, changes)
    ))]
    Conflict {
        /// The object.
        object: String,
        /// The version in force; `None` if the object is deleted.
        version: Option<u64>,
        /// What the other operator changed.
        changes: Vec<Change>,
    },
    /// The server at an address did not respond.
    #[snafu(display("{addr} does not respond; check the address and that the server is running"))]
    Unreachable {
        /// The address.
        addr: SocketAddr,
    },
    /// It is not known whether a write took effect.
    #[snafu(display(
        "{object}: the response was lost and {addr} no longer responds; \
         check the object before writing it again"
    ))]
    UnknownOutcome {
        /// The object.
        object: String,
        /// The address of the platform.
        addr: SocketAddr,
    },
    /// A response has an unexpected status.
    #[snafu(display("{addr} responded with status {status}: {body}"))]
    Answer {
        /// The address.
        addr: SocketAddr,
        /// The HTTP status code.
        status: u16,
        /// The body of the response.
        body: String,
    },
    /// A wait timed out; the operation continues.
    #[snafu(display("{what} has not ended after {limit:?}; it continues, watch it again"))]
    Timeout {
        /// The operation.
        what: String,
        /// The timeout.
        limit: Duration,
    },
}

impl Error {
    /// Returns the exit code; [`crate::help::TOP`] documents them.
    pub fn code(&self) -> u8 {
        match self {
            Self::Refused { .. }
            | Self::File { .. }
            | Self::Model { .. }
            | Self::Plan { .. }
            | Self::Chart { .. }
            | Self::Value { .. }
            | Self::Answer { .. } => 1,
            Self::Usage { .. } => 2,
            Self::Conflict { .. } => 3,
            Self::Unreachable { .. } | Self::UnknownOutcome { .. } => 4,
            Self::Timeout { .. } => 5,
        }
    }
}

fn describe(version: Option<u64>, changes: &[Change]) -> String {
    let Some(version) = version else {
        return "the object no longer exists".to_owned();
    };
    let lines = changes.iter().map(|c| format!("\n  {c}"));
    format!(
        "version {version} is in force with these changes:{}",
        lines.collect::<String>()
    )
}
