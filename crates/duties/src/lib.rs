//! Duties that one instance performs at a time, and the usage reports that are one.
//!
//! An instance holds a duty under a lease, an object in a store that is replaced only if its
//! revision is unchanged. Each holder has a fencing token above those of the earlier ones.
//! The holder collects the counts of all instances, and reports each window once.
//!
//! [`Duty::step`] takes an event with the time and returns what to do: it has no socket, no
//! clock and no random numbers.
//!
//! * [`Book`] holds the counts of attempts by account and window.
//! * [`Lease`] decides who holds the duty.
//! * [`Reports`] decides when a window is frozen, sent and settled.

mod book;
mod duty;
mod event;
mod lease;
mod message;
mod note;
mod record;
mod reports;

use snafu::Snafu;

pub use crate::book::Attempt;
pub use crate::book::Book;
pub use crate::book::Entry;
pub use crate::duty::Duty;
pub use crate::event::Action;
pub use crate::event::Event;
pub use crate::event::Moment;
pub use crate::event::Terms;
pub use crate::lease::Lease;
pub use crate::lease::LEASE_CHART;
pub use crate::message::Ask;
pub use crate::message::Message;
pub use crate::message::Peer;
pub use crate::message::Told;
pub use crate::note::Note;
pub use crate::record::Found;
pub use crate::record::Record;
pub use crate::record::Report;
pub use crate::record::Version;
pub use crate::reports::Reports;
pub use crate::reports::REPORT_CHART;

/// A state chart that is faulty, so that no duty can be made.
#[derive(Debug, Snafu)]
#[snafu(display("the state chart {file} is faulty: {source}"))]
pub struct ChartError {
    file: &'static str,
    source: corianderway_chart::Error,
}
