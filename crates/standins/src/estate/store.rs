//! A stand-in of the platform's object store.
//!
//! Every write gets a new revision, which is larger than all before. Watches replay the
//! events after a revision from the history; a compacted history answers 410. The store can
//! return to a copy of an earlier time: revisions go back, and the era rises.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use async_h1::server;
use async_std::net;
use async_std::task;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;
use serde_json::json;
use serde_json::Value;

use crate::duty;

/// The interval at which a waiting watch polls for events.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The maximum number of objects in one page of a list.
pub(crate) const PAGE_OBJECTS: usize = 3;

/// A write of an operator or an endpoint that a return to an older copy has undone.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Undone {
    Put(Key, Value),
    Removed(Key),
}

/// The writes that a return to an older copy has undone, in their order.
#[derive(Clone, Debug, Default)]
pub struct UndoneWrites {
    writes: Vec<Undone>,
    // The number of writes in the copy.
    copied: usize,
}

// A kind and a name.
type Key = (String, String);

#[derive(Debug)]
struct Write {
    at: Instant,
    key: Key,
    // The object before.
    before: Option<Value>,
    // What operator or endpoint write again; nothing for a write of the system.
    author: Option<Undone>,
}

/// A running store.
#[derive(Clone, Debug)]
pub struct Store {
    /// The address on which it accepts requests.
    pub addr: SocketAddr,
    shared: Arc<Mutex<Shared>>,
}

#[derive(Debug, Default)]
struct Shared {
    revision: u64,
    // Keyed by kind and name.
    objects: BTreeMap<Key, Value>,
    // Each event with its revision and kind, by ascending revision.
    history: Vec<(u64, String, Value)>,
    // How often the store has returned to an older copy.
    era: u32,
    // Each write, of which each has one revision.
    writes: Vec<Write>,
    // Watches that need events from before this revision are answered with 410.
    oldest: u64,
    // The addresses whose callers are answered with 503.
    rejected: Vec<SocketAddr>,
    // Whether requests that arrive are never answered.
    silent: bool,
    // The addresses at which requests that arrive are never answered.
    silent_at: Vec<SocketAddr>,
    // The kinds whose arriving watches are never answered, and the address that this
    // concerns if it isn't all.
    deaf: (Vec<String>, Option<SocketAddr>),
    // Whether calls are beyond the rate, except for cached reads.
    limited: bool,
    // The objects of cached reads and their revision, if those are older than the store.
    cached: Option<(BTreeMap<Key, Value>, u64)>,
    calls: u64,
}

