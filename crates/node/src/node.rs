//! The [`Node`]: the decision state of one entry instance and its step function.

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
use crate::checks::PendingCheck;
use crate::configuration;
use crate::contracts::Contracts;
use crate::current_versions::CurrentVersions;
use crate::directory::ADVICE_TTL;
use crate::event::Action;
use crate::event::Event;
use crate::event::ReadOutcome;
use crate::event::RequestId;
use crate::event::Ticket;
use crate::event::WriteOutcome;
use crate::message::Message;
use crate::open::OpenRequests;
use crate::record::Record;
use crate::reports::SharedReport;
use crate::shifts::Shifts;
use crate::suspects::BrokenAttempt;
use crate::tickets::Purpose;
use crate::tickets::Tickets;
use crate::waiting::WaitQueues;

/// The interval between ticks of the components that need no finer resolution than
/// [`Event::Tick`].
const SLOW_TICK_INTERVAL: Duration = Duration::from_millis(100);

/// The interval between updates of loads, drains and the capacity for new versions.
const MEASURE_INTERVAL: Duration = Duration::from_secs(1);

/// The retries allowed for each first attempt.
const RETRY_RATIO: f64 = 0.1;

/// The retries allowed in each window whatever the number of first attempts.
const RETRY_ALLOWANCE: u64 = 10;

/// The window over which first attempts and retries are counted.
const RETRY_WINDOW: Duration = Duration::from_secs(10);

/// The decision state of one entry instance.
///
/// Events go in through [`Node::step`], and the actions that it returns are for the
/// process around it to perform. A node does no input or output and reads no clock: its
/// state depends only on the arguments of [`Node::new`] and on the events and times
/// that it was given.
#[derive(Debug)]
pub struct Node {
    pub(crate) me: Entry,
    pub(crate) bootstrap: Vec<SocketAddr>,
    pub(crate) chart: RequestChart,
    pub(crate) control: Control,
    pub(crate) contracts: Contracts,
    pub(crate) keys: KeyTable,
    pub(crate) quota: Quota,
    /// Whether this instance holds a quota, as of the last slow tick.
    pub(crate) quota_held: bool,
    /// The epoch for which an operator confirmed that its silent members have ended.
    pub(crate) confirmed_epoch: Option<u64>,
    pub(crate) claims: Claims,
    /// Actions of the claims state machine that are still to be performed.
    pub(crate) claim_actions: VecDeque<ClaimAction>,
    pub(crate) sweep: Sweep,
    pub(crate) rollout: Rollout,
    pub(crate) drains: Drains,
    pub(crate) quarantine: Quarantine,
    pub(crate) broken_attempts: Vec<BrokenAttempt>,
    pub(crate) pending_checks: Vec<PendingCheck>,
    pub(crate) shifts: Shifts,
    pub(crate) retries: RetryBudget,
    pub(crate) fleet: Fleet,
    // Sorted by identity.
    pub(crate) backends: Vec<Backend>,
    pub(crate) current_versions: CurrentVersions,
    /// The backend servers whose health and load endpoints this instance polls.
    pub(crate) polled: Vec<Backend>,
    /// Reports that have not been sent to the other instances yet.
    pub(crate) unsent_reports: Vec<SharedReport>,
    pub(crate) router: Router,
    pub(crate) directory: Entries,
    pub(crate) requests: OpenRequests,
    pub(crate) wait_queues: WaitQueues,
    /// Requests that were pushed out of a full queue and are still to be refused.
    pub(crate) displaced: Vec<RequestId>,
    pub(crate) tickets: Tickets,
    pub(crate) rng: SmallRng,
    /// Whether the platform has listed the fleet.
    pub(crate) fleet_listed: bool,
    /// Whether an instance has answered a [`Message::Hello`] of this one.
    pub(crate) hello_answered: bool,
    /// A point in time, and the wall clock at that time in milliseconds since the Unix
    /// epoch.
    pub(crate) wall_base: (Time, u64),
    next_tick: Time,
    last_measured: Time,
}

