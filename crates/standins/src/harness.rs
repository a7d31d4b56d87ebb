//! The test harness: child processes, an HTTP client, polling with a deadline, and a
//! proxy that injects network faults.
//!
//! # Example
//!
//! ```no_run
//! use corianderway_standins::harness::Platform;
//! use corianderway_standins::harness::Request;
//! use corianderway_standins::harness::Server;
//!
//! let platform = Platform::start()?;
//! let server = Server::start(&["--id", "b1", "--service", "finder"])?;
//! platform.register_backend(&server.describe()?)?;
//! let reply = server.call(&Request::get("/capsules/17"))?;
//! assert_eq!(reply.status, 200);
//! # Ok::<(), corianderway_standins::harness::Error>(())
//! ```

mod client;
mod daemon;
mod error;
mod message;
mod platform;
mod process;
mod proxy;
mod request_key;
mod server;
mod wait;

pub use crate::harness::client::call;
pub use crate::harness::client::Client;
pub use crate::harness::daemon::Daemon;
pub use crate::harness::error::Error;
pub use crate::harness::message::Reply;
pub use crate::harness::message::Request;
pub(crate) use crate::harness::platform::delay_flag;
pub use crate::harness::platform::Platform;
pub use crate::harness::process::Process;
pub use crate::harness::proxy::Flow;
pub use crate::harness::proxy::Link;
pub use crate::harness::proxy::Proxy;
pub use crate::harness::request_key::request_key;
pub use crate::harness::server::Server;
pub use crate::harness::wait::until;
