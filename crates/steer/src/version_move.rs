//! One move of a service to another version.

use std::time::Duration;

use corianderway_model::FailureDomain;
use corianderway_model::Service;
use corianderway_model::Time;
use corianderway_model::Version;
use corianderway_rollout::Arm;
use corianderway_rollout::Share;
use corianderway_rollout::Splitter;

use crate::digest::Sighting;
use crate::evidence::Evidence;
use crate::exposure::Allowance;
use crate::exposure::Exposure;
use crate::exposure::Rate;
use crate::hash;
use crate::listing::Order;
use crate::listing::Progress;
use crate::note::Note;
use crate::pace::Quantile;
use crate::phase::Effect;
use crate::phase::Guard;
use crate::phase::MoveChart;
use crate::phase::Phase;
use crate::phase::Signal;
use crate::verdicts::Observation;

/// Answers without which a target does not take over.
const PROOF: u32 = 3;

/// The least time for which a target takes everything before the old version
/// may stop, where the deadline allows: a few answers of every instance.
const FULL_SPAN: Duration = Duration::from_millis(1_500);

/// The time before the deadline at which the store is told how the move ends;
/// covers the write, and operators that poll the status.
const FINISH: Duration = Duration::from_millis(700);

/// The least time for the old version's last requests, and for the first
/// answers of servers that meet new objects.
const DRAIN_LEAST: Duration = Duration::from_secs(1);

/// The longest wait for the old version's last requests.
const DRAIN_MOST: Duration = Duration::from_secs(2);

/// How long a fault that shows only in the takeover goes unnoticed: a request
/// or two, and the way of the news.
const DETECTION: Duration = Duration::from_millis(1_100);

/// The part of the usual rate of answers below which a service is interrupted,
/// and the answers a second from which on that is told from chance.
const INTERRUPTED: f64 = 0.25;
const RATED: f64 = 5.0;

/// How many times rarer a request for a new object goes to the target once
/// its servers know others.
const NEW_OBJECTS: u64 = 4;

/// The time between two tries to record that a move is over.
const REPORT_END: Duration = Duration::from_millis(300);

/// One move.
#[derive(Debug)]
pub(crate) struct Move {
    pub(crate) order: Order,
    pub(crate) phase: Phase,
    pub(crate) evidence: Evidence,
    allowance: Allowance,
    since: Time,
    // How old the order was then, which may be older than this process.
    older: Duration,
    phase_since: Time,
    rate: Rate,
    // Of answers before the takeover.
    answers: Rate,
    splitter: Splitter,
    // Whether a server of the target knows objects that callers ask for.
    knows: bool,
    // How long most requests of the old version take.
    held: Quantile,
    reported: Option<(Progress, Time)>,
}

/// A change of a move, for the log and the store.
#[derive(Debug)]
pub(crate) struct Turn {
    pub(crate) service: Service,
    pub(crate) target: Version,
    pub(crate) from: Phase,
    pub(crate) to: Phase,
    pub(crate) evidence: String,
    pub(crate) standing: Standing,
}

/// How far a move has come, for the log.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Standing {
    pub(crate) phase: Phase,
    /// The time since the order was first seen.
    pub(crate) age: Duration,
    /// The time from the order to its deadline.
    pub(crate) span: Duration,
    /// What all instances are known to have sent since the order.
    pub(crate) sent: Exposure,
}

