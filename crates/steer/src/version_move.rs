//! The move of one service from its old version to a target.

use std::time::Duration;

use corianderway_model::FailureDomain;
use corianderway_model::Service;
use corianderway_model::Time;
use corianderway_model::Version;
use corianderway_rollout::Arm;
use corianderway_rollout::Share;
use corianderway_rollout::Splitter;

use crate::digest::MoveReport;
use crate::digest::ServerTimes;
use crate::evidence::Evidence;
use crate::exposure::Allowance;
use crate::exposure::CountRate;
use crate::exposure::Exposure;
use crate::hash;
use crate::listing::Order;
use crate::listing::Progress;
use crate::note::Note;
use crate::pending_failures::Observation;
use crate::phase::Effect;
use crate::phase::Guard;
use crate::phase::MoveChart;
use crate::phase::Phase;
use crate::phase::Signal;
use crate::service_time::Quantile;

/// The minimum number of answers of the target before it may take over.
const MIN_TARGET_ANSWERS: u32 = 3;

/// The minimum time for which the target receives all requests before the old
/// version may stop, where the deadline allows. It covers a few answers of
/// every instance.
const MIN_TAKEOVER: Duration = Duration::from_millis(1_500);

/// The time before the deadline at which the end of the move is reported to the
/// store. It covers the write and the delay of operators that poll the status.
const REPORT_LEAD_TIME: Duration = Duration::from_millis(700);

/// The minimum time allowed for the old version's last requests, and for the
/// first answers of servers that handle new objects.
const MIN_DRAIN: Duration = Duration::from_secs(1);

/// The maximum time allowed for the old version's last requests.
const MAX_DRAIN: Duration = Duration::from_secs(2);

/// The time until a fault that appears only during the takeover is detected:
/// one or two requests, and the delay of the messages between instances.
const DETECTION_DELAY: Duration = Duration::from_millis(1_100);

/// The fraction of the usual rate of answers below which the service counts as
/// interrupted.
const INTERRUPTED_FRACTION: f64 = 0.25;

/// The minimum usual rate, in answers per second, at which a drop is
/// distinguishable from chance.
const MIN_ANSWERS_PER_S: f64 = 5.0;

/// The factor by which fewer requests whose times are hard to compare go to the
/// target once its servers have cached the objects of others.
const INCOMPARABLE_FACTOR: u64 = 4;

/// The minimum interval between two reports to the store that a move has ended.
const END_REPORT_INTERVAL: Duration = Duration::from_millis(300);

/// A version move, as this instance carries it out.
///
/// It routes requests to the target or the old version, collects evidence from
/// their results and from the reports of other instances, and steps through the
/// chart `edge-move`. A completed move never changes again, and one that was
/// rolled back changes only if its completion has been reported.
#[derive(Debug)]
pub(crate) struct Move {
    pub(crate) order: Order,
    pub(crate) phase: Phase,
    pub(crate) evidence: Evidence,
    allowance: Allowance,
    started: Time,
    // The age of the order at `started`, which may exceed the age of this
    // process.
    prior_age: Duration,
    phase_started: Time,
    request_rate: CountRate,
    // The rate of answers before the takeover.
    answer_rate: CountRate,
    splitter: Splitter,
    // Whether a server of the target has cached an object that was requested
    // again.
    has_cached: bool,
    // A high quantile of the old version's latency, in milliseconds.
    old_latency: Quantile,
    last_report: Option<(Progress, Time)>,
}

/// A change of phase, for the log and the store.
#[derive(Debug)]
pub(crate) struct Transition {
    pub(crate) service: Service,
    pub(crate) target: Version,
    pub(crate) from: Phase,
    pub(crate) to: Phase,
    pub(crate) evidence: String,
    pub(crate) status: MoveStatus,
}

/// The state of a move, for the log.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MoveStatus {
    pub(crate) phase: Phase,
    /// The time since any instance first saw the order.
    pub(crate) age: Duration,
    /// The time from the order to its deadline.
    pub(crate) span: Duration,
    /// The requests that all instances are known to have sent since the order.
    pub(crate) sent: Exposure,
}

impl MoveStatus {
    /// Adds the values of the status to a note.
    pub(crate) fn describe(&self, note: Note) -> Note {
        note.with("age_ms", self.age.as_millis())
            .with("span_ms", self.span.as_millis())
            .with("exposed", self.sent.target)
            .with("sent", self.sent.all)
    }
}

impl Move {
    pub(crate) fn new(
        now: Time,
        order: Order,
        domain: FailureDomain,
        allowance: Allowance,
    ) -> Self {
        Self {
            phase: Phase::Canary,
            evidence: Evidence::new(domain, order.duration, now),
            order,
            allowance,
            started: now,
            prior_age: Duration::ZERO,
            phase_started: now,
            request_rate: CountRate::default(),
            answer_rate: CountRate::default(),
            splitter: Splitter::default(),
            has_cached: false,
            old_latency: Quantile::default(),
            last_report: None,
        }
    }

