//! The processes, links and stand-ins of a run.
//!
//! [`World`] injects faults into them, ends the faults when due, and records both in the
//! history.

mod listing;
mod processes;

use std::path::PathBuf;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use crate::estate::node;
use crate::estate::Endpoint;
use crate::estate::Mode;
use crate::estate::Node;
use crate::estate::Site;
use crate::estate::Store;
use crate::estate::UndoneWrites;
use crate::harness::until;
use crate::harness::Error;
use crate::harness::Link;
use crate::harness::Proxy;
use crate::soak::history::Call;
use crate::soak::history::Change;
use crate::soak::history::Disturbance;
use crate::soak::history::History;
use crate::soak::plan;
use crate::soak::plan::Fault;
use crate::soak::plan::LinkFault;
use crate::soak::plan::Lost;
use crate::soak::plan::ProcessFault;
use crate::soak::plan::DOMAINS;
use crate::soak::plan::ENDPOINT_COUNT;
use crate::soak::Options;

/// The timeout of every route.
pub(super) const ROUTE_TIMEOUT: Duration = Duration::from_secs(2);

/// The largest body of a request, in bytes.
pub(super) const MAX_BODY_BYTES: usize = 300_000;

/// The rate-limited client account, its rate per second and its burst.
pub(super) const LIMITED_ACCOUNT: &str = "t2";
pub(super) const LIMITED_RATE_PER_S: f64 = 20.0;
pub(super) const LIMITED_BURST: f64 = 20.0;

/// The permanent keys of the unlimited and of the rate-limited account.
pub(super) const UNLIMITED_KEY: &str = "k-base";
pub(super) const LIMITED_KEY: &str = "k-limited";

/// The maximum wait until all instances are ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// The time that operator and endpoints need to write again what the store has lost.
const WRITING_AGAIN: Duration = Duration::from_millis(1_500);

/// The state that callers share with the run.
#[derive(Debug)]
pub(super) struct Shared {
    /// The address at which callers reach each instance.
    pub(super) fronts: Vec<std::net::SocketAddr>,
    /// The number of starts of each instance.
    pub(super) runs: Vec<AtomicU32>,
    /// The most recently granted key.
    pub(super) key: Mutex<String>,
    pub(super) stopped: AtomicBool,
    history: Mutex<History>,
}

/// The processes, links and stand-ins of a run.
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
    endpoints: Vec<ListedEndpoint>,
    recoveries: Vec<(Instant, Recovery)>,
    // What operator and endpoints have to write again.
    undone: UndoneWrites,
    version: u64,
    moved: bool,
    key_number: u32,
    logs: Vec<(String, Vec<String>)>,
}

/// An instance, with the proxies of its links to the store and to callers.
#[derive(Debug)]
struct Host {
    site: Site,
    node: Option<Node>,
    stopping: Option<Instant>,
    suspended: Option<Instant>,
    store: Proxy,
    front: Proxy,
}

/// An endpoint, with the proxy in front of it and the contents of its store entry.
#[derive(Debug)]
struct ListedEndpoint {
    endpoint: Endpoint,
    link: Proxy,
    service: &'static str,
    domain: &'static str,
    seq: u64,
    generation: u32,
    /// The number of its starts under one identity.
    starts: u64,
}

