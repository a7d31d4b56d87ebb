//! The version moves of all services: which version a request is routed to, and
//! what is reported on each move to other instances and to the store.

use std::collections::VecDeque;
use std::time::Duration;

use corianderway_model::Era;
use corianderway_model::FailureDomain;
use corianderway_model::Service;
use corianderway_model::SortedMap;
use corianderway_model::Time;
use corianderway_model::Version;

use crate::digest::MoveReport;
use crate::digest::ServerTimes;
use crate::exposure::Allowance;
use crate::listing::Order;
use crate::listing::Progress;
use crate::note::Note;
use crate::note::Severity;
use crate::pending_failures::Observation;
use crate::phase::MoveChart;
use crate::phase::Phase;
use crate::version_filter::VersionFilter;
use crate::version_move::Move;
use crate::version_move::MoveStatus;
use crate::version_move::Transition;
use crate::versions::Versions;

/// The maximum number of ended orders that are remembered.
const MAX_ENDED: usize = 64;

/// The version moves of all services, and the versions of each.
///
/// There is at most one move for a service, that of its current order.
#[derive(Debug)]
pub(crate) struct Moves {
    chart: MoveChart,
    allowance: Allowance,
    domain: FailureDomain,
    by_service: SortedMap<Service, Move>,
    // The identities of orders that were replaced or removed, oldest first.
    ended: VecDeque<u64>,
    versions: SortedMap<Service, Versions>,
}

impl Moves {
    pub(crate) fn new(chart: MoveChart, allowance: Allowance, domain: FailureDomain) -> Self {
        Self {
            chart,
            allowance,
            domain,
            by_service: SortedMap::default(),
            ended: VecDeque::new(),
            versions: SortedMap::default(),
        }
    }

    /// Replaces the orders with those in the store. A new order begins a move.
    /// Returns notes on the orders that are new, changed or removed.
    ///
    /// Unless the store has `settled` after it came back from an older copy, orders may be
    /// missing, and ended ones may be listed again; the moves that are known go on then.
    pub(crate) fn update_orders(
        &mut self,
        now: Time,
        orders: Vec<Order>,
        settled: bool,
    ) -> Vec<Note> {
        let mut moves = SortedMap::default();
        let mut notes = Vec::new();
        for order in orders {
            let service = order.service.clone();
            let row = match self.by_service.remove(&service) {
                Some(mut row) if is_same(&row.order, &order) => {
                    row.order = order;
                    row
                }
                Some(row) if !settled && self.ended.contains(&order.identity()) => row,
                None if !settled && self.ended.contains(&order.identity()) => continue,
                old => {
                    if let Some(old) = &old {
                        self.record_ended(&old.order);
                    }
                    notes.push(order_note(&order, old.as_ref()));
                    self.create_move(now, order, old.as_ref())
                }
            };
            moves.insert(service, row);
        }
        if !settled {
            // Only the moves whose orders aren't listed are left.
            let missing: Vec<Service> = self.by_service.iter().map(|row| row.0.clone()).collect();
            for service in missing {
                if let Some(row) = self.by_service.remove(&service) {
                    moves.insert(service, row);
                }
            }
        }
        let removed = std::mem::replace(&mut self.by_service, moves);
        for (service, row) in removed.iter() {
            self.record_ended(&row.order);
            let note = Note::new(Severity::Notable, "order-gone")
                .with("service", service)
                .with("target", &row.order.target)
                .with("phase", row.phase.as_str());
            notes.push(note);
            self.versions_of(service).record_end(row);
        }
        notes
    }

    fn record_ended(&mut self, order: &Order) {
        if self.ended.len() == MAX_ENDED {
            self.ended.pop_front();
        }
        self.ended.push_back(order.identity());
    }

    // Creates the move of a new order, which replaces the move `old`.
    fn create_move(&mut self, now: Time, order: Order, old: Option<&Move>) -> Move {
        let versions = self.versions_of(&order.service);
        if let Some(old) = old {
            versions.record_end(old);
        }
        versions.import_history(&order);
        // A version that has taken over has no old version left to move from.
        let has_taken_over = versions.is_current(&order.target);
        versions.clear_exclusion(&order.target);
        let mut row = Move::new(now, order, self.domain.clone(), self.allowance);
        if has_taken_over {
            row.phase = Phase::Completed;
        }
        row
    }

    fn versions_of(&mut self, service: &Service) -> &mut Versions {
        self.versions
            .get_or_insert_with(service.clone(), Versions::default)
    }

    /// Replaces the listed versions of a service.
    pub(crate) fn update_listed(&mut self, now: Time, service: &Service, listed: &[&Version]) {
        self.versions_of(service).update_listed(now, listed);
    }

