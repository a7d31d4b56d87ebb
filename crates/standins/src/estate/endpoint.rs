//! A stand-in of a platform endpoint that runs requests and records them.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;
use serde_json::Value;

use crate::duty;
use crate::estate::exchange;

/// The number of slots in the store's entry and in `server-load`, unless another is set.
const SLOTS: u32 = 8;

/// The behavior of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Runs each request at once and answers 200.
    #[default]
    Healthy,
    /// Runs each request and answers after this delay.
    Slow(Duration),
    /// Runs each request and answers 500.
    Failing,
    /// Rejects each request as full without running it.
    Full,
    /// Runs each request and never answers.
    Unanswered,
    /// Runs each request and says in its answer that it leaves.
    Leaving,
    /// Rejects each request without running it, and wants none for this long.
    Pausing(Duration),
    /// Runs each request and answers with this status, which may be one that seems to say
    /// that it has not run.
    Status(u16),
    /// Starts each request and answers with this status before it has read the body.
    Early(u16),
    /// Rejects and runs requests in turn, and sends a second copy of each answer ahead of
    /// the next answer on the connection.
    Repeating,
    /// Runs each request and answers with a success that bears neither its id nor a
    /// signature, like a program of another kind.
    Stranger,
    /// Holds requests in a queue until their time has nearly passed, then rejects and runs
    /// them in turn.
    Queued,
}

/// A request that an endpoint ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestRecord {
    /// The time at which it arrived.
    pub at: Instant,
    /// The time at which it began to run.
    pub began: Instant,
    /// The identity of the endpoint at that time.
    pub endpoint: String,
    /// The method and the target.
    pub request_line: String,
    /// The `Request-Id` header.
    pub id: String,
    /// The client account in the `Tenant` header.
    pub account: Option<String>,
    /// The names of all headers, in lower case.
    pub headers: Vec<String>,
    /// The body, as much of it as arrived.
    pub body: Arc<str>,
    /// Whether the answer says that the endpoint leaves.
    pub leaving: bool,
}

/// A request that an endpoint rejected without running it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// The time at which it arrived.
    pub at: Instant,
    /// The identity of the endpoint at that time.
    pub endpoint: String,
    /// The `Request-Id` header.
    pub id: String,
    /// How long the endpoint wants no requests.
    pub pause: Duration,
}

/// A running endpoint.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The address on which it accepts requests.
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
}

#[derive(Debug)]
pub(super) struct State {
    pub(super) id: String,
    pub(super) mode: Mode,
    pub(super) slots: u32,
    /// The number of requests that arrived.
    pub(super) arrived: u64,
    pub(super) seen: Vec<RequestRecord>,
    pub(super) rejected: Vec<Rejection>,
}

impl Endpoint {
    /// Starts an endpoint.
    ///
    /// # Panics
    ///
    /// Panics when no loopback port can be bound.
    pub fn start(id: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("the address of a listener");
        let state = State {
            id: id.to_owned(),
            mode: Mode::default(),
            slots: SLOTS,
            arrived: 0,
            seen: Vec::new(),
            rejected: Vec::new(),
        };
        let state = Arc::new(Mutex::new(state));
        let endpoint = Self { addr, state };
        let served = endpoint.clone();
        duty::spawn("endpoint", move || exchange::serve(listener, served));
        endpoint
    }

    /// Builds its entry in the store.
    pub fn entry(&self, service: &str, zone: &str, state: &str, seq: u64) -> Value {
        self.entry_at(self.addr, service, zone, state, seq)
    }

    /// Builds its entry with another address, such as that of a proxy in front of it.
    pub fn entry_at(
        &self,
        addr: SocketAddr,
        service: &str,
        zone: &str,
        state: &str,
        seq: u64,
    ) -> Value {
        let mut entry = entry(addr, service, zone, state, seq);
        entry["info"]["slots"] = json!(self.lock().slots);
        entry
    }

    /// Changes the number of slots that it states.
    pub fn set_slots(&self, slots: u32) {
        self.lock().slots = slots;
    }

    /// Returns its identity.
    pub fn id(&self) -> String {
        self.lock().id.clone()
    }

    /// Changes its identity, as when another endpoint reuses its address.
    pub fn set_id(&self, id: &str) {
        id.clone_into(&mut self.lock().id);
    }

    /// Changes its behavior.
    pub fn set_mode(&self, mode: Mode) {
        self.lock().mode = mode;
    }

    /// Returns the requests that it ran, in order of arrival.
    pub fn requests(&self) -> Vec<RequestRecord> {
        self.lock().seen.clone()
    }

    /// Returns whether it ran the request with an id.
    pub fn has_run(&self, id: &str) -> bool {
        self.lock().seen.iter().any(|request| request.id == id)
    }

    /// Returns the requests that it rejected, in order of arrival.
    pub fn rejections(&self) -> Vec<Rejection> {
        self.lock().rejected.clone()
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Builds the store's entry of an endpoint at an address.
pub fn entry(addr: SocketAddr, service: &str, zone: &str, state: &str, seq: u64) -> Value {
    json!({
        "address": addr.to_string(),
        "info": { "service": service, "version": "v1", "zone": zone, "slots": SLOTS },
        "status": { "state": state, "seq": seq, "cold_left_ms": 0 },
        "born": 1_790_000_000_000_u64,
    })
}
