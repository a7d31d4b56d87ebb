//! When an instance advances the record of a move, and how the write is settled.

use std::time::Duration;

use corianderway_model::InstanceId;
use corianderway_model::Time;

use crate::event::Moment;
use crate::judge;
use crate::machine::MoveChart;
use crate::machine::State;
use crate::machine::Trigger;
use crate::rank;
use crate::record::Author;
use crate::record::Move;
use crate::record::Standing;
use crate::schedule;
use crate::share::Share;
use crate::track::Track;

/// How long each instance lets the one before it advance the share.
const GROW_STAGGER: Duration = Duration::from_secs(2);
/// How long each instance lets the one before it take a version back.
const STOP_STAGGER: Duration = Duration::from_millis(300);
/// The time after which a write or a read without an answer is read back.
const ANSWER_PATIENCE: Duration = Duration::from_secs(3);
/// The time before a record is written again after a conflict.
const REST: Duration = Duration::from_secs(1);

/// What an instance has asked the platform about one record.
#[derive(Clone, Debug, Default)]
pub(crate) struct Mover {
    asked: Option<Asked>,
    // The trigger that is due, and since when.
    due: Option<(Trigger, Time)>,
    // Nothing is asked before.
    idle: Time,
}

#[derive(Clone, Debug)]
struct Asked {
    since: Time,
    write: Option<Move>,
}

/// What to ask the platform.
#[derive(Clone, Debug)]
pub(crate) enum Ask {
    /// Replace the record.
    Write(Trigger, Move),
    /// Read the record.
    Read,
}

impl Mover {
    /// Decides whether this instance acts now.
    pub(crate) fn tick(
        &mut self,
        chart: &MoveChart,
        track: &Track,
        own: &InstanceId,
        live: &[InstanceId],
        at: Moment,
    ) -> Option<Ask> {
        if let Some(asked) = &mut self.asked {
            let late = at.time.since(asked.since) >= ANSWER_PATIENCE;
            return late.then(|| self.read(at.time));
        }
        if at.time < self.idle {
            return None;
        }
        let next = next(chart, track, own, live, at);
        let Some((trigger, record)) = next else {
            self.due = None;
            return None;
        };
        let since = match self.due {
            Some((due, since)) if due == trigger => since,
            _ => at.time,
        };
        self.due = Some((trigger, since));
        let rank = rank::rank(track.record.service.as_str(), own, live);
        if at.time.since(since) < rank::delay(rank, stagger(trigger)) {
            return None;
        }
        self.asked = Some(Asked {
            since: at.time,
            write: Some(record.clone()),
        });
        Some(Ask::Write(trigger, record))
    }

    /// Asks for the record, since an answer is lost.
    pub(crate) fn read(&mut self, now: Time) -> Ask {
        self.asked = Some(Asked {
            since: now,
            write: None,
        });
        Ask::Read
    }

    /// Ends the wait for an answer; gives back the record that was written.
    pub(crate) fn settle(&mut self) -> Option<Move> {
        self.due = None;
        self.asked.take().and_then(|asked| asked.write)
    }

    /// Ends the wait for an answer that refused the write or read the record.
    pub(crate) fn rest(&mut self, now: Time) {
        self.settle();
        self.idle = now + REST;
    }

    /// Keeps waiting after no answer; the read follows in its time.
    pub(crate) fn unknown(&mut self, now: Time) {
        let since = self.asked.as_ref().map_or(now, |asked| asked.since);
        self.asked = Some(Asked { since, write: None });
    }
}

fn stagger(trigger: Trigger) -> Duration {
    match trigger {
        Trigger::Condemn | Trigger::Expire | Trigger::Suspect | Trigger::TakeBack => STOP_STAGGER,
        Trigger::Begin | Trigger::Grow | Trigger::Clear | Trigger::Settle => GROW_STAGGER,
    }
}

// The next revision that is due by this instance's view, if any.
fn next(
    chart: &MoveChart,
    track: &Track,
    own: &InstanceId,
    live: &[InstanceId],
    at: Moment,
) -> Option<(Trigger, Move)> {
    let trigger = trigger(track, live, at)?;
    let standing = Standing {
        proven: is_proven(track, at.wall),
    };
    let author = Author {
        who: own.as_str().into(),
        wall: at.wall.max(track.record.changed),
        evidence: track.judge.evidence(),
    };
    let record = track.record.advance(chart, trigger, standing, author)?;
    Some((trigger, record))
}

fn trigger(track: &Track, live: &[InstanceId], at: Moment) -> Option<Trigger> {
    let record = &track.record;
    if let Some(stop) = &track.stop {
        let ended = record.is_over() || record.state == State::Withdrawing;
        let trigger = stop
            .fault
            .as_ref()
            .map_or(Trigger::Expire, |_| Trigger::Condemn);
        if !ended {
            return Some(trigger);
        }
    }
    match record.state {
        State::Planned => (track.room > Share::ZERO).then_some(Trigger::Begin),
        State::Held => track.judge.suspected().is_none().then_some(Trigger::Clear),
        State::Withdrawing => {
            let settled = track.quiet.is_reached(live, track.version);
            settled.then_some(Trigger::Settle)
        }
        State::Trial | State::Growing => compared(track, at),
        State::Done | State::Withdrawn => None,
    }
}

fn compared(track: &Track, at: Moment) -> Option<Trigger> {
    if track.judge.suspected().is_some() {
        return Some(Trigger::Suspect);
    }
    let fits = track.room >= schedule::next_share(track.record.share);
    let due = at.wall >= schedule::due(&track.record).early;
    (fits && due).then_some(Trigger::Grow)
}

// A step waits for the proof of each route only as long as the deadline allows.
fn is_proven(track: &Track, wall: u64) -> bool {
    let error = match track.record.state {
        State::Growing => judge::STEP_ERROR,
        _ => judge::PASS_ERROR,
    };
    let late = wall >= schedule::due(&track.record).late;
    let each = late || track.judge.is_each_proven(error);
    each && track.judge.is_proven(error)
}