impl Store {
    /// Starts a store.
    ///
    /// # Panics
    ///
    /// Panics when no loopback port can be bound.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("the address of a listener");
        let shared = Arc::new(Mutex::new(Shared::default()));
        let store = Self { addr, shared };
        store.serve(listener);
        store
    }

    /// Accepts requests on a further address, so that a fault can be limited to the callers
    /// that use it.
    ///
    /// # Panics
    ///
    /// Panics when no loopback port can be bound.
    pub fn add_address(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("the address of a listener");
        self.serve(listener);
        addr
    }

    fn serve(&self, listener: TcpListener) {
        let served = self.clone();
        duty::spawn("store", move || serve(listener, served));
    }

    /// Writes an object's spec as an operator or an endpoint does, and keeps its status.
    pub fn put(&self, kind: &str, name: &str, spec: &Value) {
        let mut shared = self.lock();
        let key = (kind.to_owned(), name.to_owned());
        let author = Undone::Put(key.clone(), spec.clone());
        shared.put(key, spec, Some(author));
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        let key = (kind.to_owned(), name.to_owned());
        self.lock().remove(&key, Some(Undone::Removed(key.clone())));
    }

    /// Returns to the copy of `age` ago: what was written since is gone, its revisions are
    /// given out again, waiting watches are cut off, and the era rises. Returns what operator
    /// and endpoints have to write again.
    pub fn restore(&self, age: Duration) -> UndoneWrites {
        self.lock().restore(age)
    }

    /// Writes again what a return to an older copy has undone, except for objects that
    /// operator or endpoints have written since.
    pub fn write_again(&self, undone: UndoneWrites) {
        let mut shared = self.lock();
        let since = shared.writes.split_at_checked(undone.copied);
        let since = since.map(|rows| rows.1).unwrap_or_default();
        let newer = since.iter().filter(|write| write.author.is_some());
        let newer: Vec<Key> = newer.map(|write| write.key.clone()).collect();
        for write in undone.writes {
            match write.clone() {
                Undone::Put(key, _) | Undone::Removed(key) if newer.contains(&key) => (),
                Undone::Put(key, spec) => shared.put(key, &spec, Some(write)),
                Undone::Removed(key) => {
                    shared.remove(&key, Some(write));
                }
            }
        }
    }

    /// Returns the store's latest revision.
    pub fn revision(&self) -> u64 {
        self.lock().revision
    }

    /// Returns an object by kind and name.
    pub fn get(&self, kind: &str, name: &str) -> Option<Value> {
        let key = (kind.to_owned(), name.to_owned());
        self.lock().objects.get(&key).cloned()
    }

    /// Drops the history, so that watches from an earlier revision must list again.
    pub fn compact(&self) {
        let mut shared = self.lock();
        shared.oldest = shared.revision + 1;
        shared.history.clear();
    }

    /// Answers 503 to the callers that use exactly these addresses, and replaces the earlier
    /// ones.
    pub fn reject_callers(&self, addrs: &[SocketAddr]) {
        self.lock().rejected = addrs.to_vec();
    }

    /// Sets whether requests that arrive from now on are never answered. Watches that wait
    /// already go on.
    pub fn set_silent(&self, silent: bool) {
        self.lock().silent = silent;
    }

    /// Never answers the requests that arrive at exactly these addresses from now on, and
    /// replaces the earlier ones. Watches that wait already go on.
    pub fn silence_callers(&self, addrs: &[SocketAddr]) {
        self.lock().silent_at = addrs.to_vec();
    }

    /// Never answers the watches of exactly these kinds that arrive from now on, at one
    /// address or at all, and replaces the earlier kinds. Watches that wait already go on.
    pub fn set_deaf(&self, kinds: &[&str], only: Option<SocketAddr>) {
        let kinds = kinds.iter().map(|kind| (*kind).to_owned()).collect();
        self.lock().deaf = (kinds, only);
    }

    /// Sets whether calls are answered with 429, as beyond the rate. Cached reads don't count.
    pub fn set_limited(&self, limited: bool) {
        self.lock().limited = limited;
    }

    /// Answers cached reads from the present contents of these kinds alone, however the store
    /// changes.
    pub fn freeze_cached(&self, kinds: &[&str]) {
        let mut shared = self.lock();
        let mut objects = shared.objects.clone();
        objects.retain(|key, _| kinds.contains(&key.0.as_str()));
        let revision = shared.revision;
        shared.cached = Some((objects, revision));
    }

    /// Returns the number of requests received so far.
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Shared {
    fn put(&mut self, key: Key, spec: &Value, author: Option<Undone>) {
        let status = self.objects.get(&key).map(|o| o["status"].clone());
        self.write(key, spec.clone(), status.unwrap_or(Value::Null), author);
    }

    fn restore(&mut self, age: Duration) -> UndoneWrites {
        let copied = Instant::now().checked_sub(age);
        let kept = self
            .writes
            .partition_point(|w| copied.is_some_and(|at| w.at <= at));
        let undone = self.writes.split_off(kept);
        for write in undone.iter().rev() {
            match &write.before {
                Some(object) => self.objects.insert(write.key.clone(), object.clone()),
                None => self.objects.remove(&write.key),
            };
        }
        self.revision -= undone.len() as u64;
        let revision = self.revision;
        self.history.retain(|row| row.0 <= revision);
        self.era += 1;
        UndoneWrites {
            writes: undone
                .into_iter()
                .filter_map(|write| write.author)
                .collect(),
            copied: kept,
        }
    }

    fn record(&mut self, key: &Key, author: Option<Undone>) {
        self.revision += 1;
        self.writes.push(Write {
            at: Instant::now(),
            key: key.clone(),
            before: self.objects.get(key).cloned(),
            author,
        });
    }

    fn write(&mut self, key: Key, spec: Value, status: Value, author: Option<Undone>) -> Value {
        self.record(&key, author);
        let old = self.objects.get(&key);
        let created = old.map_or(json!(self.revision), |o| {
            o["metadata"]["create_revision"].clone()
        });
        let object = json!({
            "metadata": { "name": key.1, "rev": self.revision, "create_revision": created,
                          "finalizers": [], "deleting": false },
            "spec": spec,
            "status": status,
        });
        let event = json!({ "removed": false, "object": object });
        self.history.push((self.revision, key.0.clone(), event));
        self.objects.insert(key, object.clone());
        object
    }

    fn remove(&mut self, key: &Key, author: Option<Undone>) -> bool {
        let Some(object) = self.objects.get(key).cloned() else {
            return false;
        };
        self.record(key, author);
        self.objects.remove(key);
        let event = json!({ "removed": true, "object": object });
        self.history.push((self.revision, key.0.clone(), event));
        true
    }
}

