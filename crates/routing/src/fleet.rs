//! The table of backend servers of one instance.
//!
//! The table merges results of requests, health and load reports, probes, drain
//! plans and the instance list. The methods here accept these inputs and look
//! entries up; `sync` merges the instance list, and `upkeep` applies events and
//! keeps the counts of groups and pools consistent.

use std::time::Duration;

use corianderway_model::Region;
use corianderway_model::ServerId;
use corianderway_model::Service;
use corianderway_model::Time;
use snafu::ResultExt;

use crate::error::ChartSnafu;
use crate::error::Error;
use crate::group::Group;
use crate::group::Occupancy;
use crate::lifecycle::Event;
use crate::lifecycle::Lifecycle;
use crate::lifecycle::State;
use crate::lifecycle::SERVER_CHART;
use crate::server::Server;

/// The index of a backend server in a [`Fleet`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Handle(pub(crate) u32);

/// One request in flight, returned by [`Fleet::begin`].
///
/// Pass it to [`Fleet::finish`] when the request ends.
#[derive(Debug)]
#[must_use = "a request that is never finished counts as in flight forever"]
pub struct Ticket {
    pub(crate) handle: Handle,
}

impl Ticket {
    /// Returns the backend server that runs the request.
    pub fn server(&self) -> Handle {
        self.handle
    }
}

/// How a request ended, as observed by this instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A complete response arrived. The latency is the time from sending the
    /// request to the head of the response.
    Answered(Duration),
    /// The connection was refused, so no byte was accepted.
    Refused,
    /// The backend server responded that it is full and did not run the request.
    Shed,
    /// The request ended with an error response, a broken connection or a timeout.
    Failed,
    /// The caller disconnected or the request was cancelled.
    Cancelled,
}

/// A report from the health or load endpoint of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Report {
    /// It is healthy.
    Healthy,
    /// It is failing.
    Failing,
    /// It is about to stop.
    Leaving,
    /// The number of requests in flight there, from all instances.
    Load(u32),
}

/// A state change of a backend server, for logging.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StateChange {
    /// The backend server that changed.
    pub server: Handle,
    /// The state before.
    pub from: State,
    /// The state after.
    pub to: State,
}

/// The backend servers that one instance knows, by service, region and version.
///
/// Each server has a state from the chart [`SERVER_CHART`]. Only usable ones get
/// new requests.
#[derive(Clone, Debug)]
pub struct Fleet {
    pub(crate) chart: Lifecycle,
    pub(crate) servers: Vec<Option<Server>>,
    // Indices of the free elements of `servers`.
    pub(crate) vacant: Vec<u32>,
    // Indices in `servers`, sorted by identity.
    pub(crate) ids: Vec<(ServerId, u32)>,
    pub(crate) groups: Vec<Group>,
    // Indices in `groups`, sorted by service and region.
    pub(crate) group_index: Vec<u32>,
    pub(crate) changes: Vec<StateChange>,
    pub(crate) instance_count: f64,
    pub(crate) last_tick: Time,
    pub(crate) is_synced: bool,
}

impl Fleet {
    /// Creates an empty table.
    ///
    /// # Errors
    ///
    /// Returns an error if the chart of backend servers can't be parsed.
    pub fn new() -> Result<Self, Error> {
        let chart = Lifecycle::parse(SERVER_CHART).context(ChartSnafu)?;
        Ok(Self {
            chart,
            servers: Vec::new(),
            vacant: Vec::new(),
            ids: Vec::new(),
            groups: Vec::new(),
            group_index: Vec::new(),
            changes: Vec::new(),
            instance_count: 1.0,
            last_tick: Time::ZERO,
            is_synced: false,
        })
    }

    /// Sets how many entry instances have the same home region, this one included.
    ///
    /// Where load reports are missing or not trusted, the other instances are
    /// assumed to send as many requests as this one.
    pub fn set_instances(&mut self, count: usize) {
        self.instance_count = count.max(1) as f64;
    }

    /// Finds a backend server by its identity.
    pub fn find(&self, id: &ServerId) -> Option<Handle> {
        let at = self.ids.binary_search_by(|(known, _)| known.cmp(id)).ok()?;
        self.ids.get(at).map(|(_, server)| Handle(*server))
    }

    /// Returns a backend server, or `None` if it was removed.
    pub fn server(&self, handle: Handle) -> Option<&Server> {
        self.servers.get(handle.0 as usize)?.as_ref()
    }

