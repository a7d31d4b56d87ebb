//! The daemon: every duty started and joined by its rings.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::process::ExitCode;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;

use corianderway_model::Entry;
use corianderway_model::InstanceId;
use corianderway_model::Presence;
use corianderway_node::Node;
use corianderway_wire::log_line::LogLine;
use corianderway_wire::settings::Settings;
use log::Level;
use snafu::ResultExt;
use snafu::Snafu;

use crate::admin;
use crate::callers;
use crate::callers::Desk;
use crate::clock::Clock;
use crate::decide::Decisions;
use crate::duty;
use crate::logs;
use crate::logs::Log;
use crate::metrics;
use crate::metrics::Instruments;
use crate::peers;
use crate::platform;
use crate::probes;
use crate::rings;
use crate::rings::Outputs;
use crate::rings::Requests;
use crate::servers;
use crate::stop::Stop;

/// The exit code when a planned stop had to cut requests off.
pub const EXIT_CUT: u8 = 3;

/// Why the daemon can't start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StartError {
    /// An address can't be listened on.
    #[snafu(display("{field}: {addr}: {source}; give a free address of this instance"))]
    Listen {
        /// The field of the settings.
        field: &'static str,
        /// The address.
        addr: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// A thread can't be started.
    #[snafu(display("a thread can't be started: {source}; raise the limit of threads"))]
    Thread {
        /// The system's error.
        source: io::Error,
    },
    /// The logger can't be started.
    #[snafu(display("the logger can't be started: {source}; correct the log level"))]
    Logger {
        /// The logger's error.
        source: flexi_logger::FlexiLoggerError,
    },
    /// The instruments can't be made.
    #[snafu(display("the metrics can't be started: {source}; report this as a bug"))]
    Metrics {
        /// The library's error.
        source: opentelemetry_sdk::error::OTelSdkError,
    },
    /// A chart is faulty.
    #[snafu(display("{source}"))]
    Node {
        /// The node's error.
        source: corianderway_node::Error,
    },
    /// A chart of the decisions on the platform is faulty.
    #[snafu(display("{source}"))]
    Steer {
        /// What is wrong with it.
        source: corianderway_steer::ChartError,
    },
    /// The name is not usable.
    #[snafu(display("instance: {source}"))]
    Name {
        /// What is wrong with the name.
        source: corianderway_model::Error,
    },
}

/// Runs the daemon to the end of its planned stop.
///
/// # Errors
///
/// Fails when a duty can't be started.
pub fn run(settings: &Settings) -> Result<ExitCode, StartError> {
    let callers = listen("callers", settings.callers)?;
    let peers = listen("peers", settings.peers)?;
    let metrics = listen("metrics", settings.metrics)?;
    let me = entry(settings, &callers, &peers)?;
    let ready = format!(
        "ready instance={} callers={} peers={} metrics={}",
        me.id,
        me.callers,
        me.peers,
        local(&metrics, settings.metrics)
    );
    let log = start_log(settings, &me)?;
    let left = start(settings, me, callers, peers, metrics, log, &ready)?;
    Ok(if left == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_CUT)
    })
}

