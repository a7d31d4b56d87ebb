//! Signals: the planned stop, which cuts off no request, and changed settings.

use std::io;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use async_channel::Sender;
use corianderway_platform::settings::Settings;
use corianderway_steer::Event;
use corianderway_wire::log_line::LogLine;
use log::Level;
use signal_hook::consts::SIGHUP;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

use crate::edge::decisions::Board;
use crate::edge::rings::Input;
use crate::logs::Log;

/// The part of the grace for which an instance stays in any case: callers and
/// other instances may not have heard of the stop before.
const STAY_PART: f64 = 0.55;

/// The time before the end of the grace at which the process ends by itself.
const MARGIN: Duration = Duration::from_millis(250);

/// The time between two looks at the open requests.
const LOOK: Duration = Duration::from_millis(50);

/// What the signals act on.
#[derive(Debug)]
pub struct Stop {
    signals: Signals,
    file: String,
    settings: Settings,
    stopping: Arc<AtomicBool>,
    board: Board,
    decisions: Sender<Input>,
    log: Log,
}

impl Stop {
    /// Begins to listen for signals.
    ///
    /// # Errors
    ///
    /// Fails when the system takes no handler.
    pub fn new(
        file: &str,
        settings: Settings,
        stopping: Arc<AtomicBool>,
        board: Board,
        decisions: Sender<Input>,
        log: Log,
    ) -> io::Result<Self> {
        Ok(Self {
            signals: Signals::new([SIGTERM, SIGINT, SIGHUP])?,
            file: file.to_owned(),
            settings,
            stopping,
            board,
            decisions,
            log,
        })
    }

    /// Waits for the signal of a planned stop, then until no request is open and
    /// every answer is written, or the grace is over; returns the number of
    /// requests still open.
    pub fn wait(mut self) -> usize {
        // The iterator ends only with the process.
        while let Some(SIGHUP) = self.signals.forever().next() {
            self.reload();
        }
        let grace = self.settings.bounds.grace;
        let line = LogLine::new("stop-begins").with("grace_ms", grace.as_millis());
        let open = self.board.open.load(Ordering::Acquire);
        self.log.put(Level::Info, line.with("open", open));
        let begun = Instant::now();
        self.stopping.store(true, Ordering::Release);
        // The decision duty ends last.
        drop(self.decisions.send_blocking(Input::Event(Event::Stop)));
        let stay = grace.mul_f64(STAY_PART);
        let most = grace.saturating_sub(MARGIN);
        loop {
            let open = self.board.open.load(Ordering::Acquire);
            let open = open.max(self.board.carried.load(Ordering::Acquire));
            let age = begun.elapsed();
            if (open == 0 && age >= stay) || age >= most {
                let line = LogLine::new("stop-ends").with("open", open);
                self.log
                    .put(Level::Info, line.with("after_ms", age.as_millis()));
                return open;
            }
            thread::sleep(LOOK);
        }
    }

    // Takes what may change while the process runs; the rest needs a restart.
    fn reload(&mut self) {
        let settings = match Settings::load(&self.file, self.settings.member.run) {
            Ok(settings) => settings,
            Err(error) => {
                let line = LogLine::new("reload-refused").with("error", error);
                self.log.put(Level::Warn, line);
                return;
            }
        };
        let mut same = self.settings.clone();
        same.seeds.clone_from(&settings.seeds);
        let line = LogLine::new("reload")
            .with("seeds", settings.seeds.len())
            .with("needs_restart", same != settings);
        self.log.put(Level::Info, line);
        let seeds = Event::Seeds(settings.seeds.clone());
        // The decision duty ends last.
        drop(self.decisions.send_blocking(Input::Event(seeds)));
        self.settings.seeds = settings.seeds;
    }
}