/// The error returned when a chart file is invalid.
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
    /// Creates the node of an entry instance; `seed` seeds its random choices.
    ///
    /// # Errors
    ///
    /// Returns an error if a chart file is invalid.
    pub fn new(me: Entry, bootstrap: Vec<SocketAddr>, seed: u64) -> Result<Self, Error> {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut directory = Entries::new(me.id.clone(), ADVICE_TTL);
        directory.sync(std::slice::from_ref(&me), Time::ZERO);
        Ok(Self {
            chart: RequestChart::parse(REQUEST_CHART).context(RequestSnafu)?,
            control: Control::new(me.clone(), rng.random(), configuration::is_valid),
            contracts: Contracts::default(),
            keys: KeyTable::new(),
            quota: Quota::new(me.id.clone(), Timing::default(), rng.random()),
            quota_held: false,
            confirmed_epoch: None,
            claims: Claims::new(),
            claim_actions: VecDeque::new(),
            sweep: Sweep::new(),
            rollout: Rollout::new(me.id.clone()).context(RolloutSnafu)?,
            drains: Drains::new(me.id.clone()).context(RolloutSnafu)?,
            quarantine: Quarantine::new(),
            broken_attempts: Vec::new(),
            pending_checks: Vec::new(),
            shifts: Shifts::default(),
            retries: RetryBudget::new(RETRY_RATIO, RETRY_ALLOWANCE, RETRY_WINDOW),
            fleet: Fleet::new().context(FleetSnafu)?,
            backends: Vec::new(),
            current_versions: CurrentVersions::default(),
            polled: Vec::new(),
            unsent_reports: Vec::new(),
            router: Router::new(me.region.clone(), me.domain.clone()),
            directory,
            requests: OpenRequests::default(),
            wait_queues: WaitQueues::default(),
            displaced: Vec::new(),
            tickets: Tickets::default(),
            fleet_listed: false,
            hello_answered: false,
            wall_base: (Time::ZERO, 0),
            next_tick: Time::ZERO,
            last_measured: Time::ZERO,
            rng,
            bootstrap,
            me,
        })
    }

    /// Processes one event and appends the resulting actions to `out`.
    pub fn step(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Request(query) => self.handle_request(now, query, out),
            Event::Directory { id, client } => self.advise_caller(id, client, out),
            Event::AttemptEnded { id, outcome } => self.end_attempt(now, id, outcome, out),
            Event::RequestEnded {
                id,
                complete,
                answer,
            } => {
                self.end_request(now, id, complete, answer, out);
            }
            Event::InstancesListed { entries, backends } => {
                self.update_backends(now, backends);
                self.update_entries(now, entries, out);
            }
            Event::PeerMessage { from, message } => self.handle_message(now, from, message, out),
            Event::ServerPolled(report) => self.apply_report(now, &report, out),
            Event::WriteEnded { ticket, outcome } => self.finish_write(now, ticket, outcome, out),
            Event::ReadEnded { ticket, outcome } => self.finish_read(now, ticket, outcome, out),
            Event::ClaimsListed(listed) => self.handle_claim_list(now, listed, out),
            Event::Tick { wall } => {
                self.wall_base = (now, wall);
                self.tick(now, out);
            }
            Event::Stop => self.stop(now, out),
            Event::ConfigListed {
                call,
                revision,
                objects,
            } => {
                let event = WatchEvent::Listed {
                    call,
                    revision,
                    objects,
                };
                self.step_control(now, ControlEvent::Platform(event), out);
            }
            Event::ConfigWatched {
                call,
                revision,
                objects,
            } => {
                let event = WatchEvent::Watched {
                    call,
                    revision,
                    objects,
                };
                self.step_control(now, ControlEvent::Platform(event), out);
            }
            Event::ConfigCallFailed { call } => {
                let event = WatchEvent::Failed { call };
                self.step_control(now, ControlEvent::Platform(event), out);
            }
        }
        self.run_claim_actions(now, out);
        self.log_server_changes(out);
    }

    fn handle_message(
        &mut self,
        now: Time,
        from: InstanceId,
        message: Message,
        out: &mut Vec<Action>,
    ) {
        match message {
            Message::Hello(entry) => self.handle_hello(now, entry, out),
            Message::Welcome { entries, backends } => {
                self.handle_welcome(now, entries, backends, out);
            }
            Message::Control(message) => {
                self.step_control(now, ControlEvent::Received { from, message }, out);
            }
            Message::Limits(message) => self.step_quota(now, LimitEvent::Received(message), out),
            Message::Move(report) => self.step_moves(now, MoveEvent::Report(report), out),
            Message::MoveStop(stop) => self.step_moves(now, MoveEvent::Stop(stop), out),
            Message::Drain(report) => self.step_drains(now, DrainEvent::Report(report), out),
            Message::Reports(reports) => self.apply_shared_reports(now, &reports),
            Message::Suspicion(suspicion) => self.merge_suspicion(now, &suspicion),
        }
    }

    pub(crate) fn update_backends(&mut self, now: Time, backends: Vec<Backend>) {
        self.fleet.sync(&backends, now);
        let mut backends = backends;
        backends.sort_by(|a, b| a.id.cmp(&b.id));
        if self.backends != backends {
            self.backends = backends;
            self.current_versions.update(&self.backends);
            self.choose_polled();
        }
    }

    fn finish_write(
        &mut self,
        now: Time,
        ticket: Ticket,
        outcome: WriteOutcome,
        out: &mut Vec<Action>,
    ) {
        match self.tickets.finish(ticket) {
            Some(Purpose::Epoch(nonce)) => self.epoch_written(now, nonce, &outcome, out),
            Some(Purpose::Claim(name, call)) => self.claim_written(now, name, call, &outcome),
            Some(Purpose::Move(service, text)) => {
                self.move_written(now, service, text, outcome, out);
            }
            Some(Purpose::Drain(scope, text)) => self.drain_written(now, scope, text, outcome, out),
            // The next listing shows the result.
            Some(Purpose::Restore | Purpose::Removal) | None => (),
        }
    }

    fn finish_read(
        &mut self,
        now: Time,
        ticket: Ticket,
        outcome: ReadOutcome,
        out: &mut Vec<Action>,
    ) {
        match self.tickets.finish(ticket) {
            Some(Purpose::Epoch(nonce)) => self.epoch_read(now, nonce, outcome, out),
            Some(Purpose::Claim(name, call)) => self.claim_read(now, name, call, &outcome),
            Some(Purpose::Move(service, _)) => self.move_read(now, service, &outcome, out),
            Some(Purpose::Drain(scope, _)) => self.drain_read(now, scope, &outcome, out),
            Some(Purpose::Restore | Purpose::Removal) | None => (),
        }
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        self.step_quota(now, LimitEvent::Tick, out);
        self.resume_checked(now, out);
        self.retry_waiting(now, out);
        if now < self.next_tick {
            return;
        }
        self.next_tick = now + SLOW_TICK_INTERVAL;
        self.update_quota_held(now);
        self.fleet.tick(now);
        self.directory.refresh(now);
        self.send_hello(out);
        self.step_control(now, ControlEvent::Tick, out);
        self.step_claims(now, ClaimEvent::Tick);
        self.step_sweep(now, SweepEvent::Tick, out);
        self.step_moves(now, MoveEvent::Tick, out);
        self.step_drains(now, DrainEvent::Tick, out);
        if now.since(self.last_measured) >= MEASURE_INTERVAL {
            self.last_measured = now;
            self.apply_confirmation(now, out);
            self.report_capacity(now, out);
            self.update_drains(now, out);
            self.publish_reports(out);
            self.quarantine.expire(now);
        }
    }

    fn stop(&mut self, now: Time, out: &mut Vec<Action>) {
        self.me.presence = Presence::Leaving;
        self.step_control(now, ControlEvent::Leave, out);
        self.step_quota(now, LimitEvent::Stopping, out);
    }

    // Logs each change of a backend server's state.
    fn log_server_changes(&mut self, out: &mut Vec<Action>) {
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
