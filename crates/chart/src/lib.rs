//! An interpreter for state charts that are stored in YAML files.
//!
//! A chart lists its states and events. Each state handles every event, with a
//! transition and its actions, or ignores it explicitly; loading a chart checks
//! that none is left out. A chart may also name activities that go on in some states,
//! with the actions that begin and end them; no transition can leave these out. States, events, guards and actions are enums of the
//! caller, and their names in the file are the variants' serde names.
//!
//! # Example
//!
//! ```
//! use corianderway_chart::Chart;
//! use serde::Deserialize;
//!
//! #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
//! #[serde(rename_all = "kebab-case")]
//! enum State { Shut, Open }
//!
//! #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
//! #[serde(rename_all = "kebab-case")]
//! enum Event { Push, Pull }
//!
//! #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
//! #[serde(rename_all = "kebab-case")]
//! enum Guard { Locked }
//!
//! #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
//! #[serde(rename_all = "kebab-case")]
//! enum Action { Ring }
//!
//! let text = "
//! chart: door
//! initial: shut
//! events: [push, pull]
//! states:
//!   shut:
//!     on:
//!       push:
//!         - { when: locked, to: shut, do: [ring] }
//!         - { to: open }
//!     ignore: [pull]
//!   open:
//!     on:
//!       pull: { to: shut }
//!     ignore: [push]
//! ";
//! let chart: Chart<State, Event, Guard, Action> = Chart::parse(text)?;
//! let step = chart.step(State::Shut, Event::Push, |Guard::Locked| true);
//! assert_eq!(step.to, State::Shut);
//! assert_eq!(step.actions, [Action::Ring]);
//! # Ok::<(), corianderway_chart::Error>(())
//! ```

mod activity;
mod chart;
mod definition;
mod diagram;
mod error;

pub use crate::activity::Activity;
pub use crate::chart::Chart;
pub use crate::chart::Step;
pub use crate::definition::Branch;
pub use crate::definition::Definition;
pub use crate::definition::Node;
pub use crate::error::Error;
