//! Writes to the store: this instance's own entry, the progress of version
//! moves, and the removal of entries whose instances are gone.

use std::rc::Rc;

use async_std::task;
use corianderway_platform::objects;
use corianderway_platform::store;
use corianderway_platform::store::Call;
use corianderway_platform::store::Consistency;
use corianderway_platform::store::Kind;
use corianderway_platform::store::Object;
use corianderway_steer::Event;
use corianderway_steer::Member;
use corianderway_steer::Order;
use corianderway_steer::Progress;
use corianderway_wire::log_line::LogLine;
use log::Level;

use crate::edge::store::log_event;
use crate::edge::store::send_call;
use crate::edge::store::send_event;
use crate::edge::store::Answer;
use crate::edge::store::Context;
use crate::edge::store::ANSWER_TIMEOUT;
use crate::edge::store::CONFLICT;
use crate::edge::store::CREATED;
use crate::edge::store::FIRST_RETRY_DELAY;
use crate::edge::store::MAX_RETRY_DELAY;
use crate::edge::store::NOT_FOUND;
use crate::edge::store::OK;
use crate::edge::watch;

/// Lists the other instances and writes this instance's entry; retries until
/// the store has the entry.
pub(super) async fn register(ctx: Rc<Context>) {
    let mut delay = FIRST_RETRY_DELAY;
    while !write_entry(&ctx).await {
        task::sleep(delay.mul_f64(0.5 + rand::random::<f64>() / 2.0)).await;
        delay = (delay * 2).min(MAX_RETRY_DELAY);
    }
    log_event(&ctx, "enlisted", Kind::Members, "");
}

async fn write_entry(ctx: &Rc<Context>) -> bool {
    let (name, spec) = (ctx.me.entry.id.as_str(), objects::write_member(&ctx.me));
    if ctx.copy.borrow().of(Kind::Members).revision.is_none() {
        // A cached list may be seconds old; the source replaces it soon.
        if let Err(fault) = watch::list(ctx, Kind::Members, Consistency::Cached).await {
            log_event(ctx, "store-fault", Kind::Members, &format!("{fault:?}"));
            return false;
        }
        send_event(ctx, Event::ProbeAnswered).await;
    }
    let existing = ctx.copy.borrow().of(Kind::Members).object(name).cloned();
    if let Some(object) = existing {
        if overwrite(ctx, &spec, object).await {
            return true;
        }
    }
    let create = Call::create(Kind::Members, name, &spec);
    match send_call(ctx, &create, ANSWER_TIMEOUT).await {
        Some(reply) if matches!(reply.status, OK | CREATED) => true,
        Some(reply) if reply.status == CONFLICT => {
            match store::parse_object(&reply.body, reply.era) {
                Ok(object) => overwrite(ctx, &spec, object).await,
                Err(error) => {
                    log_event(ctx, "object-unread", Kind::Members, &error.to_string());
                    false
                }
            }
        }
        reply => {
            log_event(ctx, "unenlisted", Kind::Members, &result_of(reply.as_ref()));
            false
        }
    }
}

// Replaces the entry of an earlier run of this instance. Returns true at once
// if the entry is already as intended, as after a write whose answer was lost.
async fn overwrite(ctx: &Context, spec: &str, object: Object) -> bool {
    if objects::parse_member(&object).is_ok_and(|member| member == ctx.me) {
        return true;
    }
    let name = ctx.me.entry.id.as_str();
    let call = Call::replace(Kind::Members, name, object.revision, spec);
    let reply = send_call(ctx, &call, ANSWER_TIMEOUT).await;
    let done = reply.as_ref().is_some_and(|reply| reply.status == OK);
    if !done {
        log_event(ctx, "unenlisted", Kind::Members, &result_of(reply.as_ref()));
    }
    done
}

// Describes the answer to a call for the log.
fn result_of(reply: Option<&Answer>) -> String {
    reply.map_or("no answer".to_owned(), |r| format!("status {}", r.status))
}

/// Writes the progress of a version move; the decision duty repeats the command
/// until the store lists it.
pub(super) async fn report(ctx: &Context, order: &Order, progress: Progress) {
    // The number may have been given out again.
    if order.revision.era < ctx.era() {
        return;
    }
    let status = objects::write_progress(order, progress);
    let name = order.service.as_str();
    let call = Call::update_status(Kind::Orders, name, order.revision, &status);
    let reply = send_call(ctx, &call, ANSWER_TIMEOUT).await;
    let result = result_of(reply.as_ref());
    let line = LogLine::new("move-reported")
        .with("service", name)
        .with("target", &order.target)
        .with("progress", format!("{progress:?}"))
        .with("revision", order.revision)
        .with("result", result);
    ctx.log.put(Level::Info, line);
}

/// Removes the entry of an instance that is gone.
pub(super) async fn remove_member(ctx: &Context, member: &Member) {
    let name = member.entry.id.as_str();
    let existing = ctx.copy.borrow().of(Kind::Members).object(name).cloned();
    let Some(object) = existing.filter(|object| object.revision.era == ctx.era()) else {
        return;
    };
    let call = Call::remove(Kind::Members, name, object.revision);
    let reply = send_call(ctx, &call, ANSWER_TIMEOUT).await;
    let gone = reply.is_some_and(|reply| matches!(reply.status, OK | NOT_FOUND));
    let line = LogLine::new("instance-forgotten").with("instance", name);
    ctx.log.put(Level::Info, line.with("done", gone));
}
