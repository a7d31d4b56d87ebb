//! The listed backend servers of all services and what is known of each.
//!
//! [`Fleet`] gets changes of the list, the plan's terms and the results of
//! attempts. It answers which servers a service has, which state each is in and
//! where the owners of objects are. Every change of a server's state goes
//! through the server chart and is kept for the log.

use std::time::Duration;

use corianderway_model::Backend;
use corianderway_model::Era;
use corianderway_model::FailureDomain;
use corianderway_model::InstanceId;
use corianderway_model::Presence;
use corianderway_model::Region;
use corianderway_model::ServerId;
use corianderway_model::Service;
use corianderway_model::SortedMap;
use corianderway_model::Time;
use corianderway_model::Version;

use crate::crashes::Incarnation;
use crate::departures::Departures;
use crate::event::Load;
use crate::event::RequestId;
use crate::event::ServerNotice;
use crate::hash;
use crate::listing::ServerChange;
use crate::listing::ServerEntry;
use crate::machine_speed::MachineSpeeds;
use crate::machine_speed::Stretch;
use crate::placement::Placement;
use crate::plan::ServiceTerms;
use crate::server::Server;
use crate::server::ServerChart;
use crate::server::Signal;
use crate::server::State;
use crate::service_time::ServiceTimes;
use crate::workload::OfferedLoads;

/// Time for which a server is kept whose entry went missing during an outage of
/// the store. Entries that expired in the outage return within two seconds.
const MISSING_ENTRY_TTL: Duration = Duration::from_millis(1_800);

/// Time for which it is remembered that a start of a server said that it leaves. No entry of
/// it is listed for so long.
const RESIGNATION_TTL: Duration = Duration::from_mins(5);

/// Share of a cold server's permitted rate that the instances use together.
const COLD_RATE_SHARE: f64 = 0.9;

/// Requests per second of a cold server's rate for each instance that shares
/// the server. The fewer share it, the less often their bursts together exceed
/// the rate.
const COLD_PER_S_PER_SHARER: f64 = 3.0;

/// Maximum number of instances that share a cold server.
const MAX_COLD_SHARERS: f64 = 3.0;

/// Initial window of a server in another region, before it has reported its
/// load.
const REMOTE_WINDOW: f64 = 2.0;

/// Cold period of a service whose terms are unknown.
const DEFAULT_COLD_PERIOD: Duration = Duration::from_secs(3);

/// The location of an instance, for finding the instances nearest to a server.
#[derive(Clone, Debug)]
pub(crate) struct Neighbour {
    pub(crate) id: InstanceId,
    pub(crate) region: Region,
    pub(crate) domain: FailureDomain,
}

/// A change of a server's state, for the log.
#[derive(Debug)]
pub(crate) struct StateChange {
    pub(crate) server: ServerId,
    pub(crate) from: State,
    pub(crate) to: State,
    pub(crate) why: &'static str,
}

/// The backend servers of all services.
#[derive(Debug)]
pub(crate) struct Fleet {
    this_instance: Neighbour,
    chart: ServerChart,
    pub(crate) servers: SortedMap<ServerId, Server>,
    services: SortedMap<Service, Vec<ServerId>>,
    terms: SortedMap<Service, ServiceTerms>,
    placements: SortedMap<Service, Placement>,
    // The placement of a service whose offered load is unknown.
    unknown_placement: Placement,
    evacuated: Vec<FailureDomain>,
    // The starts of servers that said that they leave, with the time of that.
    resigned: Vec<(u32, Time)>,
    departures: Departures,
    // The instances that receive callers' requests.
    neighbours: Vec<Neighbour>,
    changes: Vec<StateChange>,
    // The servers of which a later start was listed, since they were last taken.
    deaths: Vec<Backend>,
    pub(crate) service_times: ServiceTimes,
    pub(crate) machine_speeds: MachineSpeeds,
}

