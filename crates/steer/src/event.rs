//! The events that an instance decides on and the actions that follow.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use corianderway_model::Account;
use corianderway_model::Era;
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
use crate::revisions::Revisions;
use crate::source::Source;
use crate::usage::AttemptCount;

/// The number of a request within one run of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A caller's request, without its body.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// The number given to the request.
    pub id: RequestId,
    /// The request id for logs, which the caller may choose.
    pub trace: Arc<str>,
    /// The requested host, in lower case and without a port.
    pub host: Arc<str>,
    /// The path, without the query.
    pub path: Arc<str>,
    /// The key that the caller presented, if any.
    pub key: Option<Secret>,
    /// A hash of the object that the request concerns, if it names one.
    pub object: Option<u64>,
    /// The caller's own limit on the time to the answer, if any.
    pub time_limit: Option<Duration>,
    /// A hash of the method, the request target and the body, so that a repeated request
    /// has the same.
    pub signature: u64,
}

/// How one attempt at a backend server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A complete answer arrived.
    Answered {
        /// The HTTP status.
        status: u16,
        /// The load that the answer reports.
        load: Option<Load>,
    },
    /// The backend server is full or leaving and reports that it ran nothing.
    Full {
        /// The load that the answer reports.
        load: Option<Load>,
    },
    /// Another backend server has the address and ran nothing.
    Misdirected,
    /// No connection was established; nothing was sent.
    Unreachable,
    /// The deadline passed before anything was sent.
    NotSent,
    /// The choice of the backend server was recalled, or became too old, before anything
    /// was sent.
    Outdated,
    /// The connection broke or the answer was invalid, after bytes were sent.
    Broken,
    /// No complete answer arrived by the deadline, after bytes were sent.
    TimedOut,
}

impl Outcome {
    /// Returns whether a backend server may have run the request, or may still run it.
    pub const fn may_have_run(self) -> bool {
        match self {
            Self::Answered { .. } | Self::Broken | Self::TimedOut => true,
            Self::Full { .. }
            | Self::Misdirected
            | Self::Unreachable
            | Self::NotSent
            | Self::Outdated => false,
        }
    }
}

/// The load that a backend server reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Requests that it runs.
    pub running: u32,
    /// Requests in its queue.
    pub waiting: u32,
    /// The maximum number of requests that it runs at once.
    pub slots: u32,
    /// How long work takes on its machine at this moment, in percent of the usual, if it
    /// says so.
    pub stretch: Option<u32>,
}

/// What a backend server says of itself with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerNotice {
    /// It leaves, and wants no new requests.
    Leaving,
    /// It wants no new requests for this long.
    Pause(Duration),
}

/// How an instance currently follows the platform's store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// Directly.
    Store,
    /// Through the replica of another instance.
    Replica,
    /// Not at all; the known contents become stale.
    Nothing,
}

