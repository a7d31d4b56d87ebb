//! A node under a logical clock with an in-memory platform.

#![allow(dead_code, reason = "each test program uses a part")]

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use corianderway_control::BodyHash;
use corianderway_control::Id;
use corianderway_control::KeyRecord;
use corianderway_control::Kind;
use corianderway_control::Object;
use corianderway_control::NONCE_BYTES;
use corianderway_control::WATCH_TIMEOUT;
use corianderway_model::Backend;
use corianderway_model::Entry;
use corianderway_model::Presence;
use corianderway_model::Secret;
use corianderway_model::Time;
use corianderway_node::Action;
use corianderway_node::AttemptOutcome;
use corianderway_node::Event;
use corianderway_node::Node;
use corianderway_node::PollResult;
use corianderway_node::ReadOutcome;
use corianderway_node::RequestHead;
use corianderway_node::RequestId;
use corianderway_node::StoredValue;
use corianderway_node::Ticket;
use corianderway_node::Write;
use corianderway_node::WriteOutcome;
use corianderway_node::TICK_INTERVAL;

/// The host of the contract.
pub const HOST: &str = "finder.example";

/// The wall clock at the origin of the logical clock, in milliseconds.
const WALL_ORIGIN_MS: u64 = 1_790_000_000_000;

/// How the platform answers reads and writes of claims.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Platform {
    /// Answers immediately.
    Up,
    /// Holds all calls without answering.
    Silent,
    /// Answers that the result of every call is unknown.
    Lost,
}

/// How checks of backend servers end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Checks {
    /// The server answers immediately.
    Answered,
    /// No check ends.
    Silent,
}

/// The objects that the platform stores, which several rigs may share.
#[derive(Debug)]
pub struct Store {
    revision: u64,
    rows: Vec<(String, StoredValue)>,
}

/// What was done with a request, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Observed {
    /// It was sent to a backend server.
    Sent,
    /// It was refused, with this reason and this code for whether it ran.
    Refused(&'static str, &'static str),
    /// A recorded response was sent.
    Replayed,
}

/// A node with a simulated platform and callers.
pub struct Rig {
    pub node: Node,
    pub now: Time,
    pub platform: Platform,
    pub checks: Checks,
    pub key: String,
    /// What goes to callers, backend servers and other instances, in order.
    pub sent: Vec<Action>,
    record: KeyRecord,
    entries: Vec<Entry>,
    store: Rc<RefCell<Store>>,
    held_calls: Vec<Action>,
    watch: Option<(Time, u64)>,
    observed: Vec<(RequestId, Observed)>,
    next: u64,
}

impl Rig {
    /// Starts a node with a contract of this rate, and waits until it is ready.
    pub fn start(rate: f64, slots: u32, servers: usize) -> Self {
        Self::with_capacity(rate, 1_000.0, slots, servers)
    }

    /// Like [`Rig::start`], with the given capacity of the region.
    pub fn with_capacity(rate: f64, capacity: f64, slots: u32, servers: usize) -> Self {
        let mut rig = Self::member(0, 1, rate, capacity, None);
        rig.list(slots, servers);
        rig.run(Duration::from_secs(30));
        assert!(rig.node.is_ready());
        rig
    }

    /// Creates one of `members` nodes, which share a store; without one, it gets its own.
    pub fn member(
        at: usize,
        members: usize,
        rate: f64,
        capacity: f64,
        shared: Option<&Rc<RefCell<Store>>>,
    ) -> Self {
        let account = "finder".try_into().unwrap();
        let (record, text) =
            KeyRecord::generate(account, &[7; NONCE_BYTES], WALL_ORIGIN_MS / 1_000);
        let mut rig = Self {
            node: Node::new(entry(at), Vec::new(), 7).unwrap(),
            now: Time::ZERO,
            platform: Platform::Up,
            checks: Checks::Answered,
            key: text.reveal().to_owned(),
            sent: Vec::new(),
            record,
            entries: (0..members).map(entry).collect(),
            store: shared.map_or_else(empty_store, Rc::clone),
            held_calls: Vec::new(),
            watch: None,
            observed: Vec::new(),
            next: 0,
        };
        if shared.is_none() {
            rig.store("contracts/finder", &contract(rate, capacity));
            let key = format!("keys/{}", rig.record.id);
            let value = serde_json::to_string(&rig.record).unwrap();
            rig.store(&key, &value);
        }
        rig
    }

    /// Returns the store, for another member.
    pub fn shared_store(&self) -> Rc<RefCell<Store>> {
        Rc::clone(&self.store)
    }

