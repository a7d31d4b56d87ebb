//! Stand-ins, test harness, history checker and load tool; never shipped.
//!
//! [`estate`] simulates the platform that the adapter connects to, its object store
//! and its endpoints, within the test process. [`soak`] runs instances against these
//! stand-ins under random faults. The [`platform`] and [`backend`] stand-ins run as the
//! example programs `platform` and `backend`, so tests connect to real processes over
//! loopback. [`harness`] starts, suspends and kills processes and sends them HTTP
//! requests.

pub mod backend;
pub mod checker;
pub mod duty;
pub mod estate;
pub mod fleet;
pub mod harness;
pub mod load;
pub mod platform;
pub mod serve;
pub mod soak;
