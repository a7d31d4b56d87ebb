//! The operator's command: contracts, keys, version moves, drains and charts.
//!
//! It writes objects through the platform's object API, conditionally on their
//! version, and queries entry instances at their admin addresses. Each group of
//! verbs has its own module; [`help`] documents the exit codes.

mod chart;
mod client;
mod command;
mod contract;
mod diff;
mod drain;
mod epoch;
mod error;
mod explain;
mod force;
mod help;
mod key;
mod moves;
mod output;
mod platform;
mod policy;
mod status;
mod wait;

use std::process::ExitCode;

fn main() -> ExitCode {
    command::run(std::env::args_os().skip(1).collect())
}