    /// Replaces the list of backend servers.
    pub fn list(&mut self, slots: u32, servers: usize) {
        let backends = (0..servers).map(|at| backend(at, slots)).collect();
        let entries = self.entries.clone();
        self.step(Event::InstancesListed { entries, backends });
    }

    /// Sends a request of its own and returns its number.
    pub fn send(&mut self, method: &str, path: &str, token: Option<&str>) -> RequestId {
        self.send_digest(method, path, token, self.next + 1)
    }

    /// Sends a request with this digest and returns its number.
    pub fn send_digest(
        &mut self,
        method: &str,
        path: &str,
        token: Option<&str>,
        digest: u64,
    ) -> RequestId {
        self.next += 1;
        let id = RequestId(self.next);
        let query = RequestHead {
            id,
            request_id: format!("t-{}", self.next).into(),
            host: HOST.into(),
            method: method.into(),
            path: path.into(),
            key: Some(Secret::new(&self.key)),
            idempotency_key: token.map(Arc::from),
            digest,
            request_hash: BodyHash::new([path.as_bytes()]),
            client: "127.0.0.1".parse().unwrap(),
            timeout: None,
        };
        self.step(Event::Request(query));
        id
    }

    /// Ends the attempt of a request.
    pub fn end(&mut self, id: RequestId, outcome: AttemptOutcome) {
        self.step(Event::AttemptEnded { id, outcome });
    }

    /// Advances the clock, one tick at a time.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + TICK_INTERVAL;
            self.tick();
        }
    }

    /// Passes a tick to the node.
    pub fn tick(&mut self) {
        self.end_watch();
        let wall = WALL_ORIGIN_MS + self.now.as_nanos() / 1_000_000;
        self.step(Event::Tick { wall });
    }

    /// Returns what was done with a request so far.
    pub fn observed(&self, id: RequestId) -> Vec<Observed> {
        let of = self.observed.iter().filter(|row| row.0 == id);
        of.map(|row| row.1.clone()).collect()
    }

    /// Answers all calls held by the silent platform.
    pub fn answer_held(&mut self) {
        self.platform = Platform::Up;
        for action in std::mem::take(&mut self.held_calls) {
            self.serve(action);
        }
    }

    /// Passes an event to the node and performs its actions.
    pub fn step(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.node.step(self.now, event, &mut actions);
        for action in actions {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: Action) {
        if matches!(
            action,
            Action::Forward { .. }
                | Action::Refuse { .. }
                | Action::Send { .. }
                | Action::Probe { .. }
        ) {
            self.sent.push(action.clone());
        }
        match action {
            Action::Forward { id, .. } => self.observed.push((id, Observed::Sent)),
            Action::Refuse { id, refusal } => {
                let refused = Observed::Refused(refusal.reason.code(), refusal.ran.code());
                self.observed.push((id, refused));
            }
            Action::Replay { id, .. } => self.observed.push((id, Observed::Replayed)),
            Action::ListConfig { call } => self.answer_list(call),
            Action::WatchConfig { call, .. } => self.watch = Some((self.now + WATCH_TIMEOUT, call)),
            Action::Write { .. } | Action::Read { .. } => self.serve(action),
            Action::Probe { server, .. } if self.checks == Checks::Answered => {
                self.step(Event::ServerPolled(PollResult {
                    server,
                    reached: true,
                    healthy: Some(true),
                    draining: false,
                    load: Some(0),
                }));
            }
            Action::Advise { .. }
            | Action::ListClaims
            | Action::Send { .. }
            | Action::Probe { .. }
            | Action::Log(_) => {}
        }
    }

    fn end_watch(&mut self) {
        let Some((at, call)) = self.watch else { return };
        if self.now >= at {
            self.watch = None;
            let (revision, objects) = (self.revision(), Vec::new());
            self.step(Event::ConfigWatched {
                call,
                revision,
                objects,
            });
        }
    }

    fn serve(&mut self, action: Action) {
        let is_claim = match &action {
            Action::Write { write, .. } => &*write.kind == "claims",
            Action::Read { kind, .. } => &**kind == "claims",
            _ => false,
        };
        let platform = if is_claim {
            self.platform
        } else {
            Platform::Up
        };
        match (platform, action) {
            (Platform::Silent, action) => self.held_calls.push(action),
            (Platform::Lost, Action::Write { ticket, .. }) => {
                let outcome = WriteOutcome::Unknown;
                self.step(Event::WriteEnded { ticket, outcome });
            }
            (Platform::Lost, Action::Read { ticket, .. }) => {
                let outcome = ReadOutcome::Unknown;
                self.step(Event::ReadEnded { ticket, outcome });
            }
            (_, Action::Write { ticket, write }) => self.write(ticket, write),
            (_, Action::Read { ticket, kind, name }) => {
                let held = self.find(&format!("{kind}/{name}"));
                let outcome = held.map_or(ReadOutcome::Absent, ReadOutcome::Found);
                self.step(Event::ReadEnded { ticket, outcome });
            }
            (_, _) => (),
        }
    }

    fn write(&mut self, ticket: Ticket, write: Write) {
        let name = format!("{}/{}", write.kind, write.name);
        let held = self.find(&name);
        let outcome = if held.as_ref().map(|h| h.version) == write.expect {
            self.store(&name, &write.value.unwrap_or_default());
            WriteOutcome::Written(self.revision())
        } else {
            WriteOutcome::Conflict(held)
        };
        self.step(Event::WriteEnded { ticket, outcome });
    }

    fn revision(&self) -> u64 {
        self.store.borrow().revision
    }

    fn find(&self, name: &str) -> Option<StoredValue> {
        let store = self.store.borrow();
        let found = store.rows.iter().find(|row| row.0 == name);
        found.map(|row| row.1.clone())
    }

    fn store(&mut self, name: &str, value: &str) {
        let mut store = self.store.borrow_mut();
        store.revision += 1;
        store.rows.retain(|row| row.0 != name);
        let held = StoredValue {
            version: store.revision,
            value: value.into(),
        };
        store.rows.push((name.to_owned(), held));
    }

    fn answer_list(&mut self, call: u64) {
        let store = self.store.borrow();
        let objects = store.rows.iter().filter_map(|(name, held)| {
            let (kind, name) = name.split_once('/')?;
            let id = Id::new(Kind::from_collection(kind)?, name);
            Some(Object::new(id, held.version, Arc::clone(&held.value)))
        });
        let (revision, objects) = (store.revision, objects.collect());
        drop(store);
        self.step(Event::ConfigListed {
            call,
            revision,
            objects,
        });
    }
}

