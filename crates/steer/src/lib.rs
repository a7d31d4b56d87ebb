//! The decisions of one instance on a platform that lists its backend servers
//! and keeps its configuration.
//!
//! A [`Steer`] receives events with their times and returns the actions to
//! perform. It opens no socket, reads no clock and encodes no messages.
//!
//! * [`Plan`] is one version of the operator's configuration.
//! * [`ServerEntry`], [`Member`] and [`Order`] are entries of the platform's store.
//! * [`Message`] is what instances send each other.
//!
//! # Example
//!
//! ```
//! use corianderway_model::Entry;
//! use corianderway_model::Presence;
//! use corianderway_model::Time;
//! use corianderway_steer::Action;
//! use corianderway_steer::Bounds;
//! use corianderway_steer::Event;
//! use corianderway_steer::Member;
//! use corianderway_steer::RequestId;
//! use corianderway_steer::Steer;
//!
//! # fn main() -> Result<(), Box<dyn std::error::Error>> {
//! let entry = Entry {
//!     id: "entry-1".try_into()?,
//!     callers: "127.0.0.1:8001".parse()?,
//!     peers: "127.0.0.1:9001".parse()?,
//!     region: "north".try_into()?,
//!     domain: "north-a".try_into()?,
//!     presence: Presence::Live,
//! };
//! let replica = "127.0.0.1:9002".parse()?;
//! let me = Member { entry, replica, run: 1, millicores: 200 };
//! let mut steer = Steer::new(me, Bounds::default(), 7)?;
//! let mut actions = Vec::new();
//! let event = Event::Directory { id: RequestId(1), region: None, domain: None };
//! steer.step(Time::from_millis(1), event, &mut actions);
//! // Nothing is known of the platform yet, so no instance is advised.
//! let Action::AnswerDirectory { entries, .. } = &actions[0] else { panic!() };
//! assert!(entries.is_empty());
//! # Ok(())
//! # }
//! ```

mod admission;
mod advice;
mod attempts;
mod bounds;
mod bucket;
mod choice;
mod claim;
mod crashes;
mod departures;
mod digest;
mod dispatch;
mod event;
mod evidence;
mod exposure;
mod fleet;
mod gossip;
mod hash;
mod listing;
mod log_odds;
mod machine_speed;
mod members;
mod moves;
mod note;
mod notices;
mod outage;
mod pace;
mod pending_failures;
mod phase;
mod pipeline;
mod placement;
mod plan;
mod quota;
mod rate;
mod refusal;
mod relay;
mod request;
mod restored;
mod retries;
mod revisions;
mod room;
mod server;
mod service_time;
mod shift;
mod shortage;
mod source;
mod startup;
mod steer;
mod stop;
mod store_check;
mod suspect;
mod sweep;
mod tokens;
mod usage;
mod version_filter;
mod version_move;
mod versions;
mod waiting;
mod weighted;
mod workload;

pub use crate::bounds::Bounds;
pub use crate::bounds::SHIFT_INTERVAL;
pub use crate::claim::CLAIM_CHART;
pub use crate::digest::CrashSignatures;
pub use crate::digest::Demands;
pub use crate::digest::Digest;
pub use crate::digest::InstanceStatus;
pub use crate::digest::KnownCrashes;
pub use crate::digest::Message;
pub use crate::digest::MoveReport;
pub use crate::digest::ServerTimes;
pub use crate::digest::Summary;
pub use crate::digest::Tally;
pub use crate::digest::TokenReply;
pub use crate::digest::TokenRequest;
pub use crate::digest::Workloads;
pub use crate::event::Action;
pub use crate::event::CallerRequest;
pub use crate::event::Event;
pub use crate::event::Load;
pub use crate::event::Outcome;
pub use crate::event::Reach;
pub use crate::event::RequestId;
pub use crate::event::ServerNotice;
pub use crate::listing::Member;
pub use crate::listing::Order;
pub use crate::listing::Progress;
pub use crate::listing::ServerChange;
pub use crate::listing::ServerEntry;
pub use crate::note::Note;
pub use crate::note::Severity;
pub use crate::outage::OUTAGE_CHART;
pub use crate::pace::PACE_CHART;
pub use crate::phase::MOVE_CHART;
pub use crate::pipeline::ConnectionChart;
pub use crate::pipeline::ExchangeKind;
pub use crate::pipeline::Pipeline;
pub use crate::pipeline::PipelineAction;
pub use crate::pipeline::PipelineEvent;
pub use crate::pipeline::CONNECTION_CHART;
pub use crate::pipeline::MAX_QUEUED;
pub use crate::pipeline::MAX_QUEUED_BYTES;
pub use crate::plan::AccountTerms;
pub use crate::plan::CallerLimits;
pub use crate::plan::Plan;
pub use crate::plan::PlanError;
pub use crate::plan::Route;
pub use crate::plan::ServiceTerms;
pub use crate::refusal::is_refusing;
pub use crate::refusal::Reason;
pub use crate::refusal::Refusal;
pub use crate::relay::RELAY_CHART;
pub use crate::request::REQUEST_CHART;
pub use crate::revisions::InputKind;
pub use crate::revisions::Revisions;
pub use crate::server::SERVER_CHART;
pub use crate::source::Source;
pub use crate::source::SOURCE_CHART;
pub use crate::steer::ChartError;
pub use crate::steer::Steer;
pub use crate::store_check::CheckAnswer;
pub use crate::store_check::Remedy;
pub use crate::store_check::StoreCheck;
pub use crate::store_check::CHECK_CHART;
pub use crate::store_check::MAX_MISSED;
pub use crate::suspect::SUSPECT_CHART;
pub use crate::usage::AttemptCount;
