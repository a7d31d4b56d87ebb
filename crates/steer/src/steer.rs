//! The decisions of one instance: one state, one step function.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use corianderway_limits::RetryBudget;
use corianderway_model::FailureDomain;
use corianderway_model::Region;
use corianderway_model::Service;
use corianderway_model::Sorted;
use corianderway_model::Time;
use rand::rngs::SmallRng;
use rand::SeedableRng as _;
use snafu::ResultExt as _;
use snafu::Snafu;

use crate::advice;
use crate::bounds::Bounds;
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
use crate::note::Weight;
use crate::phase::MOVE_CHART;
use crate::plan::CallerLimits;
use crate::plan::Plan;
use crate::quota::Quotas;
use crate::relay::Relay;
use crate::relay::RELAY_CHART;
use crate::request::Open;
use crate::request::RequestChart;
use crate::request::REQUEST_CHART;
use crate::server::State;
use crate::server::SERVER_CHART;
use crate::shift::Shifts;
use crate::source::Signal as SourceSignal;
use crate::source::Sources;
use crate::source::SOURCE_CHART;
use crate::split::Splits;
use crate::verdicts::Verdicts;
use crate::version_move::Turn;
use crate::waiting::Rooms;
use crate::workload::Offers;
use crate::workload::Workload;

/// The time between two looks at everything that time alone changes.
pub(crate) const SWEEP: Duration = Duration::from_millis(100);

/// How long the directory's advice holds.
const ADVICE: Duration = Duration::from_secs(2);

/// The store counts as unsettled for this long after it was last out of reach:
/// the endpoints' entries that lapsed meanwhile are back by then.
const UNSETTLED: Duration = Duration::from_secs(3);

/// The part of the fleet's retry budget that its instances use.
const RETRY_CAUTION: f64 = 0.8;

/// Why the decisions can't start: a chart file is faulty.
#[derive(Debug, Snafu)]
pub struct ChartError(ChartKind);

#[derive(Debug, Snafu)]
enum ChartKind {
    #[snafu(display("charts/{file}: {source}; correct the chart"))]
    Chart {
        file: &'static str,
        source: corianderway_chart::Error,
    },
}

/// What must be known of the platform before callers are served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Topic {
    Plan,
    Servers,
    Orders,
    Evacuations,
    Members,
}

/// Every topic.
const TOPICS: [Topic; 5] = [
    Topic::Plan,
    Topic::Servers,
    Topic::Orders,
    Topic::Evacuations,
    Topic::Members,
];

/// The decisions of one instance.
#[derive(Debug)]
pub struct Steer {
    pub(crate) bounds: Bounds,
    pub(crate) chart: RequestChart,
    pub(crate) plan: Option<Arc<Plan>>,
    pub(crate) fleet: Fleet,
    pub(crate) members: Members,
    pub(crate) relay: Relay,
    pub(crate) sources: Sources,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) moves: Moves,
    pub(crate) quotas: Quotas,
    // When a token that was asked for was last not answered for.
    pub(crate) unanswered: Time,
    pub(crate) workload: Workload,
    // What all callers offer, by the latest summaries.
    pub(crate) offers: Offers,
    pub(crate) splits: Splits,
    pub(crate) shifts: Shifts,
    pub(crate) crashes: Crashes,
    pub(crate) verdicts: Verdicts,
    pub(crate) budgets: Sorted<Service, RetryBudget>,
    pub(crate) requests: Sorted<RequestId, Open>,
    pub(crate) rooms: Rooms,
    pub(crate) rng: SmallRng,
    pub(crate) stopping: Option<Time>,
    pub(crate) reach: (Reach, Time),
    unsettled: Time,
    // The latest change in the store that was seen.
    pub(crate) revision: u64,
    // Since when another instance has told a later one.
    pub(crate) deaf: Option<Time>,
    // When the store was last read anew for that.
    pub(crate) reread: Time,
    // What is not known yet.
    unknown: Vec<Topic>,
    pub(crate) digests: u64,
    // The last one that was sent.
    pub(crate) digest: Option<Arc<Digest>>,
    pub(crate) swept: Time,
    pub(crate) told: Time,
    pub(crate) shared: Time,
    pub(crate) forgot: Time,
    // When the moves were last described in the log.
    pub(crate) described: Time,
    /// Whether something happened that the others should hear at once.
    pub(crate) urgent: bool,
}

