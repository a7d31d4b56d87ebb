//! The stand-in for the platform: object API, instance list and faults.
//!
//! [`Store`] decides; it takes an [`Operation`] and the time and gives back a
//! [`Reply`]. [`run`] puts it on a thread of its own behind the HTTP front.

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
pub use crate::platform::faults::Down;
pub use crate::platform::faults::Faults;
pub use crate::platform::front::run;
pub use crate::platform::instances::Instances;
pub use crate::platform::objects::Object;
pub use crate::platform::operation::Condition;
pub use crate::platform::operation::Control;
pub use crate::platform::operation::Operation;
pub use crate::platform::operation::Reply;
pub use crate::platform::operation::Watch;
pub use crate::platform::store::Store;
pub use crate::platform::store::Verdict;