/// An input to [`Steer::step`](crate::Steer::step).
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller's request arrived.
    Request(CallerRequest),
    /// A caller disconnected before its answer.
    CallerGone(RequestId),
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        id: RequestId,
        /// The outcome of the attempt.
        outcome: Outcome,
    },
    /// The check of a backend server has ended; the counterpart of
    /// [`Action::CheckServer`].
    ServerChecked {
        /// The backend server.
        server: ServerId,
        /// Whether it accepted a connection.
        reachable: bool,
    },
    /// A backend server's answer to a request says something of the server. It precedes the
    /// end of the attempt.
    ServerNotice {
        /// The request.
        id: RequestId,
        /// What the answer says.
        notice: ServerNotice,
    },
    /// A caller asks the directory which instances to use.
    Directory {
        /// The number given to the request.
        id: RequestId,
        /// The region of the caller.
        region: Option<Region>,
        /// The failure domain of the caller.
        domain: Option<FailureDomain>,
    },
    /// A version of the configuration was read.
    Plan(Arc<Plan>),
    /// The list of backend servers changed.
    Servers(Vec<ServerChange>),
    /// The complete list of failure domains that must get no requests.
    Evacuated(Vec<FailureDomain>),
    /// The complete list of orders for version moves.
    Orders(Vec<Order>),
    /// The complete list of instances in the store.
    Members(Vec<Member>),
    /// The source that is followed is up to date, or none is followed any more.
    Reach(Reach),
    /// The store no longer answers this instance, or the one whose replica it follows.
    StoreLost,
    /// The store did not answer one of this instance's checks.
    CheckMissed,
    /// The instance whose replica is followed is silent or gone. Nothing is known of the
    /// store.
    ReplicaLost,
    /// The store answered a probe.
    ProbeAnswered,
    /// The store did not answer a probe, or turned it away.
    ProbeFailed,
    /// A page of a list was read, and others follow.
    PageRead,
    /// The store came back from an older copy and is in this era now. What is known of it
    /// since may be gone there, and no later event tells of an earlier era.
    Restored(Era),
    /// Addresses at which other instances may serve their replicas.
    Seeds(Vec<SocketAddr>),
    /// What is known of the store, by kind of input.
    Revisions {
        /// The latest change of each kind that was observed.
        changed: Revisions,
        /// The revisions up to which all changes of each kind are known.
        known: Revisions,
    },
    /// A message from another instance arrived.
    Message(Message),
    /// Time passed.
    Tick,
    /// A planned stop begins.
    Stop,
}

/// An output of [`Steer::step`](crate::Steer::step), for the process to perform.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a request to a backend server.
    Forward {
        /// The request.
        id: RequestId,
        /// The backend server.
        server: ServerId,
        /// The address at which it accepts requests.
        addr: SocketAddr,
        /// The client account to name to the server, if the request has one.
        account: Option<Account>,
        /// The time after which the answer is no longer awaited.
        deadline: Time,
        /// The time after which nothing may be sent, since the choice of the server is too old.
        begin_by: Time,
        /// Whether the request must run at most once.
        once: bool,
    },
    /// End the current attempt of a request as outdated, unless its first byte has been sent.
    Recall(RequestId),
    /// Check soon whether a backend server still accepts connections.
    CheckServer {
        /// The backend server.
        server: ServerId,
        /// The address at which it accepts requests.
        addr: SocketAddr,
    },
    /// Abort the current attempt of a request.
    Cancel(RequestId),
    /// Send the caller the answer of the latest attempt.
    Deliver(RequestId),
    /// Forget a request whose answer nobody awaits any more.
    ///
    /// Each request ends with exactly one of `Deliver`, `Refuse` and `Release`, which the
    /// request chart checks when it is loaded. After it the process holds nothing of the
    /// request.
    Release(RequestId),
    /// Refuse a request.
    Refuse {
        /// The request.
        id: RequestId,
        /// The reason and what the caller may do.
        refusal: Refusal,
    },
    /// Answer a caller's question to the directory.
    AnswerDirectory {
        /// The request.
        id: RequestId,
        /// The addresses of the instances to use.
        entries: Vec<SocketAddr>,
        /// How long the caller may use the answer.
        ttl: Duration,
    },
    /// Send a message to another instance.
    Send {
        /// The address at which that instance receives messages.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Record the progress of a version move in the store.
    RecordProgress {
        /// The service of the order.
        service: Service,
        /// The order as it was read.
        order: Order,
        /// The progress to record.
        progress: Progress,
    },
    /// Follow the store or another instance's replica, or stop following.
    Follow(Source),
    /// Probe whether the store answers.
    Probe,
    /// Read the whole store again: another instance has observed a change that this one
    /// has not, so one of its watches has silently stopped.
    Reread,
    /// Remove the entry of a lost instance from the store.
    RemoveEntry(Member),
    /// Count attempts for the usage reports.
    CountAttempts(Vec<AttemptCount>),
    /// Write a log line.
    Log(Note),
}