fn start(
    settings: &Settings,
    me: Entry,
    callers: TcpListener,
    peers: TcpListener,
    metrics: TcpListener,
    log: Log,
    ready: &str,
) -> Result<u64, StartError> {
    let clock = Clock::start();
    let (decisions, inputs) = async_channel::bounded(rings::DECISIONS);
    let (jobs, taken) = async_channel::bounded(rings::JOBS);
    let (orders, ordered) = async_channel::bounded(rings::WRITES);
    let (messages, sent) = async_channel::bounded(rings::MESSAGES);
    let (probes, probed) = async_channel::bounded(rings::PROBES);
    let (samples, sampled) = async_channel::bounded(rings::SAMPLES);
    let (instruments, scrape) = Instruments::new().context(MetricsSnafu)?;
    let stopping = Arc::new(AtomicBool::new(false));
    let open = Arc::new(AtomicU64::new(0));
    let closed = Arc::new(AtomicBool::new(false));
    let done = Arc::new(AtomicBool::new(false));

    let node = Node::new(me.clone(), settings.bootstrap.clone(), rand::random());
    let node = node.context(NodeSnafu)?;
    let outputs = Outputs {
        platform: orders,
        peers: messages,
        crowded: sent.clone(),
    };
    let desk = Decisions::new(node, clock, outputs, probes, samples, log.clone());
    let stop = Stop::new(
        Arc::clone(&stopping),
        Arc::clone(&closed),
        Arc::clone(&open),
        decisions.clone(),
        log.clone(),
    );
    let stop = stop.context(ThreadSnafu)?;

    let finished = Arc::clone(&done);
    let decider = duty::spawn("decisions", move || desk.run(inputs, finished));
    let decider = decider.context(ThreadSnafu)?;
    duty::spawn("metrics", move || metrics::run(sampled, instruments)).context(ThreadSnafu)?;
    duty::spawn("servers", move || servers::run(taken, clock)).context(ThreadSnafu)?;
    let platform = settings.platform;
    let ring = decisions.clone();
    duty::spawn("platform", move || platform::run(platform, ordered, ring)).context(ThreadSnafu)?;
    let (ring, id) = (decisions.clone(), me.id.clone());
    duty::spawn("peers", move || peers::run(peers, id, sent, ring)).context(ThreadSnafu)?;
    let ring = decisions.clone();
    duty::spawn("measurements", move || probes::run(probed, ring)).context(ThreadSnafu)?;
    let ring = decisions.clone();
    duty::spawn("admin", move || admin::run(metrics, scrape, ring)).context(ThreadSnafu)?;
    let requests = Requests { decisions, jobs };
    let prefix = Arc::from(me.id.as_str());
    let make = move || Desk::new(requests, clock, stopping, closed, open, prefix);
    duty::spawn("callers", move || callers::run(callers, make)).context(ThreadSnafu)?;

    println!("{ready}");
    let left = stop.wait(settings.grace);
    done.store(true, Ordering::Release);
    // Joined so that what the node hands over at the end is still sent.
    drop(decider.join());
    Ok(left)
}

fn start_log(settings: &Settings, me: &Entry) -> Result<Log, StartError> {
    logs::start(&settings.level).context(LoggerSnafu)?;
    let (log, lines) = Log::ring();
    let counted = log.clone();
    duty::spawn("log", move || logs::run(lines, counted)).context(ThreadSnafu)?;
    let line = LogLine::new("start")
        .with("version", env!("CARGO_PKG_VERSION"))
        .with("instance", &me.id)
        .with("region", &me.region)
        .with("domain", &me.domain)
        .with("callers", me.callers)
        .with("peers", me.peers)
        .with("platform", settings.platform)
        .with("bootstrap", settings.bootstrap.len())
        .with("level", &settings.level)
        .with("grace_ms", settings.grace.as_millis());
    log.put(Level::Info, line);
    Ok(log)
}

// The identity is new at each start, so that a restarted process on the same
// address is never taken for the one before.
fn entry(
    settings: &Settings,
    callers: &TcpListener,
    peers: &TcpListener,
) -> Result<Entry, StartError> {
    let run: u32 = rand::random();
    let id = format!("{}.{run:08x}", settings.instance);
    Ok(Entry {
        id: InstanceId::try_from(id).context(NameSnafu)?,
        callers: local(callers, settings.callers),
        peers: local(peers, settings.peers),
        region: settings.region.clone(),
        domain: settings.domain.clone(),
        presence: Presence::Live,
    })
}

fn listen(field: &'static str, addr: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(addr).context(ListenSnafu { field, addr })
}

fn local(listener: &TcpListener, asked: SocketAddr) -> SocketAddr {
    listener.local_addr().unwrap_or(asked)
}
