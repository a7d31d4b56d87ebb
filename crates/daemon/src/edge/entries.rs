//! What an instance writes to the store: its own entry, the progress of moves,
//! and the removal of entries that outlived their instances.

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

use crate::edge::store::event;
use crate::edge::store::note;
use crate::edge::store::send;
use crate::edge::store::Desk;
use crate::edge::store::ANSWER;
use crate::edge::store::CONFLICT;
use crate::edge::store::CREATED;
use crate::edge::store::NOT_FOUND;
use crate::edge::store::OK;
use crate::edge::store::PAUSE;
use crate::edge::store::PAUSE_MOST;
use crate::edge::watch;

/// Learns of the other instances and writes this one's entry, until the store
/// has it.
pub(super) async fn enlist(desk: Rc<Desk>) {
    let mut pause = PAUSE;
    while !write_entry(&desk).await {
        task::sleep(pause.mul_f64(0.5 + rand::random::<f64>() / 2.0)).await;
        pause = (pause * 2).min(PAUSE_MOST);
    }
    note(&desk, "enlisted", Kind::Members, "");
}

async fn write_entry(desk: &Rc<Desk>) -> bool {
    let (name, spec) = (desk.me.entry.id.as_str(), objects::write_member(&desk.me));
    if desk.copies.borrow().of(Kind::Members).revision.is_none() {
        // What may be seconds old is soon superseded by what is followed.
        if let Err(fault) = watch::list(desk, Kind::Members, Consistency::Cached).await {
            note(desk, "store-fault", Kind::Members, &format!("{fault:?}"));
            return false;
        }
        event(desk, Event::ProbeAnswered).await;
    }
    let known = desk.copies.borrow().of(Kind::Members).object(name).cloned();
    if let Some(object) = known {
        if overwrite(desk, &spec, object).await {
            return true;
        }
    }
    let create = Call::create(Kind::Members, name, &spec);
    match send(&desk.client, &create, ANSWER).await {
        Some(reply) if matches!(reply.status, OK | CREATED) => true,
        Some(reply) if reply.status == CONFLICT => match store::parse_object(&reply.body) {
            Ok(object) => overwrite(desk, &spec, object).await,
            Err(error) => {
                note(desk, "object-unread", Kind::Members, &error.to_string());
                false
            }
        },
        Some(_) | None => false,
    }
}

// Replaces the entry of an earlier run of this instance; also settles a write
// whose answer was lost.
async fn overwrite(desk: &Desk, spec: &str, object: Object) -> bool {
    if objects::parse_member(&object).is_ok_and(|member| member == desk.me) {
        return true;
    }
    let name = desk.me.entry.id.as_str();
    let call = Call::replace(Kind::Members, name, object.revision, spec);
    let reply = send(&desk.client, &call, ANSWER).await;
    reply.is_some_and(|reply| reply.status == OK)
}

/// Records how far a move has come; repeated by the decisions until it is listed.
pub(super) async fn report(desk: &Desk, order: &Order, progress: Progress) {
    let status = objects::write_progress(order, progress);
    let name = order.service.as_str();
    let call = Call::update_status(Kind::Orders, name, order.revision, &status);
    let reply = send(&desk.client, &call, ANSWER).await;
    let result = reply.map_or("no answer".to_owned(), |r| format!("status {}", r.status));
    let line = LogLine::new("move-reported")
        .with("service", name)
        .with("target", &order.target)
        .with("progress", format!("{progress:?}"))
        .with("revision", order.revision)
        .with("result", result);
    desk.log.put(Level::Info, line);
}

/// Removes the entry of an instance that is gone.
pub(super) async fn forget(desk: &Desk, member: &Member) {
    let name = member.entry.id.as_str();
    let known = desk.copies.borrow().of(Kind::Members).object(name).cloned();
    let Some(object) = known else {
        return;
    };
    let call = Call::remove(Kind::Members, name, object.revision);
    let reply = send(&desk.client, &call, ANSWER).await;
    let gone = reply.is_some_and(|reply| matches!(reply.status, OK | NOT_FOUND));
    let line = LogLine::new("instance-forgotten").with("instance", name);
    desk.log.put(Level::Info, line.with("done", gone));
}
