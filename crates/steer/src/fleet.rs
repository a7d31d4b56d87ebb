//! The backend servers that the platform lists, with what is known of each.

use std::time::Duration;

use corianderway_model::FailureDomain;
use corianderway_model::InstanceId;
use corianderway_model::Presence;
use corianderway_model::Region;
use corianderway_model::ServerId;
use corianderway_model::Service;
use corianderway_model::Sorted;
use corianderway_model::Time;
use corianderway_model::Version;

use crate::event::Load;
use crate::event::RequestId;
use crate::hash;
use crate::listing::Listed;
use crate::listing::ServerChange;
use crate::pace::Paces;
use crate::placement::Scope;
use crate::plan::ServiceTerms;
use crate::server::Server;
use crate::server::ServerChart;
use crate::server::Signal;
use crate::server::State;
use crate::workload::Offers;

/// How long a server whose entry is missing after an outage of the store is
/// kept: entries that lapsed in the outage are back within two seconds.
const LAPSE: Duration = Duration::from_millis(1_800);

/// The part of a cold server's rate that the instances use together.
const COLD_PART: f64 = 0.9;

/// Requests a second for each instance that shares a cold server; the fewer
/// share it, the better their bursts stay below its rate.
const COLD_EACH: f64 = 3.0;

/// The most instances that share a cold server.
const COLD_SHARERS: f64 = 3.0;

/// Requests that a server of another region is given at once before it
/// has told its load.
const FAR_WINDOW: f64 = 2.0;

/// The cold time of a service whose terms are not known.
const COLD_SPAN: Duration = Duration::from_secs(3);

/// Where an instance stands, to find those nearest to a server.
#[derive(Clone, Debug)]
pub(crate) struct Neighbour {
    pub(crate) id: InstanceId,
    pub(crate) region: Region,
    pub(crate) domain: FailureDomain,
}

/// A change of a server's state, for the log.
#[derive(Debug)]
pub(crate) struct Change {
    pub(crate) server: ServerId,
    pub(crate) from: State,
    pub(crate) to: State,
    pub(crate) why: &'static str,
}

/// The backend servers of all services.
#[derive(Debug)]
pub(crate) struct Fleet {
    me: Neighbour,
    chart: ServerChart,
    servers: Sorted<ServerId, Server>,
    // The servers of each service.
    services: Sorted<Service, Vec<ServerId>>,
    terms: Sorted<Service, ServiceTerms>,
    scopes: Sorted<Service, Scope>,
    // Of a service whose work is not known yet.
    no_scope: Scope,
    evacuated: Vec<FailureDomain>,
    // This instance and those that serve with it.
    neighbours: Vec<Neighbour>,
    changes: Vec<Change>,
    pub(crate) paces: Paces,
}

impl Fleet {
    pub(crate) fn new(me: Neighbour, chart: ServerChart) -> Self {
        Self {
            chart,
            servers: Sorted::default(),
            services: Sorted::default(),
            terms: Sorted::default(),
            scopes: Sorted::default(),
            no_scope: Scope::default(),
            evacuated: Vec::new(),
            neighbours: vec![me.clone()],
            changes: Vec::new(),
            paces: Paces::default(),
            me,
        }
    }

    pub(crate) fn region(&self) -> &Region {
        &self.me.region
    }

    pub(crate) fn domain(&self) -> &FailureDomain {
        &self.me.domain
    }

    /// Where the owners of a service's objects stand.
    pub(crate) fn scope(&self, service: &Service) -> &Scope {
        self.scopes.get(service).unwrap_or(&self.no_scope)
    }

    /// Works out anew where the owners of all services' objects stand; the part
    /// in other regions may change by `step`. Gives back the parts that have
    /// changed much, with how busy the region is.
    pub(crate) fn place_owners(&mut self, offers: &Offers, step: f64) -> Vec<(Service, f64, f64)> {
        let mut scopes = Sorted::default();
        let mut news = Vec::new();
        for (service, ids) in self.services.iter() {
            let Some(offered) = offers.of(service) else {
                continue;
            };
            let servers = ids.iter().filter_map(|id| self.servers.get(id));
            let open = servers.filter(|s| !self.is_evacuated(&s.listed.backend.domain));
            let open: Vec<&Server> = open.collect();
            let before = self.scopes.get(service);
            let mut scope = Scope::new(&open, offered, self.region(), before, step);
            let away = scope.news();
            news.extend(away.map(|away| (service.clone(), away, scope.busy(self.region()))));
            scopes.insert(service.clone(), scope);
        }
        self.scopes = scopes;
        news
    }

