//! Accepts connections and logs those that can't be served.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use async_std::net::TcpListener;
use async_std::net::TcpStream;
use async_std::task;
use corianderway_wire::log_line::LogLine;
use log::Level;

use crate::logs::Log;

/// The delay after a failed accept, which usually means that no file
/// descriptors are left.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// The minimum time between two log lines of a kind.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// A listener with counts of what it couldn't serve.
#[derive(Debug)]
pub struct Acceptor {
    listener: TcpListener,
    // The name of the port, for the log.
    port: &'static str,
    log: Log,
    failed: Tally,
    rejected: Tally,
}

/// Events that are logged together.
#[derive(Debug, Default)]
struct Tally {
    count: Cell<u64>,
    logged: Cell<Option<Instant>>,
}

impl Acceptor {
    /// Creates an acceptor; `port` names it in the log.
    pub fn new(listener: std::net::TcpListener, port: &'static str, log: Log) -> Self {
        Self {
            listener: listener.into(),
            port,
            log,
            failed: Tally::default(),
            rejected: Tally::default(),
        }
    }

    /// Waits for a connection; tries again after an error.
    pub async fn accept(&self) -> (TcpStream, SocketAddr) {
        loop {
            match self.listener.accept().await {
                Ok(accepted) => return accepted,
                Err(error) => {
                    self.log_failed(&error);
                    task::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Counts a connection that is closed or refused, since `open` of them are open.
    pub fn reject(&self, open: usize) {
        if let Some(count) = self.rejected.add() {
            let line = LogLine::new("connection-rejected").with("port", self.port);
            let line = line.with("open", open).with("count", count);
            self.log.put(Level::Warn, line);
        }
    }

    fn log_failed(&self, error: &io::Error) {
        if let Some(count) = self.failed.add() {
            let errno = error.raw_os_error().unwrap_or_default();
            let line = LogLine::new("accept-failed").with("port", self.port);
            let line = line.with("errno", errno).with("why", error);
            self.log.put(Level::Warn, line.with("count", count));
        }
    }
}

impl Tally {
    // Counts an event; returns the number since the last line if another one is due.
    fn add(&self) -> Option<u64> {
        let count = self.count.get() + 1;
        self.count.set(count);
        let logged = self.logged.get();
        if logged.is_some_and(|logged| logged.elapsed() < LOG_INTERVAL) {
            return None;
        }
        self.logged.set(Some(Instant::now()));
        self.count.set(0);
        Some(count)
    }
}
