//! The steps of a move, planned backwards from its deadline.

use crate::move_chart::State;
use crate::record::Move;
use crate::share::Share;

/// The largest share at which the old version still serves enough to compare with.
pub(crate) const LAST_SHARE: Share = Share::from_parts(800_000);
/// The part of the move kept free before the deadline.
const SLACK: f64 = 0.1;
/// The part of the time left that a trial takes.
const TRIAL: f64 = 0.4;
/// How much longer than planned a step waits for routes with little traffic.
const PATIENCE: f64 = 1.5;

/// When the next step of a move is due, in milliseconds since the Unix epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Due {
    /// From when on the step is taken, if every route is proven.
    pub(crate) early: u64,
    /// From when on the step is taken, if the service as a whole is proven.
    pub(crate) late: u64,
}

/// The share after one more step.
pub(crate) fn next_share(share: Share) -> Share {
    share.doubled(LAST_SHARE)
}

/// Plans the next step of a trial or a growing move.
pub(crate) fn due(record: &Move) -> Due {
    let span = record.deadline.saturating_sub(record.started) as f64;
    let target = record.deadline.saturating_sub((span * SLACK) as u64);
    let left = target.saturating_sub(record.changed) as f64;
    let dwell = match record.state {
        State::Trial => left * TRIAL,
        _ => left / f64::from(steps_left(record.share)),
    };
    Due {
        early: record.changed + dwell as u64,
        late: record.changed + (dwell * PATIENCE).min(left) as u64,
    }
}

// The steps until the end, the one to all requests included.
fn steps_left(share: Share) -> u32 {
    let mut share = share;
    let mut steps = 1;
    while share < LAST_SHARE && share > Share::ZERO {
        share = next_share(share);
        steps += 1;
    }
    steps
}
