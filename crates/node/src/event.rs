//! The events that go into a node and the actions that come out of it.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use corianderway_control::BodyHash;
use corianderway_control::ClaimOutcome;
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

/// The number of a request, unique within one run of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// The number of a read or write in the platform's store, unique within one run of an
/// instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// A caller's request, without its body.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// The number of the request.
    pub id: RequestId,
    /// The request id, which is the same in the log lines of all instances.
    pub request_id: Arc<str>,
    /// The requested host, in lower case and without a port.
    pub host: Arc<str>,
    /// The method, in upper case.
    pub method: Arc<str>,
    /// The path, without the query string.
    pub path: Arc<str>,
    /// The key of the request, if any.
    pub key: Option<Secret>,
    /// The idempotency key, if any.
    pub idempotency_key: Option<Arc<str>>,
    /// A digest of method, path, query string and body, as far as the body is known.
    pub digest: u64,
    /// A collision-resistant hash of the same.
    pub request_hash: BodyHash,
    /// The address of the caller.
    pub client: IpAddr,
    /// The timeout that the caller set.
    pub timeout: Option<Duration>,
}

/// How one attempt at a backend server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The head of a response was received.
    Answered {
        /// The HTTP status.
        status: u16,
        /// The time from the routing decision to the head of the response.
        took: Duration,
    },
    /// The backend server reported that it is overloaded and ran nothing.
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

/// A conditional write to the platform's store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// The kind of the object.
    pub kind: Arc<str>,
    /// The object's name within its kind.
    pub name: Arc<str>,
    /// The version to replace; none to create the object.
    pub expect: Option<u64>,
    /// The new value as JSON text; none to delete the object.
    pub value: Option<Arc<str>>,
}

/// An object in the platform's store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredValue {
    /// The object's version.
    pub version: u64,
    /// The value as JSON text.
    pub value: Arc<str>,
}

/// How a conditional write ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write succeeded; the object now has this version.
    Written(u64),
    /// The object's version differs from the expected one. Contains the current object,
    /// if there is one.
    Conflict(Option<StoredValue>),
    /// The platform did not answer, so the write may have succeeded.
    Unknown,
    /// The platform was not reached, so nothing was written.
    NotSent,
}

/// A poll of a backend server's health and load endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct PollResult {
    /// The backend server.
    pub server: ServerId,
    /// Whether it could be reached.
    pub reached: bool,
    /// Whether the server reports that it is healthy; none without an answer.
    pub healthy: Option<bool>,
    /// Whether the server reports that it is draining.
    pub draining: bool,
    /// The number of requests running and waiting there; none without an answer.
    pub load: Option<u32>,
}

/// How a read ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The object was found.
    Found(StoredValue),
    /// No object has this name.
    Absent,
    /// The platform did not answer.
    Unknown,
}

/// The interval between ticks of a node.
pub const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Something that happened, as input to a node.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request was received.
    Request(RequestHead),
    /// A caller requested the entry instances to use.
    Directory {
        /// The number of the request.
        id: RequestId,
        /// The address of the caller.
        client: IpAddr,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        id: RequestId,
        /// How it ended.
        outcome: AttemptOutcome,
    },
    /// The response has ended, or the caller disconnected before that.
    RequestEnded {
        /// The request.
        id: RequestId,
        /// Whether the entire response of the backend server was received.
        complete: bool,
        /// The outcome to record for repeats of the request.
        answer: Option<Arc<ClaimOutcome>>,
    },
    /// The platform returned a listing of all configuration objects.
    ConfigListed {
        /// The number of the call.
        call: u64,
        /// The store's revision.
        revision: u64,
        /// The objects.
        objects: Vec<Object>,
    },
    /// A watch of the configuration returned, with changes or without.
    ConfigWatched {
        /// The number of the call.
        call: u64,
        /// The store's revision.
        revision: u64,
        /// The changed objects.
        objects: Vec<Object>,
    },
    /// A listing or a watch failed.
    ConfigCallFailed {
        /// The number of the call.
        call: u64,
    },
    /// The platform returned the list of instances.
    InstancesListed {
        /// The entry instances.
        entries: Vec<Entry>,
        /// The backend servers.
        backends: Vec<Backend>,
    },
    /// A message from another instance was received.
    PeerMessage {
        /// The sender.
        from: InstanceId,
        /// The message.
        message: Message,
    },
    /// A backend server was polled.
    ServerPolled(PollResult),
    /// A write has ended.
    WriteEnded {
        /// The number of the write.
        ticket: Ticket,
        /// How it ended.
        outcome: WriteOutcome,
    },
    /// The platform returned a listing of claims; none if it did not answer.
    ClaimsListed(Option<Vec<(Arc<str>, StoredValue)>>),
    /// A read has ended.
    ReadEnded {
        /// The number of the read.
        ticket: Ticket,
        /// The result.
        outcome: ReadOutcome,
    },
    /// Time has passed; due every [`TICK_INTERVAL`].
    Tick {
        /// The wall clock, in milliseconds since the Unix epoch.
        wall: u64,
    },
    /// A planned stop begins.
    Stop,
}

/// Something for the process around a node to perform.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a request to a backend server.
    Forward {
        /// The request.
        id: RequestId,
        /// The backend server.
        server: Backend,
        /// The time after which the request must not be sent.
        start_by: Time,
        /// The time after which a response is not waited for.
        deadline: Time,
        /// Whether to open a new connection. Reusing an idle one that has broken would
        /// leave it unknown whether the request ran.
        new_connection: bool,
        /// Whether to return the response, so that it can be recorded for repeats of
        /// the request.
        record_response: bool,
    },
    /// Send a refusal to the caller.
    Refuse {
        /// The request.
        id: RequestId,
        /// The refusal.
        refusal: Refusal,
    },
    /// Send a recorded response to the caller.
    Replay {
        /// The request.
        id: RequestId,
        /// The recorded response.
        answer: Arc<ClaimOutcome>,
    },
    /// Write to the platform's store.
    Write {
        /// The number of the write.
        ticket: Ticket,
        /// The write.
        write: Write,
    },
    /// Read an object from the platform's store.
    Read {
        /// The number of the read.
        ticket: Ticket,
        /// The kind of the object.
        kind: Arc<str>,
        /// The object's name within its kind.
        name: Arc<str>,
    },
    /// Send a caller the entry instances to use.
    Advise {
        /// The request.
        id: RequestId,
        /// Their addresses, the best first.
        entries: Vec<SocketAddr>,
        /// How long the caller may use them.
        ttl: Duration,
    },
    /// Send a message to another instance.
    Send {
        /// The address at which that instance listens.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// List all configuration objects.
    ListConfig {
        /// The number of the call.
        call: u64,
    },
    /// Watch the configuration for changes.
    WatchConfig {
        /// The number of the call.
        call: u64,
        /// The revision after which changes are wanted.
        after: u64,
    },
    /// Check at once whether a backend server is reachable.
    Probe {
        /// The backend server.
        server: ServerId,
        /// Its address for requests.
        addr: SocketAddr,
    },
    /// List the first claims by name, for the removal of old ones.
    ListClaims,
    /// Write a log line.
    Log(Record),
}
