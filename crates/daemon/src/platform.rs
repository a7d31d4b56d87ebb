//! The platform duty: reads, watches and writes objects of the platform's object API.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_std::task;
use corianderway_control::Object;
use corianderway_control::SWEEP_PAGE;
use corianderway_control::WATCH_TIMEOUT;
use corianderway_node::Event;
use corianderway_node::ReadOutcome;
use corianderway_node::StoredValue;
use corianderway_node::Ticket;
use corianderway_node::Write;
use corianderway_node::WriteOutcome;
use corianderway_wire::stored;
use corianderway_wire::stored::Instances;
use corianderway_wire::stored::Listing;
use corianderway_wire::stored::StoredObject;
use corianderway_wire::stored::Written;

use crate::client::Client;
use crate::client::Reply;
use crate::rings::Input;
use crate::rings::Order;

/// The time between two reads of the instance list.
const INSTANCES: Duration = Duration::from_secs(1);

/// The longest wait for an answer beyond a watch's own.
const ANSWER: Duration = Duration::from_secs(2);

/// The status of an answer that holds what was asked for.
const OK: u16 = 200;

/// The status of an answer when there is no such object.
const NOT_FOUND: u16 = 404;

/// The status of an answer when a condition does not hold.
const CONFLICT: u16 = 412;

/// What the tasks of the duty share.
#[derive(Debug)]
struct Desk {
    client: Client,
    decisions: Sender<Input>,
}

/// Runs until the decision duty is gone.
pub fn run(platform: SocketAddr, orders: Receiver<Order>, decisions: Sender<Input>) {
    task::block_on(async move {
        let desk = Rc::new(Desk {
            client: Client::new(platform),
            decisions,
        });
        task::spawn_local(poll_instances(Rc::clone(&desk)));
        while let Ok(order) = orders.recv().await {
            let desk = Rc::clone(&desk);
            match order {
                Order::Write(ticket, write) => task::spawn_local(put(desk, ticket, write)),
                Order::Read(ticket, kind, name) => {
                    task::spawn_local(read(desk, ticket, kind, name))
                }
                Order::Claims => task::spawn_local(list_claims(desk)),
                Order::List(call) => task::spawn_local(list(desk, call)),
                Order::Watch(call, after) => task::spawn_local(watch(desk, call, after)),
            };
        }
    });
}

async fn poll_instances(desk: Rc<Desk>) {
    loop {
        let reply = desk
            .client
            .call("GET", "/instances", &[], None, ANSWER)
            .await;
        if let Some(list) = reply.ok().and_then(|r| r.json::<Instances>()) {
            let Instances { entries, backends } = list;
            tell(&desk, Event::InstancesListed { entries, backends }).await;
        }
        task::sleep(INSTANCES).await;
    }
}

async fn list(desk: Rc<Desk>, call: u64) {
    let event = match list_all(&desk).await {
        Some((revision, objects)) => Event::ConfigListed {
            call,
            revision,
            objects,
        },
        None => Event::ConfigCallFailed { call },
    };
    tell(&desk, event).await;
}

// Lists every kind; the lowest revision is where a watch begins.
async fn list_all(desk: &Desk) -> Option<(u64, Vec<Object>)> {
    let mut lowest = u64::MAX;
    let mut objects = Vec::new();
    for kind in stored::collections() {
        let path = format!("/objects/{kind}");
        let reply = desk.client.call("GET", &path, &[], None, ANSWER).await;
        let listing: Listing = reply.ok().filter(|r| r.status == OK)?.json()?;
        lowest = lowest.min(listing.revision);
        objects.extend(
            listing
                .objects
                .into_iter()
                .filter_map(StoredObject::into_object),
        );
    }
    Some((lowest, objects))
}

