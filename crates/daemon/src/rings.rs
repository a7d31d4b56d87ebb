//! The bounded rings between duties, and what each does when it is full.

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

/// Requests and events that wait for the decision duty. When it is full a
/// request is refused as not run; every other sender waits.
pub const DECISIONS: usize = 4_096;

/// Verdicts on one request. The decision duty sends at most one for each
/// event of the request, so the ring is never full.
pub const VERDICTS: usize = 8;

/// Jobs that wait for the servers duty. When it is full the attempt ends as
/// not sent, and the request is refused as not run.
pub const JOBS: usize = 1_024;

/// Writes that wait for the platform duty. When it is full the write ends as
/// not reached.
pub const WRITES: usize = 1_024;

/// Messages that wait for one peer. When it is full the oldest gives way,
/// since every peer message is repeated or superseded by a later one.
pub const PEER_MESSAGES: usize = 256;

/// Messages for all peers that wait for the peers duty; as for one peer.
pub const MESSAGES: usize = 4_096;

/// Lines that wait for the log duty. When it is full the line is counted, and
/// the count is logged.
pub const LINES: usize = 16_384;

/// Probes that wait for the measurement duty. When it is full the probe is
/// left to the next list.
pub const PROBES: usize = 64;

/// Samples that wait for the metrics duty. When it is full the sample is
/// counted.
pub const SAMPLES: usize = 16_384;

/// What the decision duty receives.
#[derive(Debug)]
pub enum Input {
    /// A caller's request, with the ring for its verdicts.
    Request(RequestHead, Sender<Verdict>),
    /// A caller asks which entry instance to use.
    Directory(RequestId, SocketAddr, Sender<Verdict>),
    /// Something happened.
    Event(Event),
    /// An operator asks.
    Ask(Question, Sender<String>),
}

/// What an operator can ask of an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Question {
    /// Whether it is ready to serve.
    Ready,
    /// What it sees.
    Status,
    /// Where a version of a configuration object is in force.
    InForce(Id, u64),
    /// Why a request was routed or refused as it was.
    Explain(String),
}

/// What the decision duty tells a caller's task.
#[derive(Debug)]
pub enum Verdict {
    /// Send the request to a backend server.
    Forward {
        /// The backend server.
        server: Backend,
        /// The moment after which nothing may be sent.
        start_by: Time,
        /// The moment after which nothing is awaited.
        deadline: Time,
        /// Whether the connection must be new.
        fresh: bool,
        /// Whether the answer is wanted back.
        keep: bool,
    },
    /// Refuse the request.
    Refuse(Refusal),
    /// Give a remembered answer.
    Replay(Arc<ClaimOutcome>),
    /// Tell which entry instances to use.
    Direct(Vec<SocketAddr>, Duration),
}

/// What the platform duty receives.
#[derive(Debug)]
pub enum Order {
    /// Write an object.
    Write(Ticket, Write),
    /// Read an object back.
    Read(Ticket, Arc<str>, Arc<str>),
    /// List the whole configuration, under the number of the call.
    List(u64),
    /// List the first claims.
    Claims,
    /// Wait for changes after a revision, under the number of the call.
    Watch(u64, u64),
}

/// What the measurement duty receives.
#[derive(Debug)]
pub enum Probe {
    /// The latest list of backend servers.
    List(Vec<Backend>),
    /// One backend server, to be looked at now.
    One(ServerId, SocketAddr),
}

/// The sending ends that the decision duty holds.
#[derive(Debug)]
pub struct Outputs {
    /// To the platform duty.
    pub platform: Sender<Order>,
    /// To the peers duty.
    pub peers: Sender<(SocketAddr, Message)>,
    /// The other end of `peers`, to make room.
    pub crowded: Receiver<(SocketAddr, Message)>,
}

/// The sending ends that the callers duty holds.
#[derive(Clone, Debug)]
pub struct Requests {
    /// To the decision duty.
    pub decisions: Sender<Input>,
    /// To the servers duty.
    pub jobs: Sender<Job>,
}
