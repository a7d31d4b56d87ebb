//! The sockets of an instance, bound at its start.
//!
//! A predecessor that is still ending, or a connection that happens to use a port, may hold an
//! address for a while, so binding is tried again until a timeout. All sockets are bound at
//! once or none, so that nobody connects to an instance that doesn't serve yet.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use corianderway_platform::settings::Settings;
use corianderway_wire::log_line::LogLine;
use log::Level;
use snafu::ResultExt as _;

use crate::daemon::ListenSnafu;
use crate::daemon::StartError;
use crate::edge::http_ports::HttpPort;
use crate::edge::signals::ArrivedSignals;
use crate::logs::Log;

/// The interval at which binding is tried again.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// How long binding is tried beyond the grace in which a predecessor ends.
const RETRY_MARGIN: Duration = Duration::from_secs(1);

/// The bound sockets.
#[derive(Debug)]
pub(super) struct Listeners {
    /// For callers' requests.
    pub(super) callers: TcpListener,
    /// For readiness checks and for callers' lookups.
    pub(super) ports: Vec<(HttpPort, TcpListener)>,
    /// For the replica of the store.
    pub(super) replica: TcpListener,
    /// For messages between instances.
    pub(super) peers: UdpSocket,
}

impl Listeners {
    /// Binds all sockets; returns `None` if a signal asks the process to stop first.
    ///
    /// # Errors
    ///
    /// Fails if an address is still in use after the grace, or can't be bound for another
    /// reason.
    pub(super) fn bind(
        settings: &Settings,
        signals: &ArrivedSignals,
        log: &Log,
    ) -> Result<Option<Self>, StartError> {
        let end = Instant::now() + settings.bounds.grace + RETRY_MARGIN;
        let mut is_logged = false;
        loop {
            let error = match Self::try_bind(settings) {
                Ok(listeners) => return Ok(Some(listeners)),
                Err(error) if is_transient(&error) && Instant::now() < end => error,
                Err(error) => return Err(error),
            };
            if !std::mem::replace(&mut is_logged, true) {
                let line = LogLine::new("address-taken").with("why", error);
                log.put(Level::Warn, line);
            }
            if signals.is_stop_requested() {
                return Ok(None);
            }
            thread::sleep(RETRY_INTERVAL);
        }
    }

    fn try_bind(settings: &Settings) -> Result<Self, StartError> {
        let entry = &settings.member.entry;
        let (field, addr) = ("port_range", entry.peers);
        Ok(Self {
            callers: listen("front", entry.callers)?,
            ports: vec![
                (HttpPort::Ready, listen("ready", settings.ready)?),
                (
                    HttpPort::Directory,
                    listen("directory", settings.directory)?,
                ),
            ],
            replica: listen("control", settings.member.replica)?,
            peers: UdpSocket::bind(addr).context(ListenSnafu { field, addr })?,
        })
    }
}

fn listen(field: &'static str, addr: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(addr).context(ListenSnafu { field, addr })
}

// An address that is in use may become free, and one of an interface that is coming up valid.
fn is_transient(error: &StartError) -> bool {
    let StartError::Listen { source, .. } = error else {
        return false;
    };
    matches!(
        source.kind(),
        io::ErrorKind::AddrInUse | io::ErrorKind::AddrNotAvailable
    )
}