    /// Returns whether a request is routed to the target. `draw` is a random
    /// number, and `comparable` says whether the time of the answer could be
    /// compared.
    pub(crate) fn routes_to_target(
        &mut self,
        now: Time,
        draw: u64,
        comparable: Option<bool>,
    ) -> bool {
        match self.phase {
            Phase::Canary => self.samples_target(now, draw, comparable),
            Phase::Full | Phase::Finished | Phase::Completed => true,
            Phase::RolledBack => false,
        }
    }

    // Returns whether a request is routed to the target before the takeover.
    // Requests for objects that the target's servers have cached are preferred,
    // since their times are comparable. Requests for new objects, and on routes
    // whose usual time is unknown, are sampled more rarely.
    fn samples_target(&mut self, now: Time, draw: u64, comparable: Option<bool>) -> bool {
        let share = Share::from_ratio(self.canary_share(now));
        let draw = match comparable {
            None | Some(true) => 0,
            Some(false) if self.has_cached => draw.saturating_mul(INCOMPARABLE_FACTOR),
            Some(false) => draw,
        };
        self.has_cached |= comparable == Some(true);
        self.splitter.choose(share, draw) == Arm::New
    }

    // The mean rate of requests since the order, in requests per second.
    fn mean_rate(&self, now: Time) -> f64 {
        let sent = f64::from(self.evidence.exposure().all);
        sent / self.age(now).as_secs_f64().max(1.0)
    }

    fn canary_share(&self, now: Time) -> f64 {
        let mean = self.mean_rate(now);
        let total = mean * self.order.duration.as_secs_f64();
        let remaining = self
            .order
            .duration
            .saturating_sub(self.age(now) + self.takeover_lead());
        let next = mean * remaining.as_secs_f64();
        let reserve = mean * DETECTION_DELAY.as_secs_f64();
        self.allowance
            .canary_share(self.evidence.exposure(), total, next, reserve)
    }

    // The time before the deadline by which the takeover has to begin, for the
    // old version's last requests and the report to the store.
    fn takeover_lead(&self) -> Duration {
        let drain = Duration::from_secs_f64(self.old_latency.value() / 1_000.0);
        drain.clamp(MIN_DRAIN, MAX_DRAIN) + REPORT_LEAD_TIME
    }

    /// Records the result of a request. Returns whether other instances should
    /// learn of it soon, which holds for a bad result of the target.
    pub(crate) fn record(&mut self, observation: &Observation) -> bool {
        let route = hash::short(observation.route.as_str());
        let tally = observation.result.tally(route);
        let timed = observation.result.timed(observation.server_hash);
        if self.is_target(&observation.version) {
            tally.add_to(&mut self.evidence.target);
            if let Some(timed) = timed {
                timed.add_to(&mut self.evidence.target_times);
            }
            return tally.failed + tally.slow > 0 && self.phase < Phase::Completed;
        }
        tally.add_to(&mut self.evidence.base);
        if let Some(timed) = timed {
            timed.add_to(&mut self.evidence.base_times);
        }
        self.old_latency.record(observation.elapsed_ms);
        false
    }

    /// Replaces the open requests that have taken longer than an answer on time.
    pub(crate) fn set_overdue(&mut self, requests: &[(Version, ServerTimes)]) {
        let (mut target, mut base) = (Vec::new(), Vec::new());
        for (version, timed) in requests {
            let rows = if self.is_target(version) {
                &mut target
            } else {
                &mut base
            };
            timed.add_to(rows);
        }
        (self.evidence.target_overdue, self.evidence.base_overdue) = (target, base);
    }

    /// Raises the age of the order to `age` if another instance saw the order
    /// earlier.
    pub(crate) fn raise_age(&mut self, now: Time, age: Duration) {
        self.prior_age += age.saturating_sub(self.age(now));
    }

    // The time since any instance first saw the order.
    fn age(&self, now: Time) -> Duration {
        now.since(self.started) + self.prior_age
    }

    /// Returns the report of this move for the other instances.
    pub(crate) fn report(&self, now: Time) -> MoveReport {
        MoveReport {
            service: self.order.service.clone(),
            order: self.order.identity(),
            age_ms: self.age(now).as_millis() as u64,
            phase: self.phase as u8,
            target: self.evidence.target.clone(),
            base: self.evidence.base.clone(),
            old_inflight: self.evidence.old_inflight,
            exposed: self.evidence.sent.target,
            sent: self.evidence.sent.all,
            target_times: self.evidence.target_times(),
            base_times: self.evidence.base_times(),
        }
    }

    /// Returns whether the deadline is at most `after` in the past.
    pub(crate) fn is_recent(&self, now: Time, after: Duration) -> bool {
        self.age(now) < self.order.duration + after
    }

    pub(crate) fn status(&self, now: Time) -> MoveStatus {
        MoveStatus {
            phase: self.phase,
            age: self.age(now),
            span: self.order.duration,
            sent: self.evidence.exposure(),
        }
    }

