//! The stand-in for a backend server.
//!
//! [`Runner`] decides which request runs, waits or is shed and what becomes of
//! it, by the chart in `charts/backend.yaml` and the [`Faults`] in force.
//! [`run`] puts it on a thread of its own behind the HTTP front, which reads
//! and writes bodies and lets the service time pass.

mod answer;
mod duty;
mod faults;
mod front;
mod gauge;
mod history;
mod plan;
mod runner;
mod settings;
mod stream;
mod work;

pub use crate::backend::faults::Cut;
pub use crate::backend::faults::Faults;
pub use crate::backend::faults::Health;
pub use crate::backend::faults::LoadReport;
pub use crate::backend::faults::Rule;
pub use crate::backend::front::run;
pub use crate::backend::gauge::Load;
pub use crate::backend::history::Outcome;
pub use crate::backend::history::Record;
pub use crate::backend::plan::Fate;
pub use crate::backend::plan::Plan;
pub use crate::backend::runner::Admission;
pub use crate::backend::runner::Arrival;
pub use crate::backend::runner::Runner;
pub use crate::backend::runner::State;
pub use crate::backend::settings::Distance;
pub use crate::backend::settings::Settings;
pub use crate::backend::work::FROM;
