//! Checks the rate and burst of a client account over every time window.

use crate::checker::history::Limit;
use crate::checker::violation::Violation;

const NANOS_PER_S: f64 = 1e9;
const MILLIS_PER_S: f64 = 1e3;

/// Checks sorted start times, in nanoseconds, against a limit and returns the
/// window with the largest excess.
///
/// A window of length `w` may contain at most `burst + rate * (w + slack_ms)`
/// starts. The level of a leaky bucket that drains at the rate equals the
/// maximum, over all windows that end at the current start, of the starts in
/// excess of the rate, so one pass covers every window.
pub(crate) fn check(limit: &Limit, slack_ms: u64, starts: Vec<u64>) -> Option<Violation> {
    let allowed = limit.burst + limit.rate * slack_ms as f64 / MILLIS_PER_S;
    let mut level = 0.0_f64;
    let mut last = starts.first().copied()?;
    let mut worst = (0.0_f64, last);
    for at in starts {
        let drained = limit.rate * (at - last) as f64 / NANOS_PER_S;
        level = (level - drained).max(0.0) + 1.0;
        last = at;
        if level > worst.0 {
            worst = (level, at);
        }
    }
    (worst.0 > allowed).then(|| Violation::OverRate {
        account: limit.account.to_string(),
        excess: (worst.0 - allowed).ceil() as u64,
        until: worst.1,
    })
}
