//! The entry daemon: accepts requests of callers and steers them to backend servers.

mod acceptor;
mod admin;
mod allocator;
mod args;
mod body;
mod callers;
mod client;
mod clock;
mod connection;
mod daemon;
mod decide;
mod descriptors;
mod duty;
mod edge;
mod ending;
mod exchange;
mod history;
mod logs;
mod message_reader;
mod metrics;
mod park;
mod peers;
mod platform;
mod pool;
mod prioritized;
mod probes;
mod record;
mod request;
mod rings;
mod servers;
mod slots;
mod stop;
mod tee;

use std::path::PathBuf;
use std::process::ExitCode;

use corianderway_platform::settings::Settings as PlatformSettings;
use corianderway_platform::settings::SETTINGS_PATH_VAR;
use corianderway_wire::settings::Settings;

use crate::args::Corianderwayd;
use crate::edge::ArrivedSignals;

/// The exit code for invalid arguments or settings.
const EXIT_USAGE: u8 = 2;

/// The exit code when the daemon can't start.
const EXIT_START: u8 = 1;

/// The number of threads of the shared executor. Every duty runs its own tasks; only
/// the HTTP library spawns tasks here, to answer `Expect: 100-continue`.
const EXECUTOR_THREADS: &str = "1";

fn main() -> ExitCode {
    allocator::set_up();
    std::env::set_var("ASYNC_STD_THREAD_COUNT", EXECUTOR_THREADS);
    let args = Corianderwayd::from_env_or_exit();
    if args.version {
        println!("corianderwayd {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    if args.platform {
        return run_on_platform(args.settings, args.check, args.long_waits);
    }
    let Some(file) = args.settings else {
        eprintln!("error: no settings; give --settings FILE or --platform");
        return ExitCode::from(EXIT_USAGE);
    };
    let settings = match Settings::load(&file.to_string_lossy()) {
        Ok(settings) => settings,
        Err(error) => return fail(&error, EXIT_USAGE),
    };
    if args.check {
        println!("{}: ok", file.display());
        return ExitCode::SUCCESS;
    }
    daemon::run(&settings).unwrap_or_else(|error| fail(&error, EXIT_START))
}

fn run_on_platform(file: Option<PathBuf>, check: bool, long_waits: bool) -> ExitCode {
    let given = file.map(|file| file.to_string_lossy().into_owned());
    let Some(file) = given.or_else(|| std::env::var(SETTINGS_PATH_VAR).ok()) else {
        eprintln!("error: no settings; set {SETTINGS_PATH_VAR} to the path of the settings file");
        return ExitCode::from(EXIT_USAGE);
    };
    // Registered before the settings are read, since their next change is signalled.
    let signals = match ArrivedSignals::register() {
        Ok(signals) => signals,
        Err(error) => return fail(&error, EXIT_START),
    };
    let mut settings = match PlatformSettings::load(&file, rand::random()) {
        Ok(settings) => settings,
        Err(error) => return fail(&error, EXIT_USAGE),
    };
    if check {
        println!("{file}: ok");
        return ExitCode::SUCCESS;
    }
    settings.bounds.long_waits = long_waits;
    edge::run(&file, settings, signals).unwrap_or_else(|error| fail(&error, EXIT_START))
}

fn fail(error: &dyn std::error::Error, code: u8) -> ExitCode {
    eprintln!("error: {error}");
    ExitCode::from(code)
}
