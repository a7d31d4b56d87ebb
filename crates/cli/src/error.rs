//! Errors of the command and the exit codes they end with.

use std::net::SocketAddr;
use std::time::Duration;

use snafu::Snafu;

use crate::diff::Change;

/// The result of a verb.
pub type Result<T> = std::result::Result<T, Error>;

/// Why the command did not do what it was asked for.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The arguments are wrong.
    #[snafu(display("{message}\nsee corianderway --help"))]
    Usage {
        /// What is wrong with them.
        message: String,
    },
    /// The input or the state of the fleet does not allow it.
    #[snafu(display("{message}"))]
    Refused {
        /// Why, and what to do.
        message: String,
    },
    /// A file can't be read.
    #[snafu(display("{file}: {source}; check the path"))]
    File {
        /// The file.
        file: String,
        /// The cause.
        source: std::io::Error,
    },
    /// A contract or a name is not valid.
    #[snafu(display("{source}"), context(false))]
    Model {
        /// What is wrong with it.
        source: corianderway_model::Error,
    },
    /// A plan can't be accepted.
    #[snafu(display("{source}"), context(false))]
    Plan {
        /// What is wrong with it.
        source: corianderway_rollout::Error,
    },
    /// A chart can't be loaded.
    #[snafu(display("{source}"), context(false))]
    Chart {
        /// What is wrong with it.
        source: corianderway_chart::Error,
    },
    /// A stored value is not what its kind asks for.
    #[snafu(display("{object} is not readable ({source}); write it anew"))]
    Value {
        /// The object.
        object: String,
        /// What is wrong with it.
        source: serde_json::Error,
    },
    /// Another operator changed the object.
    #[snafu(display(
        "conflict: {object} was changed by another operator; look at it and try again\n{}",
        describe(*version, changes)
    ))]
    Conflict {
        /// The object.
        object: String,
        /// The version in force; absent if the object is gone.
        version: Option<u64>,
        /// What the other operator changed.
        changes: Vec<Change>,
    },
    /// No answer came.
    #[snafu(display("{addr} does not answer; check the address and whether it is up"))]
    Unreachable {
        /// The address.
        addr: SocketAddr,
    },
    /// It is not known whether a write took effect.
    #[snafu(display(
        "{object}: the answer is lost and {addr} can't be asked again; \
         look at the object before writing once more"
    ))]
    Unsettled {
        /// The object.
        object: String,
        /// The platform.
        addr: SocketAddr,
    },
    /// The answer is not understood.
    #[snafu(display("{addr} answered with status {status}: {body}"))]
    Answer {
        /// The address.
        addr: SocketAddr,
        /// The status.
        status: u16,
        /// The body.
        body: String,
    },
    /// The wait timed out.
    #[snafu(display("{what} is not over after {limit:?}; it goes on, watch it again"))]
    Timeout {
        /// What was waited for.
        what: String,
        /// How long.
        limit: Duration,
    },
}

impl Error {
    /// The exit code; see [`crate::help::TOP`].
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
            Self::Unreachable { .. } | Self::Unsettled { .. } => 4,
            Self::Timeout { .. } => 5,
        }
    }
}

fn describe(version: Option<u64>, changes: &[Change]) -> String {
    let Some(version) = version else {
        return "it does not exist any more".to_owned();
    };
    let lines = changes.iter().map(|c| format!("\n  {c}"));
    format!(
        "version {version} is in force; the other's change:{}",
        lines.collect::<String>()
    )
}
