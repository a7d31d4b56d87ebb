//! All version moves on one instance: the state machine behind the crate's API.

use corianderway_model::InstanceId;
use corianderway_model::RouteName;
use corianderway_model::Service;
use corianderway_model::Time;
use corianderway_model::Version;
use snafu::ResultExt;

use crate::advance;
use crate::error::ChartSnafu;
use crate::error::Error;
use crate::event::Action;
use crate::event::Event;
use crate::event::Moment;
use crate::event::Stop;
use crate::event::Stored;
use crate::evidence::Evidence;
use crate::managed_move::ManagedMove;
use crate::move_chart::MoveChart;
use crate::move_chart::MOVE_CHART;
use crate::record::Move;
use crate::record::MoveKey;
use crate::record_writer::Candidates;
use crate::share::Share;
use crate::tally::Outcome;
use crate::tally::Report;

/// The version moves on one instance, one for each service.
///
/// [`step`](Self::step) turns events into actions, [`choose`](Self::choose) picks the
/// version of each request. A record replaces the one before only if the platform's
/// version of it is higher.
#[derive(Debug)]
pub struct Rollout {
    own: InstanceId,
    chart: MoveChart,
    // Sorted.
    live: Vec<InstanceId>,
    // Sorted by service.
    moves: Vec<ManagedMove>,
    // Stops that were received before the record of their move, oldest first.
    early_stops: Vec<Stop>,
}

/// The state of one move on one instance, for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct MoveSnapshot {
    /// The latest record.
    pub record: Stored<Move>,
    /// The share that this instance sends to the new version now.
    pub share: Share,
    /// Why this instance sends no request to the new version, if it has stopped it.
    pub stop: Option<Stop>,
    /// The evidence from all instances, as received by this one.
    pub evidence: Evidence,
    /// Requests in flight at the new version, at all live instances.
    pub busy: u64,
}

/// The maximum of stops that are kept for records not received yet.
const MAX_EARLY_STOPS: usize = 64;

impl Rollout {
    /// Creates the state of an instance without moves.
    ///
    /// # Errors
    ///
    /// Returns an error if the move chart can't be parsed.
    pub fn new(own: InstanceId) -> Result<Self, Error> {
        Ok(Self {
            live: vec![own.clone()],
            own,
            chart: MoveChart::parse(MOVE_CHART).context(ChartSnafu)?,
            moves: Vec::new(),
            early_stops: Vec::new(),
        })
    }

    /// Picks the version of a request; `draw` is uniform over all of `u64`.
    ///
    /// Returns `None` if the service has never had a move. Each picked request must be
    /// passed to [`record_outcome`](Self::record_outcome) once, when it has ended.
    pub fn choose(&mut self, service: &Service, draw: u64) -> Option<Version> {
        let found = self.move_mut(service)?;
        Some(found.tracker.choose(draw))
    }

    /// Records the outcome of a request at the version that was picked for it.
    pub fn record_outcome(
        &mut self,
        at: Moment,
        service: &Service,
        route: &RouteName,
        ran: &Version,
        outcome: Outcome,
    ) {
        if let Some(found) = self.move_mut(service) {
            found.tracker.record_outcome(at, route, ran, outcome);
        }
    }

