//! What passes between the duties of an instance on the platform.

use std::net::SocketAddr;
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
use corianderway_steer::Event;
use corianderway_steer::Member;
use corianderway_steer::Message;
use corianderway_steer::Order;
use corianderway_steer::Outcome;
use corianderway_steer::Progress;
use corianderway_steer::Query;
use corianderway_steer::Refusal;
use corianderway_steer::RequestId;
use corianderway_steer::Source;

use crate::edge::room::Place;

/// Requests and events that wait for the decision duty. When it is full a
/// request is refused as not run; every other sender waits.
pub const DECISIONS: usize = 4_096;

/// Jobs that wait for the servers duty. When it is full the attempt ends as
/// not sent.
pub const JOBS: usize = 1_024;

/// Orders that wait for the store duty. When it is full the order is dropped;
/// each is given again while its cause lasts.
pub const ORDERS: usize = 64;

/// Messages that wait for the peers duty. When it is full the message is
/// dropped; the next one says more.
pub const MESSAGES: usize = 2_048;

/// What the decision duty receives.
#[derive(Debug)]
pub enum Input {
    /// A caller's request, with where its reply goes.
    Request(Query, Outbound, Sender<Reply>),
    /// A caller asks which instance to use.
    Directory(
        RequestId,
        Option<Region>,
        Option<FailureDomain>,
        Sender<Reply>,
    ),
    /// An attempt ended; with an answer if one came.
    Attempted(RequestId, Outcome, Option<Answer>),
    /// Something happened.
    Event(Event),
    /// An operator asks why a request went as it did.
    Explain(String, Sender<String>),
}

/// What the decision duty tells a caller's task.
#[derive(Debug)]
pub enum Reply {
    /// Give this answer.
    Answer(Answer),
    /// Refuse the request.
    Refuse(Refusal),
    /// Tell which instances to use.
    Direct(Vec<SocketAddr>, Duration),
}

/// A whole answer of a backend server.
#[derive(Debug)]
pub struct Answer {
    /// The head.
    pub head: ResponseHead,
    /// The body.
    pub body: Vec<u8>,
    /// What the body takes of the memory for all, until it is written.
    #[expect(dead_code, reason = "held for its drop")]
    pub place: Place,
}

/// One attempt, for the servers duty.
#[derive(Debug)]
pub struct Job {
    /// The request.
    pub id: RequestId,
    /// The backend server.
    pub server: ServerId,
    /// Where it takes requests.
    pub addr: SocketAddr,
    /// The client account to name.
    pub account: Option<Account>,
    /// What is sent.
    pub outbound: Outbound,
    /// The moment after which nothing may be sent.
    pub deadline: Time,
    /// Whether the request may run once only.
    pub once: bool,
    /// Closed when the attempt is to stop.
    pub stopped: Receiver<()>,
}

/// What the store duty receives.
#[derive(Debug)]
pub enum StoreOrder {
    /// Record how far a move has come.
    Report(Order, Progress),
    /// Remove the entry of an instance that is gone.
    Forget(Member),
    /// Read everything anew.
    Reread,
    /// Follow the store, or another instance's copy.
    Follow(Source),
    /// Try whether the store answers.
    Probe,
}

/// What the peers duty receives.
pub type Letter = (SocketAddr, Message);
