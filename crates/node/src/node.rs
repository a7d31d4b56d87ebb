//! The node: one state, one step function.

use std::net::SocketAddr;
use std::time::Duration;

use corianderway_control::ConfigSet;
use corianderway_control::Freshness;
use corianderway_control::KeyTable;
use corianderway_model::Backend;
use corianderway_model::Entry;
use corianderway_model::Presence;
use corianderway_model::Time;
use corianderway_routing::Fleet;
use corianderway_routing::Report as ServerReport;
use corianderway_routing::Router;
use rand::rngs::SmallRng;
use rand::SeedableRng as _;
use snafu::ResultExt;
use snafu::Snafu;

use crate::chart::RequestChart;
use crate::chart::REQUEST_CHART;
use crate::contracts::Contracts;
use crate::event::Action;
use crate::event::Event;
use crate::event::Report;
use crate::open::Table;
use crate::record::Record;

/// The time between two greetings of the peers.
const GREETING: Duration = Duration::from_secs(1);

/// The decisions of one entry instance.
#[derive(Debug)]
pub struct Node {
    pub(crate) me: Entry,
    pub(crate) bootstrap: Vec<SocketAddr>,
    pub(crate) chart: RequestChart,
    pub(crate) config: ConfigSet,
    pub(crate) contracts: Contracts,
    pub(crate) keys: KeyTable,
    pub(crate) freshness: Freshness,
    pub(crate) fleet: Fleet,
    pub(crate) backends: Vec<Backend>,
    pub(crate) router: Router,
    pub(crate) entries: Vec<Entry>,
    pub(crate) requests: Table,
    pub(crate) rng: SmallRng,
    pub(crate) greeted: Option<Time>,
}

/// A node that can't be made, for a fault in a chart file.
#[derive(Debug, Snafu)]
pub struct Error(Kind);

#[derive(Debug, Snafu)]
enum Kind {
    #[snafu(display("charts/request.yaml: {source}"))]
    Request { source: corianderway_chart::Error },
    #[snafu(display("{source}"))]
    Fleet { source: corianderway_routing::Error },
}

impl Node {
    /// Makes the node of an entry instance; `seed` feeds its random choices.
    ///
    /// # Errors
    ///
    /// Fails when a chart file is faulty.
    pub fn new(me: Entry, bootstrap: Vec<SocketAddr>, seed: u64) -> Result<Self, Error> {
        Ok(Self {
            chart: RequestChart::parse(REQUEST_CHART).context(RequestSnafu)?,
            config: ConfigSet::default(),
            contracts: Contracts::default(),
            keys: KeyTable::new(),
            freshness: Freshness::new(&me.domain),
            fleet: Fleet::new().context(FleetSnafu)?,
            backends: Vec::new(),
            router: Router::new(me.region.clone(), me.domain.clone()),
            entries: Vec::new(),
            requests: Table::default(),
            rng: SmallRng::seed_from_u64(seed),
            greeted: None,
            bootstrap,
            me,
        })
    }

    /// Takes one event, and adds what to do to `out`.
    pub fn step(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Request(query) => self.receive(now, query, out),
            Event::Directory { id, client } => self.direct(id, client, out),
            Event::Attempted { id, outcome } => self.attempted(now, id, outcome, out),
            Event::Ended { id, .. } => self.ended(now, id, out),
            Event::Objects(objects) => self.take_objects(objects, out),
            Event::Platform { up } => self.platform_seen(now, up),
            Event::Instances { entries, backends } => self.take_list(now, entries, backends),
            Event::Peer { from, message } => self.take_message(now, from, message, out),
            Event::Reported(report) => self.take_report(now, &report),
            Event::Wrote { .. } => (),
            Event::Tick => self.tick(now, out),
            Event::Stop => self.me.presence = Presence::Leaving,
        }
        self.note_changes(out);
    }

    fn platform_seen(&mut self, now: Time, up: bool) {
        if up {
            self.freshness.platform_answered(now);
        }
    }

    fn take_list(&mut self, now: Time, entries: Vec<Entry>, backends: Vec<Backend>) {
        self.fleet.sync(&backends, now);
        self.backends = backends;
        self.backends.sort_by(|a, b| a.id.cmp(&b.id));
        self.entries = entries;
        self.entries.sort_by(|a, b| a.id.cmp(&b.id));
        let live = self.live_entries().count();
        self.fleet.set_instances(live);
    }

    fn take_report(&mut self, now: Time, report: &Report) {
        let id = &report.server;
        match report.healthy {
            _ if report.draining => self.fleet.report(id, ServerReport::Leaving, now),
            Some(true) => self.fleet.report(id, ServerReport::Healthy, now),
            Some(false) => self.fleet.report(id, ServerReport::Failing, now),
            None => (),
        }
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        self.fleet.tick(now);
        let due = self.greeted.is_none_or(|at| now.since(at) >= GREETING);
        if due {
            self.greeted = Some(now);
            self.greet(out);
        }
    }

    // Every change of a backend server's state is a line for the operators.
    fn note_changes(&mut self, out: &mut Vec<Action>) {
        for change in self.fleet.take_changes() {
            let Some(server) = self.fleet.server(change.server) else {
                continue;
            };
            out.push(Action::Log(Record::Server {
                server: server.id().as_str().into(),
                from: change.from.as_str(),
                to: change.to.as_str(),
            }));
        }
    }
}