    /// Applies one event and appends the actions that follow, in order.
    pub fn step(&mut self, at: Moment, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Record(stored) => self.apply_record(at, stored),
            Event::Written { service, version } => self.confirm_write(at, &service, version),
            Event::Conflict { service, current } | Event::ReadBack { service, current } => {
                self.apply_current(at, &service, current);
            }
            Event::Unknown { service } => self.mark_unknown(at.time, &service),
            Event::Live(live) => self.set_live(live),
            Event::Capacity {
                service,
                version,
                share,
            } => self.set_capacity(&service, &version, share),
            Event::Report(report) => self.apply_report(at, &report),
            Event::Stop(stop) => self.apply_stop(stop),
            Event::Tick => self.tick(at, out),
        }
    }

    /// Returns the state of a service's latest move on this instance.
    pub fn snapshot(&self, service: &Service) -> Option<MoveSnapshot> {
        let tracker = &self.moves[self.index_of(service).ok()?].tracker;
        Some(MoveSnapshot {
            record: Stored {
                value: tracker.record.clone(),
                version: tracker.version,
            },
            share: tracker.share(),
            stop: tracker.stop.clone(),
            evidence: tracker.analysis.evidence(),
            busy: tracker.in_flight.total(&self.live),
        })
    }

    /// Returns the services that have or had a move, in order.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.moves.iter().map(|m| &m.tracker.record.service)
    }

    fn apply_record(&mut self, at: Moment, stored: Stored<Move>) {
        match self.index_of(&stored.value.service) {
            Ok(index) => {
                let tracker = &mut self.moves[index].tracker;
                if stored.version <= tracker.version {
                    return;
                }
                if stored.value.key() == tracker.record.key() {
                    tracker.apply_revision(stored, at);
                } else {
                    self.moves[index] = self.new_move(at, stored);
                }
            }
            Err(index) => {
                let added = self.new_move(at, stored);
                self.moves.insert(index, added);
            }
        }
    }

    fn new_move(&self, at: Moment, stored: Stored<Move>) -> ManagedMove {
        let key = stored.value.key();
        let mut added = ManagedMove::new(&self.own, stored, at);
        added.tracker.stop = self.early_stops.iter().find(|s| s.key == key).cloned();
        added
    }

    fn confirm_write(&mut self, at: Moment, service: &Service, version: u64) {
        let record = self.move_mut(service).and_then(|m| m.writer.complete());
        if let Some(value) = record {
            self.apply_record(at, Stored { value, version });
        }
    }

    fn apply_current(&mut self, at: Moment, service: &Service, current: Option<Stored<Move>>) {
        if let Some(found) = self.move_mut(service) {
            found.writer.back_off(at.time);
        }
        // Records are never removed. If one is absent, the store has lost its recent
        // writes, and the local record stays.
        if let Some(stored) = current {
            self.apply_record(at, stored);
        }
    }

    fn mark_unknown(&mut self, now: Time, service: &Service) {
        if let Some(found) = self.move_mut(service) {
            found.writer.mark_unknown(now);
        }
    }

    fn set_live(&mut self, mut live: Vec<InstanceId>) {
        live.sort();
        live.dedup();
        self.live = live;
    }

    fn set_capacity(&mut self, service: &Service, version: &Version, share: Share) {
        if let Some(found) = self.move_mut(service) {
            if found.tracker.record.to == *version {
                found.tracker.capacity = share;
            }
        }
    }

    fn apply_report(&mut self, at: Moment, report: &Report) {
        if let Some(found) = self.move_with_key(&report.key) {
            found.tracker.add_report(at, report);
        }
    }

    fn apply_stop(&mut self, stop: Stop) {
        if let Some(found) = self.move_with_key(&stop.key) {
            found.tracker.stop.get_or_insert(stop);
            return;
        }
        if self.early_stops.len() == MAX_EARLY_STOPS {
            self.early_stops.remove(0);
        }
        self.early_stops.push(stop);
    }

    fn tick(&mut self, at: Moment, out: &mut Vec<Action>) {
        for managed in &mut self.moves {
            managed.tracker.tick(at, out);
            managed.announce_stop(out);
            let tracker = &managed.tracker;
            let candidates = Candidates {
                subject: tracker.record.service.as_str(),
                own: &self.own,
                live: &self.live,
            };
            let next = advance::next_revision(&self.chart, tracker, candidates, at);
            let call = managed
                .writer
                .tick(at.time, candidates, next, advance::stagger);
            if let Some(call) = call {
                managed.push_call(call, out);
            }
        }
    }

    fn index_of(&self, service: &Service) -> Result<usize, usize> {
        self.moves
            .binary_search_by(|m| m.tracker.record.service.cmp(service))
    }

    fn move_mut(&mut self, service: &Service) -> Option<&mut ManagedMove> {
        let index = self.index_of(service).ok()?;
        self.moves.get_mut(index)
    }

    fn move_with_key(&mut self, key: &MoveKey) -> Option<&mut ManagedMove> {
        let found = self.move_mut(&key.service)?;
        (found.tracker.record.key() == *key).then_some(found)
    }
}
