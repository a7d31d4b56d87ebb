//! A stand-in of the platform's store: lists, watches and conditional writes.

use std::collections::BTreeMap;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::json;

#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    shared: Arc<(Mutex<Contents>, Condvar)>,
    silent: Arc<AtomicBool>,
}

#[derive(Default)]
struct Contents {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    history: Vec<(u64, String, String)>,
}

#[derive(Clone)]
struct Object {
    name: String,
    revision: u64,
    created: u64,
    spec: String,
    status: String,
}

impl Object {
    fn text(&self) -> String {
        let (name, rev, created) = (&self.name, self.revision, self.created);
        let (spec, status) = (&self.spec, &self.status);
        format!(
            r#"{{"metadata":{{"name":"{name}","rev":{rev},"create_revision":{created},"finalizers":[],"deleting":false}},"spec":{spec},"status":{status}}}"#
        )
    }
}

impl Contents {
    fn write(&mut self, kind: &str, name: &str, spec: Option<&str>, status: Option<&str>) -> String {
        self.revision += 1;
        let key = (kind.to_owned(), name.to_owned());
        let old = self.objects.get(&key).cloned();
        let object = Object {
            name: name.to_owned(),
            revision: self.revision,
            created: old.as_ref().map_or(self.revision, |o| o.created),
            spec: spec.map_or_else(|| old.as_ref().map_or("null".into(), |o| o.spec.clone()), str::to_owned),
            status: status.map_or_else(|| old.as_ref().map_or("null".into(), |o| o.status.clone()), str::to_owned),
        };
        let text = object.text();
        let event = format!(r#"{{"removed":false,"object":{text}}}"#);
        self.history.push((self.revision, kind.to_owned(), event));
        self.objects.insert(key, object);
        text
    }

    fn remove(&mut self, kind: &str, name: &str) -> bool {
        let Some(object) = self.objects.remove(&(kind.to_owned(), name.to_owned())) else {
            return false;
        };
        self.revision += 1;
        let event = format!(r#"{{"removed":true,"object":{}}}"#, object.text());
        self.history.push((self.revision, kind.to_owned(), event));
        true
    }
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("an address");
        let store = Self { addr, shared: Arc::default(), silent: Arc::default() };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || drop(store.serve(stream)));
            }
        });
        store
    }

    /// Makes the store silent, or ends that. A call that arrives meanwhile is never answered; a
    /// watch that waited before goes on afterwards.
    pub fn set_silent(&self, silent: bool) {
        self.silent.store(silent, Ordering::Release);
        self.shared.1.notify_all();
    }

    /// Writes the spec of an object, as the operator or an endpoint does.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let mut contents = self.shared.0.lock().expect("the store");
        contents.write(kind, name, Some(spec), None);
        self.shared.1.notify_all();
    }

    /// Removes an object, as when an endpoint has left.
    #[allow(dead_code, reason = "not every scenario removes objects")]
    pub fn remove(&self, kind: &str, name: &str) {
        self.shared.0.lock().expect("the store").remove(kind, name);
        self.shared.1.notify_all();
    }

    /// Returns the raw status of an object.
    #[allow(dead_code, reason = "not every scenario reads objects")]
    pub fn status(&self, kind: &str, name: &str) -> Option<String> {
        let contents = self.shared.0.lock().expect("the store");
        let key = (kind.to_owned(), name.to_owned());
        contents.objects.get(&key).map(|object| object.status.clone())
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut stream = stream;
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            let mut words = line.split_whitespace();
            let (method, target) = (words.next().unwrap_or("").to_owned(), words.next().unwrap_or("").to_owned());
            let (mut length, mut close) = (0, false);
            loop {
                let mut header = String::new();
                reader.read_line(&mut header)?;
                let header = header.trim().to_ascii_lowercase();
                if header.is_empty() {
                    break;
                }
                if let Some(value) = header.strip_prefix("content-length:") {
                    length = value.trim().parse().unwrap_or(0);
                }
                close |= header.starts_with("connection:") && header.contains("close");
            }
            let mut body = vec![0; length];
            reader.read_exact(&mut body)?;
            let body = String::from_utf8_lossy(&body).into_owned();
            if self.silent.load(Ordering::Acquire) {
                // Holds the connection open.
                loop {
                    thread::park();
                }
            }
            let (status, answer) = self.answer(&method, &target, &body);
            let reason = if status < 300 { "OK" } else { "Refused" };
            write!(
                stream,
                "HTTP/1.1 {status} {reason}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{answer}",
                answer.len()
            )?;
            if close {
                return Ok(());
            }
        }
    }

    fn answer(&self, method: &str, target: &str, body: &str) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let value = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.filter(|pair| pair.0 == name).map(|pair| pair.1.to_owned()).next()
        };
        let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        let metadata = json::member(body, "metadata").unwrap_or("{}");
        let expected = value("rev").or_else(|| json::member(metadata, "rev").map(str::to_owned));
        let expected: Option<u64> = expected.and_then(|text| text.parse().ok());
        let mut contents = self.shared.0.lock().expect("the store");
        let known = |contents: &Contents, kind: &str, name: &str| {
            contents.objects.get(&(kind.to_owned(), name.to_owned())).cloned()
        };
        let result = match (method, parts.as_slice()) {
            ("GET", ["objects", kind]) => match value("watch").and_then(|text| text.parse::<u64>().ok()) {
                Some(from) => {
                    let wait = value("wait_ms").and_then(|text| text.parse().ok()).unwrap_or(0);
                    let end = Instant::now() + Duration::from_millis(wait);
                    loop {
                        let of_kind = contents.history.iter().filter(|row| row.1 == *kind && row.0 > from);
                        let events: Vec<&str> = of_kind.map(|row| row.2.as_str()).collect();
                        let left = end.saturating_duration_since(Instant::now());
                        let silent = self.silent.load(Ordering::Acquire);
                        if !silent && (!events.is_empty() || left.is_zero()) {
                            let (events, revision) = (events.join(","), contents.revision);
                            break (200, format!(r#"{{"events":[{events}],"current_rev":{revision}}}"#));
                        }
                        let left = left.max(Duration::from_millis(20));
                        contents = self.shared.1.wait_timeout(contents, left).expect("the store").0;
                    }
                }
                None => {
                    let of_kind = contents.objects.iter().filter(|row| row.0 .0 == *kind);
                    let items: Vec<String> = of_kind.map(|row| row.1.text()).collect();
                    let (items, revision) = (items.join(","), contents.revision);
                    (200, format!(r#"{{"items":[{items}],"has_more":false,"current_rev":{revision}}}"#))
                }
            },
            ("GET", ["objects", kind, name]) => match known(&contents, kind, name) {
                Some(object) => (200, object.text()),
                None => (404, "{}".to_owned()),
            },
            ("POST", ["objects", kind]) => {
                let name = json::text(json::member(metadata, "name").unwrap_or("")).to_owned();
                match known(&contents, kind, &name) {
                    Some(object) => (409, object.text()),
                    None => (201, contents.write(kind, &name, json::member(body, "spec"), json::member(body, "status"))),
                }
            }
            ("PUT" | "DELETE", ["objects", kind, name, rest @ ..]) => match known(&contents, kind, name) {
                None => (404, "{}".to_owned()),
                Some(object) if expected.is_some_and(|rev| rev != object.revision) => (409, object.text()),
                Some(_) if method == "DELETE" => {
                    contents.remove(kind, name);
                    (200, "{}".to_owned())
                }
                Some(_) if rest == ["status"] => {
                    (200, contents.write(kind, name, None, json::member(body, "status")))
                }
                Some(_) => (200, contents.write(kind, name, json::member(body, "spec"), None)),
            },
            _ => (404, "{}".to_owned()),
        };
        drop(contents);
        self.shared.1.notify_all();
        result
    }
}
