//! The decisions of one entry instance.
//!
//! A [`Node`] combines the state machines for configuration, limits, routing and
//! rollout. It receives events with their times and returns actions. It opens no
//! socket, reads no clock and knows no encoding, so many nodes can run in one process
//! and under any front end.
//!
//! # Example
//!
//! ```
//! use corianderway_model::Entry;
//! use corianderway_model::Presence;
//! use corianderway_model::Time;
//! use corianderway_node::Action;
//! use corianderway_node::Event;
//! use corianderway_node::Node;
//! use corianderway_node::RequestId;
//!
//! # fn main() -> Result<(), Box<dyn std::error::Error>> {
//! let me = Entry {
//!     id: "entry-1".try_into()?,
//!     callers: "127.0.0.1:8001".parse()?,
//!     peers: "127.0.0.1:9001".parse()?,
//!     region: "north".try_into()?,
//!     domain: "north-a".try_into()?,
//!     presence: Presence::Live,
//! };
//! let mut node = Node::new(me, Vec::new(), 7)?;
//! let mut actions = Vec::new();
//! let id = RequestId(1);
//! let client = "127.0.0.1".parse()?;
//! node.step(Time::ZERO, Event::Directory { id, client }, &mut actions);
//! let Action::Advise { entries, .. } = &actions[0] else { panic!() };
//! assert_eq!(entries[0].port(), 8001);
//! # Ok(())
//! # }
//! ```

mod admission;
mod attempt;
mod chart;
mod checks;
mod claims;
mod configuration;
mod contracts;
mod current_versions;
mod directory;
mod drains;
mod event;
mod members;
mod message;
mod moves;
mod node;
mod open;
mod quota;
mod record;
mod refusal;
mod reports;
mod shifts;
mod status;
mod suspects;
mod sweep;
mod tickets;
mod waiting;

pub use crate::chart::REQUEST_CHART;
pub use crate::event::Action;
pub use crate::event::AttemptOutcome;
pub use crate::event::Event;
pub use crate::event::PollResult;
pub use crate::event::ReadOutcome;
pub use crate::event::RequestHead;
pub use crate::event::RequestId;
pub use crate::event::StoredValue;
pub use crate::event::Ticket;
pub use crate::event::Write;
pub use crate::event::WriteOutcome;
pub use crate::event::TICK_INTERVAL;
pub use crate::message::Message;
pub use crate::node::Error;
pub use crate::node::Node;
pub use crate::quota::Confirmation;
pub use crate::record::Field;
pub use crate::record::Record;
pub use crate::record::Severity;
pub use crate::refusal::Ran;
pub use crate::refusal::Reason;
pub use crate::refusal::Refusal;
pub use crate::status::InForceStatus;
pub use crate::status::Status;
