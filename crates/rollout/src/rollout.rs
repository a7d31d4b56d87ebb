//! All version moves on one instance.

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
use crate::managed_move::Entry;
use crate::move_chart::MoveChart;
use crate::move_chart::MOVE_CHART;
use crate::record::Move;
use crate::record::MoveKey;
use crate::record_writer::Party;
use crate::share::Share;
use crate::tally::Outcome;
use crate::tally::Report;

/// The version moves as one instance sees and advances them.
#[derive(Debug)]
pub struct Rollout {
    own: InstanceId,
    chart: MoveChart,
    // Sorted.
    live: Vec<InstanceId>,
    // Sorted by service.
    tracks: Vec<Entry>,
    // Stops that came before the record of their move, latest last.
    early: Vec<Stop>,
}

/// What an instance knows of one move, for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct Standpoint {
    /// The record in force.
    pub record: Stored<Move>,
    /// The share that this instance gives the new version now.
    pub share: Share,
    /// Why this instance gives it nothing.
    pub stop: Option<Stop>,
    /// What this instance has seen of all instances together.
    pub evidence: Evidence,
    /// Requests in flight at the new version, on all instances.
    pub busy: u64,
}

/// The most stops that are kept for records yet to come.
const EARLY_STOPS: usize = 64;

impl Rollout {
    /// Makes the state of an instance that knows of no move.
    ///
    /// # Errors
    ///
    /// Fails when the chart of a move can't be loaded.
    pub fn new(own: InstanceId) -> Result<Self, Error> {
        Ok(Self {
            live: vec![own.clone()],
            own,
            chart: MoveChart::parse(MOVE_CHART).context(ChartSnafu)?,
            tracks: Vec::new(),
            early: Vec::new(),
        })
    }

    /// Picks the version for a request; `draw` is uniform over all of `u64`.
    ///
    /// Each pick must be answered by [`finished`](Self::finished) once. There
    /// is no version to keep to if the service has never moved.
    pub fn choose(&mut self, service: &Service, draw: u64) -> Option<Version> {
        let entry = self.entry_mut(service)?;
        Some(entry.track.choose(draw))
    }

    /// Notes how a request ended at the version that it was given.
    pub fn finished(
        &mut self,
        at: Moment,
        service: &Service,
        route: &RouteName,
        ran: &Version,
        end: Outcome,
    ) {
        if let Some(entry) = self.entry_mut(service) {
            entry.track.finished(at, route, ran, end);
        }
    }

    /// Answers one event with what is to be done, in order.
    pub fn step(&mut self, at: Moment, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Record(stored) => self.adopt(at, stored),
            Event::Written { service, version } => self.written(at, &service, version),
            Event::Conflict { service, current } | Event::ReadBack { service, current } => {
                self.settled(at, &service, current);
            }
            Event::Unknown { service } => self.unknown(at.time, &service),
            Event::Live(live) => self.set_live(live),
            Event::Room {
                service,
                version,
                share,
            } => self.set_room(&service, &version, share),
            Event::Report(report) => self.take_report(at, &report),
            Event::Stop(stop) => self.take_stop(stop),
            Event::Tick => self.tick(at, out),
        }
    }

    /// What this instance knows of the move of a service.
    pub fn standpoint(&self, service: &Service) -> Option<Standpoint> {
        let track = &self.tracks[self.at(service).ok()?].track;
        Some(Standpoint {
            record: Stored {
                value: track.record.clone(),
                version: track.version,
            },
            share: track.share(),
            stop: track.stop.clone(),
            evidence: track.judge.evidence(),
            busy: track.quiet.busy(&self.live),
        })
    }

    /// The services with a move, in order.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.tracks.iter().map(|e| &e.track.record.service)
    }

    fn adopt(&mut self, at: Moment, stored: Stored<Move>) {
        match self.at(&stored.value.service) {
            Ok(found) => {
                let track = &mut self.tracks[found].track;
                if stored.version <= track.version {
                    return;
                }
                if stored.value.key() == track.record.key() {
                    track.follow(stored, at);
                } else {
                    self.tracks[found] = self.entry(at, stored);
                }
            }
            Err(place) => {
                let entry = self.entry(at, stored);
                self.tracks.insert(place, entry);
            }
        }
    }

    fn entry(&self, at: Moment, stored: Stored<Move>) -> Entry {
        let key = stored.value.key();
        let mut entry = Entry::new(&self.own, stored, at);
        entry.track.stop = self.early.iter().find(|s| s.key == key).cloned();
        entry
    }

    fn written(&mut self, at: Moment, service: &Service, version: u64) {
        let record = self.entry_mut(service).and_then(|e| e.turns.settle());
        if let Some(value) = record {
            self.adopt(at, Stored { value, version });
        }
    }

    fn settled(&mut self, at: Moment, service: &Service, current: Option<Stored<Move>>) {
        if let Some(entry) = self.entry_mut(service) {
            entry.turns.rest(at.time);
        }
        // Records are never removed, so an absent one is a store gone backwards.
        if let Some(stored) = current {
            self.adopt(at, stored);
        }
    }

    fn unknown(&mut self, now: Time, service: &Service) {
        if let Some(entry) = self.entry_mut(service) {
            entry.turns.unknown(now);
        }
    }

    fn set_live(&mut self, mut live: Vec<InstanceId>) {
        live.sort();
        live.dedup();
        self.live = live;
    }

    fn set_room(&mut self, service: &Service, version: &Version, share: Share) {
        if let Some(entry) = self.entry_mut(service) {
            if entry.track.record.to == *version {
                entry.track.room = share;
            }
        }
    }

    fn take_report(&mut self, at: Moment, report: &Report) {
        if let Some(entry) = self.entry_of(&report.key) {
            entry.track.report(at, report);
        }
    }

    fn take_stop(&mut self, stop: Stop) {
        if let Some(entry) = self.entry_of(&stop.key) {
            entry.track.stop.get_or_insert(stop);
            return;
        }
        if self.early.len() == EARLY_STOPS {
            self.early.remove(0);
        }
        self.early.push(stop);
    }

    fn tick(&mut self, at: Moment, out: &mut Vec<Action>) {
        for entry in &mut self.tracks {
            entry.track.tick(at, out);
            entry.tell(out);
            let track = &entry.track;
            let party = Party {
                subject: track.record.service.as_str(),
                own: &self.own,
                live: &self.live,
            };
            let next = advance::next(&self.chart, track, party, at);
            let ask = entry.turns.tick(at.time, party, next, advance::stagger);
            if let Some(ask) = ask {
                entry.ask(ask, out);
            }
        }
    }

    fn at(&self, service: &Service) -> Result<usize, usize> {
        self.tracks
            .binary_search_by(|e| e.track.record.service.cmp(service))
    }

    fn entry_mut(&mut self, service: &Service) -> Option<&mut Entry> {
        let at = self.at(service).ok()?;
        self.tracks.get_mut(at)
    }

    fn entry_of(&mut self, key: &MoveKey) -> Option<&mut Entry> {
        let entry = self.entry_mut(&key.service)?;
        (entry.track.record.key() == *key).then_some(entry)
    }
}
