//! What changed in the store, told to the decision duty in the product's own types.

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

use crate::edge::entries;
use crate::edge::store::event;
use crate::edge::store::note;
use crate::edge::store::Desk;

/// Tells the decision duty what changed in the copy of a kind.
pub(super) async fn tell(desk: &Rc<Desk>, kind: Kind, news: &[Change]) {
    match kind {
        Kind::Configuration => {
            for plan in plans(desk, news) {
                event(desk, Event::Plan(plan.into())).await;
            }
        }
        Kind::Servers => event(desk, Event::Servers(servers(desk, news))).await,
        Kind::Orders => {
            event(
                desk,
                Event::Orders(decode(desk, kind, objects::parse_order)),
            )
            .await
        }
        Kind::Evacuations => {
            let domains = decode(desk, kind, objects::parse_evacuation);
            event(desk, Event::Evacuated(domains)).await;
        }
        Kind::Members => {
            let members = decode(desk, kind, objects::parse_member);
            event(desk, Event::Members(members)).await;
            let me = desk.me.entry.id.as_str();
            let gone = |change: &Change| matches!(change, Change::Removed(name) if **name == *me);
            if news.iter().any(gone) {
                task::spawn_local(entries::enlist(Rc::clone(desk)));
            }
        }
    }
    let latest = desk.copies.borrow().latest();
    event(desk, Event::Revision(latest)).await;
}

fn plans(desk: &Desk, news: &[Change]) -> Vec<Plan> {
    let mut plans = Vec::new();
    for change in news {
        let Change::Put(object) = change else {
            continue;
        };
        match objects::parse_plan(object) {
            Ok(plan) => plans.push(plan),
            Err(error) => refused(desk, Kind::Configuration, object, &error),
        }
    }
    plans
}

fn servers(desk: &Desk, news: &[Change]) -> Vec<ServerChange> {
    let mut changes = Vec::new();
    for change in news {
        match change {
            Change::Put(object) => match objects::parse_server(object, &desk.regions) {
                Ok(listed) => changes.push(ServerChange::Put(listed)),
                Err(error) => refused(desk, Kind::Servers, object, &error),
            },
            // An entry under another kind of name was never taken.
            Change::Removed(name) => {
                let id = ServerId::try_from(&**name).ok();
                changes.extend(id.map(ServerChange::Removed));
            }
        }
    }
    changes
}

fn decode<T>(desk: &Desk, kind: Kind, read: impl Fn(&Object) -> Result<T, ObjectError>) -> Vec<T> {
    let copies = desk.copies.borrow();
    let mut decoded = Vec::new();
    for object in copies.of(kind).objects() {
        match read(object) {
            Ok(value) => decoded.push(value),
            Err(error) => refused(desk, kind, object, &error),
        }
    }
    decoded
}

// An entry that another writer left, or one that a fault spoilt.
fn refused(desk: &Desk, kind: Kind, object: &Object, error: &ObjectError) {
    let why = format!("{}: {error}", object.name);
    note(desk, "object-refused", kind, &why);
}