impl Fleet {
    pub(crate) fn new(this_instance: Neighbour, chart: ServerChart) -> Self {
        Self {
            chart,
            servers: SortedMap::default(),
            services: SortedMap::default(),
            terms: SortedMap::default(),
            placements: SortedMap::default(),
            unknown_placement: Placement::default(),
            evacuated: Vec::new(),
            resigned: Vec::new(),
            departures: Departures::default(),
            neighbours: vec![this_instance.clone()],
            changes: Vec::new(),
            deaths: Vec::new(),
            service_times: ServiceTimes::default(),
            machine_speeds: MachineSpeeds::default(),
            this_instance,
        }
    }

    pub(crate) fn region(&self) -> &Region {
        &self.this_instance.region
    }

    pub(crate) fn domain(&self) -> &FailureDomain {
        &self.this_instance.domain
    }

    /// Returns where the owners of a service's objects are.
    pub(crate) fn placement(&self, service: &Service) -> &Placement {
        self.placements
            .get(service)
            .unwrap_or(&self.unknown_placement)
    }

    /// Recomputes where the owners of all services' objects are.
    ///
    /// The share of objects in other regions changes by at most `step`. Returns
    /// the services whose share has changed noticeably, each with the new share
    /// and with this region's utilization.
    pub(crate) fn place_owners(
        &mut self,
        loads: &OfferedLoads,
        step: f64,
    ) -> Vec<(Service, f64, f64)> {
        let mut placements = SortedMap::default();
        let mut changed = Vec::new();
        for (service, ids) in self.services.iter() {
            let Some(load) = loads.load_of(service) else {
                continue;
            };
            let servers = ids.iter().filter_map(|id| self.servers.get(id));
            let open = servers.filter(|s| !self.is_evacuated(&s.listed.backend.domain));
            let open: Vec<&Server> = open.collect();
            let before = self.placements.get(service);
            let mut placement = Placement::new(&open, load, self.region(), before, step);
            let share = placement.changed_share();
            changed.extend(
                share.map(|share| (service.clone(), share, placement.utilization(self.region()))),
            );
            placements.insert(service.clone(), placement);
        }
        self.placements = placements;
        changed
    }

    pub(crate) fn server(&self, id: &ServerId) -> Option<&Server> {
        self.servers.get(id)
    }

    pub(crate) fn servers_of(&self, service: &Service) -> &[ServerId] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the listed versions of a service, sorted.
    pub(crate) fn versions(&self, service: &Service) -> Vec<&Version> {
        let servers = self
            .servers_of(service)
            .iter()
            .filter_map(|id| self.server(id));
        let mut versions: Vec<&Version> = servers.map(|s| &s.listed.backend.version).collect();
        versions.sort();
        versions.dedup();
        versions
    }

    /// Describes the servers of a service for the log: how many are in each
    /// state, and how many of the serving ones have no room.
    pub(crate) fn explain(&self, now: Time, service: &Service) -> String {
        let servers = self
            .servers_of(service)
            .iter()
            .filter_map(|id| self.server(id));
        let (mut states, mut no_window, mut full, mut evacuated) = ([0; 5], 0, 0, 0);
        let mut paused = 0;
        for server in servers {
            states[server.state as usize] += 1;
            let serves = server.state == State::Serving;
            no_window += u32::from(serves && !server.has_window());
            full += u32::from(serves && server.is_full(now));
            paused += u32::from(serves && !server.pause_left(now).is_zero());
            evacuated += u32::from(self.is_evacuated(&server.listed.backend.domain));
        }
        let [warming, serving, ejected, leaving, resigned] = states;
        format!(
            "serving:{serving}/warming:{warming}/ejected:{ejected}/leaving:{leaving}\
             /resigned:{resigned}/no-window:{no_window}/full:{full}/paused:{paused}\
             /evacuated:{evacuated}"
        )
    }

    /// Returns the services that have servers.
    pub(crate) fn services(&self) -> Vec<Service> {
        self.services.iter().map(|row| row.0.clone()).collect()
    }