    /// Handles a tick of the periodic timer, and returns the resulting changes
    /// of phase.
    pub(crate) fn tick(
        &mut self,
        chart: &MoveChart,
        now: Time,
        is_leader: bool,
    ) -> Vec<Transition> {
        let mut transitions = Vec::new();
        self.request_rate.record(now, self.evidence.exposure().all);
        if self.phase == Phase::Canary {
            self.evidence.compare(now);
            let answers = self.evidence.total_answers(self.phase);
            self.answer_rate.record(now, answers);
            if self.is_interrupted(now, answers) {
                self.evidence.discard_support();
            }
        }
        let stored = match self.order.progress {
            Some(Progress::Completed) => Some(Signal::Completed),
            Some(Progress::RolledBack) => Some(Signal::Withdrawn),
            Some(Progress::Running) | None => None,
        };
        if let Some(signal) = stored {
            let reason = || "stored".to_owned();
            transitions.extend(self.advance(chart, now, signal, is_leader, &reason));
        }
        let evidence = self.evidence.text(self.phase);
        transitions.extend(self.advance(chart, now, Signal::Tick, is_leader, &|| evidence.clone()));
        transitions
    }

    // Returns whether far fewer answers arrive than usual.
    fn is_interrupted(&self, now: Time, answers: u32) -> bool {
        let usual = f64::from(answers) / self.age(now).as_secs_f64().max(1.0);
        let recent = self.answer_rate.per_second();
        usual >= MIN_ANSWERS_PER_S
            && recent.is_some_and(|recent| recent < usual * INTERRUPTED_FRACTION)
    }

    /// Steps through the chart on a signal, and returns the change of phase, if
    /// any.
    pub(crate) fn advance(
        &mut self,
        chart: &MoveChart,
        now: Time,
        signal: Signal,
        is_leader: bool,
        reason: &dyn Fn() -> String,
    ) -> Option<Transition> {
        if chart.is_final(self.phase) {
            return None;
        }
        let from = self.phase;
        let step = chart.step(from, signal, |guard| self.holds(guard, now, is_leader));
        self.phase = step.to;
        for effect in step.actions {
            match effect {
                Effect::StartTakeover => {
                    self.phase_started = now;
                    self.evidence.begin_takeover();
                }
            }
        }
        (from != self.phase).then(|| Transition {
            service: self.order.service.clone(),
            target: self.order.target.clone(),
            from,
            to: self.phase,
            evidence: reason(),
            status: self.status(now),
        })
    }

    fn holds(&self, guard: Guard, now: Time, is_leader: bool) -> bool {
        let remaining = self.order.duration.saturating_sub(self.age(now));
        match guard {
            Guard::FaultFound => self.evidence.shows_fault(self.phase),
            Guard::MayTakeOver => is_leader && self.may_take_over(now, remaining),
            Guard::TooLate => remaining <= REPORT_LEAD_TIME,
            Guard::Unproven => remaining.is_zero() && !self.is_proven(),
            Guard::MayFinish => {
                let elapsed = now.since(self.phase_started);
                let drained = elapsed >= MIN_TAKEOVER && self.evidence.old_inflight() == 0;
                is_leader && self.is_proven() && (drained || remaining <= REPORT_LEAD_TIME)
            }
        }
    }

    // Returns whether the store may record that the target took over.
    fn is_proven(&self) -> bool {
        !self.evidence.is_suspect(self.phase) && self.evidence.is_proven()
    }

    // Returns whether the takeover of a target that seems sound may begin: either
    // the allowance covers all requests until the deadline, or the old version's
    // last requests need the time that is left. In the second case a bad target
    // would exceed the allowance, so its answers must have been enough to find it.
    fn may_take_over(&self, now: Time, remaining: Duration) -> bool {
        let has_answers = self.evidence.target_answers(self.phase) >= MIN_TARGET_ANSWERS;
        let sound = !self.evidence.is_suspect(self.phase) && self.evidence.favors_target();
        let covered = self.request_rate.per_second().is_some_and(|recent| {
            let rest = recent.max(self.mean_rate(now)) * remaining.as_secs_f64();
            self.allowance.covers(self.evidence.exposure(), rest)
        });
        let in_time = remaining > MIN_DRAIN + REPORT_LEAD_TIME;
        let due = || remaining <= self.takeover_lead() && self.evidence.has_power();
        has_answers && sound && ((covered && in_time) || due())
    }

    /// Returns the progress to report to the store, unless the store has it
    /// already or it was reported within `interval`.
    pub(crate) fn unreported(&mut self, now: Time, interval: Duration) -> Option<Progress> {
        let progress = self.phase.progress();
        let recorded = self.order.progress;
        let known = recorded == Some(progress) || recorded > Some(Progress::Running);
        let interval = if progress == Progress::Running {
            interval
        } else {
            END_REPORT_INTERVAL
        };
        let is_repeat = |(last, at): (Progress, Time)| last == progress && now.since(at) < interval;
        let due = !known && !self.last_report.is_some_and(is_repeat);
        due.then(|| {
            self.last_report = Some((progress, now));
            progress
        })
    }

    /// Returns whether a version is the target.
    pub(crate) fn is_target(&self, version: &Version) -> bool {
        self.order.target == *version
    }
}
