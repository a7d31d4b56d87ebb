//! The platform duty: reads, watches and writes objects of the platform's object API.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_std::task;
use corianderway_node::Event;
use corianderway_node::Held;
use corianderway_node::Ticket;
use corianderway_node::Write;
use corianderway_node::Wrote;
use corianderway_wire::stored;
use corianderway_wire::stored::Instances;
use corianderway_wire::stored::Listing;
use corianderway_wire::stored::Stored;
use corianderway_wire::stored::Written;

use crate::client::Client;
use crate::client::Reply;
use crate::rings::Input;
use crate::rings::Order;

/// The time between two reads of the instance list.
const INSTANCES: Duration = Duration::from_secs(1);

/// How long a watch waits at the platform.
const WATCH: Duration = Duration::from_secs(20);

/// The longest wait for an answer beyond a watch's own.
const ANSWER: Duration = Duration::from_secs(2);

/// The pause after a failed call.
const PAUSE: Duration = Duration::from_millis(500);

/// What the tasks of the duty share.
#[derive(Debug)]
struct Desk {
    client: Client,
    decisions: Sender<Input>,
    watching: Cell<bool>,
}

/// Runs until the decision duty is gone.
pub fn run(platform: SocketAddr, orders: Receiver<Order>, decisions: Sender<Input>) {
    task::block_on(async move {
        let desk = Rc::new(Desk {
            client: Client::new(platform),
            decisions,
            watching: Cell::new(true),
        });
        task::spawn_local(poll_instances(Rc::clone(&desk)));
        task::spawn_local(watch(Rc::clone(&desk)));
        while let Ok(order) = orders.recv().await {
            match order {
                Order::Write(ticket, write) => {
                    task::spawn_local(put(Rc::clone(&desk), ticket, write));
                }
                Order::Read(ticket, kind, name) => {
                    task::spawn_local(read(Rc::clone(&desk), ticket, kind, name));
                }
                Order::Watch(on) => desk.watching.set(on),
            }
        }
    });
}

async fn poll_instances(desk: Rc<Desk>) {
    loop {
        let reply = desk
            .client
            .call("GET", "/instances", &[], None, ANSWER)
            .await;
        let list = reply.ok().and_then(|r| r.json::<Instances>());
        tell(&desk, Event::Platform { up: list.is_some() }).await;
        if let Some(Instances { entries, backends }) = list {
            tell(&desk, Event::Instances { entries, backends }).await;
        }
        task::sleep(INSTANCES).await;
    }
}

async fn watch(desk: Rc<Desk>) {
    let mut since = None;
    loop {
        if !desk.watching.get() {
            since = None;
            task::sleep(PAUSE).await;
            continue;
        }
        let next = match since {
            None => list_all(&desk).await,
            Some(revision) => watch_once(&desk, revision).await,
        };
        if next.is_none() {
            task::sleep(PAUSE).await;
        }
        since = next;
    }
}

// Lists every kind; the lowest revision is where the watch begins.
async fn list_all(desk: &Desk) -> Option<u64> {
    let mut lowest = None;
    for kind in stored::collections() {
        let path = format!("/objects/{kind}");
        let reply = desk.client.call("GET", &path, &[], None, ANSWER).await;
        let listing: Listing = reply.ok()?.json()?;
        let revision = listing.revision;
        lowest = Some(lowest.map_or(revision, |low: u64| low.min(revision)));
        give(desk, listing).await;
    }
    lowest
}

async fn watch_once(desk: &Desk, since: u64) -> Option<u64> {
    let kinds = stored::collections().collect::<Vec<_>>().join(",");
    let wait = WATCH.as_millis();
    let path = format!("/watch?kinds={kinds}&since={since}&wait_ms={wait}");
    let reply = desk
        .client
        .call("GET", &path, &[], None, WATCH + ANSWER)
        .await;
    let listing: Listing = reply.ok()?.json()?;
    let revision = listing.revision;
    give(desk, listing).await;
    Some(revision)
}

async fn give(desk: &Desk, listing: Listing) {
    let objects = listing.objects.into_iter().filter_map(Stored::object);
    let objects = objects.collect();
    tell(desk, Event::Objects(objects)).await;
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
        Err(unsent) if unsent.nothing_sent => Wrote::Unreached,
        Err(_) => Wrote::Unknown,
    };
    tell(&desk, Event::Wrote { ticket, wrote }).await;
}

fn wrote(reply: &Reply) -> Wrote {
    match reply.status {
        200 | 201 => match reply.json::<Written>() {
            Some(written) => Wrote::Done(written.version),
            None => Wrote::Unknown,
        },
        412 => Wrote::Conflict(reply.json::<Option<Stored>>().flatten().map(Held::from)),
        404 => Wrote::Conflict(None),
        // A refusal before the write took effect, such as too large a value.
        400..=499 => Wrote::Unreached,
        _ => Wrote::Unknown,
    }
}

// Settles a write whose answer was lost: what is stored now decides.
async fn read(desk: Rc<Desk>, ticket: Ticket, kind: Arc<str>, name: Arc<str>) {
    let path = format!("/objects/{kind}/{name}");
    let reply = desk.client.call("GET", &path, &[], None, ANSWER).await;
    let wrote = match reply {
        Ok(reply) if reply.status == 200 => match reply.json::<Stored>() {
            Some(stored) => Wrote::Conflict(Some(stored.into())),
            None => Wrote::Unknown,
        },
        Ok(reply) if reply.status == 404 => Wrote::Conflict(None),
        Ok(_) | Err(_) => Wrote::Unknown,
    };
    tell(&desk, Event::Wrote { ticket, wrote }).await;
}

async fn tell(desk: &Desk, event: Event) {
    // The decision duty ends last; when it is gone, so is the process.
    drop(desk.decisions.send(Input::Event(event)).await);
}
