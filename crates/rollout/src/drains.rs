//! All drains on one instance.

use std::time::Duration;

use corianderway_model::InstanceId;
use corianderway_model::Time;
use snafu::ResultExt;

use crate::capacity;
use crate::capacity::ServerLoad;
use crate::drain::Drain;
use crate::drain::DrainScope;
use crate::drain::DrainStanding;
use crate::drain::Place;
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
use crate::in_flight::Quiet;
use crate::record_writer::Ask;
use crate::record_writer::Party;
use crate::record_writer::Turns;

/// How long each instance lets the one before it advance a drain.
const STAGGER: Duration = Duration::from_secs(1);
/// How long the load has to speak for a change of state.
const PATIENCE: Duration = Duration::from_secs(2);
/// The time between two reports of an instance on one drain.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// The drains as one instance sees and advances them.
#[derive(Debug)]
pub struct Drains {
    own: InstanceId,
    chart: DrainChart,
    // Sorted.
    live: Vec<InstanceId>,
    loads: Vec<ServerLoad>,
    // Sorted by scope.
    entries: Vec<Entry>,
}

#[derive(Debug)]
struct Entry {
    record: Drain,
    version: u64,
    // Requests in flight there, once known for this revision.
    busy: Option<u64>,
    quiet: Quiet,
    turns: Turns<DrainTrigger, Drain>,
    reported: Option<Time>,
    // Since when the load has spoken for a change of state.
    pressed: Option<Time>,
}

impl Drains {
    /// Makes the state of an instance that knows of no drain.
    ///
    /// # Errors
    ///
    /// Fails when the chart of a drain can't be loaded.
    pub fn new(own: InstanceId) -> Result<Self, Error> {
        Ok(Self {
            live: vec![own.clone()],
            own,
            chart: DrainChart::parse(DRAIN_CHART).context(ChartSnafu)?,
            loads: Vec::new(),
            entries: Vec::new(),
        })
    }

    /// Whether a backend server gets no new work.
    pub fn is_withheld(&self, place: &Place) -> bool {
        let mut entries = self.entries.iter();
        entries.any(|e| e.record.withheld && e.record.scope.covers(place))
    }

    /// The records in force, sorted by scope.
    pub fn records(&self) -> impl Iterator<Item = &Drain> {
        self.entries.iter().map(|e| &e.record)
    }

    /// Requests in flight at a scope on all instances, by their last reports.
    pub fn busy(&self, scope: &DrainScope) -> u64 {
        let entry = self.at(scope).ok().map(|at| &self.entries[at]);
        entry.map_or(0, |e| e.quiet.busy(&self.live))
    }

    /// Answers one event with what is to be done, in order.
    pub fn step(&mut self, at: Moment, event: DrainEvent, out: &mut Vec<DrainAction>) {
        match event {
            DrainEvent::Record(stored) => self.adopt(stored),
            DrainEvent::Written(scope, version) => self.written(&scope, version),
            DrainEvent::Conflict(scope, current) | DrainEvent::ReadBack(scope, current) => {
                self.settled(at.time, &scope, current);
            }
            DrainEvent::Unknown(scope) => {
                if let Some(entry) = self.entry_mut(&scope) {
                    entry.turns.unknown(at.time);
                }
            }
            DrainEvent::Live(live) => self.set_live(live),
            DrainEvent::Loads(loads) => self.loads = loads,
            DrainEvent::Busy(scope, busy) => {
                if let Some(entry) = self.entry_mut(&scope) {
                    entry.busy = Some(busy);
                }
            }
            DrainEvent::Report(report) => self.take_report(&report),
            DrainEvent::Tick => self.tick(at, out),
        }
    }

    fn adopt(&mut self, stored: Stored<Drain>) {
        match self.at(&stored.value.scope) {
            Ok(at) => {
                let entry = &mut self.entries[at];
                if stored.version > entry.version {
                    entry.record = stored.value;
                    entry.version = stored.version;
                    entry.reported = None;
                    entry.pressed = None;
                    entry.busy = None;
                }
            }
            Err(at) => self.entries.insert(at, Entry::new(stored)),
        }
    }

    fn written(&mut self, scope: &DrainScope, version: u64) {
        let record = self.entry_mut(scope).and_then(|e| e.turns.settle());
        if let Some(value) = record {
            self.adopt(Stored { value, version });
        }
    }

    fn settled(&mut self, now: Time, scope: &DrainScope, current: Option<Stored<Drain>>) {
        if let Some(entry) = self.entry_mut(scope) {
            entry.turns.rest(now);
        }
        if let Some(stored) = current {
            self.adopt(stored);
        }
    }

