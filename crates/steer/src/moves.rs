//! Moves of services to other versions: what share a target gets, when it is
//! proven or found bad, and when the old version has nothing left to do.

use std::time::Duration;

use corianderway_model::FailureDomain;
use corianderway_model::RouteName;
use corianderway_model::Service;
use corianderway_model::Sorted;
use corianderway_model::Time;
use corianderway_model::Version;

use crate::digest::Sighting;
use crate::evidence::Answer;
use crate::evidence::Evidence;
use crate::evidence::Exposure;
use crate::hash;
use crate::lane::Lane;
use crate::listing::Order;
use crate::listing::Progress;
use crate::note::Note;
use crate::phase::Effect;
use crate::phase::Guard;
use crate::phase::MoveChart;
use crate::phase::Phase;
use crate::phase::Signal;

/// The part of the permitted share that a target gets at first; the rest of
/// it is left for the wider phases, should the fault show only there.
const CANARY_PART: f64 = 0.5;

/// The share that a target gets in the wider phase.
const WIDER_SHARE: f64 = 0.2;

/// The part of the time to the deadline after which a target may be proven.
const PROOF_PART: f64 = 0.35;

/// The part after which fewer answers are enough, so that the deadline is kept.
const HASTE_PART: f64 = 0.55;

/// Answers that prove a target.
const PROOF: u32 = 12;

/// Answers that prove a target when time runs out.
const PROOF_LEAST: u32 = 3;

/// How long the wider phase lasts: a few answers of every instance.
const WIDER_SPAN: Duration = Duration::from_millis(1_500);

/// How long a target takes everything before the old version may stop.
const FULL_SPAN: Duration = Duration::from_millis(1_500);

/// The longest wait for the last requests of the old version.
const DRAIN_MOST: Duration = Duration::from_secs(4);

/// A version that is listed beside others without an order gets nothing for
/// this long, since the order may be on its way.
const UNORDERED: Duration = Duration::from_secs(5);

/// The moves of all services.
#[derive(Debug)]
pub(crate) struct Moves {
    chart: MoveChart,
    canary: f64,
    domain: FailureDomain,
    rows: Sorted<Service, Move>,
    // When each version of a service was first listed.
    versions: Sorted<Service, Vec<(Version, Time)>>,
}

/// One move.
#[derive(Debug)]
pub(crate) struct Move {
    pub(crate) order: Order,
    pub(crate) phase: Phase,
    since: Time,
    phase_since: Time,
    evidence: Evidence,
    reported: Option<Time>,
}

/// A change of a move, for the log and the store.
#[derive(Debug)]
pub(crate) struct Turn {
    pub(crate) service: Service,
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

impl Moves {
    pub(crate) fn new(chart: MoveChart, canary: f64, domain: FailureDomain) -> Self {
        Self {
            chart,
            canary: canary * CANARY_PART,
            domain,
            rows: Sorted::default(),
            versions: Sorted::default(),
        }
    }

    /// Takes the orders that the store holds.
    pub(crate) fn order(&mut self, now: Time, orders: Vec<Order>) {
        let mut rows = Sorted::default();
        for order in orders {
            let service = order.service.clone();
            let old = self.rows.remove(&service);
            let same = old.filter(|m| m.order.created == order.created);
            let mut row =
                same.unwrap_or_else(|| Move::new(now, order.clone(), self.domain.clone()));
            row.order = order;
            rows.insert(service, row);
        }
        self.rows = rows;
    }

    /// Takes the versions of a service that are listed.
    pub(crate) fn see(&mut self, now: Time, service: &Service, listed: &[&Version]) {
        let known = self.versions.get_or(service.clone(), Vec::new);
        known.retain(|(version, _)| listed.contains(&version));
        let first = known.is_empty();
        for version in listed {
            if !known.iter().any(|(v, _)| v == *version) {
                // What is there from the beginning needs no order.
                let since = if first { Time::ZERO } else { now };
                known.push(((*version).clone(), since));
            }
        }
    }