    /// Counts this instance's requests in flight at a service's servers of
    /// other versions than the given one.
    pub(crate) fn in_flight_outside(&self, service: &Service, version: &Version) -> u32 {
        let servers = self
            .servers_of(service)
            .iter()
            .filter_map(|id| self.server(id));
        let others = servers.filter(|s| s.listed.backend.version != *version);
        others.map(Server::active).sum()
    }

    /// Returns whether a server of the version in this region has recently handled the
    /// object.
    pub(crate) fn has_object(&self, service: &Service, version: &Version, object: u64) -> bool {
        let servers = self
            .servers_of(service)
            .iter()
            .filter_map(|id| self.server(id));
        let mut servers = servers.filter(|server| {
            let backend = &server.listed.backend;
            backend.version == *version && backend.region == self.this_instance.region
        });
        servers.any(|server| server.has_object(object))
    }

    pub(crate) fn set_terms(&mut self, service: &Service, terms: ServiceTerms) {
        self.terms.insert(service.clone(), terms);
    }

    /// Sets the instances that receive callers' requests. They share the windows and the
    /// rates of cold servers.
    pub(crate) fn set_neighbours(&mut self, neighbours: Vec<Neighbour>) {
        self.neighbours = neighbours;
    }

    /// Sets the failure domains that receive no requests. Returns false if they
    /// are unchanged.
    ///
    /// The servers of a domain that receives requests again count as cold: they may have
    /// become so during the evacuation, and report it only later.
    pub(crate) fn set_evacuated(&mut self, now: Time, domains: &[FailureDomain]) -> bool {
        if self.evacuated == domains {
            return false;
        }
        let before = std::mem::replace(&mut self.evacuated, domains.to_vec());
        let is_readmitted = |domain| before.contains(domain) && !domains.contains(domain);
        let servers = self.servers.iter();
        let readmitted = servers.filter(|row| is_readmitted(&row.1.listed.backend.domain));
        let readmitted: Vec<ServerId> = readmitted.map(|row| row.0.clone()).collect();
        for id in readmitted {
            self.signal(now, &id, Signal::Readmitted, "evacuation-ended");
        }
        true
    }

    /// Returns the failure domains that receive no requests.
    pub(crate) fn evacuated(&self) -> &[FailureDomain] {
        &self.evacuated
    }

    /// Begins an era of the store.
    pub(crate) fn enter_era(&mut self, era: Era) {
        self.departures.enter_era(era);
    }

    pub(crate) fn is_evacuated(&self, domain: &FailureDomain) -> bool {
        self.evacuated.contains(domain)
    }

    /// Applies changes of the list. While the store is `unsettled`, a removed
    /// entry may only have expired, so its server is kept for
    /// [`MISSING_ENTRY_TTL`]. Returns the starts of servers that were not known.
    pub(crate) fn apply_changes(
        &mut self,
        now: Time,
        changes: Vec<ServerChange>,
        unsettled: bool,
    ) -> Vec<Incarnation> {
        let mut started = Vec::new();
        for change in changes {
            match change {
                ServerChange::Put(listed) => started.extend(self.put(now, listed)),
                ServerChange::Removed(id) => self.remove(now, &id, unsettled),
                ServerChange::Unusable { id, revision } => {
                    let known = self.servers.get(&id).map(|server| server.listed.revision);
                    if known.is_some_and(|known| known < revision) {
                        // It was overwritten, so it didn't expire.
                        self.remove(now, &id, false);
                    }
                }
            }
        }
        self.index();
        started
    }

