//! The processes, links and stand-ins of a run, and the faults done to them.

use std::path::PathBuf;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;
use serde_json::Value;

use crate::estate::node;
use crate::estate::Endpoint;
use crate::estate::Mode;
use crate::estate::Node;
use crate::estate::Site;
use crate::estate::Store;
use crate::harness::until;
use crate::harness::Error;
use crate::harness::Link;
use crate::harness::Proxy;
use crate::soak::history::Call;
use crate::soak::history::Change;
use crate::soak::history::Disturbed;
use crate::soak::history::History;
use crate::soak::plan::Act;
use crate::soak::plan::Fault;
use crate::soak::plan::Trouble;
use crate::soak::plan::DOMAINS;
use crate::soak::plan::ENDPOINTS;
use crate::soak::Options;

/// The time that every route allows.
pub(super) const TIMEOUT: Duration = Duration::from_secs(2);

/// The account with a rate, its rate and its burst.
pub(super) const LIMITED: &str = "t2";
pub(super) const RATE: f64 = 20.0;
pub(super) const BURST: f64 = 20.0;

/// The key of the account without a rate, and that of the one with it.
pub(super) const KEY: &str = "k-base";
pub(super) const LIMITED_KEY: &str = "k-limited";

/// The longest wait for the first readiness.
const START: Duration = Duration::from_secs(20);

/// When a process that does not end after a planned stop is killed: its grace
/// and a little.
const FORCED: Duration = Duration::from_millis(4_500);

/// What the callers share with the run.
#[derive(Debug)]
pub(super) struct Shared {
    /// Where callers reach each instance.
    pub(super) fronts: Vec<std::net::SocketAddr>,
    /// The number of starts of each instance.
    pub(super) runs: Vec<AtomicU32>,
    /// The key that was granted last.
    pub(super) key: Mutex<String>,
    pub(super) stopped: AtomicBool,
    history: Mutex<History>,
}

/// A run's processes, links and stand-ins.
#[derive(Debug)]
pub(super) struct World {
    pub(super) shared: Arc<Shared>,
    store: Store,
    dir: PathBuf,
    state: State,
}

#[derive(Debug)]
struct State {
    hosts: Vec<Host>,
    endpoints: Vec<Place>,
    repairs: Vec<(Instant, Repair)>,
    version: u64,
    moved: bool,
    keys: u32,
    logs: Vec<(String, Vec<String>)>,
}

/// Where an instance runs.
#[derive(Debug)]
struct Host {
    site: Site,
    node: Option<Node>,
    stopping: Option<Instant>,
    store: Proxy,
    front: Proxy,
}

/// Where an endpoint stands.
#[derive(Debug)]
struct Place {
    endpoint: Endpoint,
    link: Proxy,
    service: &'static str,
    domain: &'static str,
    seq: u64,
    generation: u32,
}

/// What is done when a fault is over.
#[derive(Clone, Debug)]
enum Repair {
    Start(usize),
    Thaw(usize),
    Store(usize),
    Link(usize),
    Mode(usize),
    Back(usize),
    Take(usize),
}

impl Shared {
    pub(super) fn record(&self, call: Call) {
        self.history().calls.push(call);
    }

