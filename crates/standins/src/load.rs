//! The load tool: runs scenarios against real processes over loopback.
//!
//! A [`Scenario`] is read from YAML and its [`Schedule`] is drawn from a seed.
//! The load is open-loop: each request is sent at its scheduled time, whether or
//! not earlier ones have been answered, and latency is measured from that time.
//! [`run()`] returns a [`Summary`], which can be printed as a table, as JSON and
//! as a plot.

mod act;
mod aftermath;
mod book;
mod caller;
mod error;
mod evidence;
mod figures;
mod plot;
mod pool;
mod run;
mod sample;
mod scenario;
mod schedule;
mod summary;
mod table;
mod usage;
mod worker;

pub use crate::load::act::Act;
pub use crate::load::act::Moment;
pub use crate::load::book::Target;
pub use crate::load::error::Error;
pub use crate::load::figures::AccountFigures;
pub use crate::load::figures::Latency;
pub use crate::load::figures::RouteFigures;
pub use crate::load::figures::Second;
pub use crate::load::plot::plot;
pub use crate::load::run::run;
pub use crate::load::sample::Attempt;
pub use crate::load::sample::End;
pub use crate::load::sample::Sample;
pub use crate::load::scenario::Callers;
pub use crate::load::scenario::Scenario;
pub use crate::load::scenario::Share;
pub use crate::load::scenario::Weight;
pub use crate::load::schedule::Arrival;
pub use crate::load::schedule::Class;
pub use crate::load::schedule::Schedule;
pub use crate::load::schedule::Way;
pub use crate::load::summary::summarize;
pub use crate::load::summary::Summary;
pub use crate::load::table::spread;
pub use crate::load::table::table;
pub use crate::load::usage::Usage;
