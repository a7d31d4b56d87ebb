//! Notices that the store was silent, or that a watch will never be answered.
//!
//! A call that arrives while the store is silent is never answered, also after the store is
//! back. A watch that waits for changes can't be told from such a call. So a cheap call at a
//! short interval asks for the changes of one kind after another that are not known yet, and
//! is answered at once. If the store answers again after a missed answer, all calls that wait
//! are sent again; if changes of a kind stay unknown, those of that kind are. After several
//! missed answers the store is lost.

use std::time::Duration;
use std::time::Instant;

use async_std::task;
use corianderway_platform::store;
use corianderway_platform::store::Call;
use corianderway_platform::store::Kind;
use corianderway_wire::log_line::LogLine;
use log::Level;

use crate::edge::notifier::Notifier;
use crate::edge::store::log_event;
use crate::edge::store::log_silence;
use crate::edge::store::send_call;
use crate::edge::store::Context;
use crate::edge::store::OK;
use crate::edge::store::PROBE_TIMEOUT;

/// The interval between two checks.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// The number of checks in a row without an answer after which the store is lost. One answer
/// may be lost to the network.
const MAX_MISSED: u32 = 2;

/// The kinds that are checked in turn: those whose changes must be in force in time.
const CHECKED_KINDS: [Kind; 3] = [Kind::Configuration, Kind::Servers, Kind::Evacuations];

/// The answer to a check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Answer {
    /// The store did not answer.
    Missed,
    /// Nothing has changed, or the answer doesn't tell.
    NoNews,
    /// There are changes after the revision that was known, and is still the latest known.
    News(u64),
}

/// Checks the store; returns the number of missed answers once it is lost.
pub(super) async fn run(ctx: &Context) -> u32 {
    let mut missed = 0;
    let mut kinds = CHECKED_KINDS.into_iter().cycle();
    // A kind with unknown changes, and the revision up to which it was known.
    let mut suspect: Option<(Kind, u64)> = None;
    while missed < MAX_MISSED {
        // A call without an answer is repeated at once.
        if missed == 0 {
            task::sleep(HEARTBEAT_INTERVAL).await;
        }
        // A suspect kind is checked again: its watch may be about to bring the changes.
        let next = suspect.map(|row| row.0).or_else(|| kinds.next());
        let kind = next.unwrap_or(Kind::Configuration);
        let begun = Instant::now();
        let answer = check(ctx, kind).await;
        log_check(ctx, kind, answer, begun.elapsed());
        if answer == Answer::Missed {
            missed += 1;
            continue;
        }
        if missed > 0 {
            log_silence(ctx, "store-answers", missed);
            ctx.resend.iter().for_each(Notifier::notify);
        }
        missed = 0;
        suspect = match answer {
            Answer::News(known) if suspect == Some((kind, known)) => {
                log_event(ctx, "watch-deaf", kind, "changes stay unknown");
                ctx.resend[kind as usize].notify();
                None
            }
            Answer::News(known) => Some((kind, known)),
            Answer::NoNews | Answer::Missed => None,
        };
    }
    missed
}

async fn check(ctx: &Context, kind: Kind) -> Answer {
    let known = ctx.copy.borrow().of(kind).revision;
    let call = Call::check(kind, known.unwrap_or(0));
    let Some(reply) = send_call(&ctx.client, &call, PROBE_TIMEOUT).await else {
        return Answer::Missed;
    };
    // Any other status is an answer as well: what waits is not affected by it.
    let changes = (reply.status == OK).then(|| store::parse_changes(&reply.body).ok());
    let has_changes = changes.flatten().is_some_and(|c| !c.changes.is_empty());
    let is_unchanged = ctx.copy.borrow().of(kind).revision == known;
    match known {
        Some(known) if has_changes && is_unchanged => Answer::News(known),
        Some(_) | None => Answer::NoNews,
    }
}

// Logs a check that was missed or told news. Of the others it is enough that they were in turn.
fn log_check(ctx: &Context, kind: Kind, answer: Answer, took: Duration) {
    if answer != Answer::NoNews {
        let line = LogLine::new("store-check")
            .with("kind", kind.as_str())
            .with("answer", format!("{answer:?}"))
            .with("took_ms", took.as_millis());
        ctx.log.put(Level::Info, line);
    }
}
