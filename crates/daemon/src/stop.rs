//! The planned stop: no request is cut off.

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

/// The time in which callers and peers hear of the stop while requests are still
/// taken; every answer in it asks its caller to close the connection.
const LEAD: Duration = Duration::from_secs(2);

/// The time between two looks at the open requests.
const LOOK: Duration = Duration::from_millis(20);

/// What a planned stop needs.
#[derive(Debug)]
pub struct Stop {
    signals: Signals,
    stopping: Arc<AtomicBool>,
    closed: Arc<AtomicBool>,
    open: Arc<AtomicU64>,
    decisions: Sender<Input>,
    log: Log,
}

impl Stop {
    /// Begins to listen for the signals of a planned stop.
    ///
    /// # Errors
    ///
    /// Fails when the system takes no handler.
    pub fn new(
        stopping: Arc<AtomicBool>,
        closed: Arc<AtomicBool>,
        open: Arc<AtomicU64>,
        decisions: Sender<Input>,
        log: Log,
    ) -> io::Result<Self> {
        let signals = Signals::new([SIGTERM, SIGINT])?;
        Ok(Self {
            signals,
            stopping,
            closed,
            open,
            decisions,
            log,
        })
    }

    /// Waits for a signal, then until no request is open or `grace` is over.
    ///
    /// Returns the number of requests that are still open.
    pub fn wait(mut self, grace: Duration) -> u64 {
        // The iterator ends only with the process.
        let _signal = self.signals.forever().next();
        self.log.put(Level::Info, LogLine::new("stop-begins"));
        // The decision duty ends last.
        drop(self.decisions.send_blocking(Input::Event(Event::Stop)));
        self.stopping.store(true, Ordering::Release);
        thread::sleep(LEAD);
        self.closed.store(true, Ordering::Release);
        let begun = Instant::now();
        while self.open.load(Ordering::Acquire) > 0 && begun.elapsed() < grace {
            thread::sleep(LOOK);
        }
        let left = self.open.load(Ordering::Acquire);
        let line = LogLine::new("stop-ends").with("open", left);
        self.log.put(Level::Info, line);
        left
    }
}
