//! A whole fleet of real processes on one machine.
//!
//! [`Fleet`] starts what a [`Topology`] lists, tells the platform stand-in of
//! it, applies contracts and grants keys. Dropping it ends every process.

mod change;
mod error;
mod folder;
mod keys;
mod run;
mod topology;

pub(crate) use crate::fleet::error::ContractSnafu;
pub use crate::fleet::error::Error;
pub use crate::fleet::keys::Granted;
pub use crate::fleet::run::Fleet;
pub use crate::fleet::run::Node;
pub use crate::fleet::run::Options;
pub use crate::fleet::topology::read_contracts;
pub use crate::fleet::topology::Endpoint;
pub use crate::fleet::topology::Links;
pub use crate::fleet::topology::Place;
pub use crate::fleet::topology::Region;
pub use crate::fleet::topology::Service;
pub use crate::fleet::topology::Topology;