impl Steer {
    /// Makes the decisions of an instance; `seed` feeds its random choices.
    ///
    /// # Errors
    ///
    /// Fails when a chart file is faulty.
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
        let sources = corianderway_chart::Chart::parse(SOURCE_CHART);
        Ok(Self {
            chart: requests.context(chart("edge-request.yaml"))?,
            plan: None,
            fleet: Fleet::new(here, servers.context(chart("edge-server.yaml"))?),
            relay: Relay::new(relay.context(chart("edge-relay.yaml"))?),
            sources: Sources::new(sources.context(chart("edge-source.yaml"))?),
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
            unanswered: Time::ZERO,
            workload: Workload::default(),
            offers: Offers::default(),
            splits: Splits::default(),
            shifts: Shifts::new(bounds.shift_most),
            crashes: Crashes::default(),
            verdicts: Verdicts::default(),
            budgets: Sorted::default(),
            requests: Sorted::default(),
            rooms: Rooms::default(),
            rng: SmallRng::seed_from_u64(seed),
            stopping: None,
            reach: (Reach::Nothing, Time::ZERO),
            unsettled: Time::ZERO,
            revision: 0,
            deaf: None,
            reread: Time::ZERO,
            unknown: TOPICS.to_vec(),
            digests: 0,
            digest: None,
            swept: Time::ZERO,
            told: Time::ZERO,
            shared: Time::ZERO,
            forgot: Time::ZERO,
            described: Time::ZERO,
            urgent: false,
            members: Members::new(me),
            bounds,
        })
    }

    /// Takes one event, and adds what to do to `out`.
    pub fn step(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Request(query) => self.receive(now, query, out),
            Event::Left(id) => self.depart(now, id, out),
            Event::Attempted { id, outcome } => self.attempted(now, id, outcome, out),
            Event::Directory { id, region, domain } => {
                self.direct(now, id, region.as_ref(), domain.as_ref(), out);
            }
            Event::Plan(plan) => self.take_plan(now, plan, out),
            Event::Servers(changes) => {
                self.learn(Topic::Servers);
                let unsettled = self.is_unsettled(now);
                self.fleet.change(now, changes, unsettled);
                for service in self.fleet.services() {
                    let versions = self.fleet.versions(&service);
                    self.moves.see(now, &service, &versions);
                }
                self.serve_waiting(now, out);
            }
            Event::Evacuated(domains) => self.take_evacuations(domains, out),
            Event::Orders(orders) => {
                self.learn(Topic::Orders);
                let notes = self.moves.order(now, orders);
                out.extend(notes.into_iter().map(Action::Log));
            }
            Event::Members(members) => {
                self.learn(Topic::Members);
                self.members.list(now, members);
                self.share_quotas(now);
                self.urgent = true;
            }
            Event::Reach(reach) => {
                self.take_reach(now, reach, out);
                let signal = match reach {
                    Reach::Nothing => SourceSignal::Failed,
                    Reach::Replica | Reach::Store => SourceSignal::Reached,
                };
                self.choose_source(now, signal, out);
            }
            Event::Probed => self.choose_source(now, SourceSignal::Probed, out),
            Event::Seeds(seeds) => self.seeds = seeds,
            Event::Revision(revision) => self.revision = self.revision.max(revision),
            Event::Told(message) => self.hear(now, message, out),
            Event::Tick => self.sweep(now, out),
            Event::Stop => self.begin_stop(now),
        }
        self.expire(now, out);
        self.tell(now, out);
        self.note_changes(out);
    }

    /// The moment at which the next [`Event::Tick`] is due.
    pub fn due(&self) -> Time {
        let deadlines = self.requests.iter().map(|(_, open)| open.expiry());
        let sweep = self.swept + SWEEP;
        deadlines.fold(sweep, Ord::min)
    }

    /// Whether the instance knows enough to serve callers, and stays.
    pub fn is_ready(&self) -> bool {
        self.is_informed() && self.stopping.is_none()
    }

    /// Requests whose end is not known yet.
    pub fn open(&self) -> usize {
        self.requests.len()
    }

    /// What callers may send, as last configured.
    pub fn callers(&self) -> CallerLimits {
        self.plan
            .as_ref()
            .map_or_else(CallerLimits::default, |plan| plan.callers())
    }

    /// Whether everything that decides on requests is known.
    pub(crate) fn is_informed(&self) -> bool {
        self.unknown.is_empty()
    }

    /// Whether what is known may be older than a caller's key or route.
    pub(crate) fn is_behind(&self) -> bool {
        self.reach.0 == Reach::Nothing
    }

    /// The retry budget of a service.
    pub(crate) fn budget(&mut self, service: &Service) -> &mut RetryBudget {
        let bounds = &self.bounds;
        let count = self.members.count() as f64;
        self.budgets.get_or(service.clone(), || {
            let ratio = bounds.retry_ratio * RETRY_CAUTION;
            let spare = (bounds.retry_extra * RETRY_CAUTION / count).floor() as u64;
            RetryBudget::new(ratio, spare, bounds.retry_window)
        })
    }

    fn learn(&mut self, topic: Topic) {
        self.unknown.retain(|unknown| *unknown != topic);
    }

    fn take_plan(&mut self, now: Time, plan: Arc<Plan>, out: &mut Vec<Action>) {
        let known = self.plan.as_ref().map_or(0, |p| p.version());
        if self.plan.is_some() && plan.version() <= known {
            return;
        }
        self.learn(Topic::Plan);
        let note = Note::new(Weight::Notable, "configured")
            .with("from", known)
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
        self.share_quotas(now);
    }

    fn take_evacuations(&mut self, domains: Vec<FailureDomain>, out: &mut Vec<Action>) {
        self.learn(Topic::Evacuations);
        if !self.fleet.evacuate(&domains) {
            return;
        }
        let names: Vec<&str> = domains.iter().map(FailureDomain::as_str).collect();
        let note = Note::new(Weight::Notable, "evacuations").with("domains", names.join(","));
        out.push(Action::Log(note));
    }

    pub(crate) fn take_reach(&mut self, now: Time, reach: Reach, out: &mut Vec<Action>) {
        let (from, since) = self.reach;
        if from == Reach::Nothing || reach == Reach::Nothing {
            self.unsettled = now;
        }
        if from != reach {
            let note = Note::new(Weight::Notable, "store-reach")
                .with("from", format!("{from:?}"))
                .with("to", format!("{reach:?}"))
                .with("after_ms", now.since(since).as_millis());
            out.push(Action::Log(note));
            self.reach = (reach, now);
            self.urgent = true;
        }
    }

    // An outage of the store lets entries lapse that are still true.
    fn is_unsettled(&self, now: Time) -> bool {
        let disturbed = self.unsettled > Time::ZERO && now.since(self.unsettled) < UNSETTLED;
        self.reach.0 == Reach::Nothing || disturbed
    }

    pub(crate) fn share_quotas(&mut self, now: Time) {
        // Alone on the list, an instance would take whole rates.
        if self.unknown.contains(&Topic::Members) {
            return;
        }
        let lender = self.lender(now);
        let told = self.members.told(now);
        self.quotas.share(now, lender, &told);
    }

    fn direct(
        &mut self,
        now: Time,
        id: RequestId,
        region: Option<&Region>,
        domain: Option<&FailureDomain>,
        out: &mut Vec<Action>,
    ) {
        let me = self.is_ready().then(|| self.members.me());
        let serving = me.into_iter().chain(self.members.serving(now));
        let entries = advice::advise(serving, region, domain);
        let ttl = ADVICE.min(self.bounds.advice_most);
        out.push(Action::Direct { id, entries, ttl });
    }

    pub(crate) fn note_turns(&mut self, turns: Vec<Turn>, out: &mut Vec<Action>) {
        for turn in turns {
            self.urgent = true;
            let note = Note::new(Weight::Notable, "move")
                .with("service", &turn.service)
                .with("target", &turn.target)
                .with("from", turn.from.as_str())
                .with("to", turn.to.as_str())
                .with("evidence", turn.evidence);
            out.push(Action::Log(turn.standing.describe(note)));
        }
    }

    fn note_changes(&mut self, out: &mut Vec<Action>) {
        for change in self.fleet.take_changes() {
            if change.to == State::Leaving {
                self.verdicts.drop_dead(&change.server);
            }
            let note = Note::new(Weight::Notable, "server")
                .with("server", &change.server)
                .with("from", format!("{:?}", change.from))
                .with("to", format!("{:?}", change.to))
                .with("why", change.why);
            out.push(Action::Log(note));
        }
    }
}
