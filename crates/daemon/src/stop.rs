//! The planned stop: lets open requests end before the process does.

use std::io;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use async_channel::Sender;
use corianderway_node::Event;
use corianderway_wire::log_line::LogLine;
use log::Level;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

use crate::logs::Log;
use crate::rings::Input;

/// The time between the announcement of a stop and the end of accepting
/// connections. Meanwhile callers and peers learn of the stop, and every response
/// asks its caller to close the connection.
const ANNOUNCE_DELAY: Duration = Duration::from_secs(2);

/// The interval at which the number of open requests is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Waits for a signal and runs the planned stop.
#[derive(Debug)]
pub struct Stop {
    signals: Signals,
    stopping: Arc<AtomicBool>,
    accept_closed: Arc<AtomicBool>,
    open_requests: Arc<AtomicU64>,
    decisions: Sender<Input>,
    log: Log,
}

impl Stop {
    /// Installs the handlers for SIGTERM and SIGINT.
    ///
    /// # Errors
    ///
    /// Returns an error if a handler can't be installed.
    pub fn new(
        stopping: Arc<AtomicBool>,
        accept_closed: Arc<AtomicBool>,
        open_requests: Arc<AtomicU64>,
        decisions: Sender<Input>,
        log: Log,
    ) -> io::Result<Self> {
        let signals = Signals::new([SIGTERM, SIGINT])?;
        Ok(Self {
            signals,
            stopping,
            accept_closed,
            open_requests,
            decisions,
            log,
        })
    }

    /// Waits for a signal, then until no request is open or `grace` has passed.
    ///
    /// Returns the number of requests that are still open.
    pub fn wait(mut self, grace: Duration) -> u64 {
        // The iterator ends only with the process.
        let _signal = self.signals.forever().next();
        self.log.put(Level::Info, LogLine::new("stop-begins"));
        // The decision duty ends last, so it receives the event.
        drop(self.decisions.send_blocking(Input::Event(Event::Stop)));
        self.stopping.store(true, Ordering::Release);
        thread::sleep(ANNOUNCE_DELAY);
        self.accept_closed.store(true, Ordering::Release);
        let started = Instant::now();
        while self.open_requests.load(Ordering::Acquire) > 0 && started.elapsed() < grace {
            thread::sleep(POLL_INTERVAL);
        }
        let unfinished = self.open_requests.load(Ordering::Acquire);
        let line = LogLine::new("stop-ends").with("open", unfinished);
        self.log.put(Level::Info, line);
        unfinished
    }
}
