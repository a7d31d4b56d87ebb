//! Version moves and drains, as decisions without input or output.
//!
//! A version move takes a service from an old version to a new one, in steps that
//! depend on evidence, or rolls it back. Each instance has a [`Rollout`]: its input
//! is [`Event`]s (records, reports of other instances, time) and the outcomes of
//! requests; its output is [`Action`]s: what to write, send and log. It opens no
//! socket, reads no clock and draws no random number. [`Drains`] does the same for
//! backend servers that are to get no new work.
//!
//! Any instance may advance a move. The instances act in an order that each of them
//! computes from the same data; a write is conditional on the version that it
//! replaces; and after a lost answer the record is read back. A share grows only by
//! such a write. An instance that observes a fault stops the new version on its own
//! and at once.
//!
//! # Example
//!
//! ```
//! use std::time::Duration;
//!
//! use corianderway_model::VersionPolicy;
//! use corianderway_rollout::Action;
//! use corianderway_rollout::Event;
//! use corianderway_rollout::Moment;
//! use corianderway_rollout::Move;
//! use corianderway_rollout::Plan;
//! use corianderway_rollout::Rollout;
//! use corianderway_rollout::Share;
//! use corianderway_rollout::State;
//! use corianderway_rollout::Stored;
//!
//! let plan = Plan {
//!     service: "finder".try_into()?,
//!     from: "v1".try_into()?,
//!     to: "v2".try_into()?,
//!     wall: 0,
//!     policy: VersionPolicy {
//!         share: 0.05,
//!         deadline: Duration::from_secs(1800),
//!         margin: 0.05,
//!     },
//!     who: "operator".into(),
//! };
//! let service = plan.service.clone();
//! let to = plan.to.clone();
//! let record = Move::try_from(plan)?;
//!
//! let mut rollout = Rollout::new("entry-1".try_into()?)?;
//! let mut actions = Vec::new();
//! let at = Moment::default();
//! rollout.step(at, Event::Record(Stored { value: record, version: 1 }), &mut actions);
//! assert_eq!(rollout.choose(&service, 0).unwrap().as_str(), "v1");
//!
//! let share = Share::ONE;
//! rollout.step(at, Event::Capacity { service, version: to, share }, &mut actions);
//! rollout.step(at, Event::Tick, &mut actions);
//! let write = actions.iter().find_map(|action| match action {
//!     Action::Write { record, expect } => Some((record, *expect)),
//!     _ => None,
//! });
//! let (record, expect) = write.unwrap();
//! assert_eq!((record.state, expect), (State::Trial, 1));
//! assert_eq!(record.share, Share::from_ratio(0.05));
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod advance;
mod analysis;
mod capacity;
mod comparison;
mod drain;
mod drain_chart;
mod drain_event;
mod drains;
mod error;
mod event;
mod evidence;
mod in_flight;
mod inferiority;
mod instance_counts;
mod managed_move;
mod move_chart;
mod non_inferiority;
mod rank;
mod record;
mod record_writer;
mod rollout;
mod sample;
mod schedule;
mod scope_tests;
mod share;
mod splitter;
mod tally;
mod tracker;

pub use crate::analysis::Analysis;
pub use crate::analysis::AnalysisParams;
pub use crate::analysis::CONDEMN_ALPHA;
pub use crate::analysis::PASS_ALPHA;
pub use crate::analysis::STEP_ALPHA;
pub use crate::analysis::SUSPECT_ALPHA;
pub use crate::capacity::ServerLoad;
pub use crate::comparison::Comparison;
pub use crate::drain::Drain;
pub use crate::drain::DrainConditions;
pub use crate::drain::DrainScope;
pub use crate::drain::ServerLocation;
pub use crate::drain_chart::DrainChart;
pub use crate::drain_chart::DrainEffect;
pub use crate::drain_chart::DrainGuard;
pub use crate::drain_chart::DrainState;
pub use crate::drain_chart::DrainTrigger;
pub use crate::drain_chart::DRAIN_CHART;
pub use crate::drain_event::DrainAction;
pub use crate::drain_event::DrainEvent;
pub use crate::drain_event::DrainReport;
pub use crate::drains::Drains;
pub use crate::error::Error;
pub use crate::event::Action;
pub use crate::event::Decision;
pub use crate::event::Event;
pub use crate::event::Moment;
pub use crate::event::Stop;
pub use crate::event::Stored;
pub use crate::evidence::Evidence;
pub use crate::evidence::Fault;
pub use crate::evidence::FaultKind;
pub use crate::move_chart::Effect;
pub use crate::move_chart::Guard;
pub use crate::move_chart::MoveChart;
pub use crate::move_chart::State;
pub use crate::move_chart::Trigger;
pub use crate::move_chart::MOVE_CHART;
pub use crate::record::Author;
pub use crate::record::Conditions;
pub use crate::record::Move;
pub use crate::record::MoveKey;
pub use crate::record::Plan;
pub use crate::rollout::MoveSnapshot;
pub use crate::rollout::Rollout;
pub use crate::sample::Sample;
pub use crate::sample::Stratum;
pub use crate::share::Share;
pub use crate::splitter::Arm;
pub use crate::splitter::Splitter;
pub use crate::tally::Outcome;
pub use crate::tally::Report;
pub use crate::tally::RouteTally;
pub use crate::tally::Tally;
pub use crate::tally::MAX_ROUTES;
pub use crate::tally::OTHER_ROUTES;