    /// Returns the versions that a request may be routed to. `draw` is a random
    /// number. `comparable` returns whether the time of a version's answer could
    /// be compared with the usual one: whether that is known, and a server of the
    /// version has cached the request's object; or `None` if the request names no
    /// object.
    pub(crate) fn version_filter(
        &mut self,
        now: Time,
        service: &Service,
        draw: u64,
        comparable: impl FnOnce(&Version) -> Option<bool>,
    ) -> VersionFilter {
        let Some(row) = self.by_service.get_mut(service) else {
            return self.other_versions(now, service, None);
        };
        let target = row.order.target.clone();
        let comparable = (row.phase == Phase::Canary).then(|| comparable(&target));
        if row.routes_to_target(now, draw, comparable.flatten()) {
            VersionFilter::Only(target)
        } else {
            self.other_versions(now, service, Some(target))
        }
    }

    /// Returns the versions for a request that was drawn before and found no room: while the
    /// target is only sampled, the others.
    pub(crate) fn later_filter(
        &mut self,
        now: Time,
        service: &Service,
        draw: u64,
    ) -> VersionFilter {
        match self.by_service.get(service) {
            Some(row) if row.phase == Phase::Canary => {
                let target = row.order.target.clone();
                self.other_versions(now, service, Some(target))
            }
            Some(_) | None => self.version_filter(now, service, draw, |_| None),
        }
    }

    // All versions that are not excluded, without the target.
    fn other_versions(
        &self,
        now: Time,
        service: &Service,
        target: Option<Version>,
    ) -> VersionFilter {
        let versions = self.versions.get(service);
        let excluded = versions.map(|versions| versions.unroutable(now, target.as_ref()));
        let excluded: Vec<Version> = excluded.into_iter().flatten().chain(target).collect();
        if excluded.is_empty() {
            VersionFilter::Any
        } else {
            VersionFilter::AnyExcept(excluded)
        }
    }

    /// Returns the versions for a request that found no free server among those
    /// of `version_filter`, if it may use others.
    pub(crate) fn fallback(
        &self,
        now: Time,
        service: &Service,
        version_filter: &VersionFilter,
    ) -> Option<VersionFilter> {
        let phase = self.by_service.get(service)?.phase;
        match (version_filter, phase) {
            (VersionFilter::Only(target), Phase::Canary) => {
                Some(self.other_versions(now, service, Some(target.clone())))
            }
            // The old servers stop when the move completes, so those that are
            // still listed may be gone.
            (VersionFilter::Only(_) | VersionFilter::AnyExcept(_) | VersionFilter::Any, _) => None,
        }
    }

    /// Records that a request was sent to a version.
    pub(crate) fn record_sent(&mut self, service: &Service, version: &Version) {
        if let Some(row) = self.by_service.get_mut(service) {
            row.evidence.sent.all += 1;
            row.evidence.sent.target += u32::from(row.is_target(version));
        }
    }

    /// Reverts [`record_sent`](Self::record_sent) for a request that reached no
    /// server.
    pub(crate) fn record_unsent(&mut self, service: &Service, version: &Version) {
        if let Some(row) = self.by_service.get_mut(service) {
            let target = u32::from(row.is_target(version));
            let sent = &mut row.evidence.sent;
            sent.all = sent.all.saturating_sub(1);
            sent.target = sent.target.saturating_sub(target);
        }
    }

    /// Records the result of a request. Returns whether other instances should
    /// learn of it soon.
    pub(crate) fn record(&mut self, observation: &Observation) -> bool {
        let service = &observation.service;
        // Late answers of an earlier target say nothing about the current old
        // version.
        let versions = self.versions.get(service);
        if versions.is_some_and(|versions| versions.is_excluded(&observation.version)) {
            return false;
        }
        let row = self.by_service.get_mut(service);
        row.is_some_and(|row| row.record(observation))
    }

    /// Returns the services whose move has not ended, with their targets.
    pub(crate) fn running(&self) -> impl Iterator<Item = (&Service, &Version)> {
        let moves = self
            .by_service
            .iter()
            .filter(|(_, m)| m.phase < Phase::Completed);
        moves.map(|(service, m)| (service, &m.order.target))
    }

    /// Sets the number of requests of this instance that the old version of a
    /// service is running.
    pub(crate) fn set_old_inflight(&mut self, service: &Service, open: u32) {
        if let Some(row) = self.by_service.get_mut(service) {
            row.evidence.old_inflight = open;
        }
    }

