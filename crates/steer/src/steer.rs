//! The state behind all decisions of one instance, and the function that applies
//! an event to it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use corianderway_limits::RetryBudget;
use corianderway_model::FailureDomain;
use corianderway_model::Region;
use corianderway_model::Service;
use corianderway_model::SortedMap;
use corianderway_model::Time;
use rand::rngs::SmallRng;
use rand::SeedableRng as _;
use snafu::ResultExt as _;
use snafu::Snafu;

use crate::advice;
use crate::bounds::Bounds;
use crate::claim::CLAIM_CHART;
use crate::crashes::Crashes;
use crate::digest::Digest;
use crate::event::Action;
use crate::event::Event;
use crate::event::Reach;
use crate::event::RequestId;
use crate::exposure::Allowance;
use crate::fleet::Fleet;
use crate::fleet::Neighbour;
use crate::listing::Member;
use crate::members::Members;
use crate::moves::Moves;
use crate::note::Note;
use crate::note::Severity;
use crate::outage::Outage;
use crate::outage::Signal as OutageSignal;
use crate::outage::OUTAGE_CHART;
use crate::pace::Pace;
use crate::pace::PACE_CHART;
use crate::pending_failures::PendingFailures;
use crate::phase::MOVE_CHART;
use crate::plan::Plan;
use crate::quota::Quotas;
use crate::relay::Relay;
use crate::relay::RELAY_CHART;
use crate::request::OpenRequest;
use crate::request::RequestChart;
use crate::request::REQUEST_CHART;
use crate::restored::UnsettledLists;
use crate::revisions::InputKind;
use crate::revisions::Revisions;
use crate::server::State;
use crate::server::SERVER_CHART;
use crate::shift::Shifts;
use crate::source::Signal as SourceSignal;
use crate::source::SourceSelector;
use crate::source::SOURCE_CHART;
use crate::startup::Startup;
use crate::suspect::SUSPECT_CHART;
use crate::tokens::Loans;
use crate::usage::Usage;
use crate::version_move::Transition;
use crate::waiting::WaitingQueues;
use crate::weighted::WeightedRoundRobin;
use crate::workload::OfferedLoads;
use crate::workload::Workload;

/// The interval of the periodic work that depends on time alone.
pub(crate) const SWEEP_INTERVAL: Duration = Duration::from_millis(100);

/// How long a caller may use the directory's answer, unless the bounds allow less.
const ADVICE_TTL: Duration = Duration::from_secs(2);

/// A state chart that is faulty, so that no [`Steer`] can be made.
#[derive(Debug, Snafu)]
pub struct ChartError(ChartKind);

#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum ChartKind {
    #[snafu(display("charts/{file}: {source}; correct the chart"))]
    Chart {
        file: &'static str,
        source: corianderway_chart::Error,
    },
}

/// The decision state of one instance.
///
/// [`Steer::step`] applies one event at a time and appends the actions that follow
/// from it. The outcome depends on the events, their times and the seed alone.
#[derive(Debug)]
pub struct Steer {
    pub(crate) bounds: Bounds,
    pub(crate) request_chart: RequestChart,
    pub(crate) plan: Option<Arc<Plan>>,
    pub(crate) fleet: Fleet,
    pub(crate) members: Members,
    pub(crate) relay: Relay,
    pub(crate) selector: SourceSelector,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) moves: Moves,
    pub(crate) quotas: Quotas,
    // The tokens that this instance has lent lately.
    pub(crate) loans: Loans,
    // When the relay last failed to answer a request for a token.
    pub(crate) last_unanswered: Time,
    pub(crate) workload: Workload,
    pub(crate) usage: Usage,
    // The load that all callers offer, from the latest summaries.
    pub(crate) offered_loads: OfferedLoads,
    pub(crate) round_robin: WeightedRoundRobin,
    pub(crate) shifts: Shifts,
    pub(crate) crashes: Crashes,
    pub(crate) pending_failures: PendingFailures,
    pub(crate) budgets: SortedMap<Service, RetryBudget>,
    pub(crate) requests: SortedMap<RequestId, OpenRequest>,
    pub(crate) queues: WaitingQueues,
    pub(crate) rng: SmallRng,
    // When a planned stop began, if one has.
    pub(crate) stopping: Option<Time>,
    // How the store is followed, and since when.
    pub(crate) reach: (Reach, Time),
    pub(crate) outage: Outage,
    // When the store last did not answer this instance.
    pub(crate) store_missed: Option<Time>,
    /// What the store listed since it came back from an older copy, until it has settled.
    pub(crate) unsettled: Option<UnsettledLists>,
    /// The latest change of each kind that was observed.
    pub(crate) changed: Revisions,
    /// The revisions up to which all changes of each kind are known.
    pub(crate) known: Revisions,
    // Whether other instances have observed a later configuration.
    pub(crate) later_plan: bool,
    // Since when other instances have reported a change that is not known here.
    pub(crate) lagging_since: Option<Time>,
    // When the store was last read again for that reason.
    pub(crate) store_reread: Time,
    pub(crate) startup: Startup,
    // The number of digests sent in this run.
    pub(crate) digest_count: u64,
    // The latest digest that was sent.
    pub(crate) last_digest: Option<Arc<Digest>>,
    pub(crate) last_sweep: Time,
    pub(crate) pace: Pace,
    pub(crate) digest_sent: Time,
    pub(crate) quotas_updated: Time,
    pub(crate) entries_removed: Time,
    // When the status of the version moves was last logged.
    pub(crate) moves_logged: Time,
    /// Whether a change should reach the other instances without delay.
    pub(crate) urgent: bool,
}

