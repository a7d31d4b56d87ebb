//! The next revision of a move's record, computed from one instance's state.

use std::time::Duration;

use corianderway_model::InstanceId;

use crate::analysis;
use crate::event::Moment;
use crate::move_chart::MoveChart;
use crate::move_chart::State;
use crate::move_chart::Trigger;
use crate::record::Author;
use crate::record::Conditions;
use crate::record::Move;
use crate::record_writer::Candidates;
use crate::schedule;
use crate::share::Share;
use crate::tracker::Tracker;

/// The delay between two successive ranks for a step that isn't urgent.
const GROW_STAGGER: Duration = Duration::from_secs(2);
/// The delay between two successive ranks for a rollback or a hold.
const STOP_STAGGER: Duration = Duration::from_millis(300);

/// Returns the delay between two successive ranks for a trigger.
pub(crate) fn stagger(trigger: Trigger) -> Duration {
    match trigger {
        Trigger::Condemn | Trigger::Expire | Trigger::Suspect | Trigger::TakeBack => STOP_STAGGER,
        Trigger::Begin | Trigger::Grow | Trigger::Clear | Trigger::Settle => GROW_STAGGER,
    }
}

/// Returns the next revision that is due and its trigger, if any.
pub(crate) fn next_revision(
    chart: &MoveChart,
    tracker: &Tracker,
    candidates: Candidates<'_>,
    at: Moment,
) -> Option<(Trigger, Move)> {
    let trigger = trigger(tracker, candidates.live, at)?;
    let conditions = Conditions {
        proven: is_proven(tracker, at.wall),
    };
    let author = Author {
        who: candidates.own.as_str().into(),
        wall: at.wall.max(tracker.record.changed),
        evidence: tracker.analysis.evidence(),
    };
    let record = tracker.record.advance(chart, trigger, conditions, author)?;
    Some((trigger, record))
}

fn trigger(tracker: &Tracker, live: &[InstanceId], at: Moment) -> Option<Trigger> {
    let record = &tracker.record;
    if let Some(stop) = &tracker.stop {
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
        State::Planned => (tracker.capacity > Share::ZERO).then_some(Trigger::Begin),
        State::Held => tracker
            .analysis
            .suspected()
            .is_none()
            .then_some(Trigger::Clear),
        State::Withdrawing => {
            let settled = tracker.in_flight.is_idle(live, tracker.version);
            settled.then_some(Trigger::Settle)
        }
        State::Trial | State::Growing => comparison_trigger(tracker, at),
        State::Done | State::Withdrawn => None,
    }
}

fn comparison_trigger(tracker: &Tracker, at: Moment) -> Option<Trigger> {
    if tracker.analysis.suspected().is_some() {
        return Some(Trigger::Suspect);
    }
    let fits = tracker.capacity >= schedule::next_share(tracker.record.share);
    let due = at.wall >= schedule::due(&tracker.record).early;
    (fits && due).then_some(Trigger::Grow)
}

// Returns whether the version is proven for the next step. Near the step's latest
// time, the proof over all routes together is enough, so that routes with little
// traffic don't delay the move beyond its deadline.
fn is_proven(tracker: &Tracker, wall: u64) -> bool {
    let alpha = match tracker.record.state {
        State::Growing => analysis::STEP_ALPHA,
        _ => analysis::PASS_ALPHA,
    };
    let late = wall >= schedule::due(&tracker.record).late;
    let each_route = late || tracker.analysis.is_each_route_proven(alpha);
    each_route && tracker.analysis.is_proven(alpha)
}