    fn set_live(&mut self, mut live: Vec<InstanceId>) {
        live.sort();
        live.dedup();
        self.live = live;
    }

    fn take_report(&mut self, report: &DrainReport) {
        if let Some(entry) = self.entry_mut(&report.scope) {
            entry.quiet.note(&report.instance, report.seen, report.busy);
        }
    }

    fn tick(&mut self, at: Moment, out: &mut Vec<DrainAction>) {
        for index in 0..self.entries.len() {
            self.press(index, at.time);
            self.entries[index].report(at.time, &self.own, out);
            let next = self.next(index, at);
            let entry = &mut self.entries[index];
            let name = entry.record.scope.object_name();
            let party = Party {
                subject: &name,
                own: &self.own,
                live: &self.live,
            };
            let ask = entry.turns.tick(at.time, party, next, |_| STAGGER);
            out.extend(ask.map(|ask| entry.ask(ask)));
        }
    }

    // Measurements are noisy, so only what they say for a while counts.
    fn press(&mut self, index: usize, now: Time) {
        let record = &self.entries[index].record;
        let speaks = match record.state {
            DrainState::Planned => self.fits(index),
            DrainState::Draining => capacity::overloads(record, &self.others(index), &self.loads),
            DrainState::Drained | DrainState::Cancelled => false,
        };
        let entry = &mut self.entries[index];
        let since = entry.pressed.unwrap_or(now);
        entry.pressed = speaks.then_some(since);
    }

    // The next revision that is due by this instance's view, if any.
    fn next(&self, index: usize, at: Moment) -> Option<(DrainTrigger, Drain)> {
        let entry = &self.entries[index];
        let pressed = entry.is_pressed(at.time);
        let trigger = match entry.record.state {
            DrainState::Planned => DrainTrigger::Admit,
            DrainState::Draining if pressed => DrainTrigger::Overload,
            DrainState::Draining => DrainTrigger::Settle,
            DrainState::Drained | DrainState::Cancelled => return None,
        };
        let standing = DrainStanding {
            fits: pressed,
            empty: entry.quiet.is_reached(&self.live, entry.version),
        };
        let who = self.own.as_str();
        let record = entry
            .record
            .advance(&self.chart, trigger, standing, at.wall, who)?;
        Some((trigger, record))
    }

    // Without measurements nothing is known to fit.
    fn fits(&self, index: usize) -> bool {
        let record = &self.entries[index].record;
        !self.loads.is_empty() && capacity::fits(record, &self.others(index), &self.loads)
    }

    fn others(&self, index: usize) -> Vec<&Drain> {
        let others = self.entries.iter().enumerate().filter(|(i, _)| *i != index);
        others.map(|(_, e)| &e.record).collect()
    }

    fn at(&self, scope: &DrainScope) -> Result<usize, usize> {
        self.entries.binary_search_by(|e| e.record.scope.cmp(scope))
    }

    fn entry_mut(&mut self, scope: &DrainScope) -> Option<&mut Entry> {
        let at = self.at(scope).ok()?;
        self.entries.get_mut(at)
    }
}

impl Entry {
    fn new(stored: Stored<Drain>) -> Self {
        Self {
            record: stored.value,
            version: stored.version,
            busy: None,
            quiet: Quiet::default(),
            turns: Turns::default(),
            reported: None,
            pressed: None,
        }
    }

    fn is_pressed(&self, now: Time) -> bool {
        let since = self.pressed.map(|since| now.since(since));
        since.is_some_and(|span| span >= PATIENCE)
    }

    fn report(&mut self, now: Time, own: &InstanceId, out: &mut Vec<DrainAction>) {
        let fresh = self
            .reported
            .is_some_and(|at| now.since(at) < REPORT_INTERVAL);
        let Some(busy) = self.busy else { return };
        if self.record.state != DrainState::Draining || fresh {
            return;
        }
        self.reported = Some(now);
        self.quiet.note(own, self.version, busy);
        out.push(DrainAction::Report(DrainReport {
            scope: self.record.scope.clone(),
            instance: own.clone(),
            seen: self.version,
            busy,
        }));
    }

    fn ask(&self, ask: Ask<DrainTrigger, Drain>) -> DrainAction {
        match ask {
            Ask::Read => DrainAction::Read(self.record.scope.clone()),
            Ask::Write(trigger, record) => DrainAction::Write {
                record,
                expect: self.version,
                trigger,
            },
        }
    }
}
