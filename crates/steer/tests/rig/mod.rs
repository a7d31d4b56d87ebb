//! A test rig: one instance with a simulated clock and invented entries of the store.
#![allow(dead_code, reason = "each test file uses some items of the rig")]

pub mod cluster;
pub mod execution;
pub mod moving;
pub mod suspects;
pub mod views;
pub mod world;

use std::sync::Arc;
use std::time::Duration;

use corianderway_model::Access;
use corianderway_model::Backend;
use corianderway_model::Entry;
use corianderway_model::Era;
use corianderway_model::Presence;
use corianderway_model::Priority;
use corianderway_model::Replay;
use corianderway_model::Revision;
use corianderway_model::Secret;
use corianderway_model::SortedMap;
use corianderway_model::Time;
use corianderway_steer::AccountTerms;
use corianderway_steer::Action;
use corianderway_steer::Bounds;
use corianderway_steer::CallerLimits;
use corianderway_steer::CallerRequest;
use corianderway_steer::Digest;
use corianderway_steer::Event;
use corianderway_steer::InputKind;
use corianderway_steer::Member;
use corianderway_steer::Message;
use corianderway_steer::Order;
use corianderway_steer::Outcome;
use corianderway_steer::Plan;
use corianderway_steer::Reach;
use corianderway_steer::Refusal;
use corianderway_steer::RequestId;
use corianderway_steer::Revisions;
use corianderway_steer::Route;
use corianderway_steer::ServerChange;
use corianderway_steer::ServerEntry;
use corianderway_steer::ServiceTerms;
use corianderway_steer::Steer;

pub const HOST: &str = "desk.example";
pub const KEY: &str = "key-of-salta";

/// How long after its start an instance has all that it needs to know of the fleet.
const SETTLING_TIME: Duration = Duration::from_secs(11);

/// One instance, its clock, and the actions of its latest step.
pub struct Rig {
    pub steer: Steer,
    pub now: Time,
    pub out: Vec<Action>,
    next_id: u64,
}

/// Returns the outcome of an attempt that a backend server answered with `status`.
pub fn answered(status: u16) -> Outcome {
    Outcome::Answered { status, load: None }
}

/// Returns the entry of an instance; its ports follow from a hash of its name.
pub fn member(name: &str, region: &str, domain: &str) -> Member {
    let mix = |number: u32, byte| (number * 31 + u32::from(byte)) % 9_973;
    let number = name.bytes().fold(0, mix) as u16;
    let addr = |port: u16| format!("127.0.0.1:{}", port + number).parse().unwrap();
    Member {
        entry: Entry {
            id: name.try_into().unwrap(),
            callers: addr(10_000),
            peers: addr(20_000),
            region: region.try_into().unwrap(),
            domain: domain.try_into().unwrap(),
            presence: Presence::Live,
        },
        replica: addr(30_000),
        run: 1,
        millicores: 200,
    }
}

/// Returns the entry of a warm backend server of version `v1`.
pub fn server(name: &str, service: &str, region: &str, domain: &str) -> ServerEntry {
    ServerEntry {
        backend: Backend {
            id: name.try_into().unwrap(),
            addr: "127.0.0.1:9".parse().unwrap(),
            service: service.try_into().unwrap(),
            version: "v1".try_into().unwrap(),
            region: region.try_into().unwrap(),
            domain: domain.try_into().unwrap(),
            slots: 4,
            presence: Presence::Live,
        },
        started_ms: 1_000,
        revision: first(1),
        report_sequence: 1,
        cold_left: Duration::ZERO,
    }
}

/// Returns a revision of the first era.
pub fn first(number: u64) -> Revision {
    Revision::new(Era::FIRST, number)
}

/// Returns the event of an instance that has observed a change of one kind, and knows that
/// kind up to the change.
pub fn revisions(kind: InputKind, revision: u64) -> Event {
    let mut changed = Revisions::default();
    changed.raise(kind, first(revision));
    let known = changed;
    Event::Revisions { changed, known }
}

/// Returns the digest of an instance that serves callers and has observed a change of one
/// kind.
pub fn digest(member: &Member, kind: InputKind, revision: u64) -> Event {
    let mut changed = Revisions::default();
    changed.raise(kind, first(revision));
    Event::Message(Message::Digest(Arc::new(Digest {
        from: member.entry.id.clone(),
        run: member.run,
        sequence: 1,
        presence: Presence::Live,
        ready: true,
        reaches_store: true,
        late: false,
        doubts_store: false,
        settled: true,
        legacy_revision: 0,
        changed,
        rate: 0.0,
        demands: Vec::new(),
        workloads: Vec::new(),
        moves: Vec::new(),
        crashes: Vec::new(),
        known_crashes: Vec::new(),
    })))
}

pub fn route(name: &str, prefix: &str, service: &str, replay: Replay) -> Route {
    Route {
        name: name.try_into().unwrap(),
        host: HOST.into(),
        prefix: prefix.into(),
        replay,
        timeout: Some(Duration::from_secs(2)),
        target_latency: Duration::from_millis(800),
        priority: Priority::Normal,
        targets: vec![(service.try_into().unwrap(), 1)],
        max_attempts: 2,
        access: Access::Keyed,
        sticky: true,
        regions: Vec::new(),
    }
}

/// Returns a configuration with one client account, `salta`, whose burst is one second
/// of its rate.
pub fn plan(version: u64, routes: Vec<Route>, rate: Option<f64>) -> Plan {
    let account = AccountTerms {
        account: "salta".try_into().unwrap(),
        priority: None,
        rate,
        burst: rate.unwrap_or(0.0),
        regions: Vec::new(),
    };
    let terms = ServiceTerms {
        cold_duration: Duration::from_secs(3),
        cold_rate: 6.0,
    };
    let services = ["bids", "payouts"].map(|s| (s.try_into().unwrap(), terms));
    let services = services.into_iter().collect::<SortedMap<_, _>>();
    let accounts = vec![(account, vec![Secret::new(KEY)])];
    Plan::new(version, routes, services, accounts, CallerLimits::default()).unwrap()
}

