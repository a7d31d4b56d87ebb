//! Stand-ins for the platform behind the adapter: its object store and its endpoints.
//!
//! They implement the platform's published protocol and run in the test's process,
//! each on its own thread.

mod crashing;
mod endpoint;
mod exchange;
pub mod node;
mod scripted;
mod store;

pub use crate::estate::crashing::Crashing;
pub use crate::estate::endpoint::entry;
pub use crate::estate::endpoint::Endpoint;
pub use crate::estate::endpoint::Mode;
pub use crate::estate::endpoint::Rejection;
pub use crate::estate::endpoint::RequestRecord;
pub use crate::estate::node::Node;
pub use crate::estate::node::Site;
pub use crate::estate::scripted::ReceivedRequest;
pub use crate::estate::scripted::Scripted;
pub use crate::estate::scripted::Step;
pub use crate::estate::store::Store;
pub use crate::estate::store::UndoneWrites;
pub(crate) use crate::estate::store::PAGE_OBJECTS;
