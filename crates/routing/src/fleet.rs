//! The table of backend servers, merged from every source.

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

/// A backend server's place in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Handle(pub(crate) u32);

/// One request in flight; given back when it ends.
#[derive(Debug)]
#[must_use = "a request that is never finished counts as in flight for ever"]
pub struct Ticket {
    pub(crate) handle: Handle,
}

impl Ticket {
    /// The backend server that runs the request.
    pub fn server(&self) -> Handle {
        self.handle
    }
}

/// How a request ended, as this instance saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer came; the span runs from sending to the answer's head.
    Answered(Duration),
    /// The connection was refused, so no byte was accepted.
    Refused,
    /// It answered that it is full and did not run the request.
    Shed,
    /// An error answer, a cut connection or a timeout.
    Failed,
    /// The caller went away or the request was cancelled.
    Cancelled,
}

/// What the health and load endpoints of a backend server say.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Report {
    /// Well.
    Healthy,
    /// Not well.
    Failing,
    /// About to stop.
    Leaving,
    /// Requests in flight there, from all instances.
    Load(u32),
}

/// A change of state that a log line should show.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// The backend server.
    pub server: Handle,
    /// The state before.
    pub from: State,
    /// The state now.
    pub to: State,
}

/// The backend servers that one instance knows.
#[derive(Clone, Debug)]
pub struct Fleet {
    pub(crate) chart: Lifecycle,
    pub(crate) servers: Vec<Option<Server>>,
    pub(crate) vacant: Vec<u32>,
    // Sorted by identity.
    pub(crate) ids: Vec<(ServerId, u32)>,
    pub(crate) groups: Vec<Group>,
    // Places in `groups`, sorted by service and region.
    pub(crate) index: Vec<u32>,
    pub(crate) changes: Vec<Change>,
    pub(crate) instances: f64,
    pub(crate) last_tick: Time,
    pub(crate) is_synced: bool,
}

impl Fleet {
    /// Makes an empty table.
    ///
    /// # Errors
    ///
    /// Fails when the chart of backend servers doesn't load.
    pub fn new() -> Result<Self, Error> {
        let chart = Lifecycle::parse(SERVER_CHART).context(ChartSnafu)?;
        Ok(Self {
            chart,
            servers: Vec::new(),
            vacant: Vec::new(),
            ids: Vec::new(),
            groups: Vec::new(),
            index: Vec::new(),
            changes: Vec::new(),
            instances: 1.0,
            last_tick: Time::ZERO,
            is_synced: false,
        })
    }

    /// Sets how many entry instances have the same home region, this one included.
    ///
    /// Where load reports are missing or not believed, the others are taken to
    /// send as much as this one.
    pub fn set_instances(&mut self, count: usize) {
        self.instances = count.max(1) as f64;
    }

    /// Finds a backend server by its identity.
    pub fn find(&self, id: &ServerId) -> Option<Handle> {
        let at = self.ids.binary_search_by(|(known, _)| known.cmp(id)).ok()?;
        self.ids.get(at).map(|(_, server)| Handle(*server))
    }

    /// The record of a backend server.
    pub fn server(&self, handle: Handle) -> Option<&Server> {
        self.servers.get(handle.0 as usize)?.as_ref()
    }

    /// All backend servers, in no particular order.
    pub fn servers(&self) -> impl Iterator<Item = (Handle, &Server)> {
        let places = self.servers.iter().enumerate();
        places.filter_map(|(at, s)| Some((Handle(at as u32), s.as_ref()?)))
    }

    /// Backend servers that refused a connection and wait for a probe.
    pub fn probes(&self) -> impl Iterator<Item = (Handle, &Server)> {
        self.servers().filter(|(_, s)| s.state == State::Refusing)
    }

    /// How full a service is in a region.
    pub fn occupancy(&self, service: &Service, region: &Region) -> Option<Occupancy> {
        let groups = self.groups_of(service).iter();
        let mut groups = groups.map(|at| &self.groups[*at as usize]);
        let group = groups.find(|g| g.region == *region)?;
        Some(group.occupancy(self.instances))
    }

    /// Takes the changes of state since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Counts a request that is about to be sent.
    pub fn begin(&mut self, handle: Handle) -> Ticket {
        if let Some(server) = row_mut(&mut self.servers, handle) {
            server.load.own += 1;
            self.groups[server.group as usize].own += 1.0;
        }
        Ticket { handle }
    }

    /// Counts the end of a request and learns from it.
    pub fn finish(&mut self, ticket: Ticket, outcome: Outcome, now: Time) {
        let handle = ticket.handle;
        let Some(server) = row_mut(&mut self.servers, handle) else {
            return;
        };
        server.load.own = server.load.own.saturating_sub(1);
        let group = &mut self.groups[server.group as usize];
        group.own = (group.own - 1.0).max(0.0);
        match outcome {
            Outcome::Answered(latency) => {
                server.note_success(latency, now);
                self.step(handle, Event::Succeeded, now);
            }
            Outcome::Refused => self.step(handle, Event::Refused, now),
            Outcome::Failed => {
                server.note_failure(now);
                self.step(handle, Event::Failed, now);
            }
            Outcome::Shed => {
                server.note_shed(now);
                server.refresh(self.instances, now);
            }
            Outcome::Cancelled => {}
        }
    }

    /// Takes a report of a backend server's health or load endpoint.
    pub fn report(&mut self, id: &ServerId, report: Report, now: Time) {
        let Some(handle) = self.find(id) else { return };
        let Some(server) = row_mut(&mut self.servers, handle) else {
            return;
        };
        match report {
            Report::Healthy => {
                server.note_health(true, now);
                self.step(handle, Event::ReportHealthy, now);
            }
            Report::Failing => {
                server.note_health(false, now);
                self.step(handle, Event::ReportFailing, now);
            }
            Report::Leaving => self.step(handle, Event::Leaving, now),
            Report::Load(total) => {
                let before = server.load.clone();
                server.note_load(total, now);
                server.refresh(self.instances, now);
                self.groups[server.group as usize].amend(&before, server);
            }
        }
    }

    /// Takes the result of a connection attempt that carried no request.
    pub fn probe(&mut self, handle: Handle, connected: bool, now: Time) {
        let event = if connected {
            Event::ProbePassed
        } else {
            Event::Refused
        };
        self.step(handle, event, now);
    }

    /// Marks a backend server as covered by a drain plan, or no longer so.
    pub fn plan_drain(&mut self, id: &ServerId, planned: bool, now: Time) {
        let Some(handle) = self.find(id) else { return };
        let event = if planned {
            Event::Planned
        } else {
            Event::Reinstated
        };
        self.step(handle, event, now);
    }

    pub(crate) fn groups_of(&self, service: &Service) -> &[u32] {
        let name = |at: &u32| &self.groups[*at as usize].service;
        let start = self.index.partition_point(|at| name(at) < service);
        let count = self.index[start..].partition_point(|at| name(at) == service);
        &self.index[start..start + count]
    }
}

fn row_mut(servers: &mut [Option<Server>], handle: Handle) -> Option<&mut Server> {
    servers.get_mut(handle.0 as usize)?.as_mut()
}
