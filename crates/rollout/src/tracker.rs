//! One version move on one instance.
//!
//! The tracker picks the version of each request, counts the outcomes, reports the
//! counts to the other instances, and stops the new version at a fault or at the
//! deadline.

use std::time::Duration;

use corianderway_model::InstanceId;
use corianderway_model::RouteName;
use corianderway_model::Time;
use corianderway_model::Version;

use crate::analysis::Analysis;
use crate::analysis::AnalysisParams;
use crate::event::Action;
use crate::event::Moment;
use crate::event::Stop;
use crate::event::Stored;
use crate::evidence::Fault;
use crate::in_flight::InFlight;
use crate::move_chart::State;
use crate::record::Move;
use crate::share::Share;
use crate::splitter::Arm;
use crate::splitter::Splitter;
use crate::tally::Outcome;
use crate::tally::Report;

/// The minimum time between two reports of an instance.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// The time between two reports if nothing has changed; a report may be lost.
const REPEAT_INTERVAL: Duration = Duration::from_secs(5);
/// The requests that may be in flight at the new version at any share.
const BACKLOG_REQUESTS: f64 = 4.0;
/// The further requests that may be in flight there, as a multiple of those expected
/// from the share.
const BACKLOG_FACTOR: f64 = 4.0;
/// The maximum time in which latency isn't compared, since backend servers are cold.
const MAX_WARM_UP: Duration = Duration::from_secs(10);
/// The same as a fraction of the move: one in this many.
const WARM_UP_DIVISOR: u32 = 10;

/// The state of one move on one instance.
///
/// A stop is never cleared: once it is set, this instance sends the new version no
/// further request, unless the record says that the move is done.
#[derive(Clone, Debug)]
pub(crate) struct Tracker {
    pub(crate) record: Move,
    // The platform's version of the record.
    pub(crate) version: u64,
    pub(crate) analysis: Analysis,
    pub(crate) stop: Option<Stop>,
    // The share that the new version's backend servers can carry.
    pub(crate) capacity: Share,
    pub(crate) in_flight: InFlight,
    own: Report,
    // This instance's requests in flight at the old version.
    old_busy: u64,
    splitter: Splitter,
    last_report: Time,
    // Whether anything has changed since the last report.
    dirty: bool,
}

impl Tracker {
    pub(crate) fn new(own: &InstanceId, stored: Stored<Move>, at: Moment) -> Self {
        let record = stored.value;
        let mut report = Report::new(record.key(), own.clone());
        report.seen = stored.version;
        Self {
            analysis: Analysis::new(params(&record, at.time), at.time),
            version: stored.version,
            stop: None,
            capacity: Share::ZERO,
            in_flight: InFlight::default(),
            own: report,
            old_busy: 0,
            splitter: Splitter::default(),
            last_report: at.time,
            dirty: true,
            record,
        }
    }

    /// Applies a later revision of the same move.
    pub(crate) fn apply_revision(&mut self, stored: Stored<Move>, at: Moment) {
        let was_planned = self.record.state == State::Planned;
        let share = self.record.share;
        self.record = stored.value;
        self.version = stored.version;
        self.own.seen = stored.version;
        self.dirty = true;
        if was_planned {
            self.analysis
                .restart(params(&self.record, at.time), at.time);
        } else if share != self.record.share {
            self.analysis.restart_non_inferiority();
        }
    }

    /// Picks the version of the next request and counts it as in flight.
    pub(crate) fn choose(&mut self, draw: u64) -> Version {
        if self.record.state == State::Done {
            return self.record.to.clone();
        }
        let share = if self.has_backlog() {
            Share::ZERO
        } else {
            self.share()
        };
        match self.splitter.choose(share, draw) {
            Arm::Old => {
                self.old_busy += 1;
                self.record.from.clone()
            }
            Arm::New => {
                self.own.busy += 1;
                self.dirty = true;
                self.record.to.clone()
            }
        }
    }

