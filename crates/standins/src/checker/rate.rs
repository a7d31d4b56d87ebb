//! Rate and burst of a client account over every window.

use crate::checker::history::Limit;
use crate::checker::violation::Violation;

const NANOS: f64 = 1e9;
const MILLIS: f64 = 1e3;

/// Checks sorted starts against a limit; reports the worst window.
///
/// A window of a span holds at most `burst + rate * span` starts, where the
/// span is longer by `slack_ms`. The fill of a bucket that drains at the rate
/// is the excess of the worst window that ends now, so one pass sees them all.
pub(crate) fn check(limit: &Limit, slack_ms: u64, starts: Vec<u64>) -> Option<Violation> {
    let room = limit.burst + limit.rate * slack_ms as f64 / MILLIS;
    let mut fill = 0.0_f64;
    let mut last = starts.first().copied()?;
    let mut worst = (0.0_f64, last);
    for at in starts {
        let drained = limit.rate * (at - last) as f64 / NANOS;
        fill = (fill - drained).max(0.0) + 1.0;
        last = at;
        if fill > worst.0 {
            worst = (fill, at);
        }
    }
    (worst.0 > room).then(|| Violation::OverRate {
        account: limit.account.to_string(),
        excess: (worst.0 - room).ceil() as u64,
        until: worst.1,
    })
}
