//! The platform duty: reads, watches and writes objects over the platform's object API.
//!
//! Each command runs as a task of its own and ends with one event to the decision
//! duty.

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
use crate::rings::Command;
use crate::rings::Input;

/// The interval between two reads of the instance list.
const INSTANCES_INTERVAL: Duration = Duration::from_secs(1);

/// The timeout of a call; a watch adds its own timeout to it.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// The status of a response with the requested content.
const OK: u16 = 200;

/// The status of a response if the object doesn't exist.
const NOT_FOUND: u16 = 404;

/// The status of a response if a precondition failed.
const PRECONDITION_FAILED: u16 = 412;

/// The state shared by the tasks of the duty.
#[derive(Debug)]
struct Context {
    client: Client,
    decisions: Sender<Input>,
}

/// Runs until the decision duty has ended.
pub fn run(platform: SocketAddr, commands: Receiver<Command>, decisions: Sender<Input>) {
    task::block_on(async move {
        let ctx = Rc::new(Context {
            client: Client::new(platform),
            decisions,
        });
        task::spawn_local(poll_instances(Rc::clone(&ctx)));
        while let Ok(command) = commands.recv().await {
            let ctx = Rc::clone(&ctx);
            match command {
                Command::Write(ticket, write) => task::spawn_local(put(ctx, ticket, write)),
                Command::Read(ticket, kind, name) => {
                    task::spawn_local(read(ctx, ticket, kind, name))
                }
                Command::Claims => task::spawn_local(list_claims(ctx)),
                Command::List(call) => task::spawn_local(list(ctx, call)),
                Command::Watch(call, after) => task::spawn_local(watch(ctx, call, after)),
            };
        }
    });
}

async fn poll_instances(ctx: Rc<Context>) {
    loop {
        let reply = ctx
            .client
            .call("GET", "/instances", &[], None, ANSWER_TIMEOUT)
            .await;
        if let Some(list) = reply.ok().and_then(|r| r.json::<Instances>()) {
            let Instances { entries, backends } = list;
            send_event(&ctx, Event::InstancesListed { entries, backends }).await;
        }
        task::sleep(INSTANCES_INTERVAL).await;
    }
}

async fn list(ctx: Rc<Context>, call: u64) {
    let event = match list_all(&ctx).await {
        Some((revision, objects)) => Event::ConfigListed {
            call,
            revision,
            objects,
        },
        None => Event::ConfigCallFailed { call },
    };
    send_event(&ctx, event).await;
}

// Lists every kind. A watch starts from the lowest revision, so that it misses
// no change made between the lists.
async fn list_all(ctx: &Context) -> Option<(u64, Vec<Object>)> {
    let mut lowest = u64::MAX;
    let mut objects = Vec::new();
    for kind in stored::collections() {
        let path = format!("/objects/{kind}");
        let reply = ctx
            .client
            .call("GET", &path, &[], None, ANSWER_TIMEOUT)
            .await;
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

// The platform may ignore the limit and list all claims, so the list is cut here.
async fn list_claims(ctx: Rc<Context>) {
    let path = format!("/objects/claims?limit={SWEEP_PAGE}");
    let reply = ctx
        .client
        .call("GET", &path, &[], None, ANSWER_TIMEOUT)
        .await;
    let listing = reply.ok().filter(|r| r.status == OK);
    let listing = listing.and_then(|r| r.json::<Listing>());
    let claims = listing.map(|listing| {
        let mut objects = listing.objects;
        objects.sort_by(|a, b| a.name.cmp(&b.name));
        objects.truncate(SWEEP_PAGE);
        let named = |stored: StoredObject| (stored.name.as_str().into(), StoredValue::from(stored));
        objects.into_iter().map(named).collect()
    });
    send_event(&ctx, Event::ClaimsListed(claims)).await;
}

async fn watch(ctx: Rc<Context>, call: u64, after: u64) {
    let kinds = stored::collections().collect::<Vec<_>>().join(",");
    let wait = WATCH_TIMEOUT.as_millis();
    let path = format!("/watch?kinds={kinds}&since={after}&wait_ms={wait}");
    let limit = WATCH_TIMEOUT + ANSWER_TIMEOUT;
    let reply = ctx.client.call("GET", &path, &[], None, limit).await;
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
    send_event(&ctx, event).await;
}

async fn put(ctx: Rc<Context>, ticket: Ticket, write: Write) {
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
    let reply = ctx
        .client
        .call(method, &path, &[condition], body, ANSWER_TIMEOUT)
        .await;
    let outcome = match reply {
        Ok(reply) => write_outcome(&reply),
        Err(failure) if failure.nothing_sent => WriteOutcome::NotSent,
        Err(_) => WriteOutcome::Unknown,
    };
    send_event(&ctx, Event::WriteEnded { ticket, outcome }).await;
}

fn write_outcome(reply: &Reply) -> WriteOutcome {
    match reply.status {
        OK | 201 => match reply.json::<Written>() {
            Some(written) => WriteOutcome::Written(written.version),
            None => WriteOutcome::Unknown,
        },
        PRECONDITION_FAILED => WriteOutcome::Conflict(
            reply
                .json::<Option<StoredObject>>()
                .flatten()
                .map(StoredValue::from),
        ),
        NOT_FOUND => WriteOutcome::Conflict(None),
        // Rejected before the write took effect, for example a too large value.
        400..=499 => WriteOutcome::NotSent,
        _ => WriteOutcome::Unknown,
    }
}

async fn read(ctx: Rc<Context>, ticket: Ticket, kind: Arc<str>, name: Arc<str>) {
    let path = format!("/objects/{kind}/{name}");
    let reply = ctx
        .client
        .call("GET", &path, &[], None, ANSWER_TIMEOUT)
        .await;
    let outcome = match reply {
        Ok(reply) if reply.status == OK => match reply.json::<StoredObject>() {
            Some(stored) => ReadOutcome::Found(stored.into()),
            None => ReadOutcome::Unknown,
        },
        Ok(reply) if reply.status == NOT_FOUND => ReadOutcome::Absent,
        Ok(_) | Err(_) => ReadOutcome::Unknown,
    };
    send_event(&ctx, Event::ReadEnded { ticket, outcome }).await;
}

async fn send_event(ctx: &Context, event: Event) {
    // The decision duty ends last, so a send fails only at the end of the process.
    drop(ctx.decisions.send(Input::Event(event)).await);
}