    pub(crate) fn server(&self, id: &ServerId) -> Option<&Server> {
        self.servers.get(id)
    }

    /// The servers of a service.
    pub(crate) fn of(&self, service: &Service) -> &[ServerId] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// The versions of a service that are listed.
    pub(crate) fn versions(&self, service: &Service) -> Vec<&Version> {
        let servers = self.of(service).iter().filter_map(|id| self.server(id));
        let mut versions: Vec<&Version> = servers.map(|s| &s.listed.backend.version).collect();
        versions.sort();
        versions.dedup();
        versions
    }

    /// How the servers of a service stand, for the log: how many are in each
    /// state, and how many of those that serve have no room.
    pub(crate) fn explain(&self, now: Time, service: &Service) -> String {
        let servers = self.of(service).iter().filter_map(|id| self.server(id));
        let (mut states, mut windows, mut full, mut evacuated) = ([0; 4], 0, 0, 0);
        for server in servers {
            states[server.state as usize] += 1;
            let serves = server.state == State::Serving;
            windows += u32::from(serves && !server.has_window());
            full += u32::from(serves && server.is_full(now));
            evacuated += u32::from(self.is_evacuated(&server.listed.backend.domain));
        }
        let [warming, serving, ejected, leaving] = states;
        format!(
            "serving:{serving}/warming:{warming}/ejected:{ejected}/leaving:{leaving}\
             /no-window:{windows}/full:{full}/evacuated:{evacuated}"
        )
    }

    /// The services that have servers.
    pub(crate) fn services(&self) -> Vec<Service> {
        self.services.iter().map(|row| row.0.clone()).collect()
    }

    /// Requests that servers of a service outside a version run for this instance.
    pub(crate) fn open_outside(&self, service: &Service, version: &Version) -> u32 {
        let servers = self.of(service).iter().filter_map(|id| self.server(id));
        let others = servers.filter(|s| s.listed.backend.version != *version);
        others.map(Server::own).sum()
    }

    /// Whether a server of a version in this region handled an object lately.
    pub(crate) fn knows(&self, service: &Service, version: &Version, object: u64) -> bool {
        let servers = self.of(service).iter().filter_map(|id| self.server(id));
        let mut servers = servers.filter(|server| {
            let backend = &server.listed.backend;
            backend.version == *version && backend.region == self.me.region
        });
        servers.any(|server| server.knows(object))
    }

    pub(crate) fn set_terms(&mut self, service: &Service, terms: ServiceTerms) {
        self.terms.insert(service.clone(), terms);
    }

    pub(crate) fn set_neighbours(&mut self, others: Vec<Neighbour>) {
        self.neighbours = others;
        self.neighbours.push(self.me.clone());
    }

    /// Takes the failure domains that are to get nothing; false if they are
    /// the same as before.
    pub(crate) fn evacuate(&mut self, domains: &[FailureDomain]) -> bool {
        let news = self.evacuated != domains;
        self.evacuated = domains.to_vec();
        news
    }

    pub(crate) fn is_evacuated(&self, domain: &FailureDomain) -> bool {
        self.evacuated.contains(domain)
    }

    /// Takes changes of the list; while the store is `unsettled`, an entry
    /// that is gone may only have lapsed.
    pub(crate) fn change(&mut self, now: Time, changes: Vec<ServerChange>, unsettled: bool) {
        for change in changes {
            match change {
                ServerChange::Put(listed) => self.put(now, listed),
                ServerChange::Removed(id) => self.remove(now, &id, unsettled),
            }
        }
        self.index();
    }

