//! An instance on the platform, as a process beside a store and a backend server that writes
//! scripted bytes.
#![allow(dead_code, reason = "each test program uses some of these items")]

use std::path::Path;
use std::thread;
use std::time::Duration;

use corianderway_standins::estate::entry;
use corianderway_standins::estate::node;
use corianderway_standins::estate::Node;
use corianderway_standins::estate::ReceivedRequest;
use corianderway_standins::estate::Scripted;
use corianderway_standins::estate::Site;
use corianderway_standins::estate::Step;
use corianderway_standins::estate::Store;
use corianderway_standins::harness::call;
use corianderway_standins::harness::until;
use corianderway_standins::harness::Reply;
use corianderway_standins::harness::Request;
use serde_json::json;
use serde_json::Value;

/// The window over which retries are limited.
const RETRY_WINDOW: Duration = Duration::from_secs(1);

/// The timeout for each awaited condition.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// The timeout of the routes.
pub const ROUTE_TIMEOUT: Duration = Duration::from_secs(1);

/// The `Deadline-Ms` of a request, if a test sets no other.
pub const DEADLINE_MS: u32 = 4_000;

/// The statuses that tell a caller that its request has not run and never will.
pub const REFUSING_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// The body of every request.
pub const BODY: &str = "transfer 17";

/// An instance, its store, and backend servers that all have the address of one stand-in.
pub struct Fleet {
    pub endpoint: Scripted,
    pub instance: Node,
    _store: Store,
}

/// What the configuration permits of requests.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// The timeout of the routes.
    pub timeout: Duration,
    /// The maximum number of attempts of the route for requests that must not run twice.
    pub max_attempts: u32,
    /// The maximum size of a body.
    pub max_body_bytes: usize,
}

impl Default for Terms {
    fn default() -> Self {
        Self {
            timeout: ROUTE_TIMEOUT,
            max_attempts: 2,
            max_body_bytes: 100_000,
        }
    }
}

fn configuration(terms: Terms) -> Value {
    let timeout = terms.timeout.as_millis();
    let (attempts, max_body_bytes) = (terms.max_attempts, terms.max_body_bytes);
    json!({
        "version": 1,
        "routes": {
            "columns": ["name", "host", "path_prefix", "kind", "timeout_ms", "target_latency_ms",
                "priority", "max_attempts", "public", "sticky", "service"],
            "rows": [
                ["read", node::HOST, "/read/", "safe", timeout, 600, 2, 1, true, false, "s1"],
                ["once", node::HOST, "/once/", "unsafe", timeout, 600, 2, attempts, true, false, "s1"],
            ],
        },
        "services": { "columns": ["name"], "rows": [["s1"]] },
        "limits": { "max_header_bytes": 16_384, "max_body_bytes": max_body_bytes,
            "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000 },
        "tenants": { "columns": ["name", "api_keys", "rate_per_s", "burst"], "rows": [] },
    })
}

impl Fleet {
    /// Starts an instance and one backend server, and waits until the instance is ready.
    pub fn start(script: impl Fn(&ReceivedRequest) -> Vec<Step> + Send + Sync + 'static) -> Self {
        Self::with_servers(1, script)
    }

    /// Starts an instance and this many backend servers.
    pub fn with_servers(
        servers: usize,
        script: impl Fn(&ReceivedRequest) -> Vec<Step> + Send + Sync + 'static,
    ) -> Self {
        Self::with_terms(servers, Terms::default(), script)
    }

    /// Starts an instance with these terms, and this many backend servers.
    pub fn with_terms(
        servers: usize,
        terms: Terms,
        script: impl Fn(&ReceivedRequest) -> Vec<Step> + Send + Sync + 'static,
    ) -> Self {
        let store = Store::start();
        let endpoint = Scripted::start(script);
        store.put("config", "main", &configuration(terms));
        for number in 1..=servers {
            let entry = entry(endpoint.addr, "s1", "a", "ready", 1);
            store.put("servers", &format!("i-{number}"), &entry);
        }
        let dir = Path::new(env!("CARGO_TARGET_TMPDIR"));
        let mut site = Site::new("north", "a", store.addr);
        site.retry_window = RETRY_WINDOW.as_secs() as u32;
        let instance = Node::start(site, &[("a", "north")], dir).unwrap();
        let fleet = Self {
            endpoint,
            instance,
            _store: store,
        };
        fleet.until("readiness", || fleet.instance.is_ready().then_some(()));
        // Before, the instance has no retries beyond a fraction of its requests.
        thread::sleep(RETRY_WINDOW);
        fleet
    }

    /// Waits until a condition holds; panics with the log if it doesn't in time.
    pub fn until<T>(&self, what: &str, condition: impl FnMut() -> Option<T>) -> T {
        until(what, WAIT_TIMEOUT, condition)
            .unwrap_or_else(|error| panic!("{error}\n{}", self.instance.process.lines().join("\n")))
    }

    /// Sends a request with a body under an id.
    pub fn post(&self, path: &str, id: &str) -> Reply {
        self.post_within(path, id, DEADLINE_MS)
    }

    /// Sends a request whose caller waits this long, in milliseconds.
    pub fn post_within(&self, path: &str, id: &str, deadline_ms: u32) -> Reply {
        let request = Request::post(path)
            .header("Host", node::HOST)
            .header("Request-Id", id)
            .header("Deadline-Ms", deadline_ms)
            .body(BODY);
        call(self.instance.addr(node::CALLERS_PORT), &request).unwrap()
    }

    /// Returns how often a request reached the backend server.
    pub fn arrivals(&self, id: &str) -> usize {
        let heard = self.endpoint.heard();
        heard.iter().filter(|request| request.id == id).count()
    }

    /// Returns how often a request was run.
    pub fn runs(&self, id: &str) -> usize {
        let bodies = self.endpoint.bodies();
        bodies.iter().filter(|(run, _)| run == id).count()
    }
}

/// Writes a response; each of the headers ends with a line break. A success is signed, as by
/// every backend server.
pub fn response(status: u16, id: &str, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    let is_signed = headers.contains("Server-Stamp") || !(200..300).contains(&status);
    let stamp = if is_signed { "" } else { "Server-Stamp: s\r\n" };
    format!(
        "HTTP/1.1 {status} Status\r\nRequest-Id: {id}\r\n{stamp}{headers}Content-Length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}

/// Returns the steps of a server that runs a request and answers with a status.
pub fn run_and_answer(heard: &ReceivedRequest, status: u16) -> Vec<Step> {
    let answer = response(status, &heard.id, "Server-Stamp: s\r\n", "ran");
    vec![Step::Read(BODY.len()), Step::Write(answer)]
}

/// Asserts that a status doesn't tell the caller that its request has not run.
pub fn assert_may_have_run(reply: &Reply, what: &str) {
    assert!(
        !REFUSING_STATUSES.contains(&reply.status),
        "{what}: {} {}",
        reply.status,
        reply.text()
    );
}
