//! Stand-ins, test harness, history checker and load tool; never shipped.
//!
//! The [`platform`] and [`backend`] stand-ins run as the example programs
//! `platform` and `backend`, so that tests meet them as real processes over
//! loopback. [`harness`] starts, freezes and ends processes and speaks HTTP
//! to them.

pub mod backend;
pub mod checker;
pub mod duty;
pub mod fleet;
pub mod harness;
pub mod load;
pub mod platform;
pub mod serve;