impl Steer {
    /// Creates the state of an instance that has just started; `seed` initializes its
    /// random choices.
    ///
    /// # Errors
    ///
    /// Returns an error if a state chart is faulty.
    pub fn new(me: Member, bounds: Bounds, seed: u64) -> Result<Self, ChartError> {
        let chart = |file| ChartSnafu { file };
        let here = Neighbour {
            id: me.entry.id.clone(),
            region: me.entry.region.clone(),
            domain: me.entry.domain.clone(),
        };
        let servers = corianderway_chart::Chart::parse(SERVER_CHART);
        let moves = corianderway_chart::Chart::parse(MOVE_CHART);
        let requests = corianderway_chart::Chart::parse(REQUEST_CHART);
        let relay = corianderway_chart::Chart::parse(RELAY_CHART);
        let selector = corianderway_chart::Chart::parse(SOURCE_CHART);
        let pace = corianderway_chart::Chart::parse(PACE_CHART);
        let outage = corianderway_chart::Chart::parse(OUTAGE_CHART);
        let claims = corianderway_chart::Chart::parse(CLAIM_CHART);
        let suspects = corianderway_chart::Chart::parse(SUSPECT_CHART);
        Ok(Self {
            request_chart: requests.context(chart("edge-request.yaml"))?,
            plan: None,
            fleet: Fleet::new(here, servers.context(chart("edge-server.yaml"))?),
            relay: Relay::new(relay.context(chart("edge-relay.yaml"))?),
            selector: SourceSelector::new(selector.context(chart("edge-source.yaml"))?),
            seeds: Vec::new(),
            moves: Moves::new(
                moves.context(chart("edge-move.yaml"))?,
                Allowance {
                    share: bounds.canary_share,
                    extra: bounds.canary_extra,
                },
                me.entry.domain.clone(),
            ),
            quotas: Quotas::new(),
            loans: Loans::default(),
            last_unanswered: Time::ZERO,
            workload: Workload::default(),
            usage: Usage::default(),
            offered_loads: OfferedLoads::default(),
            round_robin: WeightedRoundRobin::default(),
            shifts: Shifts::new(bounds.shift_most),
            crashes: Crashes::new(suspects.context(chart("edge-suspect.yaml"))?),
            pending_failures: PendingFailures::default(),
            budgets: SortedMap::default(),
            requests: SortedMap::default(),
            queues: WaitingQueues::new(claims.context(chart("edge-claim.yaml"))?),
            rng: SmallRng::seed_from_u64(seed),
            stopping: None,
            reach: (Reach::Nothing, Time::ZERO),
            outage: Outage::new(outage.context(chart("edge-store.yaml"))?),
            store_missed: None,
            unsettled: None,
            changed: Revisions::default(),
            known: Revisions::default(),
            later_plan: false,
            lagging_since: None,
            store_reread: Time::ZERO,
            startup: Startup::new(),
            digest_count: 0,
            last_digest: None,
            last_sweep: Time::ZERO,
            pace: Pace::new(pace.context(chart("edge-pace.yaml"))?),
            digest_sent: Time::ZERO,
            quotas_updated: Time::ZERO,
            entries_removed: Time::ZERO,
            moves_logged: Time::ZERO,
            urgent: false,
            members: Members::new(me),
            bounds,
        })
    }