    /// Ends cold periods and ejections that are over, and drops servers that
    /// are gone.
    pub(crate) fn tick(&mut self, now: Time) {
        let ids: Vec<ServerId> = self.servers.iter().map(|row| row.0.clone()).collect();
        for id in &ids {
            let missing = self.servers.get(id).and_then(|server| server.missing);
            if missing.is_some_and(|at| now.since(at) >= MISSING_ENTRY_TTL) {
                self.signal(now, id, Signal::Withdrawn, "lapsed");
            }
            self.signal(now, id, Signal::Tick, "time");
        }
        // A removed server stays while requests of this instance are in flight
        // there.
        let count = self.servers.len();
        let is_out = |s: &Server| matches!(s.state, State::Leaving | State::Resigned);
        self.servers
            .retain(|_, s| !is_out(s) || s.missing.is_none() || s.active() > 0);
        self.resigned
            .retain(|row| now.since(row.1) < RESIGNATION_TTL);
        self.departures.expire(now);
        if self.servers.len() != count {
            self.index();
        }
    }

    /// Records that a request was sent to a server.
    ///
    /// `building` is the object whose state the request builds there.
    pub(crate) fn begin(
        &mut self,
        now: Time,
        id: &ServerId,
        request: RequestId,
        expected: f64,
        building: Option<u64>,
    ) {
        let wait = self
            .servers
            .get(id)
            .and_then(|server| (server.state == State::Warming).then(|| self.cold_wait(server))?);
        if let Some(server) = self.servers.get_mut(id) {
            server.begin(request, now, expected, building);
            if let Some(wait) = wait {
                server.cold_next = now + wait;
            }
        }
    }

    /// Removes a request that has ended at a server. Returns its actual and its
    /// expected time, in milliseconds.
    pub(crate) fn end(
        &mut self,
        now: Time,
        id: &ServerId,
        request: RequestId,
    ) -> Option<(f64, f64)> {
        self.servers.get_mut(id)?.end(request, now)
    }

    /// Records the load that a server reported with an answer. `tolerated` is
    /// the number of waiting requests per slot that is acceptable.
    pub(crate) fn record_load(
        &mut self,
        now: Time,
        id: &ServerId,
        load: Option<Load>,
        tolerated: f64,
    ) {
        if let (Some(server), Some(load)) = (self.servers.get_mut(id), load) {
            server.record_load(now, load, tolerated * f64::from(load.slots));
            if let Some(percent) = load.stretch {
                let stated = Stretch::new(now, percent);
                let earlier = server.record_stretch(stated);
                self.machine_speeds.record(earlier, stated);
            }
        }
    }

    /// Returns the factor by which an answer took longer than on the mean machine, where
    /// `expected` is the factor that was expected when the request was sent.
    pub(crate) fn stretch_of_answer(&self, now: Time, expected: f64, load: Option<Load>) -> f64 {
        let stated = load.and_then(|load| Some(Stretch::new(now, load.stretch?)));
        self.machine_speeds.factor_of_answer(expected, stated)
    }

    /// Records whether a server has cached the object of a request that ended there: it
    /// has unless the request failed.
    pub(crate) fn record_object(
        &mut self,
        now: Time,
        id: &ServerId,
        object: Option<u64>,
        failed: bool,
    ) {
        let (Some(server), Some(object)) = (self.servers.get_mut(id), object) else {
            return;
        };
        if failed {
            server.forget(object);
        } else {
            server.remember(object, now);
        }
    }

    /// Records that a server ran a request and reported no load.
    pub(crate) fn record_unreported_load(&mut self, id: &ServerId) {
        if let Some(server) = self.servers.get_mut(id) {
            server.restore_window();
        }
    }

    /// Records a complete answer of a server.
    pub(crate) fn record_answer(&mut self, now: Time, id: &ServerId, ratio: f64, failed: bool) {
        if let Some(server) = self.servers.get_mut(id) {
            server.record_answer(now, ratio, failed);
        }
        let signal = if failed {
            Signal::Failed
        } else {
            Signal::Succeeded
        };
        self.signal(now, id, signal, "answers");
    }

    /// Records a request that a server didn't answer by its deadline.
    pub(crate) fn record_timeout(&mut self, now: Time, id: &ServerId, took: f64, expected: f64) {
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        if server.record_timeout(now, took, expected) {
            self.signal(now, id, Signal::Failed, "silence");
        } else {
            self.signal(now, id, Signal::Succeeded, "answers");
        }
    }

