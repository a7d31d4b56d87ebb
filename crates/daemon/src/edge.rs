//! An instance on the platform: every duty started and joined by its rings.

mod body;
mod callers;
mod connection;
mod copy;
mod decisions;
mod doors;
mod entries;
mod exchange;
mod frame;
mod limits;
mod metrics;
mod mirror;
mod news;
mod peers;
mod recent;
mod replica;
mod rings;
mod room;
mod servers;
mod stop;
mod store;
mod watch;

use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::process::ExitCode;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;

use corianderway_platform::settings::Settings;
use corianderway_steer::Steer;
use corianderway_wire::log_line::LogLine;
use log::Level;
use snafu::ResultExt as _;

use crate::clock::Clock;
use crate::daemon::ListenSnafu;
use crate::daemon::LoggerSnafu;
use crate::daemon::MetricsSnafu;
use crate::daemon::StartError;
use crate::daemon::SteerSnafu;
use crate::daemon::ThreadSnafu;
use crate::daemon::EXIT_CUT;
use crate::duty;
use crate::edge::decisions::Board;
use crate::edge::decisions::Decisions;
use crate::edge::decisions::Outputs;
use crate::edge::doors::Door;
use crate::edge::metrics::Instruments;
use crate::edge::room::Room;
use crate::edge::stop::Stop;
use crate::logs;
use crate::logs::Log;

/// The port of metrics and explanations: the one that exporters of the text
/// format commonly use.
const METRICS_PORT: u16 = 9_464;

/// The level of the log: every decision.
const LEVEL: &str = "info";

/// Runs an instance on the platform to the end of its planned stop.
///
/// # Errors
///
/// Fails when a duty can't be started.
pub fn run(file: &str, settings: Settings) -> Result<ExitCode, StartError> {
    let log = start_log(&settings)?;
    let left = start(file, settings, &log)?;
    Ok(if left == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_CUT)
    })
}

fn start(file: &str, settings: Settings, log: &Log) -> Result<usize, StartError> {
    let entry = &settings.member.entry;
    let callers = listen("front", entry.callers)?;
    let admin = SocketAddr::new(entry.callers.ip(), METRICS_PORT);
    let doors = vec![
        (Door::Ready, listen("ready", settings.ready)?),
        (Door::Directory, listen("directory", settings.directory)?),
        (Door::Admin, listen("metrics", admin)?),
    ];
    let replica = listen("control", settings.member.replica)?;
    let addr = entry.peers;
    let field = "port_range";
    let peers = UdpSocket::bind(addr).context(ListenSnafu { field, addr })?;

    let clock = Clock::start();
    let (decisions, inputs) = async_channel::bounded(rings::DECISIONS);
    let (jobs, taken) = async_channel::bounded(rings::JOBS);
    let (orders, ordered) = async_channel::bounded(rings::ORDERS);
    let (letters, sent) = async_channel::bounded(rings::MESSAGES);
    let (samples, sampled) = async_channel::bounded(crate::rings::SAMPLES);
    let (instruments, scrape) = Instruments::new().context(MetricsSnafu)?;
    let (stopping, done) = (Arc::new(AtomicBool::new(false)), AtomicBool::new(false));
    let done = Arc::new(done);
    let board = Board::default();
    let room = Room::of_memory(settings.memory_bytes);

    let steer = Steer::new(
        settings.member.clone(),
        settings.bounds.clone(),
        rand::random(),
    );
    let steer = steer.context(SteerSnafu)?;
    let outputs = Outputs {
        jobs,
        store: orders,
        peers: letters,
        samples,
    };
    let desk = Decisions::new(steer, clock, outputs, board.clone(), log.clone());
    let stop = Stop::new(
        file,
        settings.clone(),
        Arc::clone(&stopping),
        board.clone(),
        decisions.clone(),
        log.clone(),
    );
    let stop = stop.context(ThreadSnafu)?;

    let finished = Arc::clone(&done);
    let decider = duty::spawn("decisions", move || desk.run(&inputs, &finished));
    let decider = decider.context(ThreadSnafu)?;
    duty::spawn("metrics", move || metrics::run(&sampled, &instruments)).context(ThreadSnafu)?;
    let (ring, answers) = (decisions.clone(), room.clone());
    duty::spawn("servers", move || servers::run(taken, clock, answers, ring))
        .context(ThreadSnafu)?;
    let (ring, lines) = (decisions.clone(), log.clone());
    duty::spawn("store", move || {
        store::run(settings, replica, ordered, ring, lines);
    })
    .context(ThreadSnafu)?;
    let (ring, lines) = (decisions.clone(), log.clone());
    duty::spawn("peers", move || peers::run(peers, sent, ring, lines)).context(ThreadSnafu)?;
    let (ring, shown) = (decisions.clone(), board.clone());
    let make = move || doors::Desk::new(ring, shown, scrape);
    duty::spawn("doors", move || doors::run(doors, make)).context(ThreadSnafu)?;
    let make = move || callers::Desk::new(decisions, board, room, stopping);
    duty::spawn("callers", move || callers::run(callers, make)).context(ThreadSnafu)?;

    let left = stop.wait();
    done.store(true, Ordering::Release);
    // Joined so that what the decisions hand over at the end is still sent.
    drop(decider.join());
    Ok(left)
}

fn start_log(settings: &Settings) -> Result<Log, StartError> {
    logs::start(LEVEL).context(LoggerSnafu)?;
    let (log, lines) = Log::ring();
    let counted = log.clone();
    duty::spawn("log", move || logs::run(lines, counted)).context(ThreadSnafu)?;
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

fn listen(field: &'static str, addr: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(addr).context(ListenSnafu { field, addr })
}