    /// Applies one event and appends the resulting actions to `out`.
    pub fn step(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        self.startup.begin(now);
        match event {
            Event::Request(query) => self.receive(now, query, out),
            Event::CallerGone(id) => self.caller_left(now, id, out),
            Event::AttemptEnded { id, outcome } => self.attempt_ended(now, id, outcome, out),
            Event::ServerNotice { id, notice } => self.apply_notice(now, id, notice, out),
            Event::ServerChecked { server, reachable } => {
                self.server_checked(now, &server, reachable);
            }
            Event::Directory { id, region, domain } => {
                self.answer_directory(now, id, region.as_ref(), domain.as_ref(), out);
            }
            Event::Plan(plan) => self.apply_plan(now, plan, out),
            Event::Servers(changes) => {
                self.mark_arrived(InputKind::Servers);
                let unsettled = self.outage.is_unsettled();
                for start in self.fleet.apply_changes(now, changes, unsettled) {
                    self.urgent |= self.crashes.started(now, start);
                }
                for server in self.fleet.take_deaths() {
                    self.pending_failures.record_death(now, server);
                }
                for service in self.fleet.services() {
                    let versions = self.fleet.versions(&service);
                    self.moves.update_listed(now, &service, &versions);
                }
                self.retry_all_waiting(now, out);
            }
            Event::Evacuated(domains) => self.apply_evacuations(now, domains, out),
            Event::Orders(orders) => self.apply_orders(now, orders, out),
            Event::Members(members) => self.apply_members(now, members),
            Event::Reach(reach) => {
                self.set_reach(now, reach, out);
                // That nothing is followed is what was decided here; it tells nothing of the
                // store.
                if reach != Reach::Nothing {
                    self.advance_outage(now, OutageSignal::Reached);
                    self.advance_source(now, SourceSignal::Reached, out);
                }
            }
            Event::StoreLost => {
                self.set_reach(now, Reach::Nothing, out);
                self.record_loss(now);
                self.advance_source(now, SourceSignal::Failed, out);
            }
            Event::CheckMissed => {
                self.store_missed = Some(now);
                self.urgent = true;
            }
            Event::ReplicaLost => {
                self.set_reach(now, Reach::Nothing, out);
                self.advance_source(now, SourceSignal::Failed, out);
            }
            Event::ProbeAnswered => self.advance_source(now, SourceSignal::Probed, out),
            // The replica that is followed, if any, still reaches the store.
            Event::ProbeFailed if self.is_detached() => {
                self.advance_outage(now, OutageSignal::Lost);
            }
            Event::ProbeFailed => (),
            Event::PageRead => self.selector.record_progress(now),
            Event::Restored(era) => self.enter_era(now, era, out),
            Event::Seeds(seeds) => self.seeds = seeds,
            Event::Revisions { changed, known } => {
                self.changed.merge(&changed);
                self.known.merge(&known);
                self.fleet.enter_era(self.known.era());
            }
            Event::Message(message) => self.receive_message(now, message, out),
            Event::Tick => self.sweep(now, out),
            Event::Stop => self.begin_stop(now),
        }
        self.expire_requests(now, out);
        self.send_due(now, out);
        self.log_server_changes(out);
        self.log_crash_changes(out);
        if let Some(note) = self.startup.line(now) {
            let note = note
                .with("source", format!("{:?}", self.selector.state))
                .with("reach", format!("{:?}", self.reach.0));
            out.push(Action::Log(note));
        }
    }

    /// Returns the time at which the next [`Event::Tick`] is due.
    pub fn next_tick(&self) -> Time {
        let deadlines = self.requests.iter().map(|(_, open)| open.expiry());
        let sweep = self.last_sweep + SWEEP_INTERVAL;
        deadlines.fold(sweep, Ord::min)
    }

    /// Returns whether the instance can serve callers: all inputs have arrived, and no
    /// stop has begun.
    pub fn is_ready(&self) -> bool {
        self.is_informed() && self.stopping.is_none()
    }

    /// Returns the number of requests that have not ended.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Returns the number of requests that wait for room at a backend server.
    pub fn waiting_requests(&self) -> usize {
        self.queues.len()
    }

    /// Returns the latest configuration, if any has arrived.
    pub fn plan(&self) -> Option<&Arc<Plan>> {
        self.plan.as_ref()
    }

    /// Returns whether all inputs that decisions need have arrived.
    pub(crate) fn is_informed(&self) -> bool {
        self.startup.is_informed()
    }

    /// Returns whether the configuration may be too old to contain a caller's key or
    /// route, since the store can't be followed, or others follow it further.
    pub(crate) fn is_behind(&self) -> bool {
        self.is_detached() || self.later_plan
    }