    /// Returns the share that this instance sends to the new version now.
    pub(crate) fn share(&self) -> Share {
        match self.record.state {
            State::Done => Share::ONE,
            _ if self.stop.is_some() => Share::ZERO,
            _ => self.record.share.min(self.capacity),
        }
    }

    /// Counts the outcome of a request whose version `choose` picked.
    pub(crate) fn record_outcome(
        &mut self,
        at: Moment,
        route: &RouteName,
        ran: &Version,
        outcome: Outcome,
    ) {
        let arm = match ran {
            v if *v == self.record.to => Arm::New,
            v if *v == self.record.from => Arm::Old,
            _ => return,
        };
        self.dirty = true;
        match arm {
            Arm::Old => self.old_busy = self.old_busy.saturating_sub(1),
            Arm::New => self.own.busy = self.own.busy.saturating_sub(1),
        }
        if outcome == Outcome::Inconclusive || !self.is_comparing() {
            return;
        }
        self.own.count(route, arm, outcome);
        if arm == Arm::New && outcome == Outcome::Failed {
            self.analyze_own(at);
        }
    }

    /// Adds the counts and the stop in the report of another instance.
    pub(crate) fn add_report(&mut self, at: Moment, report: &Report) {
        self.in_flight
            .update(&report.instance, report.seen, report.busy);
        if let Some(stop) = &report.stop {
            self.stop.get_or_insert_with(|| stop.clone());
        }
        self.analysis.apply(at.time, report);
        self.stop_if_condemned();
    }

    /// Checks the deadline and the own counts, and reports them when that is due.
    pub(crate) fn tick(&mut self, at: Moment, out: &mut Vec<Action>) {
        let active = !self.record.is_over();
        if active && at.wall >= self.record.deadline {
            self.stop_now(None);
        }
        if self.is_comparing() {
            self.analyze_own(at);
        }
        if active {
            self.send_report(at.time, out);
        }
    }

    fn send_report(&mut self, now: Time, out: &mut Vec<Action>) {
        let own = &mut self.own;
        self.in_flight.update(&own.instance, own.seen, own.busy);
        let interval = if self.dirty {
            REPORT_INTERVAL
        } else {
            REPEAT_INTERVAL
        };
        if now.since(self.last_report) < interval {
            return;
        }
        self.dirty = false;
        self.last_report = now;
        own.sequence += 1;
        own.stop.clone_from(&self.stop);
        out.push(Action::Report(own.clone()));
    }

    // Returns whether far more requests are in flight at the new version than its
    // share explains. This guards against a version that hangs: no request has ended
    // yet that could be evidence.
    fn has_backlog(&self) -> bool {
        let share = self.record.share.ratio();
        let expected = self.old_busy as f64 * share / (1.0 - share).max(f64::EPSILON);
        self.own.busy as f64 >= BACKLOG_REQUESTS + BACKLOG_FACTOR * expected
    }

    // Returns whether both versions get requests and are compared.
    fn is_comparing(&self) -> bool {
        matches!(
            self.record.state,
            State::Trial | State::Growing | State::Held
        )
    }

    fn analyze_own(&mut self, at: Moment) {
        self.analysis.apply_own(at.time, &self.own);
        self.stop_if_condemned();
    }

    fn stop_if_condemned(&mut self) {
        if self.stop.is_none() && self.is_comparing() {
            if let Some(fault) = self.analysis.condemned() {
                self.stop_now(Some(fault));
            }
        }
    }

    fn stop_now(&mut self, fault: Option<Fault>) {
        self.stop.get_or_insert_with(|| Stop {
            key: self.record.key(),
            instance: self.own.instance.clone(),
            fault,
        });
    }
}

fn params(record: &Move, now: Time) -> AnalysisParams {
    let span = Duration::from_millis(record.deadline.saturating_sub(record.started).max(1));
    AnalysisParams {
        margin: record.margin,
        span,
        warm: now + MAX_WARM_UP.min(span / WARM_UP_DIVISOR),
    }
}
