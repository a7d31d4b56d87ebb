//! Moves of services to other versions: which version a request goes to, and
//! what the instances tell each other and the store of each move.

use std::time::Duration;

use corianderway_model::FailureDomain;
use corianderway_model::Service;
use corianderway_model::Sorted;
use corianderway_model::Time;
use corianderway_model::Version;

use crate::digest::Sighting;
use crate::exposure::Allowance;
use crate::lane::Lane;
use crate::listing::Order;
use crate::listing::Progress;
use crate::note::Note;
use crate::note::Weight;
use crate::phase::MoveChart;
use crate::phase::Phase;
use crate::verdicts::Observation;
use crate::version_move::Move;
use crate::version_move::Standing;
use crate::version_move::Turn;
use crate::versions::Versions;

/// The moves of all services.
#[derive(Debug)]
pub(crate) struct Moves {
    chart: MoveChart,
    allowance: Allowance,
    domain: FailureDomain,
    rows: Sorted<Service, Move>,
    versions: Sorted<Service, Versions>,
}

impl Moves {
    pub(crate) fn new(chart: MoveChart, allowance: Allowance, domain: FailureDomain) -> Self {
        Self {
            chart,
            allowance,
            domain,
            rows: Sorted::default(),
            versions: Sorted::default(),
        }
    }

    /// Takes the orders that the store holds; gives back notes of those that
    /// are new, changed or gone.
    pub(crate) fn order(&mut self, now: Time, orders: Vec<Order>) -> Vec<Note> {
        let mut rows = Sorted::default();
        let mut notes = Vec::new();
        for order in orders {
            let service = order.service.clone();
            let row = match self.rows.remove(&service) {
                Some(mut row) if row.order.identity() == order.identity() => {
                    row.order = order;
                    row
                }
                old => {
                    notes.push(note_order(&order, old.as_ref()));
                    self.begin(now, order, old.as_ref())
                }
            };
            rows.insert(service, row);
        }
        let gone = std::mem::replace(&mut self.rows, rows);
        for (service, row) in gone.iter() {
            let note = Note::new(Weight::Notable, "order-gone")
                .with("service", service)
                .with("target", &row.order.target)
                .with("phase", row.phase.as_str());
            notes.push(note);
            self.versions_of(service).end(row);
        }
        notes
    }

    // The move of an order that is new here, in the place of an earlier one.
    fn begin(&mut self, now: Time, order: Order, old: Option<&Move>) -> Move {
        let versions = self.versions_of(&order.service);
        if let Some(old) = old {
            versions.end(old);
        }
        versions.learn(&order);
        // What has taken over has no old version left to move from.
        let taken = versions.is_current(&order.target);
        versions.order(&order.target);
        let mut row = Move::new(now, order, self.domain.clone(), self.allowance);
        if taken {
            row.phase = Phase::Completed;
        }
        row
    }

    fn versions_of(&mut self, service: &Service) -> &mut Versions {
        self.versions.get_or(service.clone(), Versions::default)
    }

    /// Takes the versions of a service that are listed.
    pub(crate) fn see(&mut self, now: Time, service: &Service, listed: &[&Version]) {
        self.versions_of(service).see(now, listed);
    }

    /// Which versions a request may go to; `draw` is a random number, `known`
    /// tells whether a server of a version knows the request's object, if it
    /// names one.
    pub(crate) fn lane(
        &mut self,
        now: Time,
        service: &Service,
        draw: u64,
        known: impl FnOnce(&Version) -> Option<bool>,
    ) -> Lane {
        let Some(row) = self.rows.get_mut(service) else {
            return self.others(now, service, None);
        };
        let target = row.order.target.clone();
        let known = (row.phase == Phase::Canary).then(|| known(&target));
        if row.takes(now, draw, known.flatten()) {
            Lane::Only(target)
        } else {
            self.others(now, service, Some(target))
        }
    }

    // All versions that an order allows beside a target.
    fn others(&self, now: Time, service: &Service, target: Option<Version>) -> Lane {
        let versions = self.versions.get(service);
        let excluded = versions.map(|versions| versions.excluded(now, target.as_ref()));
        let excluded: Vec<Version> = excluded.into_iter().flatten().chain(target).collect();
        if excluded.is_empty() {
            Lane::Any
        } else {
            Lane::Not(excluded)
        }
    }