    /// Lets time pass: cold times and times without work end.
    pub(crate) fn tick(&mut self, now: Time) {
        let ids: Vec<ServerId> = self.servers.iter().map(|row| row.0.clone()).collect();
        for id in &ids {
            let missing = self.servers.get(id).and_then(|server| server.missing);
            if missing.is_some_and(|at| now.since(at) >= LAPSE) {
                self.signal(now, id, Signal::Withdrawn, "lapsed");
            }
            self.signal(now, id, Signal::Tick, "time");
        }
        // A server that left is kept while this instance waits for its answers.
        let count = self.servers.len();
        self.servers
            .retain(|_, s| s.state != State::Leaving || s.missing.is_none() || s.own() > 0);
        if self.servers.len() != count {
            self.index();
        }
    }

    /// Notes that a request is sent to a server.
    ///
    /// `builds` is the object whose state the server builds up with it.
    pub(crate) fn begin(
        &mut self,
        now: Time,
        id: &ServerId,
        request: RequestId,
        expected: f64,
        builds: Option<u64>,
    ) {
        let gap = self
            .servers
            .get(id)
            .and_then(|server| (server.state == State::Warming).then(|| self.cold_gap(server))?);
        if let Some(server) = self.servers.get_mut(id) {
            server.begin(request, now, expected, builds);
            if let Some(gap) = gap {
                server.cold_next = now + gap;
            }
        }
    }

    /// Notes that a request ended at a server; gives back how long it ran and
    /// how long it was expected to, in milliseconds.
    pub(crate) fn end(
        &mut self,
        now: Time,
        id: &ServerId,
        request: RequestId,
    ) -> Option<(f64, f64)> {
        self.servers.get_mut(id)?.end(request, now)
    }

    /// Takes the load that an answer of a server told; `tolerated` is the wait
    /// there that does no harm, in requests for each slot.
    pub(crate) fn tell(&mut self, now: Time, id: &ServerId, load: Option<Load>, tolerated: f64) {
        if let (Some(server), Some(load)) = (self.servers.get_mut(id), load) {
            server.tell(now, load, tolerated * f64::from(load.slots));
        }
    }

    pub(crate) fn learn(&mut self, now: Time, id: &ServerId, object: Option<u64>, cold: bool) {
        let (Some(server), Some(object)) = (self.servers.get_mut(id), object) else {
            return;
        };
        if cold {
            server.unlearn(object);
        } else {
            server.learn(object, now);
        }
    }

    /// Notes an answer of a server.
    pub(crate) fn pass(&mut self, now: Time, id: &ServerId, ratio: f64, failed: bool) {
        if let Some(server) = self.servers.get_mut(id) {
            server.pass(now, ratio, failed);
        }
        let signal = if failed {
            Signal::Failed
        } else {
            Signal::Passed
        };
        self.signal(now, id, signal, "answers");
    }

    /// Notes that an attempt at a server brought no answer.
    pub(crate) fn fault(&mut self, now: Time, id: &ServerId, unreachable: bool) {
        if let Some(server) = self.servers.get_mut(id) {
            server.fault(unreachable);
        }
        self.signal(now, id, Signal::Failed, "failures");
    }

    /// Notes that a server had no room.
    pub(crate) fn fill(&mut self, now: Time, id: &ServerId, span: Duration) {
        if let Some(server) = self.servers.get_mut(id) {
            server.fill(now, span);
            server.shrink(now);
        }
    }

    /// Notes that the address of a server belongs to another one now.
    pub(crate) fn misdirect(&mut self, now: Time, id: &ServerId) {
        self.signal(now, id, Signal::Withdrawn, "another-at-address");
    }

    /// The time between two requests of this instance to a cold server; none
    /// if others are to send to it.
    pub(crate) fn cold_gap(&self, server: &Server) -> Option<Duration> {
        let backend = &server.listed.backend;
        let terms = self.terms.get(&backend.service)?;
        let sharers = (terms.cold_rate / COLD_EACH)
            .floor()
            .clamp(1.0, COLD_SHARERS);
        let rank = |id: &InstanceId| hash::rank(server.hash, hash::of(id.as_str().as_bytes()));
        let mine = rank(&self.me.id);
        let near = self.nearest(server);
        if !near.iter().any(|n| n.id == self.me.id) {
            return None;
        }
        let ahead = near.iter().filter(|n| rank(&n.id) > mine).count();
        let count = sharers.min(near.len() as f64);
        let gap = Duration::from_secs_f64(count / (terms.cold_rate * COLD_PART).max(0.1));
        ((ahead as f64) < count).then_some(gap)
    }