    /// Which versions a request may go to; `draw` is a random number from 0 to 1.
    pub(crate) fn lane(&self, now: Time, service: &Service, draw: f64) -> Lane {
        let Some(row) = self.rows.get(service) else {
            return self.unordered(now, service);
        };
        let target = row.order.target.clone();
        let share = match row.phase {
            Phase::Canary => self.canary,
            Phase::Wider => WIDER_SHARE,
            Phase::Full | Phase::Completed => 1.0,
            Phase::RolledBack => 0.0,
        };
        if draw < share {
            Lane::Only(target)
        } else {
            Lane::Not(target)
        }
    }

    /// The lane for a request that found no room in its first one.
    pub(crate) fn fallback(&self, service: &Service, lane: &Lane) -> Option<Lane> {
        let phase = self.rows.get(service)?.phase;
        match (lane, phase) {
            (Lane::Only(target), Phase::Canary | Phase::Wider) => Some(Lane::Not(target.clone())),
            // The old servers stop when the move completes, and what is listed
            // of them may be gone.
            (Lane::Only(_) | Lane::Not(_) | Lane::Any, _) => None,
        }
    }

    /// Notes that a request was sent to a version.
    pub(crate) fn note_sent(&mut self, service: &Service, version: &Version) {
        if let Some(row) = self.rows.get_mut(service) {
            row.evidence.sent.all += 1;
            row.evidence.sent.target += u32::from(row.order.target == *version);
        }
    }

    /// Counts an answer or a failure of a version; true if the others should
    /// hear of it soon.
    pub(crate) fn count(
        &mut self,
        service: &Service,
        version: &Version,
        route: &RouteName,
        answer: Answer,
    ) -> bool {
        let Some(row) = self.rows.get_mut(service) else {
            return false;
        };
        let of_target = row.order.target == *version;
        let tallies = if of_target {
            &mut row.evidence.target
        } else {
            &mut row.evidence.base
        };
        answer.tally(hash::short(route.as_str())).add_to(tallies);
        answer.bad && of_target && row.phase < Phase::Completed
    }

    /// Services whose move runs, with their targets.
    pub(crate) fn running(&self) -> impl Iterator<Item = (&Service, &Version)> {
        let rows = self.rows.iter().filter(|(_, m)| m.phase < Phase::Completed);
        rows.map(|(service, m)| (service, &m.order.target))
    }

    /// Takes how many requests the old version of a service runs here.
    pub(crate) fn note_open(&mut self, service: &Service, open: u32) {
        if let Some(row) = self.rows.get_mut(service) {
            row.evidence.old_open = open;
        }
    }

    /// What to tell the other instances.
    pub(crate) fn tell(&self, now: Time) -> Vec<Sighting> {
        let rows = self.rows.iter();
        rows.map(|(service, row)| Sighting {
            service: service.clone(),
            order: row.order.created,
            age_ms: now.since(row.since).as_millis() as u64,
            phase: row.phase as u8,
            target: row.evidence.target.clone(),
            base: row.evidence.base.clone(),
            old_open: row.evidence.old_open,
            exposed: row.evidence.sent.target,
            sent: row.evidence.sent.all,
        })
        .collect()
    }

    /// Takes what the instances of a failure domain have seen together.
    pub(crate) fn hear(
        &mut self,
        now: Time,
        domain: &FailureDomain,
        told: &[Sighting],
    ) -> Vec<Turn> {
        for sighting in told {
            if let Some(row) = self.row_of(sighting) {
                row.evidence.hear(domain.clone(), sighting.clone());
            }
        }
        self.follow(now, domain.as_str(), told)
    }

    /// Follows another instance, or the relay of a domain, to the phase that
    /// it is in.
    pub(crate) fn follow(&mut self, now: Time, from: &str, told: &[Sighting]) -> Vec<Turn> {
        let mut turns = Vec::new();
        let chart = self.chart.clone();
        for sighting in told {
            let Some(row) = self.row_of(sighting) else {
                continue;
            };
            // An instance that started later takes over the age of the order.
            let age = Duration::from_millis(sighting.age_ms);
            if now.since(row.since) < age {
                row.since = Time::from_nanos(now.nanos().saturating_sub(age.as_nanos() as u64));
            }
            let phase = Phase::from_number(sighting.phase);
            if let Some(signal) = phase.and_then(Phase::signal) {
                let why = || format!("told-by:{from}");
                turns.extend(row.advance(&chart, now, signal, false, &why));
            }
        }
        turns
    }

