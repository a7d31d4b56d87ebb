//! The messages and the ring capacities between the duties of an instance on the
//! platform.

use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use corianderway_model::Account;
use corianderway_model::FailureDomain;
use corianderway_model::Region;
use corianderway_model::ServerId;
use corianderway_model::Time;
use corianderway_platform::front::Outbound;
use corianderway_platform::front::ResponseHead;
use corianderway_steer::AttemptCount;
use corianderway_steer::CallerRequest;
use corianderway_steer::Event;
use corianderway_steer::Member;
use corianderway_steer::Message;
use corianderway_steer::Note;
use corianderway_steer::Order;
use corianderway_steer::Outcome;
use corianderway_steer::Progress;
use corianderway_steer::Refusal;
use corianderway_steer::RequestId;
use corianderway_steer::Source;

use crate::edge::body_memory::Reservation;

/// The capacity of the ring to the decision duty. If it is full, requests are
/// refused as not run, and other senders wait.
pub const DECISIONS: usize = 4_096;

/// The capacity of the decision duty's ring for changes of the store, which go ahead of all
/// other inputs. If it is full, the store duty waits.
pub const URGENT_DECISIONS: usize = 1_024;

/// The capacity of the ring to the servers duty. If it is full, the attempt ends
/// as not sent, and a check is dropped.
pub const SERVER_COMMANDS: usize = 1_024;

/// The capacity of the ring to the store duty. If it is full, the command is
/// dropped; the decision core repeats it while its cause lasts.
pub const STORE_COMMANDS: usize = 64;

/// The capacity of the ring to the peers duty. If it is full, the message is
/// dropped; the next one supersedes it.
pub const PEER_MESSAGES: usize = 2_048;

/// The capacity of the ring to the duties thread. If it is full, counts are dropped and
/// logged, and messages are dropped; answers to calls wait.
pub const DUTY_INPUTS: usize = 1_024;

/// A message to the duties thread.
#[derive(Debug)]
pub enum DutyInput {
    /// Attempts that were sent, or did not run.
    Counted(Vec<AttemptCount>),
    /// The complete list of instances.
    Members(Vec<Member>),
    /// A message from another instance.
    Message(corianderway_duties::Message),
    /// The answer to a store call, with the number of the call.
    Stored(u64, corianderway_duties::Event),
    /// The answer to a report.
    Reported(corianderway_duties::Event),
}

/// A message to the decision duty.
#[derive(Debug)]
pub enum Input {
    /// A caller's request, what is sent on with the memory reserved for it, and the
    /// ring for its reply.
    Request(CallerRequest, (Outbound, Reservation), Sender<Reply>),
    /// A caller's question which instances to use.
    Directory(
        RequestId,
        Option<Region>,
        Option<FailureDomain>,
        Sender<Reply>,
    ),
    /// The end of an attempt, with the answer if there was one.
    Attempted(RequestId, Outcome, Option<Answer>),
    /// Any other event for the decision core.
    Event(Event),
    /// What another duty logs about a request.
    Note(Note),
    /// An operator's question why a request ended as it did.
    Explain(String, Sender<String>),
}

/// The decision duty's reply to a request.
#[derive(Debug)]
pub enum Reply {
    /// The answer of a backend server.
    Answer(Answer),
    /// The refusal of the request.
    Refuse(Refusal),
    /// The instances to use, and how long this holds.
    Instances(Vec<SocketAddr>, Duration),
}

/// A complete answer of a backend server.
#[derive(Debug)]
pub struct Answer {
    /// The head.
    pub head: ResponseHead,
    /// The body.
    pub body: Vec<u8>,
    /// The memory reserved for the body until it is written.
    #[expect(dead_code, reason = "held for its drop")]
    pub reservation: Reservation,
}

/// A command to the servers duty.
#[derive(Debug)]
pub enum ServerCommand {
    /// Makes an attempt.
    Attempt(Job),
    /// Checks whether a backend server accepts connections.
    Check(ServerId, SocketAddr),
}

/// An attempt to be made by the servers duty.
#[derive(Debug)]
pub struct Job {
    /// The id of the request.
    pub id: RequestId,
    /// The backend server.
    pub server: ServerId,
    /// The address of the backend server.
    pub addr: SocketAddr,
    /// The client account that is sent along.
    pub account: Option<Account>,
    /// The request to send.
    pub outbound: Outbound,
    /// The time after which the answer is no longer awaited.
    pub deadline: Time,
    /// The time after which nothing may be sent.
    pub begin_by: Time,
    /// Whether the choice of the backend server was recalled.
    pub recalled: Arc<AtomicBool>,
    /// True if the request must not run twice.
    pub once: bool,
    /// Closes when the attempt is cancelled.
    pub cancelled: Receiver<()>,
}

/// A command to the store duty.
#[derive(Debug)]
pub enum StoreCommand {
    /// Writes the progress of a version move.
    ReportProgress(Order, Progress),
    /// Removes the entry of an instance that is gone.
    RemoveMember(Member),
    /// Lists everything again, if the store is followed.
    Reread,
    /// Follows the store, the replica of another instance, or nothing.
    Follow(Source),
    /// Checks whether the store answers.
    Probe,
}

/// A message to another instance, with its address.
pub type PeerMessage = (SocketAddr, Message);
