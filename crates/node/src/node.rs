//! The node: one state, one step function.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use corianderway_control::ClaimAction;
use corianderway_control::ClaimEvent;
use corianderway_control::Claims;
use corianderway_control::Control;
use corianderway_control::Event as ControlEvent;
use corianderway_control::KeyTable;
use corianderway_control::Sweep;
use corianderway_control::SweepEvent;
use corianderway_control::WatchEvent;
use corianderway_limits::Event as LimitEvent;
use corianderway_limits::Quota;
use corianderway_limits::RetryBudget;
use corianderway_limits::Timing;
use corianderway_model::Backend;
use corianderway_model::Entry;
use corianderway_model::InstanceId;
use corianderway_model::Presence;
use corianderway_model::Time;
use corianderway_rollout::DrainEvent;
use corianderway_rollout::Drains;
use corianderway_rollout::Event as MoveEvent;
use corianderway_rollout::Rollout;
use corianderway_routing::Entries;
use corianderway_routing::Fleet;
use corianderway_routing::Quarantine;
use corianderway_routing::Router;
use rand::rngs::SmallRng;
use rand::Rng as _;
use rand::SeedableRng as _;
use snafu::ResultExt;
use snafu::Snafu;

use crate::chart::RequestChart;
use crate::chart::REQUEST_CHART;
use crate::configuration;
use crate::contracts::Contracts;
use crate::directory::ADVICE;
use crate::event::Action;
use crate::event::Event;
use crate::event::Found;
use crate::event::RequestId;
use crate::event::Ticket;
use crate::event::Wrote;
use crate::incumbents::Incumbents;
use crate::message::Message;
use crate::open::Table;
use crate::record::Record;
use crate::reports::SharedReport;
use crate::shifts::Shifts;
use crate::suspects::Cut;
use crate::tickets::Purpose;
use crate::tickets::Tickets;
use crate::waiting::Rooms;

/// The time between two ticks of the parts that need no finer one.
const SLOW_TICK: Duration = Duration::from_millis(100);

/// The time between two looks at load, drains and room for new versions.
const MEASURE: Duration = Duration::from_secs(1);

/// Retries for each first try.
const RETRY_RATIO: f64 = 0.1;

/// Retries in each span that need no first tries.
const RETRY_SPARE: u64 = 10;

/// The span over which first tries and retries are counted.
const RETRY_SPAN: Duration = Duration::from_secs(10);

/// The decisions of one entry instance.
#[derive(Debug)]
pub struct Node {
    pub(crate) me: Entry,
    pub(crate) bootstrap: Vec<SocketAddr>,
    pub(crate) chart: RequestChart,
    pub(crate) control: Control,
    pub(crate) contracts: Contracts,
    pub(crate) keys: KeyTable,
    pub(crate) quota: Quota,
    /// Whether this instance has quota of its own.
    pub(crate) shared: bool,
    /// The epoch whose silent members have ended, by an operator's word.
    pub(crate) confirmed: Option<u64>,
    pub(crate) claims: Claims,
    /// What the claim part wants and is not yet carried out.
    pub(crate) wanted: VecDeque<ClaimAction>,
    pub(crate) sweep: Sweep,
    pub(crate) rollout: Rollout,
    pub(crate) drains: Drains,
    pub(crate) quarantine: Quarantine,
    pub(crate) cuts: Vec<Cut>,
    pub(crate) shifts: Shifts,
    pub(crate) retries: RetryBudget,
    pub(crate) fleet: Fleet,
    // Sorted by identity.
    pub(crate) backends: Vec<Backend>,
    pub(crate) incumbents: Incumbents,
    /// The servers that this instance asks for their health and load.
    pub(crate) asked: Vec<Backend>,
    /// Reports that the other instances are not told yet.
    pub(crate) untold: Vec<SharedReport>,
    pub(crate) router: Router,
    pub(crate) directory: Entries,
    pub(crate) requests: Table,
    pub(crate) rooms: Rooms,
    /// Requests that lost their place in a full queue.
    pub(crate) displaced: Vec<RequestId>,
    pub(crate) tickets: Tickets,
    pub(crate) rng: SmallRng,
    /// Whether the platform has listed the fleet.
    pub(crate) listed: bool,
    /// Whether a greeted instance has answered.
    pub(crate) welcome: bool,
    /// A moment, and the wall clock at it in milliseconds since the Unix epoch.
    pub(crate) wall: (Time, u64),
    due: Time,
    measured: Time,
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
    #[snafu(display("{source}"))]
    Rollout { source: corianderway_rollout::Error },
}

