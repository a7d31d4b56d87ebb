//! Writes on the platform that a backend server runs, or may run, although the answer that
//! the instance reads looks like a refusal.
//!
//! The statuses 408, 421, 429 and 503 tell a caller that its request has not run and never
//! will.

use std::path::Path;
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

/// The timeout for each awaited condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// The timeout of the routes.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(1);

/// The body of every request.
const BODY: &str = "transfer 17";

struct Fleet {
    _endpoint: Scripted,
    instance: Node,
    _store: Store,
}

fn configuration() -> Value {
    let timeout = ROUTE_TIMEOUT.as_millis();
    json!({
        "version": 1,
        "routes": {
            "columns": ["name", "host", "path_prefix", "kind", "timeout_ms", "target_latency_ms",
                "priority", "max_attempts", "public", "sticky", "service"],
            "rows": [
                ["read", node::HOST, "/read/", "safe", timeout, 600, 2, 1, true, false, "s1"],
                ["once", node::HOST, "/once/", "unsafe", timeout, 600, 2, 2, true, false, "s1"],
            ],
        },
        "services": { "columns": ["name"], "rows": [["s1"]] },
        "limits": { "max_header_bytes": 16_384, "max_body_bytes": 100_000,
            "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000 },
        "tenants": { "columns": ["name", "api_keys", "rate_per_s", "burst"], "rows": [] },
    })
}

impl Fleet {
    fn start(script: impl Fn(&ReceivedRequest) -> Vec<Step> + Send + Sync + 'static) -> Self {
        let store = Store::start();
        let endpoint = Scripted::start(script);
        store.put("config", "main", &configuration());
        let entry = entry(endpoint.addr, "s1", "a", "ready", 1);
        store.put("servers", "i-1", &entry);
        let dir = Path::new(env!("CARGO_TARGET_TMPDIR"));
        let site = Site::new("north", "a", store.addr);
        let instance = Node::start(site, &[("a", "north")], dir).unwrap();
        let fleet = Self {
            _endpoint: endpoint,
            instance,
            _store: store,
        };
        fleet.until("readiness", || fleet.instance.is_ready().then_some(()));
        fleet
    }

    fn until<T>(&self, what: &str, condition: impl FnMut() -> Option<T>) -> T {
        until(what, WAIT_TIMEOUT, condition)
            .unwrap_or_else(|error| panic!("{error}\n{}", self.instance.process.lines().join("\n")))
    }

    fn post(&self, path: &str, id: &str) -> Reply {
        let request = Request::post(path)
            .header("Host", node::HOST)
            .header("Request-Id", id)
            .header("Deadline-Ms", "4000")
            .body(BODY);
        call(self.instance.addr(node::CALLERS_PORT), &request).unwrap()
    }
}

fn response(status: u16, id: &str, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 {status} Status\r\nRequest-Id: {id}\r\n{headers}Content-Length: {length}\r\n\r\n{body}")
        .into_bytes()
}

fn reject(heard: &ReceivedRequest) -> Vec<Step> {
    let answer = response(503, &heard.id, "Not-Run: full\r\n", "");
    vec![Step::Read(BODY.len()), Step::Write(answer)]
}

// Without this line an attempt that was written and then cancelled can't be told from one
// that was never written.
#[test]
fn what_an_attempt_of_a_write_sent_and_read_is_logged() {
    let expected = [
        ("/once/full", "end=rejected", "status=503"),
        ("/once/silent", "end=cancelled", "status=-"),
    ];
    for (path, end, status) in expected {
        let fleet = Fleet::start(|heard| match heard.target.as_str() {
            "/once/silent" => vec![Step::Wait(3 * ROUTE_TIMEOUT)],
            _ => reject(heard),
        });
        let id = "r-0";
        fleet.post(path, id);
        let line = fleet.until("the line of the attempt", || {
            let lines = fleet.instance.request_lines(id);
            lines.into_iter().find(|l| l.contains("event=exchange"))
        });
        let length = line.split(" length=").nth(1).unwrap_or_default();
        let length = length.split(' ').next().unwrap_or_default();
        assert!(length.parse::<usize>().unwrap() > BODY.len(), "{line}");
        let sent = format!("sent={length}");
        for part in [end, status, &sent, "connection=new", "skipped=0"] {
            assert!(line.contains(part), "{part} in {line}");
        }
    }
}
