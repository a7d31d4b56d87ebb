//! All drains on one instance: the state machine behind the crate's API for drains.

use std::time::Duration;

use corianderway_model::InstanceId;
use corianderway_model::Time;
use snafu::ResultExt;

use crate::capacity;
use crate::capacity::ServerLoad;
use crate::drain::Drain;
use crate::drain::DrainConditions;
use crate::drain::DrainScope;
use crate::drain::ServerLocation;
use crate::drain_chart::DrainChart;
use crate::drain_chart::DrainState;
use crate::drain_chart::DrainTrigger;
use crate::drain_chart::DRAIN_CHART;
use crate::drain_event::DrainAction;
use crate::drain_event::DrainEvent;
use crate::drain_event::DrainReport;
use crate::error::ChartSnafu;
use crate::error::Error;
use crate::event::Moment;
use crate::event::Stored;
use crate::in_flight::InFlight;
use crate::record_writer::Call;
use crate::record_writer::Candidates;
use crate::record_writer::RecordWriter;

/// The delay between two successive ranks.
const STAGGER: Duration = Duration::from_secs(1);
/// How long the load must call for a change of state without a break. Measurements are
/// noisy, so a brief peak changes nothing.
const LOAD_HOLD_TIME: Duration = Duration::from_secs(2);
/// The time between two reports of an instance for one drain.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// The drains on one instance, one for each scope.
///
/// [`step`](Self::step) turns events into actions. A record replaces the one before
/// only if the platform's version of it is higher.
#[derive(Debug)]
pub struct Drains {
    own: InstanceId,
    chart: DrainChart,
    // Sorted.
    live: Vec<InstanceId>,
    loads: Vec<ServerLoad>,
    // Sorted by scope.
    entries: Vec<ManagedDrain>,
}

#[derive(Debug)]
struct ManagedDrain {
    record: Drain,
    version: u64,
    // This instance's requests in flight at the scope, once known for this revision.
    busy: Option<u64>,
    in_flight: InFlight,
    writer: RecordWriter<DrainTrigger, Drain>,
    last_report: Option<Time>,
    // Since when the load has called for a change of state without a break.
    change_since: Option<Time>,
}

impl Drains {
    /// Creates the state of an instance without drains.
    ///
    /// # Errors
    ///
    /// Returns an error if the drain chart can't be parsed.
    pub fn new(own: InstanceId) -> Result<Self, Error> {
        Ok(Self {
            live: vec![own.clone()],
            own,
            chart: DrainChart::parse(DRAIN_CHART).context(ChartSnafu)?,
            loads: Vec::new(),
            entries: Vec::new(),
        })
    }

    /// Returns whether a backend server gets no new work.
    pub fn is_withheld(&self, place: &ServerLocation) -> bool {
        let mut entries = self.entries.iter();
        entries.any(|e| e.record.withheld && e.record.scope.covers(place))
    }

    /// Returns the latest records, sorted by scope.
    pub fn records(&self) -> impl Iterator<Item = &Drain> {
        self.entries.iter().map(|e| &e.record)
    }

    /// Returns the requests in flight at a scope, at all live instances.
    pub fn busy(&self, scope: &DrainScope) -> u64 {
        let managed = self.index_of(scope).ok().map(|index| &self.entries[index]);
        managed.map_or(0, |e| e.in_flight.total(&self.live))
    }

    /// Applies one event and appends the actions that follow, in order.
    pub fn step(&mut self, at: Moment, event: DrainEvent, out: &mut Vec<DrainAction>) {
        match event {
            DrainEvent::Record(stored) => self.apply_record(stored),
            DrainEvent::Written(scope, version) => self.confirm_write(&scope, version),
            DrainEvent::Conflict(scope, current) | DrainEvent::ReadBack(scope, current) => {
                self.apply_current(at.time, &scope, current);
            }
            DrainEvent::Unknown(scope) => {
                if let Some(managed) = self.drain_mut(&scope) {
                    managed.writer.mark_unknown(at.time);
                }
            }
            DrainEvent::Live(live) => self.set_live(live),
            DrainEvent::Loads(loads) => self.loads = loads,
            DrainEvent::Busy(scope, busy) => {
                if let Some(managed) = self.drain_mut(&scope) {
                    managed.busy = Some(busy);
                }
            }
            DrainEvent::Report(report) => self.apply_report(&report),
            DrainEvent::Tick => self.tick(at, out),
        }
    }

    fn apply_record(&mut self, stored: Stored<Drain>) {
        match self.index_of(&stored.value.scope) {
            Ok(index) => {
                let managed = &mut self.entries[index];
                if stored.version > managed.version {
                    managed.record = stored.value;
                    managed.version = stored.version;
                    managed.last_report = None;
                    managed.change_since = None;
                    managed.busy = None;
                }
            }
            Err(index) => self.entries.insert(index, ManagedDrain::new(stored)),
        }
    }

