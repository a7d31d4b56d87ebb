//! A complete fleet of real processes on one machine.
//!
//! [`Fleet`] starts the entry instances and backend servers of a [`Topology`]
//! and a platform stand-in, registers them there, stores contracts and grants
//! keys. Dropping it kills every process.

mod change;
mod error;
mod folder;
mod keys;
mod run;
mod topology;

pub(crate) use crate::fleet::error::ContractSnafu;
pub use crate::fleet::error::Error;
pub use crate::fleet::keys::GrantedKey;
pub use crate::fleet::run::Fleet;
pub use crate::fleet::run::Node;
pub use crate::fleet::run::Options;
pub use crate::fleet::topology::read_contracts;
pub use crate::fleet::topology::Endpoint;
pub use crate::fleet::topology::EntryInstance;
pub use crate::fleet::topology::Links;
pub use crate::fleet::topology::Region;
pub use crate::fleet::topology::Service;
pub use crate::fleet::topology::Topology;