impl Standing {
    /// Adds its values to a note.
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
            evidence: Evidence::new(domain, order.span, now),
            order,
            allowance,
            since: now,
            older: Duration::ZERO,
            phase_since: now,
            rate: Rate::default(),
            answers: Rate::default(),
            splitter: Splitter::default(),
            knows: false,
            held: Quantile::default(),
            reported: None,
        }
    }

    /// Whether a request goes to the target; `draw` is a random number, `known`
    /// tells whether a server of the target knows the request's object.
    pub(crate) fn takes(&mut self, now: Time, draw: u64, known: Option<bool>) -> bool {
        match self.phase {
            Phase::Canary => self.samples(now, draw, known),
            Phase::Full | Phase::Finished | Phase::Completed => true,
            Phase::RolledBack => false,
        }
    }

    // Whether a request goes to the target before it takes over. Mostly those
    // do whose objects its servers know, since their times can be compared; a
    // new object is taken now and then.
    fn samples(&mut self, now: Time, draw: u64, known: Option<bool>) -> bool {
        let share = Share::from_ratio(self.canary_share(now));
        let draw = match known {
            None | Some(true) => 0,
            Some(false) if self.knows => draw.saturating_mul(NEW_OBJECTS),
            Some(false) => draw,
        };
        self.knows |= known == Some(true);
        self.splitter.choose(share, draw) == Arm::New
    }

    // Requests a second since the order.
    fn mean_rate(&self, now: Time) -> f64 {
        let sent = f64::from(self.evidence.exposure().all);
        sent / self.age(now).as_secs_f64().max(1.0)
    }

    fn canary_share(&self, now: Time) -> f64 {
        let mean = self.mean_rate(now);
        let total = mean * self.order.span.as_secs_f64();
        let left = self
            .order
            .span
            .saturating_sub(self.age(now) + self.takeover());
        let next = mean * left.as_secs_f64();
        let reserve = mean * DETECTION.as_secs_f64();
        self.allowance
            .canary_share(self.evidence.exposure(), total, next, reserve)
    }

    // The time before the deadline that the old version's last requests and
    // the report to the store need.
    fn takeover(&self) -> Duration {
        let held = Duration::from_secs_f64(self.held.value() / 1_000.0);
        held.clamp(DRAIN_LEAST, DRAIN_MOST) + FINISH
    }

    /// Counts an answer or a failure of a version; true if the others should
    /// hear of it soon.
    pub(crate) fn count(&mut self, observation: &Observation) -> bool {
        let route = hash::short(observation.route.as_str());
        let tally = observation.answer.tally(route);
        let timed = observation.answer.timed(observation.server);
        if self.is_target(&observation.version) {
            tally.add_to(&mut self.evidence.target);
            if let Some(timed) = timed {
                timed.add_to(&mut self.evidence.target_times);
            }
            return tally.bad + tally.slow > 0 && self.phase < Phase::Completed;
        }
        tally.add_to(&mut self.evidence.base);
        if let Some(timed) = timed {
            timed.add_to(&mut self.evidence.base_times);
        }
        self.held.note(observation.took);
        false
    }

    /// Takes over the age that another instance knows of the order, if that
    /// saw it earlier.
    pub(crate) fn take_age(&mut self, now: Time, age: Duration) {
        self.older += age.saturating_sub(self.age(now));
    }

    // The time since the order was first seen by any instance.
    fn age(&self, now: Time) -> Duration {
        now.since(self.since) + self.older
    }

    /// What to tell the other instances.
    pub(crate) fn tell(&self, now: Time) -> Sighting {
        Sighting {
            service: self.order.service.clone(),
            order: self.order.identity(),
            age_ms: self.age(now).as_millis() as u64,
            phase: self.phase as u8,
            target: self.evidence.target.clone(),
            base: self.evidence.base.clone(),
            old_open: self.evidence.old_open,
            exposed: self.evidence.sent.target,
            sent: self.evidence.sent.all,
            target_times: self.evidence.target_times.clone(),
            base_times: self.evidence.base_times.clone(),
        }
    }

    /// Whether its deadline lies no longer than `after` in the past.
    pub(crate) fn is_recent(&self, now: Time, after: Duration) -> bool {
        self.age(now) < self.order.span + after
    }

    pub(crate) fn standing(&self, now: Time) -> Standing {
        Standing {
            phase: self.phase,
            age: self.age(now),
            span: self.order.span,
            sent: self.evidence.exposure(),
        }
    }

    /// Lets time pass; gives back what changed.
    pub(crate) fn tick(&mut self, chart: &MoveChart, now: Time, leads: bool) -> Vec<Turn> {
        let mut turns = Vec::new();
        self.rate.note(now, self.evidence.exposure().all);
        if self.phase == Phase::Canary {
            self.evidence.compare(now);
            let answers = self.evidence.all_answers(self.phase);
            self.answers.note(now, answers);
            if self.is_interrupted(now, answers) {
                self.evidence.void();
            }
        }
        let stored = match self.order.progress {
            Some(Progress::Completed) => Some(Signal::Completed),
            Some(Progress::RolledBack) => Some(Signal::Withdrawn),
            Some(Progress::Running) | None => None,
        };
        if let Some(signal) = stored {
            let why = || "stored".to_owned();
            turns.extend(self.advance(chart, now, signal, leads, &why));
        }
        let evidence = self.evidence.text(self.phase);
        turns.extend(self.advance(chart, now, Signal::Tick, leads, &|| evidence.clone()));
        turns
    }

    // Whether far fewer answers come than usual.
    fn is_interrupted(&self, now: Time, answers: u32) -> bool {
        let usual = f64::from(answers) / self.age(now).as_secs_f64().max(1.0);
        let recent = self.answers.per_second();
        usual >= RATED && recent.is_some_and(|recent| recent < usual * INTERRUPTED)
    }

    /// Moves it along its chart.
    pub(crate) fn advance(
        &mut self,
        chart: &MoveChart,
        now: Time,
        signal: Signal,
        leads: bool,
        why: &dyn Fn() -> String,
    ) -> Option<Turn> {
        if chart.is_final(self.phase) {
            return None;
        }
        let from = self.phase;
        let step = chart.step(from, signal, |guard| self.holds(guard, now, leads));
        self.phase = step.to;
        for effect in step.actions {
            match effect {
                Effect::Mark => {
                    self.phase_since = now;
                    self.evidence.begin_takeover();
                }
            }
        }
        (from != self.phase).then(|| Turn {
            service: self.order.service.clone(),
            target: self.order.target.clone(),
            from,
            to: self.phase,
            evidence: why(),
            standing: self.standing(now),
        })
    }

    fn holds(&self, guard: Guard, now: Time, leads: bool) -> bool {
        let left = self.order.span.saturating_sub(self.age(now));
        match guard {
            Guard::Bad => self.evidence.is_bad(self.phase),
            Guard::Due => leads && self.may_take_over(now, left),
            Guard::Overdue => left <= FINISH,
            Guard::Unsettled => left.is_zero() && !self.is_proven(),
            Guard::Drained => {
                let lasted = now.since(self.phase_since);
                let idle = lasted >= FULL_SPAN && self.evidence.old_open() == 0;
                leads && self.is_proven() && (idle || left <= FINISH)
            }
        }
    }

    // Whether the store may be told that the target took over.
    fn is_proven(&self) -> bool {
        !self.evidence.is_suspect(self.phase) && self.evidence.is_proven()
    }

    // Whether the target seems sound, and may get everything from now on, or has
    // to so that the old version's requests end by the deadline.
    fn may_take_over(&self, now: Time, left: Duration) -> bool {
        let answered = self.evidence.answers(self.phase) >= PROOF;
        let sound = !self.evidence.is_suspect(self.phase) && self.evidence.is_likely();
        let covered = self.rate.per_second().is_some_and(|recent| {
            let rest = recent.max(self.mean_rate(now)) * left.as_secs_f64();
            self.allowance.covers(self.evidence.exposure(), rest)
        });
        answered && sound && (covered || left <= self.takeover())
    }

    /// What the store is to say of it, if it does not say so and was not told
    /// within `pause`.
    pub(crate) fn unreported(&mut self, now: Time, pause: Duration) -> Option<Progress> {
        let progress = self.phase.progress();
        let said = self.order.progress;
        let known = said == Some(progress) || said > Some(Progress::Running);
        let pause = if progress == Progress::Running {
            pause
        } else {
            REPORT_END
        };
        let told = |(last, at): (Progress, Time)| last == progress && now.since(at) < pause;
        let due = !known && !self.reported.is_some_and(told);
        due.then(|| {
            self.reported = Some((progress, now));
            progress
        })
    }

    /// Whether a version is the one that takes over.
    pub(crate) fn is_target(&self, version: &Version) -> bool {
        self.order.target == *version
    }
}