    /// Records an attempt at a server that ended without an answer.
    pub(crate) fn record_failure(&mut self, now: Time, id: &ServerId, unreachable: bool) {
        if let Some(server) = self.servers.get_mut(id) {
            server.record_failure(unreachable);
        }
        self.signal(now, id, Signal::Failed, "failures");
    }

    /// Applies what a start of a server says with an answer.
    pub(crate) fn apply_notice(
        &mut self,
        now: Time,
        id: &ServerId,
        start: Incarnation,
        notice: ServerNotice,
    ) {
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        // A notice of an earlier start says nothing of this one.
        if server.listed.incarnation() != start {
            return;
        }
        match notice {
            ServerNotice::Leaving => {
                server.resign(now);
                self.resigned.push((start.start, now));
                self.signal(now, id, Signal::SaidLeaving, "answer");
            }
            ServerNotice::Pause(span) => server.pause(now, span),
        }
    }

    /// Records that another server now has this server's address.
    pub(crate) fn mark_misdirected(&mut self, now: Time, id: &ServerId) {
        self.signal(now, id, Signal::Misdirected, "another-at-address");
    }

    /// Returns the time between this instance's requests to a cold server,
    /// or `None` if only other instances send to it.
    ///
    /// At most [`MAX_COLD_SHARERS`] of the instances nearest to the server
    /// share its rate; rendezvous hashing selects them.
    pub(crate) fn cold_wait(&self, server: &Server) -> Option<Duration> {
        let backend = &server.listed.backend;
        let terms = self.terms.get(&backend.service)?;
        let sharers = (terms.cold_rate / COLD_PER_S_PER_SHARER)
            .floor()
            .clamp(1.0, MAX_COLD_SHARERS);
        let rank = |id: &InstanceId| hash::rank(server.hash, hash::of(id.as_str().as_bytes()));
        let own_rank = rank(&self.this_instance.id);
        let nearest = self.nearest_instances(server);
        if !nearest.iter().any(|n| n.id == self.this_instance.id) {
            return None;
        }
        let ahead = nearest.iter().filter(|n| rank(&n.id) > own_rank).count();
        let count = sharers.min(nearest.len() as f64);
        let wait = Duration::from_secs_f64(count / (terms.cold_rate * COLD_RATE_SHARE).max(0.1));
        ((ahead as f64) < count).then_some(wait)
    }

    fn instances_in(&self, region: &Region) -> usize {
        let all = self.neighbours.iter();
        all.filter(|n| n.region == *region).count()
    }

    /// Returns the state changes since the last call.
    pub(crate) fn take_changes(&mut self) -> Vec<StateChange> {
        std::mem::take(&mut self.changes)
    }

    /// Returns the servers that died since the last call: a later start of each was listed
    /// while the earlier one was in use.
    pub(crate) fn take_deaths(&mut self) -> Vec<Backend> {
        std::mem::take(&mut self.deaths)
    }

    // Returns the instances in the server's failure domain; if there are none,
    // those in its region, and otherwise all.
    fn nearest_instances(&self, server: &Server) -> Vec<&Neighbour> {
        let backend = &server.listed.backend;
        let all = &self.neighbours;
        let same: Vec<_> = all.iter().filter(|n| n.domain == backend.domain).collect();
        if !same.is_empty() {
            return same;
        }
        let nearest: Vec<_> = all.iter().filter(|n| n.region == backend.region).collect();
        if nearest.is_empty() {
            all.iter().collect()
        } else {
            nearest
        }
    }

