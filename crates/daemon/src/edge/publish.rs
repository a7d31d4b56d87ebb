//! Publishes changes in the copy of the store to the decision duty.
//!
//! Objects of the store are decoded into the types of the decision core. An
//! object that can't be decoded is logged and not used, and neither is what was listed under
//! its name before. Only a configuration stays in force until another one can be decoded.

use std::rc::Rc;

use async_std::task;
use corianderway_model::ServerId;
use corianderway_platform::objects;
use corianderway_platform::objects::ObjectError;
use corianderway_platform::store::Change;
use corianderway_platform::store::Kind;
use corianderway_platform::store::Object;
use corianderway_steer::Event;
use corianderway_steer::Plan;
use corianderway_steer::ServerChange;

use crate::edge::store::log_event;
use crate::edge::store::send_event;
use crate::edge::store::Context;
use crate::edge::writes;

/// Sends the changes in the copy of a kind to the decision duty as events.
///
/// An instance whose own entry was removed or overwritten registers again, and so does one whose
/// entry may be missing in an older copy of the store.
pub(super) async fn publish(ctx: &Rc<Context>, kind: Kind, changes: &[Change]) {
    match kind {
        Kind::Configuration => {
            for plan in plans(ctx, changes) {
                send_event(ctx, Event::Plan(plan.into())).await;
            }
        }
        Kind::Servers => send_event(ctx, Event::Servers(servers(ctx, changes))).await,
        Kind::Orders => {
            send_event(ctx, Event::Orders(decode(ctx, kind, objects::parse_order))).await;
        }
        Kind::Evacuations => {
            let domains = decode(ctx, kind, objects::parse_evacuation);
            send_event(ctx, Event::Evacuated(domains)).await;
        }
        Kind::Members => {
            let members = decode(ctx, kind, objects::parse_member);
            send_event(ctx, Event::Members(members)).await;
            let me = ctx.me.entry.id.as_str();
            let is_lost = |change: &Change| match change {
                Change::Removed(name) => **name == *me,
                Change::Put(object) => {
                    *object.name == *me && objects::parse_member(object).is_err()
                }
            };
            if changes.iter().any(is_lost) | ctx.begin_registration() {
                task::spawn_local(writes::register(Rc::clone(ctx)));
            }
        }
    }
    let (changed, known) = ctx.copy.borrow().revisions();
    send_event(ctx, Event::Revisions { changed, known }).await;
}

fn plans(ctx: &Context, changes: &[Change]) -> Vec<Plan> {
    let mut plans = Vec::new();
    for change in changes {
        let Change::Put(object) = change else {
            continue;
        };
        match objects::parse_plan(object) {
            Ok(plan) => plans.push(plan),
            Err(error) => log_undecodable(ctx, Kind::Configuration, object, &error),
        }
    }
    plans
}

fn servers(ctx: &Context, changes: &[Change]) -> Vec<ServerChange> {
    let mut decoded = Vec::new();
    for change in changes {
        match change {
            Change::Put(object) => match objects::parse_server(object, &ctx.regions) {
                Ok(listed) => decoded.push(ServerChange::Put(listed)),
                Err(error) => {
                    log_undecodable(ctx, Kind::Servers, object, &error);
                    let id = ServerId::try_from(&*object.name).ok();
                    let revision = object.revision;
                    decoded.extend(id.map(|id| ServerChange::Unusable { id, revision }));
                }
            },
            // An object whose name is no server id was never accepted.
            Change::Removed(name) => {
                let id = ServerId::try_from(&**name).ok();
                decoded.extend(id.map(ServerChange::Removed));
            }
        }
    }
    decoded
}

// Decodes all objects of a kind.
fn decode<T>(
    ctx: &Context,
    kind: Kind,
    read: impl Fn(&Object) -> Result<T, ObjectError>,
) -> Vec<T> {
    let copy = ctx.copy.borrow();
    let mut decoded = Vec::new();
    for object in copy.of(kind).objects() {
        match read(object) {
            Ok(value) => decoded.push(value),
            Err(error) => log_undecodable(ctx, kind, object, &error),
        }
    }
    decoded
}

// Logs an object that can't be decoded: another program may have written it, or
// it is corrupt.
fn log_undecodable(ctx: &Context, kind: Kind, object: &Object, error: &ObjectError) {
    let why = format!("{}: {error}", object.name);
    log_event(ctx, "object-refused", kind, &why);
}
