//! Configuration replication, membership, API keys and claims of entry instances.
//!
//! The crate does no I/O. Callers pass in events, the time and random bytes;
//! the state machines return the messages, store calls and other effects to
//! carry out as lists of actions.
//!
//! * [`Control`] combines replication, membership and the platform watch of
//!   one instance.
//! * [`ConfigSet`] holds the objects that operators store in the platform; the
//!   version of an object never decreases.
//! * [`KeyTable`] decides whether a presented key is accepted.
//! * [`Claims`] makes a request run at most once.
//! * [`Freshness`] decides whether an instance may have missed the withdrawal
//!   of a key.
//!
//! # Example
//!
//! An operator generates a key, an instance applies its record, and a caller
//! presents the key's text. After the withdrawal the key is refused.
//!
//! ```
//! use corianderway_control::KeyRecord;
//! use corianderway_control::KeyRefusal;
//! use corianderway_control::KeyState;
//! use corianderway_control::KeyTable;
//! use corianderway_control::Standing;
//! use corianderway_control::NONCE_BYTES;
//! use corianderway_model::Account;
//!
//! let account = Account::try_from("finder")?;
//! let nonce = [7; NONCE_BYTES]; // from the system's random generator
//! let (record, text) = KeyRecord::generate(account, &nonce, 1_790_000_000);
//!
//! let mut keys = KeyTable::new();
//! keys.apply(record.clone());
//! let accepted = keys.check(text.reveal(), Standing::Current).unwrap();
//! assert_eq!(accepted.account.as_str(), "finder");
//!
//! keys.apply(record.with_state(KeyState::Withdrawn));
//! let refused = keys.check(text.reveal(), Standing::Current);
//! assert_eq!(refused, Err(KeyRefusal::Withdrawn));
//! # Ok::<(), corianderway_model::Error>(())
//! ```

mod absence;
mod claim;
mod claim_chart;
mod claim_event;
mod claim_record;
mod claims;
mod confirmations;
mod control;
mod control_event;
mod freshness;
mod gossip;
mod gossip_event;
mod key_record;
mod keys;
mod member;
mod members;
mod members_event;
mod message;
mod object;
mod object_requests;
mod parents;
mod platform_watch;
mod probes;
mod reply;
mod request_key;
mod retry;
mod set;
mod sweep;
mod watch_event;
mod watchers;

pub use crate::claim_chart::ClaimState;
pub use crate::claim_chart::CLAIM_CHART;
pub use crate::claim_event::BackendAnswer;
pub use crate::claim_event::ClaimAction;
pub use crate::claim_event::ClaimEvent;
pub use crate::claim_event::OnceRequest;
pub use crate::claim_event::Precondition;
pub use crate::claim_event::Reply;
pub use crate::claim_event::RequestId;
pub use crate::claim_event::StoreAnswer;
pub use crate::claim_record::ClaimRecord;
pub use crate::claim_record::Header;
pub use crate::claim_record::Nonce;
pub use crate::claim_record::Outcome as ClaimOutcome;
pub use crate::claim_record::Run;
pub use crate::claim_record::MAX_OUTCOME_BODY_BYTES;
pub use crate::claims::Claims;
pub use crate::confirmations::InForce;
pub use crate::control::Control;
pub use crate::control_event::Action;
pub use crate::control_event::Event;
pub use crate::control_event::PeerMessage;
pub use crate::freshness::Age;
pub use crate::freshness::DomainAge;
pub use crate::freshness::DomainHash;
pub use crate::freshness::Freshness;
pub use crate::freshness::FreshnessReport;
pub use crate::freshness::Standing;
pub use crate::freshness::CONTACT_TTL;
pub use crate::gossip::Gossip;
pub use crate::gossip_event::GossipAction;
pub use crate::gossip_event::GossipEvent;
pub use crate::key_record::KeyRecord;
pub use crate::key_record::KeyText;
pub use crate::key_record::NONCE_BYTES;
pub use crate::keys::Accepted;
pub use crate::keys::KeyAction;
pub use crate::keys::KeyEvent;
pub use crate::keys::KeyRefusal;
pub use crate::keys::KeyState;
pub use crate::keys::KeyTable;
pub use crate::keys::KEY_CHART;
pub use crate::member::MemberState;
pub use crate::member::MEMBER_CHART;
pub use crate::members::Members;
pub use crate::members_event::MembersAction;
pub use crate::members_event::MembersEvent;
pub use crate::message::Message;
pub use crate::object::Id;
pub use crate::object::Kind;
pub use crate::object::Object;
pub use crate::object::Rank;
pub use crate::object::Stamp;
pub use crate::object::Value;
pub use crate::object::STORED_KINDS;
pub use crate::platform_watch::PlatformWatch;
pub use crate::platform_watch::WATCH_CHART;
pub use crate::platform_watch::WATCH_TIMEOUT;
pub use crate::request_key::BodyHash;
pub use crate::request_key::RequestKey;
pub use crate::request_key::RequestKeyError;
pub use crate::request_key::CLAIM_RETENTION_S;
pub use crate::request_key::REQUEST_KEY_MAX_AGE_S;
pub use crate::retry::after_failure;
pub use crate::retry::AfterFailure;
pub use crate::retry::Failure;
pub use crate::set::ConfigSet;
pub use crate::set::Digest;
pub use crate::set::MergeOutcome;
pub use crate::sweep::StoredClaim;
pub use crate::sweep::Sweep;
pub use crate::sweep::SweepAction;
pub use crate::sweep::SweepEvent;
pub use crate::sweep::SWEEP_CHART;
pub use crate::sweep::SWEEP_PAGE;
pub use crate::watch_event::WatchAction;
pub use crate::watch_event::WatchEvent;
pub use crate::watchers::is_sweeper;
pub use crate::watchers::is_watcher;
pub use crate::watchers::WATCHERS_PER_REGION;
