//! The schedule of a move's steps, computed from the time left until its deadline.

use crate::move_chart::State;
use crate::record::Move;
use crate::share::Share;

/// The largest share before the takeover. The old version still gets enough requests
/// to compare with.
pub(crate) const LAST_SHARE: Share = Share::from_ppm(800_000);
/// The fraction of the move's time that is kept free before the deadline.
const SLACK_FRACTION: f64 = 0.1;
/// The fraction of the time left that a trial lasts.
const TRIAL_FRACTION: f64 = 0.4;
/// The maximum time of a step, as a multiple of the planned one. The longer time is
/// for routes with little traffic.
const MAX_DWELL_FACTOR: f64 = 1.5;

/// The times at which the next step of a move is due, in milliseconds since the Unix
/// epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Due {
    /// When the step is due if the version is proven on every route.
    pub(crate) early: u64,
    /// When the step is due if the version is proven over all routes together.
    pub(crate) late: u64,
}

/// Returns the share after one more step.
pub(crate) fn next_share(share: Share) -> Share {
    share.doubled(LAST_SHARE)
}

/// Returns when the next step of a trial or a growing move is due.
pub(crate) fn due(record: &Move) -> Due {
    let span = record.deadline.saturating_sub(record.started) as f64;
    let target = record
        .deadline
        .saturating_sub((span * SLACK_FRACTION) as u64);
    let left = target.saturating_sub(record.changed) as f64;
    let dwell = match record.state {
        State::Trial => left * TRIAL_FRACTION,
        _ => left / f64::from(steps_left(record.share)),
    };
    Due {
        early: record.changed + dwell as u64,
        late: record.changed + (dwell * MAX_DWELL_FACTOR).min(left) as u64,
    }
}

// Returns the number of steps until the takeover, which is the last one.
fn steps_left(share: Share) -> u32 {
    let mut share = share;
    let mut steps = 1;
    while share < LAST_SHARE && share > Share::ZERO {
        share = next_share(share);
        steps += 1;
    }
    steps
}