async fn serve(listener: TcpListener, store: Store) {
    let listener = net::TcpListener::from(listener);
    let addr = listener.local_addr().expect("the address of a listener");
    while let Ok((stream, _)) = listener.accept().await {
        let store = store.clone();
        task::spawn_local(async move {
            let answer = |request: Request| {
                let store = store.clone();
                async move {
                    let mut response = respond(request, addr, &store).await;
                    // A store that never returned to an older copy doesn't tell its era.
                    let era = store.lock().era;
                    if era > 0 {
                        response.insert_header("store-era", era.to_string());
                    }
                    Ok(response)
                }
            };
            // A broken connection affects only its own caller.
            drop(server::accept(stream, answer).await);
        });
    }
}

async fn respond(mut request: Request, addr: SocketAddr, store: &Store) -> Response {
    let body: Value = request.body_json().await.unwrap_or(Value::Null);
    let url = request.url().clone();
    if [url.path(), url.query().unwrap_or_default()]
        .into_iter()
        .any(has_bad_escape)
    {
        return status(400);
    }
    let query = |name: &str| {
        let mut pairs = url.query_pairs();
        pairs.find(|(n, _)| n == name).map(|(_, v)| v.into_owned())
    };
    let parts: Vec<&str> = url.path().split('/').skip(2).collect();
    // Only a watch that waits can go deaf.
    let waits = query("wait_ms").is_some_and(|wait| wait != "0");
    let watched = query("watch").and(parts.first().copied());
    let watched = watched.filter(|_| waits);
    let is_cached = query("serializable").is_some_and(|value| value == "1");
    let is_lost = {
        let mut shared = store.lock();
        shared.calls += 1;
        if shared.rejected.contains(&addr) {
            return Response::new(StatusCode::ServiceUnavailable);
        }
        if shared.limited && !is_cached {
            return Response::new(StatusCode::TooManyRequests);
        }
        let (kinds, only) = &shared.deaf;
        let is_deaf = watched.is_some_and(|kind| kinds.iter().any(|deaf| deaf == kind));
        let is_silent = shared.silent || shared.silent_at.contains(&addr);
        is_silent || (is_deaf && only.is_none_or(|only| only == addr))
    };
    if is_lost {
        return std::future::pending().await;
    }
    match (request.method(), parts.as_slice()) {
        (Method::Get, [kind]) => match query("watch").and_then(|text| text.parse().ok()) {
            Some(from) => {
                let wait = query("wait_ms").and_then(|text| text.parse().ok());
                watch(store, kind, from, Duration::from_millis(wait.unwrap_or(0))).await
            }
            None => list(store, kind, query("after").as_deref(), is_cached),
        },
        (Method::Post, [kind]) => create(store, kind, &body),
        (Method::Put, [kind, name]) => replace(store, (kind, name), &body, false),
        (Method::Put, [kind, name, "status"]) => replace(store, (kind, name), &body, true),
        (Method::Delete, [kind, name]) => {
            let key = ((*kind).to_owned(), (*name).to_owned());
            status(if store.lock().remove(&key, None) {
                200
            } else {
                404
            })
        }
        _ => status(404),
    }
}