    /// The lane for a request that found no room in its first one.
    pub(crate) fn fallback(&self, now: Time, service: &Service, lane: &Lane) -> Option<Lane> {
        let phase = self.rows.get(service)?.phase;
        match (lane, phase) {
            (Lane::Only(target), Phase::Canary) => {
                Some(self.others(now, service, Some(target.clone())))
            }
            // The old servers stop when the move completes, and what is listed
            // of them may be gone.
            (Lane::Only(_) | Lane::Not(_) | Lane::Any, _) => None,
        }
    }

    /// Notes that a request was sent to a version.
    pub(crate) fn note_sent(&mut self, service: &Service, version: &Version) {
        if let Some(row) = self.rows.get_mut(service) {
            row.evidence.sent.all += 1;
            row.evidence.sent.target += u32::from(row.is_target(version));
        }
    }

    /// Notes that a request that was sent reached no server.
    pub(crate) fn note_unsent(&mut self, service: &Service, version: &Version) {
        if let Some(row) = self.rows.get_mut(service) {
            let target = u32::from(row.is_target(version));
            let sent = &mut row.evidence.sent;
            sent.all = sent.all.saturating_sub(1);
            sent.target = sent.target.saturating_sub(target);
        }
    }

    /// Counts an answer or a failure of a version; true if the others should
    /// hear of it soon.
    pub(crate) fn count(&mut self, observation: &Observation) -> bool {
        let service = &observation.service;
        // Late answers of an earlier target are no measure for this one.
        let versions = self.versions.get(service);
        if versions.is_some_and(|versions| versions.is_barred(&observation.version)) {
            return false;
        }
        let row = self.rows.get_mut(service);
        row.is_some_and(|row| row.count(observation))
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
        self.rows.iter().map(|(_, row)| row.tell(now)).collect()
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
            row.take_age(now, Duration::from_millis(sighting.age_ms));
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
        row.filter(|row| row.order.identity() == sighting.order)
    }

    /// Lets time pass: judges moves, hands services over, and ends moves.
    pub(crate) fn tick(&mut self, now: Time, leads: bool) -> Vec<Turn> {
        let chart = &self.chart;
        let rows = self.rows.iter_mut();
        rows.flat_map(|(_, row)| row.tick(chart, now, leads))
            .collect()
    }

    /// How the moves stand whose deadlines have not passed by `after`, with
    /// the evidence of each as text.
    pub(crate) fn standings(
        &self,
        now: Time,
        after: Duration,
    ) -> impl Iterator<Item = (&Order, Standing, String)> {
        let rows = self.rows.iter();
        rows.filter(move |(_, row)| row.is_recent(now, after))
            .map(move |(_, row)| (&row.order, row.standing(now), row.evidence.text(row.phase)))
    }

    /// The orders whose progress in the store is not what it should be, at
    /// most once in `pause` each, and more often at the end.
    pub(crate) fn unreported(&mut self, now: Time, pause: Duration) -> Vec<(Order, Progress)> {
        let mut reports = Vec::new();
        for (service, row) in self.rows.iter_mut() {
            if let Some(progress) = row.unreported(now, pause) {
                let versions = self.versions.get(service);
                let withdrawn = versions.map(Versions::withdrawn).unwrap_or_default();
                let order = row.order.clone();
                reports.push((Order { withdrawn, ..order }, progress));
            }
        }
        reports
    }
}

// Says what an order asks, and what it finds.
fn note_order(order: &Order, old: Option<&Move>) -> Note {
    let earlier = old.map_or("-", |old| old.order.target.as_str());
    let phase = old.map_or("-", |old| old.phase.as_str());
    let stored = order.progress.map_or("-", Progress::as_str);
    Note::new(Weight::Notable, "order")
        .with("service", &order.service)
        .with("target", &order.target)
        .with("span_ms", order.span.as_millis())
        .with("revision", order.revision)
        .with("created", order.created)
        .with("stored", stored)
        .with("earlier", earlier)
        .with("earlier-phase", phase)
}
