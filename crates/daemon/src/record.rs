//! Converts records of the node to log lines.

use corianderway_node::Field;
use corianderway_node::Record;
use corianderway_node::Severity;
use corianderway_wire::log_line::LogLine;
use log::Level;

/// Returns the log level of a record.
pub fn level(record: &Record) -> Level {
    match record.severity() {
        Severity::Warn => Level::Warn,
        Severity::Info => Level::Info,
    }
}

/// Returns the log line of a record.
pub fn line(record: &Record) -> LogLine {
    let start = LogLine::new(record.event());
    record
        .fields()
        .into_iter()
        .fold(start, |line, field| match field {
            Field::Pair(name, value) => line.with(name, value),
            Field::Formatted(pairs) => line.with_pairs(&pairs),
        })
}