    fn history(&self) -> MutexGuard<'_, History> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl World {
    /// Starts everything and waits until every instance is ready.
    pub(super) fn start(options: &Options) -> Result<Self, Error> {
        let store = Store::start();
        let mut endpoints = Vec::new();
        for number in 0..ENDPOINTS {
            let service = if number % 2 == 0 { "s1" } else { "s2" };
            let endpoint = Endpoint::start(&format!("e{number}-0-{service}"));
            let link = Proxy::start(endpoint.addr)?;
            let domain = DOMAINS[number / 2 % DOMAINS.len()].0;
            endpoints.push(Place {
                endpoint,
                link,
                service,
                domain,
                seq: 1,
                generation: 0,
            });
        }
        let mut hosts = Vec::new();
        for number in 0..options.instances {
            let (domain, region) = DOMAINS[number % DOMAINS.len()];
            let link = Proxy::start(store.addr)?;
            let site = Site::new(region, domain, link.addr);
            let front = Proxy::start((site.ip, node::CALLERS).into())?;
            hosts.push(Host {
                site,
                node: None,
                stopping: None,
                store: link,
                front,
            });
        }
        let shared = Shared {
            fronts: hosts.iter().map(|host| host.front.addr).collect(),
            runs: hosts.iter().map(|_| AtomicU32::new(0)).collect(),
            key: Mutex::new(KEY.to_owned()),
            stopped: AtomicBool::new(false),
            history: Mutex::default(),
        };
        let state = State {
            hosts,
            endpoints,
            repairs: Vec::new(),
            version: 0,
            moved: false,
            keys: 0,
            logs: Vec::new(),
        };
        let mut world = Self {
            shared: Arc::new(shared),
            store,
            dir: options.dir.clone(),
            state,
        };
        world.configure();
        for number in 0..ENDPOINTS {
            world.list(number, "ready");
        }
        for number in 0..options.instances {
            world.start_node(number)?;
        }
        until("every instance to be ready", START, || {
            let mut nodes = world
                .state
                .hosts
                .iter()
                .filter_map(|host| host.node.as_ref());
            nodes.all(Node::is_ready).then_some(())
        })?;
        // What the start disturbed is over when the run begins.
        world.shared.history().disturbed.clear();
        Ok(world)
    }

    /// What was seen so far.
    pub(super) fn history(&self) -> History {
        let mut history = self.shared.history().clone();
        history.seen = self
            .state
            .endpoints
            .iter()
            .flat_map(|e| e.endpoint.seen())
            .collect();
        history.seen.sort_by_key(|seen| seen.at);
        history
    }

    /// The logs of all runs of the instances.
    pub(super) fn logs(&self) -> Vec<(String, Vec<String>)> {
        let mut logs = self.state.logs.clone();
        let running = self
            .state
            .hosts
            .iter()
            .filter_map(|host| host.node.as_ref());
        logs.extend(running.map(|node| (node.site.name.clone(), node.process.lines())));
        logs
    }

    /// Does a fault.
    pub(super) fn inject(&mut self, fault: Fault) {
        let now = Instant::now();
        match fault {
            Fault::Node(at, Act::Kill, span) => self.kill(at, now + span),
            Fault::Node(at, Act::Stop, span) => self.stop(at, span),
            Fault::Node(at, Act::Freeze, span) => {
                if self.with_node(at, |node| node.process.freeze().is_ok()) {
                    self.disturb(at, now, Some(now + span), false);
                    self.later(now + span, Repair::Thaw(at));
                }
            }
            Fault::Store(at, trouble, span) => self.spoil_store(at, trouble, span),
            Fault::StoreDown(span) => {
                self.shared.history().store.push((now, Some(now + span)));
                for at in 0..self.state.hosts.len() {
                    self.spoil_store(at, Trouble::Severed, span);
                }
            }
            Fault::Compact => self.store.compact(),
            Fault::Way(at, trouble, span) => {
                self.state.endpoints[at].link.set(trouble.link());
                self.spoil(at, now, now + span);
                self.later(now + span, Repair::Link(at));
            }
            Fault::Endpoint(at, mode, span) => {
                self.state.endpoints[at].endpoint.set_mode(mode);
                self.spoil(at, now, now + span);
                self.later(now + span, Repair::Mode(at));
            }
            Fault::Drain(at, span) => {
                let id = self.list(at, "draining");
                self.change(Change::Leaving(id));
                self.later(now + span, Repair::Back(at));
            }
            Fault::Reuse(at) => self.reuse(at),
            Fault::ResetCallers(at) => {
                let front = &self.state.hosts[at].front;
                front.set(Trouble::Severed.link());
                front.set(Link::default());
                self.disturb(at, now, Some(now), false);
            }
            Fault::MoveRoute => {
                self.state.moved = !self.state.moved;
                let service = if self.state.moved { "s2" } else { "s1" };
                self.configure();
                self.change(Change::Route(service));
            }
            Fault::TurnKey => self.turn_key(),
            Fault::Evacuate(at, span) => {
                self.store.put("evacuations", DOMAINS[at].0, &json!({}));
                self.later(now + span, Repair::Take(at));
            }
        }
    }

