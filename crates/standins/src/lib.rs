//! Stand-ins, test harness, history checker and load tool; never shipped.
//!
//! [`estate`] stands in for the platform of the adapter: its object store and its
//! endpoints, within the test; [`soak`] plays instances against them under
//! random faults. The [`platform`] and [`backend`] stand-ins run as the example programs
//! `platform` and `backend`, so that tests meet them as real processes over
//! loopback. [`harness`] starts, freezes and ends processes and speaks HTTP
//! to them.

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