    /// Iterates over all backend servers, in no particular order.
    pub fn servers(&self) -> impl Iterator<Item = (Handle, &Server)> {
        let indexed = self.servers.iter().enumerate();
        indexed.filter_map(|(at, s)| Some((Handle(at as u32), s.as_ref()?)))
    }

    /// Iterates over the backend servers that refused a connection and are out of
    /// use until a probe connects.
    pub fn awaiting_probe(&self) -> impl Iterator<Item = (Handle, &Server)> {
        self.servers().filter(|(_, s)| s.state == State::Refusing)
    }

    /// Returns how full a service is in a region, or `None` if the region has no
    /// backend server of it.
    pub fn occupancy(&self, service: &Service, region: &Region) -> Option<Occupancy> {
        let groups = self.groups_of(service).iter();
        let mut groups = groups.map(|at| &self.groups[*at as usize]);
        let group = groups.find(|g| g.region == *region)?;
        Some(group.occupancy(self.instance_count))
    }

    /// Returns and clears the state changes since the last call.
    pub fn take_changes(&mut self) -> Vec<StateChange> {
        std::mem::take(&mut self.changes)
    }

    /// Counts a request that is about to be sent as in flight.
    pub fn begin(&mut self, handle: Handle) -> Ticket {
        if let Some(server) = server_mut(&mut self.servers, handle) {
            server.load.own += 1;
            self.groups[server.group as usize].own += 1.0;
        }
        Ticket { handle }
    }

    /// Removes a request from those in flight and records its outcome.
    pub fn finish(&mut self, ticket: Ticket, outcome: Outcome, now: Time) {
        let handle = ticket.handle;
        let Some(server) = server_mut(&mut self.servers, handle) else {
            return;
        };
        server.load.own = server.load.own.saturating_sub(1);
        let group = &mut self.groups[server.group as usize];
        group.own = (group.own - 1.0).max(0.0);
        match outcome {
            Outcome::Answered(latency) => {
                server.record_success(latency, now);
                self.handle_event(handle, Event::Succeeded, now);
            }
            Outcome::Refused => self.handle_event(handle, Event::Refused, now),
            Outcome::Failed => {
                server.record_failure(now);
                self.handle_event(handle, Event::Failed, now);
            }
            Outcome::Shed => {
                server.record_shed(now);
                server.refresh(self.instance_count, now);
            }
            Outcome::Cancelled => {}
        }
    }

    /// Records a report from a backend server's health or load endpoint. A report
    /// for an unknown identity is ignored.
    pub fn record_report(&mut self, id: &ServerId, report: Report, now: Time) {
        let Some(handle) = self.find(id) else { return };
        let Some(server) = server_mut(&mut self.servers, handle) else {
            return;
        };
        match report {
            Report::Healthy => {
                server.record_health(true, now);
                self.handle_event(handle, Event::ReportHealthy, now);
            }
            Report::Failing => {
                server.record_health(false, now);
                self.handle_event(handle, Event::ReportFailing, now);
            }
            Report::Leaving => self.handle_event(handle, Event::Leaving, now),
            Report::Load(total) => {
                let before = server.load.clone();
                server.record_load(total, now);
                server.refresh(self.instance_count, now);
                self.groups[server.group as usize].update_load(&before, server);
            }
        }
    }

    /// Records the result of a connection attempt without a request.
    pub fn record_probe(&mut self, handle: Handle, connected: bool, now: Time) {
        let event = if connected {
            Event::ProbePassed
        } else {
            Event::Refused
        };
        self.handle_event(handle, event, now);
    }

    /// Sets whether a drain plan covers a backend server.
    pub fn set_drain_planned(&mut self, id: &ServerId, planned: bool, now: Time) {
        let Some(handle) = self.find(id) else { return };
        let event = if planned {
            Event::DrainPlanned
        } else {
            Event::DrainCancelled
        };
        self.handle_event(handle, event, now);
    }

    pub(crate) fn groups_of(&self, service: &Service) -> &[u32] {
        let service_of = |at: &u32| &self.groups[*at as usize].service;
        let start = self
            .group_index
            .partition_point(|at| service_of(at) < service);
        let count = self.group_index[start..].partition_point(|at| service_of(at) == service);
        &self.group_index[start..start + count]
    }
}

fn server_mut(servers: &mut [Option<Server>], handle: Handle) -> Option<&mut Server> {
    servers.get_mut(handle.0 as usize)?.as_mut()
}