    fn confirm_write(&mut self, scope: &DrainScope, version: u64) {
        let record = self.drain_mut(scope).and_then(|e| e.writer.complete());
        if let Some(value) = record {
            self.apply_record(Stored { value, version });
        }
    }

    fn apply_current(&mut self, now: Time, scope: &DrainScope, current: Option<Stored<Drain>>) {
        if let Some(managed) = self.drain_mut(scope) {
            managed.writer.back_off(now);
        }
        if let Some(stored) = current {
            self.apply_record(stored);
        }
    }

    fn set_live(&mut self, mut live: Vec<InstanceId>) {
        live.sort();
        live.dedup();
        self.live = live;
    }

    fn apply_report(&mut self, report: &DrainReport) {
        if let Some(managed) = self.drain_mut(&report.scope) {
            managed
                .in_flight
                .update(&report.instance, report.seen, report.busy);
        }
    }

    fn tick(&mut self, at: Moment, out: &mut Vec<DrainAction>) {
        for index in 0..self.entries.len() {
            self.update_change(index, at.time);
            self.entries[index].send_report(at.time, &self.own, out);
            let next = self.next_revision(index, at);
            let managed = &mut self.entries[index];
            let name = managed.record.scope.object_name();
            let candidates = Candidates {
                subject: &name,
                own: &self.own,
                live: &self.live,
            };
            let call = managed.writer.tick(at.time, candidates, next, |_| STAGGER);
            out.extend(call.map(|call| managed.action(call)));
        }
    }

    // Updates since when the load has called for a change of state.
    fn update_change(&mut self, index: usize, now: Time) {
        let record = &self.entries[index].record;
        let wanted = match record.state {
            DrainState::Planned => self.fits(index),
            DrainState::Draining => capacity::overloads(record, &self.others(index), &self.loads),
            DrainState::Drained | DrainState::Cancelled => false,
        };
        let managed = &mut self.entries[index];
        let since = managed.change_since.unwrap_or(now);
        managed.change_since = wanted.then_some(since);
    }

    // Returns the next revision that is due by this instance's state, if any.
    fn next_revision(&self, index: usize, at: Moment) -> Option<(DrainTrigger, Drain)> {
        let managed = &self.entries[index];
        let change = managed.is_change_due(at.time);
        let trigger = match managed.record.state {
            DrainState::Planned => DrainTrigger::Admit,
            DrainState::Draining if change => DrainTrigger::Overload,
            DrainState::Draining => DrainTrigger::Settle,
            DrainState::Drained | DrainState::Cancelled => return None,
        };
        let conditions = DrainConditions {
            fits: change,
            empty: managed.in_flight.is_idle(&self.live, managed.version),
        };
        let who = self.own.as_str();
        let record = managed
            .record
            .advance(&self.chart, trigger, conditions, at.wall, who)?;
        Some((trigger, record))
    }

    // Returns whether the drain may begin. Without measurements it may not.
    fn fits(&self, index: usize) -> bool {
        let record = &self.entries[index].record;
        !self.loads.is_empty() && capacity::fits(record, &self.others(index), &self.loads)
    }

    fn others(&self, index: usize) -> Vec<&Drain> {
        let others = self.entries.iter().enumerate().filter(|(i, _)| *i != index);
        others.map(|(_, e)| &e.record).collect()
    }

    fn index_of(&self, scope: &DrainScope) -> Result<usize, usize> {
        self.entries.binary_search_by(|e| e.record.scope.cmp(scope))
    }

    fn drain_mut(&mut self, scope: &DrainScope) -> Option<&mut ManagedDrain> {
        let index = self.index_of(scope).ok()?;
        self.entries.get_mut(index)
    }
}

impl ManagedDrain {
    fn new(stored: Stored<Drain>) -> Self {
        Self {
            record: stored.value,
            version: stored.version,
            busy: None,
            in_flight: InFlight::default(),
            writer: RecordWriter::default(),
            last_report: None,
            change_since: None,
        }
    }

    fn is_change_due(&self, now: Time) -> bool {
        let held = self.change_since.map(|since| now.since(since));
        held.is_some_and(|span| span >= LOAD_HOLD_TIME)
    }

    fn send_report(&mut self, now: Time, own: &InstanceId, out: &mut Vec<DrainAction>) {
        let recent = self
            .last_report
            .is_some_and(|at| now.since(at) < REPORT_INTERVAL);
        let Some(busy) = self.busy else { return };
        if self.record.state != DrainState::Draining || recent {
            return;
        }
        self.last_report = Some(now);
        self.in_flight.update(own, self.version, busy);
        out.push(DrainAction::Report(DrainReport {
            scope: self.record.scope.clone(),
            instance: own.clone(),
            seen: self.version,
            busy,
        }));
    }

    fn action(&self, call: Call<DrainTrigger, Drain>) -> DrainAction {
        match call {
            Call::Read => DrainAction::Read(self.record.scope.clone()),
            Call::Write(trigger, record) => DrainAction::Write {
                record,
                expect: self.version,
                trigger,
            },
        }
    }
}
