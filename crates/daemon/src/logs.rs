//! The log duty: writes lines to standard output and reports how many were dropped.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;

use async_channel::Receiver;
use async_channel::Sender;
use corianderway_wire::log_line::LogLine;
use flexi_logger::DeferredNow;
use flexi_logger::FlexiLoggerError;
use flexi_logger::Logger;
use log::Level;

use crate::rings;

/// Sends log lines to the log duty. It never waits: if the ring is full, the line
/// is dropped and counted.
#[derive(Clone, Debug)]
pub struct Log {
    lines: Sender<(Level, String)>,
    dropped: Arc<AtomicU64>,
}

impl Log {
    /// Makes the ring of log lines and returns both ends.
    pub fn ring() -> (Self, Receiver<(Level, String)>) {
        let (lines, receiver) = async_channel::bounded(rings::LINES_CAPACITY);
        let dropped = Arc::default();
        (Self { lines, dropped }, receiver)
    }

    /// Sends a line to the log duty if the ring is less than half full, and otherwise
    /// drops and counts it. This leaves room for more important lines.
    pub fn put_low_priority(&self, level: Level, line: LogLine) {
        if self.lines.len() < rings::LINES_CAPACITY / 2 {
            self.put(level, line);
        } else {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Sends a line to the log duty, or drops and counts it if the ring is full.
    pub fn put(&self, level: Level, line: LogLine) {
        if self.lines.try_send((level, line.into_text())).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Starts the logger, which is used by the log duty only.
///
/// # Errors
///
/// Returns an error if the level can't be parsed or a logger is already running.
pub fn start(level: &str) -> Result<(), FlexiLoggerError> {
    // Log lines of libraries are disabled.
    let spec = format!("off, {}={level}", module_path!());
    let logger = Logger::try_with_str(spec)?.log_to_stdout().format(format);
    logger.start().map(drop)
}

/// Writes lines until every sender is closed.
pub fn run(lines: Receiver<(Level, String)>, log: Log) {
    let dropped = Arc::clone(&log.dropped);
    // Dropped, since it would keep the ring of this duty open.
    drop(log);
    let mut reported = 0;
    while let Ok((level, line)) = lines.recv_blocking() {
        log::log!(level, "{line}");
        let now = dropped.load(Ordering::Relaxed);
        if now != reported {
            let line = LogLine::new("log-lost").with("lines", now - reported);
            log::log!(Level::Error, "{}", line.into_text());
            reported = now;
        }
    }
}

fn format(
    w: &mut dyn std::io::Write,
    now: &mut DeferredNow,
    record: &log::Record<'_>,
) -> std::io::Result<()> {
    let level = record.level().as_str().to_ascii_lowercase();
    write!(
        w,
        "time={} level={level} {}",
        now.format_rfc3339(),
        record.args()
    )
}
