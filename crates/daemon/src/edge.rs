//! Startup of an instance on the platform.
//!
//! Opens the sockets, creates the rings and starts a thread for each duty. The
//! main thread then handles signals until the planned stop ends.

mod backend_connection;
mod body;
mod body_memory;
mod callers;
mod connection;
mod copy;
mod decisions;
mod duties;
mod exchange;
mod frame;
mod heartbeat;
mod http_ports;
mod incoming;
mod learnt;
mod limits;
mod listeners;
mod metrics;
mod notifier;
mod outgoing;
mod peers;
mod publish;
mod recent;
mod replica_client;
mod replica_server;
mod rings;
mod servers;
mod signals;
mod store;
mod watch;
mod writes;

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;

use corianderway_platform::settings::Settings;
use corianderway_steer::ConnectionChart;
use corianderway_steer::Steer;
use corianderway_steer::StoreCheck;
use corianderway_wire::log_line::LogLine;
use log::Level;
use snafu::ResultExt as _;

use crate::clock::Clock;
use crate::daemon::DutySnafu;
use crate::daemon::LoggerSnafu;
use crate::daemon::MetricsSnafu;
use crate::daemon::StartError;
use crate::daemon::SteerSnafu;
use crate::daemon::ThreadSnafu;
use crate::daemon::EXIT_REQUESTS_CUT;
use crate::descriptors::Descriptors;
use crate::descriptors::Share;
use crate::duty;
use crate::edge::body_memory::BodyMemory;
use crate::edge::decisions::DecisionDuty;
use crate::edge::decisions::Outputs;
use crate::edge::decisions::SharedState;
use crate::edge::duties::Rings;
use crate::edge::listeners::Listeners;
use crate::edge::metrics::Instruments;
use crate::edge::peers::Recipients;
use crate::edge::signals::SignalHandler;
use crate::logs;
use crate::logs::Log;
use crate::prioritized::Prioritized;

pub use crate::edge::signals::ArrivedSignals;

/// The port for metrics and explanations; exporters of the Prometheus text
/// format commonly use it.
const METRICS_PORT: u16 = 9_464;

/// The log level; `info` includes each decision.
const LOG_LEVEL: &str = "info";

/// Runs an instance on the platform until its planned stop has ended.
///
/// Signals that have arrived since the registration are handled. The exit code is
/// [`EXIT_REQUESTS_CUT`] if requests were still open at the end.
///
/// # Errors
///
/// Fails if a listener can't be bound or a duty can't be started.
pub fn run(
    file: &str,
    settings: Settings,
    signals: ArrivedSignals,
) -> Result<ExitCode, StartError> {
    let log = start_log(&settings)?;
    let unfinished = start(file, settings, signals, &log)?;
    Ok(if unfinished == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_REQUESTS_CUT)
    })
}