    fn row_of(&mut self, sighting: &Sighting) -> Option<&mut Move> {
        let row = self.rows.get_mut(&sighting.service);
        row.filter(|row| row.order.created == sighting.order)
    }

    /// Lets time pass: judges, widens and ends moves.
    pub(crate) fn tick(&mut self, now: Time, leads: bool) -> Vec<Turn> {
        let mut turns = Vec::new();
        for (_, row) in self.rows.iter_mut() {
            let stored = match row.order.progress {
                Some(Progress::Completed) => Some(Signal::Completed),
                Some(Progress::RolledBack) => Some(Signal::Withdrawn),
                Some(Progress::Running) | None => None,
            };
            if let Some(signal) = stored {
                let why = || "stored".to_owned();
                turns.extend(row.advance(&self.chart, now, signal, leads, &why));
            }
            let evidence = row.evidence.text(row.phase);
            turns.extend(row.advance(&self.chart, now, Signal::Tick, leads, &|| evidence.clone()));
        }
        turns
    }

    /// How the moves stand whose deadlines have not passed by `after`, with
    /// the evidence of each as text.
    pub(crate) fn standings(
        &self,
        now: Time,
        after: Duration,
    ) -> impl Iterator<Item = (&Service, Standing, String)> {
        let rows = self
            .rows
            .iter()
            .filter(move |(_, row)| now.since(row.since) < row.order.span + after);
        rows.map(move |(service, row)| (service, row.standing(now), row.evidence.text(row.phase)))
    }

    /// The orders whose progress in the store is not what it should be, at
    /// most once in `pause` each.
    pub(crate) fn unreported(&mut self, now: Time, pause: Duration) -> Vec<(Order, Progress)> {
        let mut due = Vec::new();
        for (_, row) in self.rows.iter_mut() {
            let progress = row.phase.progress();
            let said = row.order.progress;
            let known = said == Some(progress) || said > Some(Progress::Running);
            let waits = row.reported.is_some_and(|at| now.since(at) < pause);
            if !known && !waits {
                row.reported = Some(now);
                due.push((row.order.clone(), progress));
            }
        }
        due
    }

    // A version that appeared beside others waits for its order.
    fn unordered(&self, now: Time, service: &Service) -> Lane {
        let known = self.versions.get(service);
        let young = known.and_then(|rows| {
            let young = |(_, at): &&(Version, Time)| *at > Time::ZERO && now.since(*at) < UNORDERED;
            rows.iter().find(young)
        });
        young.map_or(Lane::Any, |(version, _)| Lane::Not(version.clone()))
    }
}

impl Move {
    fn new(now: Time, order: Order, domain: FailureDomain) -> Self {
        Self {
            order,
            phase: Phase::Canary,
            since: now,
            phase_since: now,
            evidence: Evidence::new(domain),
            reported: None,
        }
    }

    fn advance(
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
                    self.evidence.clear();
                }
            }
        }
        (from != self.phase).then(|| Turn {
            service: self.order.service.clone(),
            from,
            to: self.phase,
            evidence: why(),
            standing: self.standing(now),
        })
    }

    fn standing(&self, now: Time) -> Standing {
        Standing {
            phase: self.phase,
            age: now.since(self.since),
            span: self.order.span,
            sent: self.evidence.exposure(),
        }
    }

    fn holds(&self, guard: Guard, now: Time, leads: bool) -> bool {
        let lasted = now.since(self.phase_since);
        match guard {
            Guard::Bad => self.evidence.is_bad(self.phase),
            Guard::Proven => {
                let age = now.since(self.since).as_secs_f64() / self.order.span.as_secs_f64();
                let answers = self.evidence.answers(self.phase);
                let enough = answers >= PROOF && age >= PROOF_PART;
                leads && (enough || (answers >= PROOF_LEAST && age >= HASTE_PART))
            }
            Guard::Settled => leads && lasted >= WIDER_SPAN,
            Guard::Drained => {
                let open = self.evidence.old_open(self.phase);
                leads && lasted >= FULL_SPAN && (open == 0 || lasted >= DRAIN_MOST)
            }
        }
    }
}