    /// Ends the faults whose time is over, and starts what has ended.
    pub(super) fn repair(&mut self) {
        let now = Instant::now();
        self.reap(now);
        let due: Vec<Repair> = {
            let repairs = std::mem::take(&mut self.state.repairs);
            let (due, rest): (Vec<_>, Vec<_>) = repairs.into_iter().partition(|r| r.0 <= now);
            self.state.repairs = rest;
            due.into_iter().map(|row| row.1).collect()
        };
        for repair in due {
            match repair {
                // A start that fails shows as an instance that never recovers.
                Repair::Start(at) => drop(self.start_node(at)),
                Repair::Thaw(at) => {
                    self.with_node(at, |node| node.process.thaw().is_ok());
                }
                Repair::Store(at) => {
                    self.state.hosts[at].store.set(Link::default());
                }
                Repair::Link(at) => self.state.endpoints[at].link.set(Link::default()),
                Repair::Mode(at) => self.state.endpoints[at].endpoint.set_mode(Mode::Healthy),
                Repair::Back(at) => {
                    let id = self.list(at, "ready");
                    self.change(Change::Back(id));
                }
                Repair::Take(at) => self.store.remove("evacuations", DOMAINS[at].0),
            }
        }
    }

    // Takes note of processes that have ended after a planned stop.
    fn reap(&mut self, now: Instant) {
        let count = self.state.hosts.len();
        for at in 0..count {
            let host = &mut self.state.hosts[at];
            let (Some(since), Some(node)) = (host.stopping, host.node.as_mut()) else {
                continue;
            };
            let ended = matches!(node.process.ended(), Ok(Some(_)));
            let forced = !ended && now - since >= FORCED;
            if forced {
                drop(node.process.kill());
            }
            if ended || forced {
                let node = host.node.take();
                host.stopping = None;
                self.state
                    .logs
                    .extend(node.map(|n| (n.site.name.clone(), n.process.lines())));

                self.close(at, now);
                if forced {
                    self.disturb(at, since, Some(now), false);
                }
                // What lasts from here to the start is no planned stop.
                self.disturb(at, now, None, false);
            }
        }
    }

    fn kill(&mut self, at: usize, back: Instant) {
        let host = &mut self.state.hosts[at];
        if host.stopping.is_some() {
            return;
        }
        let Some(mut node) = host.node.take() else {
            return;
        };
        drop(node.process.kill());
        self.state
            .logs
            .push((node.site.name.clone(), node.process.lines()));

        self.disturb(at, Instant::now(), None, false);
        self.later(back, Repair::Start(at));
    }

    fn stop(&mut self, at: usize, span: Duration) {
        let now = Instant::now();
        {
            let host = &mut self.state.hosts[at];
            let Some(node) = host.node.as_mut().filter(|_| host.stopping.is_none()) else {
                return;
            };
            if node.process.terminate().is_err() {
                return;
            }
            host.stopping = Some(now);
        }
        self.disturb(at, now, None, true);
        self.later(now + FORCED + span, Repair::Start(at));
    }

    fn start_node(&mut self, at: usize) -> Result<(), Error> {
        let site = self.state.hosts[at].site.clone();
        self.shared.runs[at].fetch_add(1, Ordering::AcqRel);
        let node = Node::start(site, &DOMAINS, &self.dir)?;
        self.state.hosts[at].node = Some(node);
        let now = Instant::now();
        self.close(at, now);
        self.disturb(at, now, Some(now), false);
        Ok(())
    }

    fn with_node(&mut self, at: usize, act: impl FnOnce(&mut Node) -> bool) -> bool {
        self.state.hosts[at].node.as_mut().is_some_and(act)
    }

    fn spoil_store(&mut self, at: usize, trouble: Trouble, span: Duration) {
        let now = Instant::now();
        self.state.hosts[at].store.set(trouble.link());
        self.disturb(at, now, Some(now + span), false);
        self.later(now + span, Repair::Store(at));
    }