    fn is_detached(&self) -> bool {
        self.reach.0 == Reach::Nothing
    }

    pub(crate) fn mark_arrived(&mut self, input: InputKind) {
        self.startup.arrived(input);
    }

    fn apply_plan(&mut self, now: Time, plan: Arc<Plan>, out: &mut Vec<Action>) {
        let current = self.plan.as_ref().map_or(0, |p| p.version());
        if self.plan.is_some() && plan.version() <= current {
            return;
        }
        self.mark_arrived(InputKind::Plan);
        let note = Note::new(Severity::Notable, "configured")
            .with("from", current)
            .with("to", plan.version())
            .with("routes", plan.routes().len());
        out.push(Action::Log(note));
        for route in plan.routes() {
            for (service, _) in &route.targets {
                if let Some(terms) = plan.service(service) {
                    self.fleet.set_terms(service, *terms);
                }
            }
        }
        self.quotas.configure(now, &plan);
        self.plan = Some(plan);
        self.update_quotas(now);
    }

    pub(crate) fn set_reach(&mut self, now: Time, reach: Reach, out: &mut Vec<Action>) {
        let (from, since) = self.reach;
        if from != reach {
            let note = Note::new(Severity::Notable, "store-reach")
                .with("from", format!("{from:?}"))
                .with("to", format!("{reach:?}"))
                .with("after_ms", now.since(since).as_millis());
            out.push(Action::Log(note));
            self.reach = (reach, now);
            self.urgent = true;
        }
    }

    /// Recomputes this instance's quotas from the demands that are known.
    pub(crate) fn update_quotas(&mut self, now: Time) {
        // Without the list of instances, this one would claim the full rates.
        if self.startup.lacks(InputKind::Members) {
            return;
        }
        let lender = self.lender(now);
        let demand = self.members.known_demands(now);
        self.quotas.update_shares(now, lender, &demand);
    }

    /// Returns the instances that directories name to the callers of their failure
    /// domains.
    pub(crate) fn named(&self, now: Time) -> Vec<&Member> {
        advice::named(
            self.serving(now),
            |member| self.is_late(now, member),
            |domain| self.members.request_rate(now, domain),
        )
    }

    // Returns the instances that serve callers, this one included.
    fn serving(&self, now: Time) -> impl Iterator<Item = &Member> {
        let me = self.is_ready().then(|| self.members.me());
        me.into_iter().chain(self.members.serving(now))
    }

    fn is_late(&self, now: Time, member: &Member) -> bool {
        let id = &member.entry.id;
        if *id == self.members.me().entry.id {
            self.pace.is_late()
        } else {
            self.members.is_late(now, id)
        }
    }

    fn answer_directory(
        &mut self,
        now: Time,
        id: RequestId,
        region: Option<&Region>,
        domain: Option<&FailureDomain>,
        out: &mut Vec<Action>,
    ) {
        let entries = advice::advise(
            self.serving(now),
            region,
            domain,
            |member| self.is_late(now, member),
            |domain| self.members.request_rate(now, domain),
        );
        let ttl = ADVICE_TTL.min(self.bounds.advice_most);
        out.push(Action::AnswerDirectory { id, entries, ttl });
    }

    pub(crate) fn log_transitions(&mut self, transitions: Vec<Transition>, out: &mut Vec<Action>) {
        for transition in transitions {
            self.urgent = true;
            let note = Note::new(Severity::Notable, "move")
                .with("service", &transition.service)
                .with("target", &transition.target)
                .with("from", transition.from.as_str())
                .with("to", transition.to.as_str())
                .with("evidence", transition.evidence);
            out.push(Action::Log(transition.status.describe(note)));
        }
    }

    fn log_crash_changes(&mut self, out: &mut Vec<Action>) {
        for change in self.crashes.take_changes() {
            let note = Note::new(Severity::Notable, "suspect")
                .with("signature", format!("{:016x}", change.signature))
                .with("crashes", change.crashes)
                .with("quarantined", change.quarantined)
                .with("why", change.why);
            out.push(Action::Log(note));
        }
    }

    fn log_server_changes(&mut self, out: &mut Vec<Action>) {
        for change in self.fleet.take_changes() {
            if matches!(change.to, State::Leaving | State::Resigned) {
                self.pending_failures.discard(&change.server);
                self.recall(&change.server, out);
            }
            let note = Note::new(Severity::Notable, "server")
                .with("server", &change.server)
                .with("from", format!("{:?}", change.from))
                .with("to", format!("{:?}", change.to))
                .with("why", change.why);
            out.push(Action::Log(note));
        }
    }
}