impl Node {
    /// Makes the node of an entry instance; `seed` feeds its random choices.
    ///
    /// # Errors
    ///
    /// Fails when a chart file is faulty.
    pub fn new(me: Entry, bootstrap: Vec<SocketAddr>, seed: u64) -> Result<Self, Error> {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut directory = Entries::new(me.id.clone(), ADVICE);
        directory.sync(std::slice::from_ref(&me), Time::ZERO);
        Ok(Self {
            chart: RequestChart::parse(REQUEST_CHART).context(RequestSnafu)?,
            control: Control::new(me.clone(), rng.random(), configuration::is_sound),
            contracts: Contracts::default(),
            keys: KeyTable::new(),
            quota: Quota::new(me.id.clone(), Timing::default(), rng.random()),
            shared: false,
            confirmed: None,
            claims: Claims::new(),
            wanted: VecDeque::new(),
            sweep: Sweep::new(),
            rollout: Rollout::new(me.id.clone()).context(RolloutSnafu)?,
            drains: Drains::new(me.id.clone()).context(RolloutSnafu)?,
            quarantine: Quarantine::new(),
            cuts: Vec::new(),
            shifts: Shifts::default(),
            retries: RetryBudget::new(RETRY_RATIO, RETRY_SPARE, RETRY_SPAN),
            fleet: Fleet::new().context(FleetSnafu)?,
            backends: Vec::new(),
            incumbents: Incumbents::default(),
            asked: Vec::new(),
            untold: Vec::new(),
            router: Router::new(me.region.clone(), me.domain.clone()),
            directory,
            requests: Table::default(),
            rooms: Rooms::default(),
            displaced: Vec::new(),
            tickets: Tickets::default(),
            listed: false,
            welcome: false,
            wall: (Time::ZERO, 0),
            due: Time::ZERO,
            measured: Time::ZERO,
            rng,
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
            Event::Ended { id, whole, answer } => self.ended(now, id, whole, answer, out),
            Event::Instances { entries, backends } => {
                self.take_backends(now, backends);
                self.take_entries(now, entries, out);
            }
            Event::Peer { from, message } => self.take_message(now, from, message, out),
            Event::Reported(report) => self.take_report(now, &report, out),
            Event::Wrote { ticket, wrote } => self.wrote(now, ticket, wrote, out),
            Event::Read { ticket, found } => self.read(now, ticket, found, out),
            Event::Claims(listed) => self.take_claims(now, listed, out),
            Event::Tick { wall } => {
                self.wall = (now, wall);
                self.tick(now, out);
            }
            Event::Stop => self.stop(now, out),
            Event::Listed {
                call,
                revision,
                objects,
            } => {
                let event = WatchEvent::Listed {
                    call,
                    revision,
                    objects,
                };
                self.control(now, ControlEvent::Platform(event), out);
            }
            Event::Watched {
                call,
                revision,
                objects,
            } => {
                let event = WatchEvent::Watched {
                    call,
                    revision,
                    objects,
                };
                self.control(now, ControlEvent::Platform(event), out);
            }
            Event::Unanswered { call } => {
                let event = WatchEvent::Failed { call };
                self.control(now, ControlEvent::Platform(event), out);
            }
        }
        self.serve_claims(now, out);
        self.note_changes(out);
    }

    fn take_message(
        &mut self,
        now: Time,
        from: InstanceId,
        message: Message,
        out: &mut Vec<Action>,
    ) {
        match message {
            Message::Hello(entry) => self.greeted_by(now, entry, out),
            Message::Welcome { entries, backends } => {
                self.welcomed(now, entries, backends, out);
            }
            Message::Control(message) => {
                self.control(now, ControlEvent::Received { from, message }, out);
            }
            Message::Limits(message) => self.limits(now, LimitEvent::Received(message), out),
            Message::Move(report) => self.moves(now, MoveEvent::Report(report), out),
            Message::MoveStop(stop) => self.moves(now, MoveEvent::Stop(stop), out),
            Message::Drain(report) => self.drain(now, DrainEvent::Report(report), out),
            Message::Reports(reports) => self.take_shared(now, &reports),
            Message::Suspicion(suspicion) => self.take_suspicion(now, &suspicion),
        }
    }

    pub(crate) fn take_backends(&mut self, now: Time, backends: Vec<Backend>) {
        self.fleet.sync(&backends, now);
        let mut backends = backends;
        backends.sort_by(|a, b| a.id.cmp(&b.id));
        if self.backends != backends {
            self.backends = backends;
            self.incumbents.take(&self.backends);
            self.choose_asked();
        }
    }

    fn wrote(&mut self, now: Time, ticket: Ticket, wrote: Wrote, out: &mut Vec<Action>) {
        match self.tickets.settle(ticket) {
            Some(Purpose::Epoch(nonce)) => self.epoch_wrote(now, nonce, &wrote, out),
            Some(Purpose::Claim(name, call)) => self.claim_wrote(now, name, call, &wrote),
            Some(Purpose::Move(service, text)) => {
                self.move_wrote(now, service, text, wrote, out);
            }
            Some(Purpose::Drain(scope, text)) => self.drain_wrote(now, scope, text, wrote, out),
            // The next list shows what became of it.
            Some(Purpose::Restore | Purpose::Removal) | None => (),
        }
    }

    fn read(&mut self, now: Time, ticket: Ticket, found: Found, out: &mut Vec<Action>) {
        match self.tickets.settle(ticket) {
            Some(Purpose::Epoch(nonce)) => self.epoch_read(now, nonce, found, out),
            Some(Purpose::Claim(name, call)) => self.claim_read(now, name, call, &found),
            Some(Purpose::Move(service, _)) => self.move_read(now, service, &found, out),
            Some(Purpose::Drain(scope, _)) => self.drain_read(now, scope, &found, out),
            Some(Purpose::Restore | Purpose::Removal) | None => (),
        }
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        self.limits(now, LimitEvent::Tick, out);
        self.serve_waiting(now, out);
        if now < self.due {
            return;
        }
        self.due = now + SLOW_TICK;
        self.look_at_quota(now);
        self.fleet.tick(now);
        self.directory.refresh(now);
        self.greet(out);
        self.control(now, ControlEvent::Tick, out);
        self.step_claims(now, ClaimEvent::Tick);
        self.sweep(now, SweepEvent::Tick, out);
        self.moves(now, MoveEvent::Tick, out);
        self.drain(now, DrainEvent::Tick, out);
        if now.since(self.measured) >= MEASURE {
            self.measured = now;
            self.heed_confirmation(now, out);
            self.tell_room(now, out);
            self.follow_drains(now, out);
            self.share_reports(out);
            self.quarantine.expire(now);
        }
    }

    fn stop(&mut self, now: Time, out: &mut Vec<Action>) {
        self.me.presence = Presence::Leaving;
        self.control(now, ControlEvent::Leave, out);
        self.limits(now, LimitEvent::Stopping, out);
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
