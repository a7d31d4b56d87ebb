//! The crate's error.

use snafu::Snafu;

/// A move that can't be planned, or a chart that can't be parsed.
///
/// The message for a move names the remedy.
#[derive(Debug, Snafu)]
pub struct Error(Kind);

#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum Kind {
    #[snafu(display("{source}"))]
    Chart { source: corianderway_chart::Error },
    #[snafu(display("service {service}: both versions are {version}; name another version"))]
    SameVersion { service: String, version: String },
    #[snafu(display("service {service}: the deadline is not after the start; give a later one"))]
    Deadline { service: String },
    #[snafu(display("service {service}: {field} is {value}; give {remedy}"))]
    Range {
        service: String,
        field: &'static str,
        value: f64,
        remedy: &'static str,
    },
}