fn empty_store() -> Rc<RefCell<Store>> {
    Rc::new(RefCell::new(Store {
        revision: 1,
        rows: Vec::new(),
    }))
}

/// An idempotency key: a UUID of version 7 created at the origin of the clock.
pub fn token() -> String {
    numbered_token(1)
}

/// One of several idempotency keys like that of [`token`].
pub fn numbered_token(number: u32) -> String {
    token_made_at(WALL_ORIGIN_MS, number)
}

/// An idempotency key that was created at this wall clock, in milliseconds.
pub fn token_made_at(made_ms: u64, number: u32) -> String {
    let (high, low) = (made_ms >> 16, made_ms & 0xffff);
    format!("{high:08x}-{low:04x}-7000-8000-{number:012x}")
}

fn entry(at: usize) -> Entry {
    Entry {
        id: format!("entry-{}", at + 1).try_into().unwrap(),
        callers: format!("127.0.0.1:{}", 8_001 + at).parse().unwrap(),
        peers: format!("127.0.0.1:{}", 9_001 + at).parse().unwrap(),
        region: "north".try_into().unwrap(),
        domain: "north-a".try_into().unwrap(),
        presence: Presence::Live,
    }
}

fn backend(at: usize, slots: u32) -> Backend {
    Backend {
        id: format!("server-{at}").try_into().unwrap(),
        addr: format!("127.0.0.1:{}", 7_000 + at).parse().unwrap(),
        service: "finder".try_into().unwrap(),
        version: "v1".try_into().unwrap(),
        region: "north".try_into().unwrap(),
        domain: "north-a".try_into().unwrap(),
        slots,
        presence: Presence::Live,
    }
}

fn contract(rate: f64, capacity: f64) -> String {
    format!(
        "{{\"account\": \"finder\", \"hosts\": [\"{HOST}\"], \"rate\": {rate}, \"burst\": {rate},
          \"routes\": [
            {{\"name\": \"find\", \"path\": \"/find/\", \"methods\": [\"GET\"],
              \"service\": \"finder\", \"deadline\": \"4s\"}},
            {{\"name\": \"brief\", \"path\": \"/brief/\", \"methods\": [\"GET\"],
              \"service\": \"finder\", \"deadline\": \"1s\"}},
            {{\"name\": \"move\", \"path\": \"/move/\", \"methods\": [\"POST\"],
              \"service\": \"finder\", \"replay\": \"once\", \"deadline\": \"4s\"}}],
          \"regions\": [{{\"name\": \"north\", \"capacity\": {capacity}, \"shift\": 10}}]}}"
    )
}
