//! Accepts connections and logs those that can't be served.

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use async_std::net::TcpListener;
use async_std::net::TcpStream;
use async_std::task;
use corianderway_wire::log_line::LogLine;
use futures_lite::future::FutureExt as _;
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
    failed: Tally<io::Error>,
    // The number of open connections, for each that is rejected.
    rejected: Tally<usize>,
}

/// Events that are logged together.
#[derive(Debug)]
struct Tally<T> {
    // The number since the last line.
    count: Cell<u64>,
    // The details of the latest of these.
    latest: RefCell<Option<T>>,
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

    /// Waits for a connection; tries again after an error. Meanwhile logs what is due.
    pub async fn accept(&self) -> (TcpStream, SocketAddr) {
        loop {
            self.log_due();
            let accepted = async { Some(self.listener.accept().await) };
            let due = async {
                self.wait_due().await;
                None
            };
            match accepted.or(due).await {
                Some(Ok(accepted)) => return accepted,
                Some(Err(error)) => {
                    self.failed.add(error);
                    self.log_due();
                    task::sleep(RETRY_DELAY).await;
                }
                None => (),
            }
        }
    }

    /// Counts a connection that is closed or refused, since `open` of them are open.
    pub fn reject(&self, open: usize) {
        self.rejected.add(open);
        self.log_due();
    }

    // Waits until a line is due.
    async fn wait_due(&self) {
        let waits = [self.failed.due_in(), self.rejected.due_in()];
        match waits.into_iter().flatten().min() {
            Some(wait) => task::sleep(wait).await,
            None => std::future::pending().await,
        }
    }

    fn log_due(&self) {
        if let Some((error, count)) = self.failed.take_due() {
            let errno = error.raw_os_error().unwrap_or_default();
            let line = LogLine::new("accept-failed").with("port", self.port);
            let line = line.with("errno", errno).with("why", error);
            self.log.put(Level::Warn, line.with("count", count));
        }
        if let Some((open, count)) = self.rejected.take_due() {
            let line = LogLine::new("connection-rejected").with("port", self.port);
            let line = line.with("open", open).with("count", count);
            self.log.put(Level::Warn, line);
        }
    }
}

impl<T> Tally<T> {
    fn add(&self, details: T) {
        self.count.set(self.count.get() + 1);
        self.latest.replace(Some(details));
    }

    // Returns the time until a line is due, if there are events to log.
    fn due_in(&self) -> Option<Duration> {
        let since = self.logged.get().map_or(LOG_INTERVAL, |at| at.elapsed());
        (self.count.get() > 0).then(|| LOG_INTERVAL.saturating_sub(since))
    }

    // Takes the latest event and the number since the last line if another one is due.
    fn take_due(&self) -> Option<(T, u64)> {
        self.due_in().filter(Duration::is_zero)?;
        self.logged.set(Some(Instant::now()));
        let latest = self.latest.take()?;
        Some((latest, self.count.take()))
    }
}

impl<T> Default for Tally<T> {
    fn default() -> Self {
        Self {
            count: Cell::default(),
            latest: RefCell::default(),
            logged: Cell::default(),
        }
    }
}
