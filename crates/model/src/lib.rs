//! Names, time, client accounts' contracts and instance lists, which all packages share.
//!
//! Input is deserialized into the types of [`raw`] and converted to checked types with `TryFrom`.
//! Decisions use the checked types only; tools that read or write contracts also use [`raw`].
//!
//! # Example
//!
//! ```
//! use corianderway_model::Contract;
//!
//! let contract = Contract::parse("finder.yaml", "
//! account: finder
//! hosts: [finder.lakeshore.example]
//! rate: 200
//! burst: 400
//! routes:
//!   - name: find
//!     path: /capsules/
//!     methods: [GET]
//!     service: finder
//!     access: open
//!     priority: urgent
//!     deadline: 2s
//! regions:
//!   - { name: north, capacity: 400, shift: 40 }
//! ")?;
//! let route = contract.route("GET", "/capsules/17").unwrap();
//! assert_eq!(route.name.as_str(), "find");
//! # Ok::<(), corianderway_model::Error>(())
//! ```

mod contract;
mod error;
mod fleet;
mod name;
pub mod raw;
mod revision;
mod secret;
mod sorted;
mod time;

pub use crate::contract::Access;
pub use crate::contract::Contract;
pub use crate::contract::Priority;
pub use crate::contract::RegionLimit;
pub use crate::contract::Replay;
pub use crate::contract::Route;
pub use crate::contract::VersionPolicy;
pub use crate::error::Error;
pub use crate::fleet::Backend;
pub use crate::fleet::Entry;
pub use crate::fleet::Presence;
pub use crate::name::Account;
pub use crate::name::FailureDomain;
pub use crate::name::InstanceId;
pub use crate::name::KeyId;
pub use crate::name::Region;
pub use crate::name::RouteName;
pub use crate::name::ServerId;
pub use crate::name::Service;
pub use crate::name::Version;
pub use crate::revision::Era;
pub use crate::revision::Revision;
pub use crate::secret::Secret;
pub use crate::sorted::SortedMap;
pub use crate::time::DurationText;
pub use crate::time::Time;
