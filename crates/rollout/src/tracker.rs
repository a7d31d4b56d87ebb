//! One version move on one instance: what it counts, sends and stops.

use std::time::Duration;

use corianderway_model::InstanceId;
use corianderway_model::RouteName;
use corianderway_model::Time;
use corianderway_model::Version;

use crate::analysis::Judge;
use crate::analysis::Terms;
use crate::event::Action;
use crate::event::Moment;
use crate::event::Stop;
use crate::event::Stored;
use crate::evidence::Fault;
use crate::in_flight::Quiet;
use crate::move_chart::State;
use crate::record::Move;
use crate::share::Share;
use crate::splitter::Arm;
use crate::splitter::Splitter;
use crate::tally::Outcome;
use crate::tally::Report;

/// The time between two reports of an instance.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// The same when nothing has changed, since a report may be lost.
const REPEAT_INTERVAL: Duration = Duration::from_secs(5);
/// Requests that may always wait for the new version, and how many times as
/// many as the share explains.
const CHOKE_LEAST: f64 = 4.0;
const CHOKE_FACTOR: f64 = 4.0;
/// The longest time for which cold backend servers may be slow.
const WARM_UP: Duration = Duration::from_secs(10);
/// The part of a move for which cold backend servers may be slow.
const WARM_PART: u32 = 10;

/// The state of one move on one instance.
#[derive(Clone, Debug)]
pub(crate) struct Track {
    pub(crate) record: Move,
    pub(crate) version: u64,
    pub(crate) judge: Judge,
    pub(crate) stop: Option<Stop>,
    pub(crate) room: Share,
    pub(crate) quiet: Quiet,
    own: Report,
    // Requests in flight at the old version.
    old_busy: u64,
    splitter: Splitter,
    reported: Time,
    dirty: bool,
}

impl Track {
    pub(crate) fn new(own: &InstanceId, stored: Stored<Move>, at: Moment) -> Self {
        let record = stored.value;
        let mut report = Report::new(record.key(), own.clone());
        report.seen = stored.version;
        Self {
            judge: Judge::new(terms(&record, at.time), at.time),
            version: stored.version,
            stop: None,
            room: Share::ZERO,
            quiet: Quiet::default(),
            own: report,
            old_busy: 0,
            splitter: Splitter::default(),
            reported: at.time,
            dirty: true,
            record,
        }
    }

    /// Follows a later revision of the same move.
    pub(crate) fn follow(&mut self, stored: Stored<Move>, at: Moment) {
        let begun = self.record.state == State::Planned;
        let share = self.record.share;
        self.record = stored.value;
        self.version = stored.version;
        self.own.seen = stored.version;
        self.dirty = true;
        if begun {
            self.judge.begin(terms(&self.record, at.time), at.time);
        } else if share != self.record.share {
            self.judge.restart_proof();
        }
    }

    /// The version for the next request.
    pub(crate) fn choose(&mut self, draw: u64) -> Version {
        if self.record.state == State::Done {
            return self.record.to.clone();
        }
        let share = if self.is_choked() {
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

    /// The share that this instance gives the new version now.
    pub(crate) fn share(&self) -> Share {
        match self.record.state {
            State::Done => Share::ONE,
            _ if self.stop.is_some() => Share::ZERO,
            _ => self.record.share.min(self.room),
        }
    }

    /// Counts a request that `choose` gave a version.
    pub(crate) fn finished(&mut self, at: Moment, route: &RouteName, ran: &Version, end: Outcome) {
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
        if end == Outcome::Unjudged || !self.is_compared() {
            return;
        }
        self.own.count(route, arm, end);
        if arm == Arm::New && end == Outcome::Failed {
            self.judge_own(at);
        }
    }

    /// Takes in the report of another instance.
    pub(crate) fn report(&mut self, at: Moment, report: &Report) {
        self.quiet.note(&report.instance, report.seen, report.busy);
        if let Some(stop) = &report.stop {
            self.stop.get_or_insert_with(|| stop.clone());
        }
        self.judge.take(at.time, report);
        self.check();
    }

    /// Looks at the own counts, and reports them when it is time to.
    pub(crate) fn tick(&mut self, at: Moment, out: &mut Vec<Action>) {
        let active = !self.record.is_over();
        if active && at.wall >= self.record.deadline {
            self.stop_for(None);
        }
        if self.is_compared() {
            self.judge_own(at);
        }
        if active {
            self.send(at.time, out);
        }
    }

    fn send(&mut self, now: Time, out: &mut Vec<Action>) {
        let own = &mut self.own;
        self.quiet.note(&own.instance, own.seen, own.busy);
        let wait = if self.dirty {
            REPORT_INTERVAL
        } else {
            REPEAT_INTERVAL
        };
        if now.since(self.reported) < wait {
            return;
        }
        self.dirty = false;
        self.reported = now;
        own.sequence += 1;
        own.stop.clone_from(&self.stop);
        out.push(Action::Report(own.clone()));
    }

    // Whether far more requests than the share explains wait for the new
    // version, as when it hangs and nothing has ended yet that could be judged.
    fn is_choked(&self) -> bool {
        let share = self.record.share.ratio();
        let usual = self.old_busy as f64 * share / (1.0 - share).max(f64::EPSILON);
        self.own.busy as f64 >= CHOKE_LEAST + CHOKE_FACTOR * usual
    }

    // Whether both versions run side by side.
    fn is_compared(&self) -> bool {
        matches!(
            self.record.state,
            State::Trial | State::Growing | State::Held
        )
    }

    fn judge_own(&mut self, at: Moment) {
        self.judge.take_own(at.time, &self.own);
        self.check();
    }

    fn check(&mut self) {
        if self.stop.is_none() && self.is_compared() {
            if let Some(fault) = self.judge.condemned() {
                self.stop_for(Some(fault));
            }
        }
    }

    fn stop_for(&mut self, fault: Option<Fault>) {
        self.stop.get_or_insert_with(|| Stop {
            key: self.record.key(),
            instance: self.own.instance.clone(),
            fault,
        });
    }
}

fn terms(record: &Move, now: Time) -> Terms {
    let span = Duration::from_millis(record.deadline.saturating_sub(record.started).max(1));
    Terms {
        margin: record.margin,
        span,
        warm: now + WARM_UP.min(span / WARM_PART),
    }
}
