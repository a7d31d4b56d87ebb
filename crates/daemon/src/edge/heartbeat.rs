//! Notices that the store was silent.
//!
//! A call that arrives while the store is silent is never answered, also after the store is
//! back. A watch that waits for changes can't be told from such a call, so cheap calls at
//! short intervals check whether the store answers. If it answers again soon, all calls that
//! wait are sent again; otherwise the store is lost.

use std::time::Duration;

use async_std::task;

use crate::edge::store::log_silence;
use crate::edge::store::send_probe;
use crate::edge::store::Context;

/// The interval between two checks.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// The number of checks in a row without an answer after which the store is lost. One answer
/// may be lost to the network.
const MAX_MISSED: u32 = 2;

/// Checks whether the store answers; returns the number of missed answers once it is lost.
pub(super) async fn run(ctx: &Context) -> u32 {
    let mut missed = 0;
    while missed < MAX_MISSED {
        // A call without an answer is repeated at once.
        if missed == 0 {
            task::sleep(HEARTBEAT_INTERVAL).await;
        }
        // An answer that turns this instance away is one as well: waiting calls are not
        // affected.
        let answered = send_probe(ctx).await.is_some();
        if answered && missed > 0 {
            log_silence(ctx, "store-answers", missed);
            ctx.resend.notify();
        }
        missed = if answered { 0 } else { missed + 1 };
    }
    missed
}
