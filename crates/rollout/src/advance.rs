//! What the record of a move should become next, by one instance's view.

use std::time::Duration;

use corianderway_model::InstanceId;

use crate::analysis;
use crate::event::Moment;
use crate::move_chart::MoveChart;
use crate::move_chart::State;
use crate::move_chart::Trigger;
use crate::record::Author;
use crate::record::Move;
use crate::record::Standing;
use crate::record_writer::Party;
use crate::schedule;
use crate::share::Share;
use crate::tracker::Track;

/// How long each instance lets the one before it advance the share.
const GROW_STAGGER: Duration = Duration::from_secs(2);
/// How long each instance lets the one before it take a version back.
const STOP_STAGGER: Duration = Duration::from_millis(300);
/// How long each instance lets the one before it act on a trigger.
pub(crate) fn stagger(trigger: Trigger) -> Duration {
    match trigger {
        Trigger::Condemn | Trigger::Expire | Trigger::Suspect | Trigger::TakeBack => STOP_STAGGER,
        Trigger::Begin | Trigger::Grow | Trigger::Clear | Trigger::Settle => GROW_STAGGER,
    }
}

/// The next revision that is due, if any.
pub(crate) fn next(
    chart: &MoveChart,
    track: &Track,
    party: Party<'_>,
    at: Moment,
) -> Option<(Trigger, Move)> {
    let trigger = trigger(track, party.live, at)?;
    let standing = Standing {
        proven: is_proven(track, at.wall),
    };
    let author = Author {
        who: party.own.as_str().into(),
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
        State::Growing => analysis::STEP_ERROR,
        _ => analysis::PASS_ERROR,
    };
    let late = wall >= schedule::due(&track.record).late;
    let each = late || track.judge.is_each_proven(error);
    each && track.judge.is_proven(error)
}
