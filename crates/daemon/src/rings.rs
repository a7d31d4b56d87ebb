//! The bounded rings between duties: their capacities and message types.
//!
//! Each capacity states what happens when its ring is full.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use corianderway_control::ClaimOutcome;
use corianderway_control::Id;
use corianderway_model::Backend;
use corianderway_model::ServerId;
use corianderway_model::Time;
use corianderway_node::Event;
use corianderway_node::Message;
use corianderway_node::Refusal;
use corianderway_node::RequestHead;
use corianderway_node::RequestId;
use corianderway_node::Ticket;
use corianderway_node::Write;

use crate::exchange::Job;

/// Capacity of the ring of inputs to the decision duty. When it is full, a
/// request is refused as not run; every other sender waits.
pub const DECISIONS_CAPACITY: usize = 4_096;

/// Capacity of the ring of verdicts on one request. The decision duty sends at
/// most one for each event of the request, so the ring is never full.
pub const VERDICTS_CAPACITY: usize = 8;

/// Capacity of the ring of jobs for the servers duty. When it is full, the
/// attempt ends as not sent, and the request is refused as not run.
pub const JOBS_CAPACITY: usize = 1_024;

/// Capacity of the ring of commands to the platform duty. When it is full, a
/// write ends as not sent, and a read or list fails.
pub const COMMANDS_CAPACITY: usize = 1_024;

/// Capacity of the ring of messages to one peer. When it is full, the oldest is
/// dropped, since every peer message is repeated or superseded by a later one.
pub const PEER_MESSAGES_CAPACITY: usize = 256;

/// Capacity of the ring of messages to the peers duty. When it is full, the
/// oldest is dropped, as for one peer.
pub const MESSAGES_CAPACITY: usize = 4_096;

/// Capacity of the ring of lines to the log duty. When it is full, the line is
/// dropped and counted, and the count is logged.
pub const LINES_CAPACITY: usize = 16_384;

/// Capacity of the ring of probes for the measurement duty. When it is full, the
/// probe is dropped, and the next list covers its server.
pub const PROBES_CAPACITY: usize = 64;

/// Capacity of the ring of samples for the metrics duty. When it is full, the
/// sample is lost.
pub const SAMPLES_CAPACITY: usize = 16_384;

/// What the decision duty receives.
#[derive(Debug)]
pub enum Input {
    /// A request of a caller, with the ring for its verdicts.
    Request(RequestHead, Sender<Verdict>),
    /// A caller's request for the list of entry instances.
    Directory(RequestId, SocketAddr, Sender<Verdict>),
    /// An event for the node.
    Event(Event),
    /// A query on the admin endpoint, with the ring for the answer.
    Query(AdminQuery, Sender<String>),
}

/// A query on the admin endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminQuery {
    /// Whether the instance is ready to serve.
    Ready,
    /// The status of the instance.
    Status,
    /// Where a version of a configuration object is in force.
    InForce(Id, u64),
    /// Why the request with this id was routed or refused as it was.
    Explain(String),
}

/// A decision about a request, sent to the task that serves the caller.
#[derive(Debug)]
pub enum Verdict {
    /// Send the request to a backend server.
    Forward {
        /// The backend server.
        server: Backend,
        /// The time after which the request may no longer be sent.
        start_by: Time,
        /// The time at which the attempt times out.
        deadline: Time,
        /// Whether a new connection must be used.
        new_connection: bool,
        /// Whether the response is recorded for replay.
        record_response: bool,
    },
    /// Refuse the request.
    Refuse(Refusal),
    /// Replay a recorded response.
    Replay(Arc<ClaimOutcome>),
    /// Return the addresses of entry instances and how long they are valid.
    Entries(Vec<SocketAddr>, Duration),
}

/// A call to the platform, sent to the platform duty.
#[derive(Debug)]
pub enum Command {
    /// Write an object.
    Write(Ticket, Write),
    /// Read the object of this kind and name.
    Read(Ticket, Arc<str>, Arc<str>),
    /// List the whole configuration; carries the number of the call.
    List(u64),
    /// List the first page of claims.
    Claims,
    /// Wait for changes after a revision; carries the number of the call and the
    /// revision.
    Watch(u64, u64),
}

/// A request to probe backend servers, sent to the measurement duty.
#[derive(Debug)]
pub enum Probe {
    /// All backend servers to probe.
    List(Vec<Backend>),
    /// One backend server.
    One(ServerId, SocketAddr),
}

/// The rings that the decision duty sends to.
#[derive(Debug)]
pub struct Outputs {
    /// To the platform duty.
    pub platform: Sender<Command>,
    /// To the peers duty.
    pub peers: Sender<(SocketAddr, Message)>,
    /// The receiver of `peers`, used to drop the oldest message when it is full.
    pub queued_messages: Receiver<(SocketAddr, Message)>,
}

/// The rings that the callers duty sends to.
#[derive(Clone, Debug)]
pub struct CallerOutputs {
    /// To the decision duty.
    pub decisions: Sender<Input>,
    /// To the servers duty.
    pub jobs: Sender<Job>,
}