    fn spoil(&mut self, at: usize, from: Instant, to: Instant) {
        let id = self.state.endpoints[at].endpoint.id();
        self.shared.history().endpoints.push((id, from, Some(to)));
    }

    // Another endpoint takes over the address; requests for the old one must
    // not run there.
    fn reuse(&mut self, at: usize) {
        let (old, new) = {
            let place = &mut self.state.endpoints[at];
            place.generation += 1;
            place.seq = 0;
            let old = place.endpoint.id();
            let new = format!("e{at}-{}-{}", place.generation, place.service);
            place.endpoint.rename(&new);
            (old, new)
        };
        self.store.remove("servers", &old);
        self.change(Change::Leaving(old.clone()));
        let now = Instant::now();
        self.shared.history().endpoints.push((old, now, None));
        let listed = self.list(at, "ready");
        debug_assert_eq!(listed, new, "an endpoint is listed under its identity");
    }

    // Writes the entry of an endpoint; gives back its identity.
    fn list(&mut self, at: usize, presence: &str) -> String {
        let place = &mut self.state.endpoints[at];
        place.seq += 1;
        let id = place.endpoint.id();
        let (service, domain, seq) = (place.service, place.domain, place.seq);
        let entry = place
            .endpoint
            .entry_at(place.link.addr, service, domain, presence, seq);
        self.store.put("servers", &id, &entry);
        id
    }

    fn turn_key(&mut self) {
        let (old, new) = {
            let old = format!("k-{}", self.state.keys);
            self.state.keys += 1;
            (old, format!("k-{}", self.state.keys))
        };
        self.configure();
        self.change(Change::KeyGone(old));
        let mut key = self
            .shared
            .key
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *key = new;
    }

    fn configure(&mut self) {
        self.state.version += 1;
        let moved = if self.state.moved { "s2" } else { "s1" };
        let spec = configuration(self.state.version, moved, &format!("k-{}", self.state.keys));
        self.store.put("config", "main", &spec);
    }

    fn change(&mut self, change: Change) {
        self.shared.history().changes.push((Instant::now(), change));
    }

    fn disturb(&mut self, node: usize, from: Instant, to: Option<Instant>, planned: bool) {
        let row = Disturbed {
            node,
            from,
            to,
            planned,
        };
        self.shared.history().disturbed.push(row);
    }

    // Ends what disturbs an instance without an end of its own.
    fn close(&mut self, node: usize, now: Instant) {
        let mut history = self.shared.history();
        let open = history.disturbed.iter_mut().filter(|d| d.node == node);
        for row in open {
            row.to.get_or_insert(now);
        }
    }

    fn later(&mut self, at: Instant, repair: Repair) {
        self.state.repairs.push((at, repair));
    }
}

fn configuration(version: u64, moved: &str, key: &str) -> Value {
    let timeout = TIMEOUT.as_millis() as u64;
    let row = |name: &str, kind: &str, service: &str| {
        let path = format!("/{name}/");
        json!([
            name,
            node::HOST,
            path,
            kind,
            timeout,
            600,
            2,
            3,
            false,
            true,
            service
        ])
    };
    json!({
        "version": version,
        "routes": {
            "columns": ["name", "host", "path_prefix", "kind", "timeout_ms", "target_latency_ms",
                "priority", "max_attempts", "public", "sticky", "service"],
            "rows": [row("read", "safe", "s1"), row("write", "unsafe", "s2"),
                row("moved", "safe", moved), row("limited", "safe", "s1")],
        },
        "services": {
            "columns": ["name", "cold_start_s", "cold_per_s"],
            "rows": [["s1", 1.0, 50.0], ["s2", 1.0, 50.0]],
        },
        "limits": { "max_header_bytes": 16_384, "max_body_bytes": 100_000,
            "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000 },
        "tenants": {
            "columns": ["name", "api_keys", "rate_per_s", "burst"],
            "rows": [["t1", [KEY, key], 0, 0], [LIMITED, [LIMITED_KEY], RATE, BURST]],
        },
    })
}
