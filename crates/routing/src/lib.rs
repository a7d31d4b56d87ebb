//! Routing decisions: the region, backend server, entry instance and site for a
//! request.
//!
//! This package does no input or output and reads no clock. The caller passes the
//! time and random numbers in, and each decision is returned with its reason.
//!
//! - [`Fleet`] holds the known backend servers, [`Router`] chooses a region and a
//!   backend server, and [`Attempts`] decides whether a request is retried.
//! - [`Lookup`] finds the site for a client's address, and [`Entries`] the entry
//!   instances for a caller.
//! - [`Quarantine`] detects requests that crash backend servers, and refuses them.
//!
//! # Example: a request
//!
//! ```
//! use std::time::Duration;
//!
//! use corianderway_model::Backend;
//! use corianderway_model::Presence;
//! use corianderway_model::Priority;
//! use corianderway_model::Time;
//! use corianderway_routing::Fleet;
//! use corianderway_routing::Outcome;
//! use corianderway_routing::Query;
//! use corianderway_routing::Router;
//!
//! # fn main() -> Result<(), Box<dyn std::error::Error>> {
//! let backend = Backend {
//!     id: "finder-1".try_into()?,
//!     addr: "10.0.0.1:80".parse()?,
//!     service: "finder".try_into()?,
//!     version: "v1".try_into()?,
//!     region: "north".try_into()?,
//!     domain: "north-a".try_into()?,
//!     slots: 4,
//!     presence: Presence::Live,
//! };
//! let mut fleet = Fleet::new()?;
//! fleet.sync(&[backend.clone()], Time::ZERO);
//!
//! let router = Router::new(backend.region.clone(), backend.domain.clone());
//! let query = Query {
//!     service: &backend.service,
//!     home: &backend.region,
//!     versions: &[],
//!     priority: Priority::Normal,
//!     remaining: Duration::from_secs(2),
//!     tried: &[],
//! };
//! let decision = router.route(&fleet, &query, 7, |_region| false)?;
//! assert_eq!(fleet.server(decision.server).unwrap().id(), &backend.id);
//!
//! let ticket = fleet.begin(decision.server);
//! let latency = Duration::from_millis(5);
//! fleet.finish(ticket, Outcome::Answered(latency), Time::from_millis(5));
//! # Ok(())
//! # }
//! ```
//!
//! # Example: a site for an address
//!
//! ```
//! use corianderway_routing::Block;
//! use corianderway_routing::Cause;
//! use corianderway_routing::Lookup;
//! use corianderway_routing::Site;
//!
//! # fn main() -> Result<(), Box<dyn std::error::Error>> {
//! let mut sites = Vec::new();
//! for name in ["duluth", "marquette"] {
//!     let region = "north".try_into()?;
//!     sites.push(Site { name: name.into(), region, keep_share: 1.0, overflow_weight: 1.0 });
//! }
//! let block = Block { prefix: "10.2.0.0/16".try_into()?, site: "duluth".into() };
//! let mut lookup = Lookup::build(sites, &[block])?;
//! let client = "10.2.3.4".parse()?;
//! assert_eq!(&*lookup.find(client).unwrap().site.name, "duluth");
//!
//! lookup.set_weights("duluth", 0.0, 0.0)?;
//! let found = lookup.find(client).unwrap();
//! assert_eq!((&*found.site.name, found.cause), ("marquette", Cause::Moved));
//! # Ok(())
//! # }
//! ```
//!
//! # Example: a request that crashes backend servers
//!
//! ```
//! use corianderway_model::Time;
//! use corianderway_routing::Crash;
//! use corianderway_routing::Quarantine;
//! use corianderway_routing::Verdict;
//!
//! # fn main() -> Result<(), Box<dyn std::error::Error>> {
//! let (crashing, harmless) = (17, 4);
//! let mut quarantine = Quarantine::new();
//! let signatures = vec![crashing, harmless];
//! let first = Crash { server: "finder-1".try_into()?, signatures };
//! quarantine.record_crash(first, Time::from_millis(100));
//! quarantine.record_completion(harmless, Time::from_millis(150));
//!
//! let second = Crash { server: "finder-2".try_into()?, signatures: vec![crashing] };
//! quarantine.record_crash(second, Time::from_millis(200));
//! let now = Time::from_millis(300);
//! assert_eq!(quarantine.admit(crashing, now), Verdict::Refuse);
//! assert_eq!(quarantine.admit(harmless, now), Verdict::Run);
//! # Ok(())
//! # }
//! ```

mod attempts;
mod choice;
mod entries;
mod error;
mod fleet;
mod group;
mod hash;
mod lifecycle;
mod load;
mod lookup;
mod prefix;
mod quarantine;
mod query;
mod ranges;
mod rendezvous;
mod router;
mod server;
mod site;
mod sync;
mod upkeep;

pub use crate::attempts::Attempts;
pub use crate::attempts::Failure;
pub use crate::attempts::Retry;
pub use crate::attempts::StopReason;
pub use crate::entries::Caller;
pub use crate::entries::Entries;
pub use crate::entries::EntryList;
pub use crate::error::Error;
pub use crate::fleet::Fleet;
pub use crate::fleet::Handle;
pub use crate::fleet::Outcome;
pub use crate::fleet::Report;
pub use crate::fleet::StateChange;
pub use crate::fleet::Ticket;
pub use crate::group::Occupancy;
pub use crate::lifecycle::State;
pub use crate::lifecycle::SERVER_CHART;
pub use crate::lookup::Lookup;
pub use crate::prefix::Family;
pub use crate::prefix::Prefix;
pub use crate::quarantine::Crash;
pub use crate::quarantine::Quarantine;
pub use crate::quarantine::Suspicion;
pub use crate::quarantine::Verdict;
pub use crate::query::Decision;
pub use crate::query::Explain;
pub use crate::query::Query;
pub use crate::query::Refusal;
pub use crate::query::RegionReason;
pub use crate::query::ServerReason;
pub use crate::query::VersionShare;
pub use crate::router::Router;
pub use crate::server::Server;
pub use crate::site::Block;
pub use crate::site::Cause;
pub use crate::site::Site;
pub use crate::site::SiteMatch;
pub use crate::sync::SyncResult;
