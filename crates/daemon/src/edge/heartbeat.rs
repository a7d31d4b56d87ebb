//! Notices that the store was silent, or that a watch will never be answered.
//!
//! A call that arrives while the store is silent is never answered, also after the store is
//! back. So the store is asked at a short interval, as the decision core says. If it answers
//! again after a missed answer, all calls that wait are sent again; if a check finds changes
//! that are not known yet, the watch of their kind is. After several missed answers the store
//! is lost.
//!
//! The checks begin once all kinds are listed. A slow store may answer lists in time and checks
//! too late, and lists fail by themselves.

use std::time::Duration;
use std::time::Instant;

use async_std::task;
use corianderway_model::Revision;
use corianderway_platform::store;
use corianderway_platform::store::Call;
use corianderway_steer::CheckAnswer;
use corianderway_steer::Event;
use corianderway_steer::InputKind;
use corianderway_steer::Remedy;
use corianderway_steer::Revisions;
use corianderway_steer::MAX_MISSED;
use corianderway_wire::log_line::LogLine;
use log::Level;

use crate::edge::copy::store_kind;
use crate::edge::notifier::Notifier;
use crate::edge::store::log_event;
use crate::edge::store::log_silence;
use crate::edge::store::send_call;
use crate::edge::store::send_event;
use crate::edge::store::Context;
use crate::edge::store::CHECK_TIMEOUT;
use crate::edge::store::OK;

/// Checks the store; returns the number of missed answers once it is lost.
pub(super) async fn run(ctx: &Context) -> u32 {
    let mut checks = ctx.checks.clone();
    loop {
        until_current(ctx).await;
        task::sleep(checks.delay(&known(ctx))).await;
        let input = checks.choose(&known(ctx));
        let begun = Instant::now();
        let answer = check(ctx, input).await;
        log_check(ctx, input, answer, begun.elapsed());
        if answer == CheckAnswer::Missed {
            send_event(ctx, Event::CheckMissed).await;
        }
        let kind = store_kind(input);
        match checks.answer(input, answer) {
            // Between two watches none waits, and the next one, or a list that is under way,
            // brings the changes.
            Some(Remedy::Resend(_)) if ctx.awaits_changes(kind) => {
                log_event(ctx, "watch-deaf", kind, "changes not known yet");
                ctx.resend[kind as usize].notify();
            }
            Some(Remedy::Resend(_)) | None => (),
            Some(Remedy::ResendAll) => {
                log_silence(ctx, "store-answers", MAX_MISSED - 1);
                ctx.resend.iter().for_each(Notifier::notify);
            }
            Some(Remedy::Lose) => return MAX_MISSED,
        }
    }
}

async fn until_current(ctx: &Context) {
    let changes = ctx.notifier.subscribe();
    while !ctx.is_current() && changes.recv().await.is_ok() {}
}

// Returns the revisions up to which each kind is known.
fn known(ctx: &Context) -> Revisions {
    ctx.copy.borrow().revisions().1
}

async fn check(ctx: &Context, input: InputKind) -> CheckAnswer {
    let kind = store_kind(input);
    let known = ctx.copy.borrow().of(kind).revision;
    let call = Call::check(kind, known.unwrap_or_default());
    let Some(reply) = send_call(ctx, &call, CHECK_TIMEOUT).await else {
        return CheckAnswer::Missed;
    };
    // Any other status is an answer as well: what waits is not affected by it.
    let told = (reply.status == OK).then(|| store::parse_changes(&reply.body, reply.era).ok());
    let (has_changes, revision) = told.flatten().map_or((false, Revision::default()), |told| {
        (!told.changes.is_empty(), told.revision)
    });
    let is_unchanged = ctx.copy.borrow().of(kind).revision == known;
    // A revision that was given out again tells nothing of what changed since the known one.
    let is_same_era = known.is_some_and(|known| known.era == reply.era);
    let news = has_changes && is_same_era && is_unchanged;
    CheckAnswer::Told { revision, news }
}

// Logs a check without an answer, or with unknown changes.
fn log_check(ctx: &Context, input: InputKind, answer: CheckAnswer, took: Duration) {
    if matches!(answer, CheckAnswer::Told { news: false, .. }) {
        return;
    }
    let line = LogLine::new("store-check")
        .with("kind", store_kind(input).as_str())
        .with("answer", format!("{answer:?}"))
        .with("known", known(ctx).of(input))
        .with("took_ms", took.as_millis());
    ctx.log.put(Level::Info, line);
}