    /// Replaces the open requests of a service that have taken longer than an
    /// answer on time.
    pub(crate) fn set_overdue(&mut self, service: &Service, requests: &[(Version, ServerTimes)]) {
        if let Some(row) = self.by_service.get_mut(service) {
            row.set_overdue(requests);
        }
    }

    /// Returns the reports of all moves for the other instances.
    pub(crate) fn reports(&self, now: Time) -> Vec<MoveReport> {
        self.by_service
            .iter()
            .map(|(_, row)| row.report(now))
            .collect()
    }

    /// Applies the merged reports of a failure domain: updates the evidence and
    /// follows the domain's phases.
    pub(crate) fn apply_summary(
        &mut self,
        now: Time,
        domain: &FailureDomain,
        move_reports: &[MoveReport],
    ) -> Vec<Transition> {
        for report in move_reports {
            if let Some(row) = self.move_of(report) {
                row.evidence.update_domain(domain.clone(), report.clone());
            }
        }
        self.follow_peers(now, domain.as_str(), move_reports)
    }

    /// Follows another instance, or the relay of a domain, to the phases that
    /// it reports.
    pub(crate) fn follow_peers(
        &mut self,
        now: Time,
        from: &str,
        move_reports: &[MoveReport],
    ) -> Vec<Transition> {
        let mut transitions = Vec::new();
        let chart = self.chart.clone();
        for report in move_reports {
            let Some(row) = self.move_of(report) else {
                continue;
            };
            row.raise_age(now, Duration::from_millis(report.age_ms));
            let phase = Phase::from_number(report.phase);
            if let Some(signal) = phase.and_then(Phase::peer_signal) {
                let reason = || format!("told-by:{from}");
                transitions.extend(row.advance(&chart, now, signal, false, &reason));
            }
        }
        transitions
    }

    fn move_of(&mut self, report: &MoveReport) -> Option<&mut Move> {
        let row = self.by_service.get_mut(&report.service);
        row.filter(|row| row.order.identity() == report.order)
    }

    /// Handles a tick of the periodic timer for all moves, and returns the
    /// resulting changes of phase.
    pub(crate) fn tick(&mut self, now: Time, is_leader: bool) -> Vec<Transition> {
        let chart = &self.chart;
        let moves = self.by_service.iter_mut();
        moves
            .flat_map(|(_, row)| row.tick(chart, now, is_leader))
            .collect()
    }

    /// Returns the status of each move whose deadline is at most `after` in the
    /// past, with its evidence as text.
    pub(crate) fn statuses(
        &self,
        now: Time,
        after: Duration,
    ) -> impl Iterator<Item = (&Order, MoveStatus, String)> {
        let moves = self.by_service.iter();
        moves
            .filter(move |(_, row)| row.is_recent(now, after))
            .map(move |(_, row)| (&row.order, row.status(now), row.evidence.text(row.phase)))
    }

    /// Returns the orders whose progress in the store is out of date, with the
    /// progress to record. An order whose move is running is returned at most
    /// once in `interval`, one whose move has ended more often. An order that was not read
    /// since the `era` of the store began can't be written to.
    pub(crate) fn unreported(
        &mut self,
        now: Time,
        interval: Duration,
        era: Era,
    ) -> Vec<(Order, Progress)> {
        let mut reports = Vec::new();
        let rows = self.by_service.iter_mut();
        for (service, row) in rows.filter(|row| row.1.order.revision.era == era) {
            if let Some(progress) = row.unreported(now, interval) {
                let versions = self.versions.get(service);
                let withdrawn = versions.map(Versions::withdrawn).unwrap_or_default();
                let order = row.order.clone();
                reports.push((Order { withdrawn, ..order }, progress));
            }
        }
        reports
    }
}

// Returns whether an order is the known one, perhaps written again by the operator after the
// store came back from a copy without it.
fn is_same(known: &Order, order: &Order) -> bool {
    let is_again = known.revision.era < order.revision.era
        && (&known.target, known.duration) == (&order.target, order.duration);
    is_again || known.identity() == order.identity()
}

// Describes a new order and the move that it replaces.
fn order_note(order: &Order, old: Option<&Move>) -> Note {
    let earlier = old.map_or("-", |old| old.order.target.as_str());
    let phase = old.map_or("-", |old| old.phase.as_str());
    let stored = order.progress.map_or("-", Progress::as_str);
    Note::new(Severity::Notable, "order")
        .with("service", &order.service)
        .with("target", &order.target)
        .with("span_ms", order.duration.as_millis())
        .with("revision", order.revision)
        .with("created", order.created_revision)
        .with("stored", stored)
        .with("earlier", earlier)
        .with("earlier-phase", phase)
}
