//! The log duty: writes lines to standard output, and counts what it could not take.

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

/// The sending end for log lines; it never waits.
#[derive(Clone, Debug)]
pub struct Log {
    lines: Sender<(Level, String)>,
    lost: Arc<AtomicU64>,
}

impl Log {
    /// Makes the ring of log lines.
    pub fn ring() -> (Self, Receiver<(Level, String)>) {
        let (lines, taken) = async_channel::bounded(rings::LINES_CAPACITY);
        let lost = Arc::default();
        (Self { lines, lost }, taken)
    }

    /// Hands a line to the log duty if the ring is less than half full, or
    /// counts it, so that lines which matter more still find room.
    pub fn put_plain(&self, level: Level, line: LogLine) {
        if self.lines.len() < rings::LINES_CAPACITY / 2 {
            self.put(level, line);
        } else {
            self.lost.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Hands a line to the log duty, or counts it when the ring is full.
    pub fn put(&self, level: Level, line: LogLine) {
        if self.lines.try_send((level, line.into_text())).is_err() {
            self.lost.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Starts the logger, which only the log duty uses.
///
/// # Errors
///
/// Fails when the level can't be parsed or a logger runs already.
pub fn start(level: &str) -> Result<(), FlexiLoggerError> {
    // Lines of libraries are debug output and stay off.
    let spec = format!("off, {}={level}", module_path!());
    let logger = Logger::try_with_str(spec)?.log_to_stdout().format(format);
    logger.start().map(drop)
}

/// Writes lines until every sender is gone.
pub fn run(lines: Receiver<(Level, String)>, log: Log) {
    let lost = Arc::clone(&log.lost);
    // The duty must not keep its own ring open.
    drop(log);
    let mut told = 0;
    while let Ok((level, line)) = lines.recv_blocking() {
        log::log!(level, "{line}");
        let now = lost.load(Ordering::Relaxed);
        if now != told {
            let line = LogLine::new("log-lost").with("lines", now - told);
            log::log!(Level::Error, "{}", line.into_text());
            told = now;
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
