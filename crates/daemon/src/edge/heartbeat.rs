//! Notices that the store was silent.
//!
//! A call that arrives while the store is silent is never answered, also after the store is
//! back. A watch that waits for changes can't be told from such a call, so cheap calls at
//! short intervals check whether the store answers. Once it answers again, all calls that
//! are waiting are sent again.

use std::time::Duration;

use async_std::task;

use crate::edge::store::log_silence;
use crate::edge::store::send_probe;
use crate::edge::store::Context;

/// The interval between two checks.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Checks whether the store answers, until cancelled.
pub(super) async fn run<T>(ctx: &Context) -> T {
    let mut missed = 0;
    loop {
        task::sleep(HEARTBEAT_INTERVAL).await;
        // An answer that turns this instance away is one as well: waiting calls are not
        // affected.
        let answered = send_probe(ctx).await.is_some();
        if answered && missed > 0 {
            log_silence(ctx, "store-answers", missed);
            ctx.resend.notify();
        }
        missed = if answered { 0 } else { missed + 1 };
        if missed == 1 {
            log_silence(ctx, "store-silent", missed);
        }
    }
}
