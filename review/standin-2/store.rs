//! The platform's metadata store: objects by kind and name, revisions, lists and watches.

use std::collections::BTreeMap;
use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Message;
use crate::json;
use crate::json::Json;

/// The time that an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// The maximum number of objects on a page.
const PAGE: usize = 500;

#[derive(Clone, Debug)]
struct Object {
    revision: u64,
    created: u64,
    spec: Json,
    status: Json,
}

#[derive(Debug)]
struct Event {
    revision: u64,
    kind: String,
    removed: bool,
    object: Json,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    events: Vec<Event>,
}

/// The store; clones share it.
#[derive(Clone, Debug)]
pub struct Store {
    pub addr: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Self {
            addr: listener.local_addr().expect("an address"),
            shared: Arc::default(),
        };
        store.shared.0.lock().expect("the state").revision = 100;
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || drop(store.serve(stream)));
            }
        });
        store
    }

    /// Creates an object or replaces its spec.
    pub fn put(&self, kind: &str, name: &str, spec: Json) {
        self.change(kind, name, Some(spec), None);
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.shared.0.lock().expect("the state");
        let key = (kind.to_owned(), name.to_owned());
        if let Some(object) = state.objects.remove(&key) {
            state.revision += 1;
            let event = Event {
                revision: state.revision,
                kind: key.0,
                removed: true,
                object: object.json(name),
            };
            state.events.push(event);
            self.shared.1.notify_all();
        }
    }

    fn change(&self, kind: &str, name: &str, spec: Option<Json>, status: Option<Json>) -> Json {
        let mut state = self.shared.0.lock().expect("the state");
        let key = (kind.to_owned(), name.to_owned());
        let known = state.objects.get(&key).cloned();
        let mut object = known.clone().unwrap_or(Object {
            revision: 0,
            created: state.revision + 1,
            spec: Json::Null,
            status: Json::Null,
        });
        object.spec = spec.unwrap_or(object.spec);
        object.status = status.unwrap_or(object.status);
        let same = known.is_some_and(|k| k.spec == object.spec && k.status == object.status);
        if !same {
            state.revision += 1;
            object.revision = state.revision;
            let event = Event {
                revision: state.revision,
                kind: key.0.clone(),
                removed: false,
                object: object.json(name),
            };
            state.events.push(event);
            state.objects.insert(key, object.clone());
            self.shared.1.notify_all();
        }
        object.json(name)
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        let mut ahead = Vec::new();
        stream.set_nodelay(true)?;
        while let Some(request) = http::read(&mut stream, &mut ahead)? {
            thread::sleep(ANSWER_TIME);
            let (status, body) = self.answer(&request);
            let body = body.write();
            let length = body.len();
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n\
                 Content-Length: {length}\r\n\r\n"
            );
            stream.write_all((head + &body).as_bytes())?;
        }
        Ok(())
    }

    fn answer(&self, request: &Message) -> (u16, Json) {
        let (path, query) = request
            .word(1)
            .split_once('?')
            .unwrap_or((request.word(1), ""));
        let query: Vec<(&str, &str)> = query.split('&').filter_map(|p| p.split_once('=')).collect();
        let value = |name: &str| query.iter().find(|row| row.0 == name).map(|row| row.1);
        let mut parts = path.trim_start_matches("/objects/").split('/');
        let (kind, name) = (parts.next().unwrap_or_default(), parts.next());
        let is_status = parts.next() == Some("status");
        let body = json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let metadata = body.get("metadata").cloned().unwrap_or(Json::Null);
        let wanted = value("rev").and_then(|n| n.parse().ok());
        let wanted = wanted.or(metadata.get("rev").and_then(Json::int));
        match (request.word(0), name) {
            ("GET", None) => match value("watch").and_then(|n| n.parse().ok()) {
                Some(from) => {
                    let wait = value("wait_ms").and_then(|n| n.parse().ok()).unwrap_or(0);
                    self.watch(kind, from, Duration::from_millis(wait))
                }
                None => self.list(kind, value("after").unwrap_or_default()),
            },
            ("GET", Some(name)) => match self.find(kind, name) {
                Some(object) => (200, object.json(name)),
                None => (404, Json::Null),
            },
            ("POST", None) => {
                let name = metadata
                    .get("name")
                    .and_then(Json::text)
                    .unwrap_or_default();
                if let Some(object) = self.find(kind, name) {
                    return (409, object.json(name));
                }
                (
                    201,
                    self.change(kind, name, body.get("spec").cloned(), None),
                )
            }
            ("PUT" | "DELETE", Some(name)) => {
                let Some(object) = self.find(kind, name) else {
                    return (404, Json::Null);
                };
                if wanted.is_some_and(|revision| revision != object.revision) {
                    return (409, object.json(name));
                }
                if request.word(0) == "DELETE" {
                    self.remove(kind, name);
                    return (200, object.json(name));
                }
                let (spec, status) = (body.get("spec").cloned(), body.get("status").cloned());
                let changed = if is_status {
                    self.change(kind, name, None, status)
                } else {
                    self.change(kind, name, spec, None)
                };
                (200, changed)
            }
            _ => (404, Json::Null),
        }
    }

    fn find(&self, kind: &str, name: &str) -> Option<Object> {
        let state = self.shared.0.lock().expect("the state");
        state
            .objects
            .get(&(kind.to_owned(), name.to_owned()))
            .cloned()
    }

    fn list(&self, kind: &str, after: &str) -> (u16, Json) {
        let state = self.shared.0.lock().expect("the state");
        let rows = state
            .objects
            .iter()
            .filter(|(key, _)| key.0 == kind && key.1.as_str() > after);
        let items: Vec<Json> = rows.map(|(key, object)| object.json(&key.1)).collect();
        let has_more = items.len() > PAGE;
        let items = Json::Arr(items.into_iter().take(PAGE).collect());
        let fields = [
            ("items", items),
            ("has_more", Json::Bool(has_more)),
            ("current_rev", Json::num(state.revision)),
        ];
        (200, Json::obj(&fields))
    }

    fn watch(&self, kind: &str, from: u64, wait: Duration) -> (u16, Json) {
        let until = Instant::now() + wait;
        let mut state = self.shared.0.lock().expect("the state");
        loop {
            let rows = state
                .events
                .iter()
                .filter(|e| e.kind == kind && e.revision > from);
            let events: Vec<Json> = rows
                .map(|e| {
                    Json::obj(&[
                        ("object", e.object.clone()),
                        ("removed", Json::Bool(e.removed)),
                    ])
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let revision = Json::num(state.revision);
                return (
                    200,
                    Json::obj(&[("events", Json::Arr(events)), ("current_rev", revision)]),
                );
            }
            state = self
                .shared
                .1
                .wait_timeout(state, left)
                .expect("the state")
                .0;
        }
    }
}

impl Object {
    fn json(&self, name: &str) -> Json {
        let metadata = Json::obj(&[
            ("name", Json::str(name)),
            ("rev", Json::num(self.revision)),
            ("create_revision", Json::num(self.created)),
            ("finalizers", Json::Arr(Vec::new())),
            ("deleting", Json::Bool(false)),
        ]);
        Json::obj(&[
            ("metadata", metadata),
            ("spec", self.spec.clone()),
            ("status", self.status.clone()),
        ])
    }
}