/// The action that ends a fault; the number is an instance, an endpoint or a failure
/// domain.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Recovery {
    Start(usize),
    Resume(usize),
    StoreLink(usize),
    EndpointLink(usize),
    SetMode(usize),
    Replace(usize),
    EndpointReady(usize),
    EndEvacuation(usize),
    RemoveForeign(usize),
    StartEndpoint(usize),
    Restore(Duration),
    WriteAgain,
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
    /// Starts all components and waits until every instance is ready.
    pub(super) fn start(options: &Options) -> Result<Self, Error> {
        let store = Store::start();
        let mut endpoints = Vec::new();
        for number in 0..ENDPOINT_COUNT {
            let service = if number % 2 == 0 { "s1" } else { "s2" };
            let endpoint = Endpoint::start(&format!("e{number}-0-{service}"));
            endpoint.set_slots(plan::slots(options.seed));
            let link = Proxy::start(endpoint.addr)?;
            let domain = DOMAINS[number / 2 % DOMAINS.len()].0;
            endpoints.push(ListedEndpoint {
                endpoint,
                link,
                service,
                domain,
                seq: 1,
                generation: 0,
                starts: 1,
            });
        }
        let mut hosts = Vec::new();
        for number in 0..options.instances {
            let (domain, region) = DOMAINS[number % DOMAINS.len()];
            let link = Proxy::start(store.addr)?;
            let site = Site::new(region, domain, link.addr);
            let front = Proxy::start((site.ip, node::CALLERS_PORT).into())?;
            hosts.push(Host {
                site,
                node: None,
                stopping: None,
                suspended: None,
                store: link,
                front,
            });
        }
        let shared = Shared {
            fronts: hosts.iter().map(|host| host.front.addr).collect(),
            runs: hosts.iter().map(|_| AtomicU32::new(0)).collect(),
            key: Mutex::new(UNLIMITED_KEY.to_owned()),
            stopped: AtomicBool::new(false),
            history: Mutex::default(),
        };
        let state = State {
            hosts,
            endpoints,
            recoveries: Vec::new(),
            undone: UndoneWrites::default(),
            version: 0,
            moved: false,
            key_number: 0,
            logs: Vec::new(),
        };
        let mut world = Self {
            shared: Arc::new(shared),
            store,
            dir: options.dir.clone(),
            state,
        };
        world.configure();
        for number in 0..ENDPOINT_COUNT {
            world.write_entry(number, "ready");
        }
        for number in 0..options.instances {
            world.start_node(number)?;
        }
        until("every instance to be ready", START_TIMEOUT, || {
            let mut nodes = world
                .state
                .hosts
                .iter()
                .filter_map(|host| host.node.as_ref());
            nodes.all(Node::is_ready).then_some(())
        })?;
        // Disturbances by the start itself don't count.
        world.shared.history().disturbances.clear();
        Ok(world)
    }

    /// Returns the history so far.
    pub(super) fn history(&self) -> History {
        let mut history = self.shared.history().clone();
        history.requests = self
            .state
            .endpoints
            .iter()
            .flat_map(|e| e.endpoint.requests())
            .collect();
        history.requests.sort_by_key(|request| request.at);
        let endpoints = self.state.endpoints.iter();
        let rejections = endpoints.flat_map(|e| e.endpoint.rejections());
        history.rejections = rejections.collect();
        history
    }

    /// Returns the logs of all runs of all instances.
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

    /// Injects a fault and schedules its end.
    pub(super) fn inject(&mut self, fault: Fault) {
        let now = Instant::now();
        match fault {
            Fault::Process(at, ProcessFault::Kill, span) => self.kill(at, now + span),
            Fault::Process(at, ProcessFault::Stop, span) => self.stop(at, span),
            Fault::Process(at, ProcessFault::Suspend, span) => {
                if self.suspend(at) {
                    self.record_disturbance(at, now, Some(now + span), false);
                    self.schedule(now + span, Recovery::Resume(at));
                }
            }
            Fault::Process(at, ProcessFault::Pause, span) => {
                // Not a disturbance: every bound holds with the slack for scheduling.
                if self.suspend(at) {
                    self.schedule(now + span, Recovery::Resume(at));
                }
            }
            Fault::StoreLink(at, link_fault, span) => self.fault_store_link(at, link_fault, span),
            Fault::StoreDown(span) => self.cut_store(now + span, span),
            Fault::StoreRestored(age, span) => {
                self.cut_store(now + span + WRITING_AGAIN, span);
                self.schedule(now + span, Recovery::Restore(age + span));
            }
            Fault::Compact => self.store.compact(),
            Fault::EndpointLink(at, link_fault, span) => {
                self.fault_endpoint_link(at, link_fault, span);
            }
            Fault::Endpoint(at, mode, span) => {
                self.state.endpoints[at].endpoint.set_mode(mode);
                self.record_endpoint_fault(at, now, now + span);
                self.schedule(now + span, Recovery::SetMode(at));
            }
            Fault::Drain(at, span) => {
                let id = self.write_entry(at, "draining");
                self.record_change(Change::EndpointLeaving(id));
                self.schedule(now + span, Recovery::EndpointReady(at));
            }
            Fault::Resign(at, span) => {
                self.state.endpoints[at].endpoint.set_mode(Mode::Leaving);
                self.record_endpoint_fault(at, now, now + span);
                self.schedule(now + span, Recovery::Replace(at));
            }
            Fault::ReuseAddress(at) => self.reuse_address(at),
            Fault::ResetCallers(at) => {
                let front = &self.state.hosts[at].front;
                front.set_link(LinkFault::Severed.link());
                front.set_link(Link::default());
                self.record_disturbance(at, now, Some(now), false);
            }
            Fault::MoveRoute => {
                self.state.moved = !self.state.moved;
                let service = if self.state.moved { "s2" } else { "s1" };
                self.configure();
                self.record_change(Change::Route(service));
            }
            Fault::RotateKey => self.rotate_key(),
            Fault::Evacuate(at, span) => {
                self.store.put("evacuations", DOMAINS[at].0, &json!({}));
                self.schedule(now + span, Recovery::EndEvacuation(at));
            }
            Fault::ForeignEntries(odd, span) => {
                self.write_foreign(odd);
                self.schedule(now + span, Recovery::RemoveForeign(odd));
            }
            Fault::Overwrite(at, span) => {
                let id = self.state.endpoints[at].endpoint.id();
                self.store.put("servers", &id, &json!({ "status": {} }));
                self.record_change(Change::EndpointLeaving(id));
                self.schedule(now + span, Recovery::EndpointReady(at));
            }
            Fault::Loss(lost, span) => self.lose(lost, span),
        }
    }

    fn lose(&mut self, lost: Lost, span: Duration) {
        let back = Instant::now() + span;
        if matches!(lost, Lost::Endpoints | Lost::All) {
            for at in 0..ENDPOINT_COUNT {
                self.fault_endpoint_link(at, LinkFault::Severed, span);
                self.schedule(back, Recovery::StartEndpoint(at));
            }
        }
        if matches!(lost, Lost::Instances | Lost::All) {
            for at in 0..self.state.hosts.len() {
                self.kill(at, back);
            }
        }
    }

    fn fault_endpoint_link(&mut self, at: usize, link_fault: LinkFault, span: Duration) {
        let now = Instant::now();
        self.state.endpoints[at].link.set_link(link_fault.link());
        self.record_endpoint_fault(at, now, now + span);
        if link_fault.holds_answers() {
            let row = (format!("e{at}-"), now, now + span);
            self.shared.history().link_faults.push(row);
        }
        self.schedule(now + span, Recovery::EndpointLink(at));
    }

    /// Ends the faults that are due, and restarts stopped instances.
    pub(super) fn recover(&mut self) {
        let now = Instant::now();
        self.collect_stopped(now);
        let due: Vec<Recovery> = {
            let recoveries = std::mem::take(&mut self.state.recoveries);
            let (due, rest): (Vec<_>, Vec<_>) = recoveries.into_iter().partition(|r| r.0 <= now);
            self.state.recoveries = rest;
            due.into_iter().map(|row| row.1).collect()
        };
        for recovery in due {
            match recovery {
                // An instance that fails to start is reported by the check for recovery.
                Recovery::Start(at) => drop(self.start_node(at)),
                // The longest of the suspensions that overlap counts.
                Recovery::Resume(at) if self.is_pending(&Recovery::Resume(at)) => (),
                Recovery::Resume(at) => self.resume(at),
                Recovery::StoreLink(at) => {
                    self.state.hosts[at].store.set_link(Link::default());
                }
                Recovery::EndpointLink(at) => {
                    self.state.endpoints[at].link.set_link(Link::default());
                }
                Recovery::SetMode(at) => self.state.endpoints[at].endpoint.set_mode(Mode::Healthy),
                Recovery::Replace(at) => {
                    self.state.endpoints[at].endpoint.set_mode(Mode::Healthy);
                    self.reuse_address(at);
                }
                Recovery::EndpointReady(at) => {
                    let id = self.write_entry(at, "ready");
                    self.record_change(Change::EndpointReady(id));
                }
                // One that said that it leaves doesn't start again under its identity.
                Recovery::StartEndpoint(at) if self.is_pending(&Recovery::Replace(at)) => (),
                Recovery::StartEndpoint(at) => self.start_endpoint(at),
                Recovery::EndEvacuation(at) => self.store.remove("evacuations", DOMAINS[at].0),
                Recovery::RemoveForeign(odd) => self.remove_foreign(odd),
                Recovery::Restore(age) => {
                    self.state.undone = self.store.restore(age);
                    self.schedule(now + WRITING_AGAIN, Recovery::WriteAgain);
                }
                Recovery::WriteAgain => {
                    self.store
                        .write_again(std::mem::take(&mut self.state.undone));
                }
            }
        }
    }

    // Cuts off the store for a time. Its contents may be wrong until `until`.
    fn cut_store(&mut self, until: Instant, span: Duration) {
        let row = (Instant::now(), Some(until));
        self.shared.history().store_faults.push(row);
        for at in 0..self.state.hosts.len() {
            self.fault_store_link(at, LinkFault::Severed, span);
        }
    }

    fn fault_store_link(&mut self, at: usize, link_fault: LinkFault, span: Duration) {
        let now = Instant::now();
        self.state.hosts[at].store.set_link(link_fault.link());
        self.record_disturbance(at, now, Some(now + span), false);
        self.schedule(now + span, Recovery::StoreLink(at));
    }

    fn record_endpoint_fault(&mut self, at: usize, from: Instant, to: Instant) {
        let id = self.state.endpoints[at].endpoint.id();
        self.shared
            .history()
            .endpoint_faults
            .push((id, from, Some(to)));
    }

    fn record_change(&mut self, change: Change) {
        self.shared.history().changes.push((Instant::now(), change));
    }

    fn record_disturbance(
        &mut self,
        node: usize,
        from: Instant,
        to: Option<Instant>,
        planned: bool,
    ) {
        let row = Disturbance {
            node,
            from,
            to,
            planned,
        };
        self.shared.history().disturbances.push(row);
    }

    // Ends the disturbances of an instance that are still open.
    fn end_disturbances(&mut self, node: usize, now: Instant) {
        let mut history = self.shared.history();
        let open = history.disturbances.iter_mut().filter(|d| d.node == node);
        for row in open {
            row.to.get_or_insert(now);
        }
    }

    fn is_pending(&self, recovery: &Recovery) -> bool {
        let mut pending = self.state.recoveries.iter();
        pending.any(|(_, other)| other == recovery)
    }

    fn schedule(&mut self, at: Instant, recovery: Recovery) {
        self.state.recoveries.push((at, recovery));
    }
}