    // Updates or adds a server; returns its start if that was not known.
    fn put(&mut self, now: Time, listed: ServerEntry) -> Option<Incarnation> {
        if self.departures.covers(&listed) {
            return None;
        }
        let id = listed.backend.id.clone();
        let presence = listed.backend.presence;
        let known = self.servers.get_mut(&id);
        let (outdated, same) = known.as_ref().map_or((false, false), |server| {
            let known = &server.listed;
            let recounts = listed.report_sequence < known.report_sequence;
            let unstated = known.started_ms == 0 && listed.started_ms == 0;
            // Without the time of its start, a server that counts anew has started again.
            let same = known.started_ms == listed.started_ms && !(unstated && recounts);
            let outdated = listed.revision < known.revision || (same && recounts);
            (outdated, same)
        });
        // A delayed copy of an older report is ignored.
        if outdated {
            return None;
        }
        let start = (!same).then(|| listed.incarnation());
        let start_hash = start.map(|start| start.start);
        if known.is_some() && listed.started_ms == 0 && !same {
            self.resigned.retain(|row| Some(row.0) != start_hash);
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
                    self.signal(now, &id, Signal::ReportedCold, "entry");
                }
            }
            known => {
                if let Some(replaced) = known {
                    self.departures.record(now, &replaced.listed);
                    if !matches!(replaced.state, State::Leaving | State::Resigned) {
                        self.deaths.push(replaced.listed.backend.clone());
                    }
                }
                let hash = hash::of(id.as_str().as_bytes());
                let window = self.first_window(&listed);
                let has_resigned = self.resigned.iter().any(|row| Some(row.0) == start_hash);
                self.servers
                    .insert(id.clone(), Server::new(listed, hash, window, now));
                // A late copy of the list may bring its entry back.
                if has_resigned {
                    self.signal(now, &id, Signal::SaidLeaving, "answer");
                }
            }
        }
        if presence == Presence::Leaving {
            self.signal(now, &id, Signal::Withdrawn, "draining");
        }
        self.signal(now, &id, Signal::Tick, "entry");
        start
    }

    // Initial window of a server before it has reported its load: its slots,
    // divided among the instances of its region.
    fn first_window(&self, listed: &ServerEntry) -> f64 {
        let backend = &listed.backend;
        if backend.region != self.this_instance.region {
            return REMOTE_WINDOW;
        }
        let sharers = self.instances_in(&backend.region);
        f64::from(backend.slots) / sharers.max(1) as f64 + 1.0
    }

    fn remove(&mut self, now: Time, id: &ServerId, unsettled: bool) {
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        if server.missing.is_none() {
            server.missing = Some(now);
            self.departures.record(now, &server.listed);
        }
        if !unsettled {
            self.signal(now, id, Signal::Withdrawn, "removed");
        }
    }

    fn signal(&mut self, now: Time, id: &ServerId, signal: Signal, why: &'static str) {
        // Only failures evaluate a guard that needs this.
        let dispensable = signal == Signal::Failed && self.is_dispensable(id);
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        let terms = self.terms.get(&server.listed.backend.service);
        let cold = terms.map_or(DEFAULT_COLD_PERIOD, |t| t.cold_duration);
        let from = server.state;
        server.advance(&self.chart, now, signal, dispensable, cold);
        let to = server.state;
        if from != to {
            let server = id.clone();
            self.changes.push(StateChange {
                server,
                from,
                to,
                why,
            });
        }
    }

    // Returns whether more than half of the service's servers are serving or warming
    // without this one.
    fn is_dispensable(&self, id: &ServerId) -> bool {
        let service = self.server(id).map(|s| &s.listed.backend.service);
        let servers = service.map_or(&[][..], |service| self.servers_of(service));
        let serving = servers.iter().filter(|other| {
            let state = self.server(other).map(|s| s.state);
            *other != id && matches!(state, Some(State::Serving | State::Warming))
        });
        serving.count() * 2 > servers.len()
    }

    fn index(&mut self) {
        let mut services: SortedMap<Service, Vec<ServerId>> = SortedMap::default();
        for (id, server) in self.servers.iter() {
            let service = server.listed.backend.service.clone();
            services
                .get_or_insert_with(service, Vec::new)
                .push(id.clone());
        }
        self.services = services;
    }
}
