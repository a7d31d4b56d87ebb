//! What goes into the decisions of an instance and what comes out.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use corianderway_model::Account;
use corianderway_model::FailureDomain;
use corianderway_model::Region;
use corianderway_model::Secret;
use corianderway_model::ServerId;
use corianderway_model::Service;
use corianderway_model::Time;

use crate::digest::Message;
use crate::listing::Member;
use crate::listing::Order;
use crate::listing::Progress;
use crate::listing::ServerChange;
use crate::note::Note;
use crate::plan::Plan;
use crate::refusal::Refusal;
use crate::source::Source;

/// The number of a request within one run of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// What a caller asks, without its body.
#[derive(Clone, Debug)]
pub struct Query {
    /// The number given to the request.
    pub id: RequestId,
    /// The caller's own id of the request.
    pub trace: Arc<str>,
    /// The host asked for, in lower case and without a port.
    pub host: Arc<str>,
    /// The path, without the query.
    pub path: Arc<str>,
    /// The key presented, if any.
    pub key: Option<Secret>,
    /// A hash of the object that the request concerns, if it names one.
    pub object: Option<u64>,
    /// The time that the caller allows.
    pub allowed: Option<Duration>,
    /// A hash of method, target and body; equal for a request that comes again.
    pub signature: u64,
}

/// How one attempt at a backend server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer came.
    Answered {
        /// Its HTTP status.
        status: u16,
        /// The load that the answer tells.
        load: Option<Load>,
    },
    /// The backend server is full or leaving and says that it ran nothing.
    Full {
        /// The load that the answer tells.
        load: Option<Load>,
    },
    /// Another backend server has the address and ran nothing.
    Misdirected,
    /// No connection was made; nothing was sent.
    Unreachable,
    /// The time was over before anything was sent.
    NotSent,
    /// The connection broke, or what came was no whole answer, after bytes were sent.
    Broken,
    /// No whole answer came in time after bytes were sent.
    TimedOut,
}

/// The load that a backend server tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests that it runs at once.
    pub slots: u32,
}

/// What an instance follows the platform's store through.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// The store itself.
    Store,
    /// Another instance's copy of the store.
    Replica,
    /// Nothing; what is known grows old.
    Nothing,
}

/// Something that happened, for the decisions to act on.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller asks.
    Request(Query),
    /// A caller went away before its answer.
    Left(RequestId),
    /// An attempt ended.
    Attempted {
        /// The request.
        id: RequestId,
        /// How it ended.
        outcome: Outcome,
    },
    /// A caller asks which instance to use.
    Directory {
        /// The number given to the request.
        id: RequestId,
        /// The region of the caller.
        region: Option<Region>,
        /// The failure domain of the caller.
        domain: Option<FailureDomain>,
    },
    /// A version of the configuration.
    Plan(Arc<Plan>),
    /// Changes of the list of backend servers.
    Servers(Vec<ServerChange>),
    /// The failure domains that are to get nothing.
    Evacuated(Vec<FailureDomain>),
    /// The orders to move services to other versions.
    Orders(Vec<Order>),
    /// The instances that are listed.
    Members(Vec<Member>),
    /// What is followed is known as it is now, or failed.
    Reach(Reach),
    /// The store answers a try.
    Probed,
    /// Where other instances may serve their copies of the store.
    Seeds(Vec<SocketAddr>),
    /// The latest change in the store that was seen.
    Revision(u64),
    /// Another instance told something.
    Told(Message),
    /// Time passed.
    Tick,
    /// A planned stop begins.
    Stop,
}

/// Something for the process around the decisions to do.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a request to a backend server.
    Forward {
        /// The request.
        id: RequestId,
        /// The backend server.
        server: ServerId,
        /// Where it takes requests.
        addr: SocketAddr,
        /// The client account to name, if the request runs for one.
        account: Option<Account>,
        /// The moment after which nothing is awaited.
        deadline: Time,
        /// Whether the request may run once only.
        once: bool,
    },
    /// Stop the attempt of a request.
    Cancel(RequestId),
    /// Give the caller the answer that the last attempt brought.
    Deliver(RequestId),
    /// Refuse a request.
    Refuse {
        /// The request.
        id: RequestId,
        /// The refusal.
        refusal: Refusal,
    },
    /// Tell a caller which instances to use.
    Direct {
        /// The request.
        id: RequestId,
        /// Where to go.
        entries: Vec<SocketAddr>,
        /// How long the advice holds.
        ttl: Duration,
    },
    /// Tell another instance something.
    Send {
        /// Where it listens.
        to: SocketAddr,
        /// What it is told.
        message: Message,
    },
    /// Record in the store how far an order has come.
    Report {
        /// The service of the order.
        service: Service,
        /// The order as it was read.
        order: Order,
        /// How far it has come.
        progress: Progress,
    },
    /// Follow the store, or another instance's copy of it.
    Follow(Source),
    /// Try whether the store answers.
    Probe,
    /// Read the store anew: another instance has seen a later change, so a
    /// watch of this one no longer hears.
    Reread,
    /// Remove the entry of an instance that is gone.
    Forget(Member),
    /// Write a log line.
    Log(Note),
}
