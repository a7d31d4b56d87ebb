//! The stand-in for the platform: object API, instance list and faults.
//!
//! | Call | Answer |
//! |---|---|
//! | `GET /objects/KIND/NAME` | the object with its version and an `ETag`, or 404 |
//! | `PUT /objects/KIND/NAME` with `If-None-Match: *` or `If-Match: "VERSION"` | the new version; 412 with the current object, 428 without a condition, 413 above 1 MiB |
//! | `DELETE /objects/KIND/NAME` with `If-Match` | the new version; 412 or 404 |
//! | `GET /objects/KIND` | the revision and all objects of the kind |
//! | `GET /watch?kinds=A,B&since=REVISION&wait_ms=N` | the objects changed since the revision, as soon as there are any; none after `wait_ms`; 410 when the revision is too old or in the future |
//! | `GET /instances` | live and leaving instances, as of `list_lag_ms` ago |
//! | `PUT` and `DELETE /standin/entries/ID`, `/standin/backends/ID` | changes the instance list |
//! | `PUT /standin/faults` | replaces the [`Faults`] |
//! | `GET /standin/calls`, `/standin/dump` | the [`Calls`] and all objects |
//!
//! Versions come from one revision counter, which is 1 after the first write.
//!
//! [`Store`] holds the state and does no I/O: it applies an [`Operation`] at a
//! given time and returns a [`Decision`]. [`run`] starts it on its own thread
//! behind the HTTP front end.

mod calls;
mod duty;
mod faults;
mod front;
mod instances;
mod objects;
mod operation;
mod store;

pub use crate::platform::calls::Calls;
pub use crate::platform::calls::Count;
pub use crate::platform::faults::Faults;
pub use crate::platform::faults::Outage;
pub use crate::platform::front::run;
pub use crate::platform::instances::Instances;
pub use crate::platform::objects::Object;
pub use crate::platform::operation::Condition;
pub use crate::platform::operation::Control;
pub use crate::platform::operation::Operation;
pub use crate::platform::operation::Reply;
pub use crate::platform::operation::Watch;
pub use crate::platform::store::Decision;
pub use crate::platform::store::Store;