// Returns whether a percent sign is not followed by two hexadecimal digits.
fn has_bad_escape(text: &str) -> bool {
    let mut rests = text.split('%').skip(1);
    rests.any(|rest| {
        let digits = rest.as_bytes().iter().take(2);
        digits.filter(|byte| byte.is_ascii_hexdigit()).count() < 2
    })
}

fn list(store: &Store, kind: &str, after: Option<&str>, is_cached: bool) -> Response {
    let shared = store.lock();
    let cached = shared.cached.as_ref().filter(|_| is_cached);
    let (objects, revision) = cached.map_or((&shared.objects, shared.revision), |c| (&c.0, c.1));
    let of_kind = objects.iter().filter(|(key, _)| key.0 == kind);
    let mut items: Vec<&Value> = of_kind
        .filter(|(key, _)| after.is_none_or(|after| key.1.as_str() > after))
        .map(|row| row.1)
        .collect();
    let more = items.len() > PAGE_OBJECTS;
    items.truncate(PAGE_OBJECTS);
    answer(
        200,
        &json!({ "items": items, "has_more": more, "current_rev": revision }),
    )
}

async fn watch(store: &Store, kind: &str, from: u64, wait: Duration) -> Response {
    let end = Instant::now() + wait;
    let era = store.lock().era;
    while store.lock().era == era {
        {
            let shared = store.lock();
            if from + 1 < shared.oldest || from > shared.revision {
                return status(410);
            }
            let of_kind = shared.history.iter().filter(|row| row.1 == kind);
            let events: Vec<&Value> = of_kind.filter(|row| row.0 > from).map(|r| &r.2).collect();
            if !events.is_empty() || Instant::now() >= end {
                let body = json!({ "events": events, "current_rev": shared.revision });
                return answer(200, &body);
            }
        }
        task::sleep(POLL_INTERVAL).await;
    }
    // Cut off, without an answer.
    std::future::pending().await
}

fn create(store: &Store, kind: &str, body: &Value) -> Response {
    let mut shared = store.lock();
    let name = body["metadata"]["name"].as_str().unwrap_or_default();
    let key = (kind.to_owned(), name.to_owned());
    if let Some(object) = shared.objects.get(&key) {
        return answer(409, object);
    }
    let object = shared.write(key, body["spec"].clone(), body["status"].clone(), None);
    answer(201, &object)
}

fn replace(store: &Store, id: (&str, &str), body: &Value, status_only: bool) -> Response {
    let mut shared = store.lock();
    let key = (id.0.to_owned(), id.1.to_owned());
    let Some(object) = shared.objects.get(&key).cloned() else {
        return status(404);
    };
    let expected = body["metadata"]["rev"].as_u64();
    if expected.is_some_and(|rev| Some(rev) != object["metadata"]["rev"].as_u64()) {
        return answer(409, &object);
    }
    let (spec, state) = if status_only {
        (object["spec"].clone(), body["status"].clone())
    } else {
        (body["spec"].clone(), object["status"].clone())
    };
    let object = shared.write(key, spec, state, None);
    answer(200, &object)
}

fn status(code: u16) -> Response {
    Response::new(StatusCode::try_from(code).unwrap_or(StatusCode::InternalServerError))
}

fn answer(code: u16, body: &Value) -> Response {
    let mut response = status(code);
    response.set_body(body.to_string());
    response.insert_header("content-type", "application/json");
    response
}