    fn count_in(&self, region: &Region) -> usize {
        let all = self.neighbours.iter();
        all.filter(|n| n.region == *region).count()
    }

    /// The changes of states since the last call.
    pub(crate) fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    // The instances of the server's failure domain, or else of its region, or
    // else all.
    fn nearest(&self, server: &Server) -> Vec<&Neighbour> {
        let backend = &server.listed.backend;
        let all = &self.neighbours;
        let same: Vec<_> = all.iter().filter(|n| n.domain == backend.domain).collect();
        if !same.is_empty() {
            return same;
        }
        let near: Vec<_> = all.iter().filter(|n| n.region == backend.region).collect();
        if near.is_empty() {
            all.iter().collect()
        } else {
            near
        }
    }

    fn put(&mut self, now: Time, listed: Listed) {
        let id = listed.backend.id.clone();
        let presence = listed.backend.presence;
        let known = self.servers.get_mut(&id);
        let (older, same) = known.as_ref().map_or((false, false), |server| {
            let known = &server.listed;
            let same = known.born == listed.born;
            let older = listed.revision < known.revision || (same && listed.report < known.report);
            (older, same)
        });
        // A late copy of an earlier report says nothing new.
        if older {
            return;
        }
        match known {
            Some(server) if same => {
                let back = server.missing.take().is_some();
                let old = &server.listed.backend;
                let moved = old.addr != listed.backend.addr || old.presence != presence;
                server.cold_until = server.cold_until.max(now + listed.cold_left);
                let cold = !listed.cold_left.is_zero();
                server.listed = listed;
                if back || moved {
                    self.signal(now, &id, Signal::Listed, "entry");
                }
                if cold {
                    self.signal(now, &id, Signal::Chilled, "entry");
                }
            }
            Some(_) | None => {
                let hash = hash::of(id.as_str().as_bytes());
                let window = self.first_window(&listed);
                self.servers
                    .insert(id.clone(), Server::new(listed, hash, window, now));
            }
        }
        if presence == Presence::Leaving {
            self.signal(now, &id, Signal::Withdrawn, "draining");
        }
        self.signal(now, &id, Signal::Tick, "entry");
    }

    // Requests that a server is given at once before it has told its load: its
    // slots are divided between the instances of its region.
    fn first_window(&self, listed: &Listed) -> f64 {
        let backend = &listed.backend;
        if backend.region != self.me.region {
            return FAR_WINDOW;
        }
        let sharers = self.count_in(&backend.region);
        f64::from(backend.slots) / sharers.max(1) as f64 + 1.0
    }

    fn remove(&mut self, now: Time, id: &ServerId, unsettled: bool) {
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        server.missing.get_or_insert(now);
        if !unsettled {
            self.signal(now, id, Signal::Withdrawn, "removed");
        }
    }

    fn signal(&mut self, now: Time, id: &ServerId, signal: Signal, why: &'static str) {
        // Only a failure asks whether the others would do.
        let spare = signal == Signal::Failed && self.is_spare(id);
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        let terms = self.terms.get(&server.listed.backend.service);
        let cold = terms.map_or(COLD_SPAN, |t| t.cold_span);
        let from = server.state;
        server.advance(&self.chart, now, signal, spare, cold);
        let to = server.state;
        if from != to {
            let server = id.clone();
            self.changes.push(Change {
                server,
                from,
                to,
                why,
            });
        }
    }

    // Whether more than half of a service's servers would still serve without this one.
    fn is_spare(&self, id: &ServerId) -> bool {
        let service = self.server(id).map(|s| &s.listed.backend.service);
        let servers = service.map_or(&[][..], |service| self.of(service));
        let serving = servers.iter().filter(|other| {
            let state = self.server(other).map(|s| s.state);
            *other != id && matches!(state, Some(State::Serving | State::Warming))
        });
        serving.count() * 2 > servers.len()
    }

    fn index(&mut self) {
        let mut services: Sorted<Service, Vec<ServerId>> = Sorted::default();
        for (id, server) in self.servers.iter() {
            let service = server.listed.backend.service.clone();
            services.get_or(service, Vec::new).push(id.clone());
        }
        self.services = services;
    }
}
