//! Starts the daemon: spawns every duty and connects them by rings.

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
use crate::callers::CallerContext;
use crate::clock::Clock;
use crate::decide::DecisionDuty;
use crate::descriptors::Descriptors;
use crate::descriptors::Share;
use crate::duty;
use crate::logs;
use crate::logs::Log;
use crate::metrics;
use crate::metrics::Instruments;
use crate::peers;
use crate::platform;
use crate::probes;
use crate::rings;
use crate::rings::CallerOutputs;
use crate::rings::Outputs;
use crate::servers;
use crate::stop::Stop;

/// The exit code when requests were still open at the end of the grace period.
pub const EXIT_REQUESTS_CUT: u8 = 3;

/// An error at the start of the daemon.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StartError {
    /// A listener can't be bound to its address.
    #[snafu(display("{field}: {addr}: {source}; give a free address of this instance"))]
    Listen {
        /// The settings field with the address.
        field: &'static str,
        /// The address that can't be bound.
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
    /// The metric instruments can't be created.
    #[snafu(display("the metrics can't be started: {source}; report this as a bug"))]
    Metrics {
        /// The library's error.
        source: opentelemetry_sdk::error::OTelSdkError,
    },
    /// A state chart of the node is invalid.
    #[snafu(display("{source}"))]
    Node {
        /// The node's error.
        source: corianderway_node::Error,
    },
    /// A state chart of the steering decisions is invalid.
    #[snafu(display("{source}"))]
    Steer {
        /// The chart's error.
        source: corianderway_steer::ChartError,
    },
    /// A state chart of the duties is invalid.
    #[snafu(display("{source}"))]
    Duty {
        /// The chart's error.
        source: corianderway_duties::ChartError,
    },
    /// The instance name is invalid.
    #[snafu(display("instance: {source}"))]
    Name {
        /// The validation error.
        source: corianderway_model::Error,
    },
}

/// Runs the daemon until its planned stop has ended.
///
/// Returns [`EXIT_REQUESTS_CUT`] if requests were still open then.
///
/// # Errors
///
/// Returns an error if a listener, the logger, a chart or a thread can't be set up.
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
    let unfinished = start(settings, me, callers, peers, metrics, log, &ready)?;
    Ok(if unfinished == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_REQUESTS_CUT)
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
    let descriptors = Descriptors::claim(None);
    log.put(Level::Info, descriptors.log_line());
    let clock = Clock::start();
    let (decisions, inputs) = async_channel::bounded(rings::DECISIONS_CAPACITY);
    let (jobs, job_rx) = async_channel::bounded(rings::JOBS_CAPACITY);
    let (commands, cmd_rx) = async_channel::bounded(rings::COMMANDS_CAPACITY);
    let (messages, queued) = async_channel::bounded(rings::MESSAGES_CAPACITY);
    let (probes, probe_rx) = async_channel::bounded(rings::PROBES_CAPACITY);
    let (samples, sample_rx) = async_channel::bounded(rings::SAMPLES_CAPACITY);
    let (instruments, scrape) = Instruments::new().context(MetricsSnafu)?;
    let stopping = Arc::new(AtomicBool::new(false));
    let open = Arc::new(AtomicU64::new(0));
    let closed = Arc::new(AtomicBool::new(false));
    let done = Arc::new(AtomicBool::new(false));

    let node = Node::new(me.clone(), settings.bootstrap.clone(), rand::random());
    let node = node.context(NodeSnafu)?;
    let outputs = Outputs {
        platform: commands,
        peers: messages,
        queued_messages: queued.clone(),
    };
    let decision_duty = DecisionDuty::new(node, clock, outputs, probes, samples, log.clone());
    let stop = Stop::new(
        Arc::clone(&stopping),
        Arc::clone(&closed),
        Arc::clone(&open),
        decisions.clone(),
        log.clone(),
    );
    let stop = stop.context(ThreadSnafu)?;

    let finished = Arc::clone(&done);
    let decider = duty::spawn("decisions", move || decision_duty.run(inputs, finished));
    let decider = decider.context(ThreadSnafu)?;
    duty::spawn("metrics", move || metrics::run(sample_rx, instruments)).context(ThreadSnafu)?;
    duty::spawn("servers", move || servers::run(job_rx, clock)).context(ThreadSnafu)?;
    let platform = settings.platform;
    let ring = decisions.clone();
    duty::spawn("platform", move || platform::run(platform, cmd_rx, ring)).context(ThreadSnafu)?;
    let (ring, id, peer_log) = (decisions.clone(), me.id.clone(), log.clone());
    duty::spawn("peers", move || {
        peers::run(peers, id, queued, ring, peer_log);
    })
    .context(ThreadSnafu)?;
    let ring = decisions.clone();
    duty::spawn("measurements", move || probes::run(probe_rx, ring)).context(ThreadSnafu)?;
    let (ring, admin_log) = (decisions.clone(), log.clone());
    duty::spawn("admin", move || {
        admin::run(metrics, scrape, ring, admin_log);
    })
    .context(ThreadSnafu)?;
    let requests = CallerOutputs { decisions, jobs };
    let prefix = Arc::from(me.id.as_str());
    let max = descriptors.share(Share::Callers);
    let make = move || CallerContext::new(requests, clock, stopping, closed, open, prefix, max);
    duty::spawn("callers", move || callers::run(callers, log, make)).context(ThreadSnafu)?;

    println!("{ready}");
    let unfinished = stop.wait(settings.grace);
    done.store(true, Ordering::Release);
    // Joined so that the last actions of the node are still executed.
    drop(decider.join());
    Ok(unfinished)
}

fn start_log(settings: &Settings, me: &Entry) -> Result<Log, StartError> {
    logs::start(&settings.level).context(LoggerSnafu)?;
    let (log, lines) = Log::ring();
    let writer_log = log.clone();
    duty::spawn("log", move || logs::run(lines, writer_log)).context(ThreadSnafu)?;
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

// The instance id is new at each start, so that peers never confuse a restarted
// process with its predecessor on the same address.
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

fn local(listener: &TcpListener, configured: SocketAddr) -> SocketAddr {
    listener.local_addr().unwrap_or(configured)
}
