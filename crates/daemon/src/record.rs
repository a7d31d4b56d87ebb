//! Records of the node as log lines.

use corianderway_node::Field;
use corianderway_node::Record;
use corianderway_node::Weight;
use corianderway_wire::log_line::LogLine;
use log::Level;

/// The level of a record.
pub fn level(record: &Record) -> Level {
    match record.weight() {
        Weight::Warn => Level::Warn,
        Weight::Info => Level::Info,
    }
}

/// The line of a record.
pub fn line(record: &Record) -> LogLine {
    let start = LogLine::new(record.event());
    record
        .fields()
        .into_iter()
        .fold(start, |line, field| match field {
            Field::Pair(name, value) => line.with(name, value),
            Field::Pairs(pairs) => line.with_pairs(&pairs),
        })
}
