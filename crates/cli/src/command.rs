//! Dispatch of the command line to a group of verbs.

use std::ffi::OsString;
use std::io;
use std::io::Write;
use std::process::ExitCode;
use std::time::SystemTime;

use crate::chart;
use crate::contract;
use crate::drain;
use crate::epoch;
use crate::error::Result;
use crate::error::UsageSnafu;
use crate::explain;
use crate::help;
use crate::key;
use crate::moves;
use crate::output;
use crate::status;

/// Runs the command with its arguments and returns its exit code.
pub fn run(args: Vec<OsString>) -> ExitCode {
    match dispatch(args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            // Standard error may be closed; the exit code still reports the failure.
            drop(writeln!(io::stderr(), "error: {error}"));
            ExitCode::from(error.code())
        }
    }
}

/// Returns the wall clock in milliseconds since the Unix epoch.
pub fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |span| span.as_millis() as u64)
}

/// Returns the author of a write: the operator's login name and a random
/// suffix that distinguishes this run of the command.
pub fn author() -> String {
    let user = std::env::var("USER").unwrap_or_else(|_unset| "operator".into());
    format!("{user}/{:08x}", rand::random::<u32>())
}

fn dispatch(mut args: Vec<OsString>) -> Result<()> {
    if args.is_empty() {
        return UsageSnafu {
            message: "missing group of verbs",
        }
        .fail();
    }
    let rest = args.split_off(1);
    let group = args.remove(0).to_string_lossy().into_owned();
    let group = group.as_str();
    match group {
        "contract" => verb(group, rest, contract::Contract::from_vec, contract::run),
        "key" => verb(group, rest, key::Key::from_vec, key::run),
        "move" => verb(group, rest, moves::Move::from_vec, moves::run),
        "drain" => verb(group, rest, drain::Drain::from_vec, drain::run),
        "epoch" => verb(group, rest, epoch::Epochs::from_vec, epoch::run),
        "status" => verb(group, rest, status::Status::from_vec, status::run),
        "explain" => verb(group, rest, explain::Explain::from_vec, explain::run),
        "chart" => verb(group, rest, chart::Chart::from_vec, chart::run),
        "help" | "--help" | "-h" => {
            output::print(help::TOP);
            Ok(())
        }
        "--version" => {
            output::print(concat!("corianderway ", env!("CARGO_PKG_VERSION")));
            Ok(())
        }
        other => UsageSnafu {
            message: format!("unknown group of verbs {other:?}"),
        }
        .fail(),
    }
}

// Parses the arguments of a group and runs its verb, or prints its help.
fn verb<T>(
    group: &str,
    args: Vec<OsString>,
    parse: impl Fn(Vec<OsString>) -> xflags::Result<T>,
    run: impl Fn(T) -> Result<()>,
) -> Result<()> {
    let verb = args.first().map(|a| a.to_string_lossy().into_owned());
    match parse(args) {
        Ok(flags) => run(flags),
        Err(error) if error.is_help() => {
            let verb = verb.as_deref().filter(|v| !v.starts_with('-'));
            output::print(&help::section(&error.to_string(), group, verb));
            Ok(())
        }
        Err(error) => {
            let message = error.to_string();
            UsageSnafu { message }.fail()
        }
    }
}