// Starts all duties and waits for the end of the planned stop; returns the
// number of requests that were still open.
fn start(
    file: &str,
    settings: Settings,
    signals: ArrivedSignals,
    log: &Log,
) -> Result<usize, StartError> {
    let Some(listeners) = Listeners::bind(&settings, &signals, log)? else {
        return Ok(0);
    };
    let Listeners {
        callers,
        ports,
        replica,
        peers: socket,
    } = listeners;
    log.put(Level::Info, LogLine::new("listening"));
    let metrics_addr = SocketAddr::new(settings.member.entry.callers.ip(), METRICS_PORT);

    let descriptors = Descriptors::claim(settings.max_sockets);
    log.put(Level::Info, descriptors.log_line());
    let clock = Clock::start();
    let (decisions, ordinary) = async_channel::bounded(rings::DECISIONS);
    let (urgent_decisions, urgent) = async_channel::bounded(rings::URGENT_DECISIONS);
    let inputs = Prioritized::new(urgent, ordinary);
    let (to_servers, server_rx) = async_channel::bounded(rings::SERVER_COMMANDS);
    let (commands, command_rx) = async_channel::bounded(rings::STORE_COMMANDS);
    let (messages, queued) = async_channel::bounded(rings::PEER_MESSAGES);
    let (samples, sample_rx) = async_channel::bounded(crate::rings::SAMPLES_CAPACITY);
    let (stopping, done) = (Arc::new(AtomicBool::new(false)), AtomicBool::new(false));
    let done = Arc::new(done);
    let shared = SharedState::default();
    let body_memory = BodyMemory::for_process(settings.memory_bytes);
    let (instruments, scrape) = Instruments::new(&shared, &body_memory).context(MetricsSnafu)?;

    let (duty_inputs, duty_rx) = async_channel::bounded(rings::DUTY_INPUTS);
    let duty_ring = settings.usage.as_ref().map(|_| duty_inputs.clone());

    let steer = Steer::new(
        settings.member.clone(),
        settings.bounds.clone(),
        rand::random(),
    );
    let steer = steer.context(SteerSnafu)?;
    let checks = StoreCheck::new().context(SteerSnafu)?;
    let chart = ConnectionChart::load().context(SteerSnafu)?;
    let outputs = Outputs {
        servers: to_servers,
        store: commands,
        peers: messages.clone(),
        samples: samples.clone(),
        duties: duty_ring.clone(),
    };
    let decision_duty = DecisionDuty::new(steer, clock, outputs, shared.clone(), log.clone());
    let signals = SignalHandler::new(
        signals,
        file,
        settings.clone(),
        Arc::clone(&stopping),
        shared.clone(),
        decisions.clone(),
        log.clone(),
    );

    let finished = Arc::clone(&done);
    let decider = duty::spawn("decisions", move || decision_duty.run(&inputs, &finished));
    let decider = decider.context(ThreadSnafu)?;
    duty::spawn("metrics", move || metrics::run(&sample_rx, &instruments)).context(ThreadSnafu)?;
    let (ring, bodies) = (decisions.clone(), body_memory.clone());
    let max_connections = descriptors.share(Share::Servers);
    duty::spawn("servers", move || {
        servers::run(server_rx, clock, bodies, max_connections, ring);
    })
    .context(ThreadSnafu)?;
    let rings = Rings {
        inputs: duty_rx,
        answers: duty_inputs,
        peers: messages,
        samples,
        token: Arc::clone(&shared.duty_token),
        log: log.clone(),
    };
    start_duties(&settings, clock, rings)?;
    let (ring, store_log) = (urgent_decisions, log.clone());
    let replica = (replica, descriptors.share(Share::Replicas));
    duty::spawn("store", move || {
        store::run(settings, checks, replica, command_rx, ring, store_log);
    })
    .context(ThreadSnafu)?;
    let (ring, peer_log) = (decisions.clone(), log.clone());
    let recipients = Recipients {
        decisions: ring,
        duties: duty_ring,
    };
    duty::spawn("peers", move || {
        peers::run(socket, queued, recipients, peer_log);
    })
    .context(ThreadSnafu)?;
    let (ring, http_shared) = (decisions.clone(), shared.clone());
    let http_log = log.clone();
    let make = move || http_ports::Context::new(ring, http_shared, scrape, descriptors, http_log);
    duty::spawn("doors", move || http_ports::run(ports, metrics_addr, make))
        .context(ThreadSnafu)?;
    let make =
        move || callers::Context::new(decisions, shared, descriptors, body_memory, stopping, chart);
    let caller_log = log.clone();
    duty::spawn("callers", move || callers::run(callers, caller_log, make)).context(ThreadSnafu)?;

    let unfinished = signals.wait_for_stop();
    done.store(true, Ordering::Release);
    // Joined so that the last messages of the decision duty are still sent.
    drop(decider.join());
    Ok(unfinished)
}

// Starts the thread of the duties that one instance performs at a time, if the settings ask
// for any.
fn start_duties(settings: &Settings, clock: Clock, rings: Rings) -> Result<(), StartError> {
    let Some(usage) = settings.usage.clone() else {
        return Ok(());
    };
    let duty = duties::start(settings, &usage).context(DutySnafu)?;
    let settings = settings.clone();
    duty::spawn("duties", move || {
        duties::run(&settings, &usage, duty, clock, rings);
    })
    .context(ThreadSnafu)?;
    Ok(())
}

fn start_log(settings: &Settings) -> Result<Log, StartError> {
    logs::start(LOG_LEVEL).context(LoggerSnafu)?;
    let (log, lines) = Log::ring();
    let writer_log = log.clone();
    duty::spawn("log", move || logs::run(lines, writer_log)).context(ThreadSnafu)?;
    let entry = &settings.member.entry;
    let line = LogLine::new("start")
        .with("version", env!("CARGO_PKG_VERSION"))
        .with("instance", &entry.id)
        .with("run", settings.member.run)
        .with("region", &entry.region)
        .with("domain", &entry.domain)
        .with("millicores", settings.member.millicores)
        .with("callers", entry.callers)
        .with("peers", entry.peers)
        .with("replica", settings.member.replica)
        .with("store", settings.store)
        .with("seeds", settings.seeds.len())
        .with("bounds", format!("{:?}", settings.bounds));
    log.put(Level::Info, line);
    Ok(log)
}