// The platform may know no limit and list all; the first ones are taken.
async fn list_claims(desk: Rc<Desk>) {
    let path = format!("/objects/claims?limit={SWEEP_PAGE}");
    let reply = desk.client.call("GET", &path, &[], None, ANSWER).await;
    let listing = reply.ok().filter(|r| r.status == OK);
    let listing = listing.and_then(|r| r.json::<Listing>());
    let claims = listing.map(|listing| {
        let mut objects = listing.objects;
        objects.sort_by(|a, b| a.name.cmp(&b.name));
        objects.truncate(SWEEP_PAGE);
        let named = |stored: StoredObject| (stored.name.as_str().into(), StoredValue::from(stored));
        objects.into_iter().map(named).collect()
    });
    tell(&desk, Event::ClaimsListed(claims)).await;
}

async fn watch(desk: Rc<Desk>, call: u64, after: u64) {
    let kinds = stored::collections().collect::<Vec<_>>().join(",");
    let wait = WATCH_TIMEOUT.as_millis();
    let path = format!("/watch?kinds={kinds}&since={after}&wait_ms={wait}");
    let limit = WATCH_TIMEOUT + ANSWER;
    let reply = desk.client.call("GET", &path, &[], None, limit).await;
    let listing = reply.ok().filter(|r| r.status == OK);
    let event = match listing.and_then(|r| r.json::<Listing>()) {
        Some(listing) => Event::ConfigWatched {
            call,
            revision: listing.revision,
            objects: listing
                .objects
                .into_iter()
                .filter_map(StoredObject::into_object)
                .collect(),
        },
        None => Event::ConfigCallFailed { call },
    };
    tell(&desk, event).await;
}

async fn put(desk: Rc<Desk>, ticket: Ticket, write: Write) {
    let Write {
        kind,
        name,
        expect,
        value,
    } = write;
    let path = format!("/objects/{kind}/{name}");
    let condition = match expect {
        Some(version) => ("if-match", format!("\"{version}\"")),
        None => ("if-none-match", "*".to_owned()),
    };
    let method = if value.is_some() { "PUT" } else { "DELETE" };
    let body = value.map(|v| v.to_string());
    let reply = desk
        .client
        .call(method, &path, &[condition], body, ANSWER)
        .await;
    let wrote = match reply {
        Ok(reply) => wrote(&reply),
        Err(unsent) if unsent.nothing_sent => WriteOutcome::NotSent,
        Err(_) => WriteOutcome::Unknown,
    };
    tell(&desk, Event::WriteEnded { ticket, wrote }).await;
}

fn wrote(reply: &Reply) -> WriteOutcome {
    match reply.status {
        OK | 201 => match reply.json::<Written>() {
            Some(written) => WriteOutcome::Written(written.version),
            None => WriteOutcome::Unknown,
        },
        CONFLICT => WriteOutcome::Conflict(
            reply
                .json::<Option<StoredObject>>()
                .flatten()
                .map(StoredValue::from),
        ),
        NOT_FOUND => WriteOutcome::Conflict(None),
        // A refusal before the write took effect, such as too large a value.
        400..=499 => WriteOutcome::NotSent,
        _ => WriteOutcome::Unknown,
    }
}

async fn read(desk: Rc<Desk>, ticket: Ticket, kind: Arc<str>, name: Arc<str>) {
    let path = format!("/objects/{kind}/{name}");
    let reply = desk.client.call("GET", &path, &[], None, ANSWER).await;
    let found = match reply {
        Ok(reply) if reply.status == OK => match reply.json::<StoredObject>() {
            Some(stored) => ReadOutcome::Found(stored.into()),
            None => ReadOutcome::Unknown,
        },
        Ok(reply) if reply.status == NOT_FOUND => ReadOutcome::Absent,
        Ok(_) | Err(_) => ReadOutcome::Unknown,
    };
    tell(&desk, Event::ReadEnded { ticket, found }).await;
}

async fn tell(desk: &Desk, event: Event) {
    // The decision duty ends last; when it is gone, so is the process.
    drop(desk.decisions.send(Input::Event(event)).await);
}
