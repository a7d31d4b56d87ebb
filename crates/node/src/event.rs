//! What goes into a node and what comes out of it.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use corianderway_control::BodyHash;
use corianderway_control::ClaimOutcome as Remembered;
use corianderway_control::Object;
use corianderway_model::Backend;
use corianderway_model::Entry;
use corianderway_model::InstanceId;
use corianderway_model::Secret;
use corianderway_model::ServerId;
use corianderway_model::Time;

use crate::message::Message;
use crate::record::Record;
use crate::refusal::Refusal;

/// The number of a request within one run of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// The number of a platform read or write within one run of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// What a caller asks, without its body.
#[derive(Clone, Debug)]
pub struct Query {
    /// The number given to the request.
    pub id: RequestId,
    /// The request id that joins log lines across instances.
    pub trace: Arc<str>,
    /// The host asked for, in lower case and without a port.
    pub host: Arc<str>,
    /// The method, in upper case.
    pub method: Arc<str>,
    /// The path, without the query.
    pub path: Arc<str>,
    /// The key presented, if any.
    pub key: Option<Secret>,
    /// The caller's idempotency key, if any.
    pub token: Option<Arc<str>>,
    /// A digest of method, path, query and body, where the body is known.
    pub digest: u64,
    /// A hash of the same that tells one request from another with certainty.
    pub body: BodyHash,
    /// The address of the caller.
    pub client: IpAddr,
    /// The time that the caller allows.
    pub patience: Option<Duration>,
}

/// How one attempt at a backend server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The head of an answer came.
    Answered {
        /// The HTTP status.
        status: u16,
        /// The time from the decision to the head of the answer.
        took: Duration,
    },
    /// The backend server said that it is overloaded and ran nothing.
    Shed,
    /// No connection was made, so nothing was sent.
    Unreachable,
    /// The local ring was full or the deadline had passed, so nothing was sent.
    NotSent,
    /// The connection broke after bytes were sent.
    Broken,
    /// The deadline passed after bytes were sent.
    TimedOut,
}

/// A conditional write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// The kind.
    pub kind: Arc<str>,
    /// The name within the kind.
    pub name: Arc<str>,
    /// The version to replace; none to create.
    pub expect: Option<u64>,
    /// The new value as JSON text; none to delete.
    pub value: Option<Arc<str>>,
}

/// What the platform holds under a name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Held {
    /// The version.
    pub version: u64,
    /// The value as JSON text.
    pub value: Arc<str>,
}

/// How a conditional write ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Wrote {
    /// The write took effect with this version.
    Done(u64),
    /// Another write came first; the current object, if there is one.
    Conflict(Option<Held>),
    /// The platform did not answer; the write may have taken effect.
    Unknown,
    /// The platform was not reached; the write took no effect.
    Unreached,
}

/// What a backend server's health and load endpoints said.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// The backend server.
    pub server: ServerId,
    /// Whether it could be reached.
    pub reached: bool,
    /// Whether it says that it takes work; none when nothing was heard.
    pub healthy: Option<bool>,
    /// Whether it says that it drains.
    pub draining: bool,
    /// Requests running and waiting; none when nothing was heard.
    pub load: Option<u32>,
}

/// How a read ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Found {
    /// The platform holds this.
    Held(Held),
    /// The platform holds nothing under the name.
    Nothing,
    /// The platform did not answer.
    Unknown,
}

/// The time between two ticks of a node.
pub const TICK: Duration = Duration::from_millis(20);

/// Something that happened, for a node to act on.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller asks.
    Request(Query),
    /// A caller asks which entry instance to use.
    Directory {
        /// The number given to the request.
        id: RequestId,
        /// The address of the caller.
        client: IpAddr,
    },
    /// An attempt ended.
    Attempted {
        /// The request.
        id: RequestId,
        /// How it ended.
        outcome: Outcome,
    },
    /// The answer ended, or the caller went away before it did.
    Ended {
        /// The request.
        id: RequestId,
        /// Whether the whole answer came from the backend server.
        whole: bool,
        /// The answer to remember for a repeated request.
        answer: Option<Arc<Remembered>>,
    },
    /// The platform listed every object of the configuration.
    Listed {
        /// The number of the call.
        call: u64,
        /// The platform's revision.
        revision: u64,
        /// The objects.
        objects: Vec<Object>,
    },
    /// A watch of the configuration ended, with changes or without.
    Watched {
        /// The number of the call.
        call: u64,
        /// The platform's revision.
        revision: u64,
        /// The objects that changed.
        objects: Vec<Object>,
    },
    /// A list or a watch failed.
    Unanswered {
        /// The number of the call.
        call: u64,
    },
    /// The platform's instance list.
    Instances {
        /// Entry instances.
        entries: Vec<Entry>,
        /// Backend servers.
        backends: Vec<Backend>,
    },
    /// A peer's message.
    Peer {
        /// The sender.
        from: InstanceId,
        /// The message.
        message: Message,
    },
    /// A backend server's report.
    Reported(Report),
    /// A write ended.
    Wrote {
        /// The write.
        ticket: Ticket,
        /// How it ended.
        wrote: Wrote,
    },
    /// The platform listed claims, or did not answer.
    Claims(Option<Vec<(Arc<str>, Held)>>),
    /// A read ended.
    Read {
        /// The read.
        ticket: Ticket,
        /// What was found.
        found: Found,
    },
    /// Time passed; due every [`TICK`].
    Tick {
        /// The wall clock, in milliseconds since the Unix epoch.
        wall: u64,
    },
    /// A planned stop begins.
    Stop,
}

/// Something for the process around a node to do.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a request to a backend server.
    Forward {
        /// The request.
        id: RequestId,
        /// The backend server.
        server: Backend,
        /// The moment after which nothing may be sent.
        start_by: Time,
        /// The moment after which nothing is awaited.
        deadline: Time,
        /// Whether a connection must be new, so that no broken idle
        /// connection leaves the outcome open.
        fresh: bool,
        /// Whether the answer is wanted back for a repeated request.
        keep: bool,
    },
    /// Answer a request with a refusal.
    Refuse {
        /// The request.
        id: RequestId,
        /// The refusal.
        refusal: Refusal,
    },
    /// Answer a request with a remembered answer.
    Replay {
        /// The request.
        id: RequestId,
        /// The answer kept.
        answer: Arc<Remembered>,
    },
    /// Write to the platform.
    Write {
        /// The number of the write.
        ticket: Ticket,
        /// The write.
        write: Write,
    },
    /// Read one object.
    Read {
        /// The number of the read.
        ticket: Ticket,
        /// The kind.
        kind: Arc<str>,
        /// The name within the kind.
        name: Arc<str>,
    },
    /// Tell a caller which entry instances to use.
    Direct {
        /// The request.
        id: RequestId,
        /// Where to go, the best first.
        entries: Vec<SocketAddr>,
        /// How long the advice holds.
        ttl: Duration,
    },
    /// Send a message to a peer.
    Send {
        /// Where the peer listens.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// List every object of the configuration.
    List {
        /// The number of the call.
        call: u64,
    },
    /// Wait for changes of the configuration.
    Watch {
        /// The number of the call.
        call: u64,
        /// The revision after which changes are wanted.
        after: u64,
    },
    /// Find out at once whether a backend server can be reached.
    Probe {
        /// The backend server.
        server: ServerId,
        /// Where it takes requests.
        addr: SocketAddr,
    },
    /// List the first claims in the order of their names, for their removal.
    ListClaims,
    /// Write a log line.
    Log(Record),
}
