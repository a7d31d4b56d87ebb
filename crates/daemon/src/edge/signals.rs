//! Signal handling: the planned stop, and the reload of the settings.
//!
//! `SIGTERM` and `SIGINT` begin a planned stop, which lets open requests finish
//! within the grace. `SIGHUP` reloads the settings.

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
use signal_hook::flag;
use signal_hook::iterator::Signals;

use crate::edge::decisions::SharedState;
use crate::edge::rings::Input;
use crate::logs::Log;

/// The fraction of the grace for which an instance keeps running even without
/// open requests, since callers and other instances learn of the stop late.
const MIN_STAY_FRACTION: f64 = 0.55;

/// How long before the end of the grace the process exits in any case.
const EXIT_MARGIN: Duration = Duration::from_millis(250);

/// The maximum of that margin as a fraction of the grace: half of what the decisions keep for
/// writing the last answers.
const EXIT_MARGIN_FRACTION: f64 = 0.0625;

/// The interval at which the open requests are checked during a stop.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The signals that have arrived since the registration.
#[derive(Debug)]
pub struct ArrivedSignals {
    signals: Signals,
    // Whether one of them asks the process to stop.
    stop: Arc<AtomicBool>,
}

impl ArrivedSignals {
    /// Registers for the signals. Before that the default action of each ends the process.
    ///
    /// # Errors
    ///
    /// Fails if the system rejects the registration.
    pub fn register() -> io::Result<Self> {
        let stop = Arc::new(AtomicBool::new(false));
        for signal in [SIGTERM, SIGINT] {
            flag::register(signal, Arc::clone(&stop))?;
        }
        let signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
        Ok(Self { signals, stop })
    }

    /// Returns whether the process was asked to stop.
    pub fn is_stop_requested(&self) -> bool {
        self.stop.load(Ordering::Acquire)
    }
}

/// Handles signals on the main thread.
#[derive(Debug)]
pub struct SignalHandler {
    signals: ArrivedSignals,
    file: String,
    settings: Settings,
    stopping: Arc<AtomicBool>,
    shared: SharedState,
    decisions: Sender<Input>,
    log: Log,
}

impl SignalHandler {
    /// Creates the handler, which handles the signals that have arrived first.
    pub fn new(
        signals: ArrivedSignals,
        file: &str,
        settings: Settings,
        stopping: Arc<AtomicBool>,
        shared: SharedState,
        decisions: Sender<Input>,
        log: Log,
    ) -> Self {
        Self {
            signals,
            file: file.to_owned(),
            settings,
            stopping,
            shared,
            decisions,
            log,
        }
    }

    /// Waits for the signal of a planned stop, then until every request is
    /// finished and its answer written, or the grace has nearly passed. Returns
    /// the number of requests that are still open.
    pub fn wait_for_stop(mut self) -> usize {
        // The signal iterator never ends.
        while let Some(SIGHUP) = self.signals.signals.forever().next() {
            self.reload();
        }
        let grace = self.settings.bounds.grace;
        let line = LogLine::new("stop-begins").with("grace_ms", grace.as_millis());
        let open = self.shared.open.load(Ordering::Acquire);
        self.log.put(Level::Info, line.with("open", open));
        let begun = Instant::now();
        self.stopping.store(true, Ordering::Release);
        // The decision duty still runs, so sending succeeds.
        drop(self.decisions.send_blocking(Input::Event(Event::Stop)));
        let min_stay = grace.mul_f64(MIN_STAY_FRACTION);
        let exit_margin = EXIT_MARGIN.min(grace.mul_f64(EXIT_MARGIN_FRACTION));
        let longest = grace.saturating_sub(exit_margin);
        loop {
            let open = self.shared.open.load(Ordering::Acquire);
            let open = open.max(self.shared.active.load(Ordering::Acquire));
            let age = begun.elapsed();
            if (open == 0 && age >= min_stay) || age >= longest {
                let line = LogLine::new("stop-ends").with("open", open);
                self.log
                    .put(Level::Info, line.with("after_ms", age.as_millis()));
                return open;
            }
            thread::sleep(CHECK_INTERVAL);
        }
    }

    // Applies new seeds; all other settings take effect only with a restart, and
    // the log says whether they changed.
    fn reload(&mut self) {
        let settings = match Settings::load(&self.file, self.settings.member.run) {
            Ok(settings) => settings,
            Err(error) => {
                let line = LogLine::new("reload-refused").with("error", error);
                self.log.put(Level::Warn, line);
                return;
            }
        };
        let mut with_seeds = self.settings.clone();
        with_seeds.seeds.clone_from(&settings.seeds);
        let line = LogLine::new("reload")
            .with("seeds", settings.seeds.len())
            .with("needs_restart", with_seeds != settings);
        self.log.put(Level::Info, line);
        let seeds = Event::Seeds(settings.seeds.clone());
        // The decision duty still runs, so sending succeeds.
        drop(self.decisions.send_blocking(Input::Event(seeds)));
        self.settings.seeds = settings.seeds;
    }
}