/// Returns two routes: `/bids/` may be retried, `/payouts/` may not.
pub fn routes() -> Vec<Route> {
    vec![
        route("bids", "/bids/", "bids", Replay::Idempotent),
        route("payouts", "/payouts/", "payouts", Replay::Once),
    ]
}

/// Returns two backend servers of each service in each of two failure domains of each
/// region.
pub fn servers() -> Vec<ServerEntry> {
    let mut servers = Vec::new();
    for service in ["bids", "payouts"] {
        for (region, domain) in [
            ("north", "north-a"),
            ("north", "north-b"),
            ("south", "south-a"),
            ("south", "south-b"),
        ] {
            for number in 1..=2 {
                let name = format!("{service}-{domain}-{number}");
                servers.push(server(&name, service, region, domain));
            }
        }
    }
    servers
}

impl Rig {
    /// Creates an instance in `north-a` that has received all inputs.
    pub fn new() -> Self {
        let mut rig = Self::bare(member("entry-1", "north", "north-a"));
        rig.settle(plan(1, routes(), None), servers());
        rig
    }

    /// Creates an instance that has received no input.
    pub fn bare(me: Member) -> Self {
        Self::bare_within(me, Bounds::default())
    }

    /// Creates an instance with these limits that has received no input.
    pub fn bare_within(me: Member, bounds: Bounds) -> Self {
        Self {
            steer: Steer::new(me, bounds, 7).unwrap(),
            now: Time::from_millis(1_000),
            out: Vec::new(),
            next_id: 0,
        }
    }

    /// Sends all inputs that an instance receives after its start.
    pub fn settle(&mut self, plan: Plan, servers: Vec<ServerEntry>) {
        self.step(Event::Members(Vec::new()));
        self.step(Event::ProbeAnswered);
        self.step(Event::Reach(Reach::Store));
        self.step(Event::Plan(Arc::new(plan)));
        let put = servers.into_iter().map(ServerChange::Put).collect();
        self.step(Event::Servers(put));
        self.step(Event::Orders(Vec::new()));
        self.step(Event::Evacuated(Vec::new()));
        // The store counts as unsettled for some time after the first contact, and the
        // instance has no retries beyond a fraction for a window after its start.
        self.pass(SETTLING_TIME);
    }

    pub fn step(&mut self, event: Event) -> &[Action] {
        self.out.clear();
        self.steer.step(self.now, event, &mut self.out);
        &self.out
    }

    /// Advances the clock, with ticks when they are due; returns all actions.
    pub fn pass(&mut self, span: Duration) -> Vec<Action> {
        let end = self.now + span;
        let mut actions = Vec::new();
        loop {
            let due = self.steer.next_tick().max(self.now);
            if due > end {
                self.now = end;
                return actions;
            }
            self.now = due;
            actions.extend_from_slice(self.step(Event::Tick));
        }
    }

    pub fn query(&mut self, path: &str, object: Option<u64>) -> CallerRequest {
        self.next_id += 1;
        CallerRequest {
            id: RequestId(self.next_id),
            trace: format!("t{}", self.next_id).into(),
            host: HOST.into(),
            path: path.into(),
            key: Some(Secret::new(KEY)),
            object,
            time_limit: Some(Duration::from_secs(4)),
            signature: self.next_id,
        }
    }

    /// Sends a caller's request to the instance and returns its number.
    pub fn request(&mut self, path: &str, object: Option<u64>) -> RequestId {
        let query = self.query(path, object);
        let id = query.id;
        self.step(Event::Request(query));
        id
    }

    /// Ends the attempt of a request.
    pub fn end(&mut self, id: RequestId, outcome: Outcome) -> &[Action] {
        self.step(Event::AttemptEnded { id, outcome })
    }

    /// Returns the backend server that the latest step sent a request to.
    pub fn sent(&self, id: RequestId) -> Option<String> {
        sent_in(&self.out, id)
    }

    /// Returns the refusal of a request by the latest step.
    pub fn refused(&self, id: RequestId) -> Option<Refusal> {
        refused_in(&self.out, id)
    }

    pub fn is_delivered(&self, id: RequestId) -> bool {
        let delivered = |a: &Action| matches!(a, Action::Deliver(d) if *d == id);
        self.out.iter().any(delivered)
    }

    pub fn is_cancelled(&self, id: RequestId) -> bool {
        let cancelled = |a: &Action| matches!(a, Action::Cancel(c) if *c == id);
        self.out.iter().any(cancelled)
    }
}

pub fn sent_in(actions: &[Action], id: RequestId) -> Option<String> {
    actions.iter().find_map(|action| match action {
        Action::Forward {
            id: sent, server, ..
        } if *sent == id => Some(server.as_str().to_owned()),
        _ => None,
    })
}

pub fn refused_in(actions: &[Action], id: RequestId) -> Option<Refusal> {
    actions.iter().find_map(|action| match action {
        Action::Refuse { id: sent, refusal } if *sent == id => Some(*refusal),
        _ => None,
    })
}

pub fn order(service: &str, target: &str, span: Duration) -> Order {
    Order {
        service: service.try_into().unwrap(),
        target: target.try_into().unwrap(),
        duration: span,
        revision: first(5),
        created_revision: 5,
        progress: None,
        earlier: None,
        withdrawn: Vec::new(),
    }
}
