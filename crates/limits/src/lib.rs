//! Client accounts' limits, enforced by all instances together.
//!
//! A limit is divided into shares ([`Share`]), and each instance admits
//! requests by a token [`Bucket`] over the share it holds. The shares that all
//! instances may use never sum to more than the whole limit, even if messages
//! are lost or late and processes pause or restart. Hence the total admitted in
//! any span `T` is at most `rate * T + burst`.
//!
//! The membership [`Epoch`], one object in the platform, determines which
//! members own a floor of each limit. A member uses its floors while its lease
//! lasts, that is, while it has evidence no older than the lease that the epoch
//! is current. It lends what it does not need to instances that ask, for a term
//! that ends no later than its own lease.
//!
//! The crate also has limits that each instance applies alone: [`RetryBudget`],
//! [`FairQueue`] and, on top of a quota, [`ShiftLimit`].
//!
//! [`Quota`] turns events into actions. It does no I/O, reads no clock, and
//! draws randomness only from the seed it is given.
//!
//! # Example
//!
//! ```
//! use corianderway_limits::Action;
//! use corianderway_limits::Amount;
//! use corianderway_limits::Event;
//! use corianderway_limits::Limit;
//! use corianderway_limits::Outcome;
//! use corianderway_limits::Quota;
//! use corianderway_limits::Timing;
//! use corianderway_limits::Tokens;
//! use corianderway_limits::Verdict;
//! use corianderway_model::Account;
//! use corianderway_model::InstanceId;
//! use corianderway_model::Time;
//!
//! let me = InstanceId::try_from("entry-1")?;
//! let limit = Limit::Rate(Account::try_from("finder")?);
//! let mut quota = Quota::new(me.clone(), Timing::default(), 7);
//! let mut out = vec![];
//! quota.step(Time::ZERO, Event::Live(vec![me]), &mut out);
//! let limits = vec![(limit.clone(), Amount::new(200.0, 400.0))];
//! quota.step(Time::ZERO, Event::Limits(limits), &mut out);
//!
//! // The caller carries out the actions. Here, no epoch is stored yet.
//! for millis in (0..5_000).step_by(50) {
//!     let now = Time::from_millis(millis);
//!     quota.step(now, Event::Tick, &mut out);
//!     for action in std::mem::take(&mut out) {
//!         let event = match action {
//!             Action::Read { nonce } => Event::ReadDone { nonce, stored: None },
//!             Action::Propose { nonce, .. } => {
//!                 let outcome = Outcome::Written(1);
//!                 Event::WriteDone { nonce, outcome }
//!             }
//!             Action::Send(_) => continue,
//!         };
//!         quota.step(now, event, &mut out);
//!     }
//! }
//! let verdict = quota.admit(Time::from_millis(5_000), &limit, Tokens::ONE);
//! assert_eq!(verdict, Verdict::Admitted);
//! # Ok::<(), corianderway_model::Error>(())
//! ```

mod borrow;
mod bucket;
mod chart;
mod demand;
mod entry;
mod epoch;
mod event;
mod fair;
mod floors;
mod lease;
mod limit;
mod loan;
mod membership;
mod message;
mod promises;
mod proposal;
mod quota;
mod ranking;
mod reads;
mod retry;
mod share;
mod shift;
mod timing;

pub use crate::bucket::Amount;
pub use crate::bucket::Bucket;
pub use crate::bucket::Tokens;
pub use crate::bucket::Verdict;
pub use crate::chart::FloorStatus;
pub use crate::chart::CHART;
pub use crate::epoch::Basis;
pub use crate::epoch::Epoch;
pub use crate::epoch::MAX_OWNERS;
pub use crate::event::Action;
pub use crate::event::Event;
pub use crate::event::Outcome;
pub use crate::fair::FairQueue;
pub use crate::fair::QueuedRequest;
pub use crate::limit::Limit;
pub use crate::message::Ask;
pub use crate::message::Body;
pub use crate::message::Grant;
pub use crate::message::Message;
pub use crate::message::Query;
pub use crate::message::Release;
pub use crate::message::StoredEpoch;
pub use crate::message::Vouch;
pub use crate::quota::LimitState;
pub use crate::quota::Quota;
pub use crate::retry::RetryBudget;
pub use crate::share::Share;
pub use crate::shift::ShiftLimit;
pub use crate::timing::Timing;
