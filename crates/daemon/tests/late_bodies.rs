//! Requests on the platform whose bodies come late: at backend servers that answer
//! before they have read them, and from callers that stop sending.

use std::path::Path;
use std::time::Duration;
use std::time::Instant;

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
use corianderway_standins::harness::Client;
use corianderway_standins::harness::Reply;
use corianderway_standins::harness::Request;
use serde_json::json;
use serde_json::Value;

/// The timeout for each awaited condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// How long a backend server that has answered leaves the body unread.
const READ_DELAY: Duration = Duration::from_millis(700);

/// The largest body whose rest is always sent after an early answer. Of larger ones the
/// rest may be dropped with its connection: the memory is for callers that wait.
const MAX_FINISHED_BYTES: usize = 1_000_000;

/// The number of successive requests of one caller.
const REQUEST_COUNT: usize = 4;

struct Fleet {
    endpoint: Scripted,
    instance: Node,
    _store: Store,
}

fn configuration() -> Value {
    json!({
        "version": 1,
        "routes": {
            "columns": ["name", "host", "path_prefix", "kind", "timeout_ms", "target_latency_ms",
                "priority", "max_attempts", "public", "sticky", "service"],
            "rows": [
                ["once", node::HOST, "/once/", "unsafe", 4_000, 600, 2, 1, true, false, "s1"],
            ],
        },
        "services": { "columns": ["name"], "rows": [["s1"]] },
        "limits": { "max_header_bytes": 16_384, "max_body_bytes": 16_000_000,
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
        until("readiness", WAIT_TIMEOUT, || {
            instance.is_ready().then_some(())
        })
        .unwrap();
        Self {
            endpoint,
            instance,
            _store: store,
        }
    }

    fn post(&self, number: usize, length: usize) -> Reply {
        let request = Request::new("POST", "/once/17")
            .header("Host", node::HOST)
            .header("Request-Id", format!("r-{number}"))
            .header("Deadline-Ms", "4000")
            .body(vec![letter(number); length]);
        call(self.instance.addr(node::CALLERS_PORT), &request).unwrap()
    }
}

// Returns the byte of which the body of a request consists.
fn letter(number: usize) -> u8 {
    b'a' + number as u8
}

fn answer(heard: &ReceivedRequest) -> Vec<u8> {
    let id = &heard.id;
    format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: s\r\nContent-Length: {}\r\n\r\n{id}",
        id.len()
    )
    .into_bytes()
}

// Guards against a request that is sent on a connection on which an earlier one was
// not sent whole: the backend server reads it as the rest of the earlier body, and
// bytes of one client account reach the run of another one's request.
#[test]
fn no_request_becomes_part_of_an_earlier_body() {
    // Below and above what the sockets' buffers hold.
    for length in [20_000, MAX_FINISHED_BYTES, 3_000_000, 12_000_000] {
        let fleet = Fleet::start(move |heard| {
            let answer = Step::Write(answer(heard));
            vec![answer, Step::Wait(READ_DELAY), Step::Read(length)]
        });
        for number in 0..REQUEST_COUNT {
            let reply = fleet.post(number, length);
            assert_eq!(reply.status, 200, "{length}: {}", reply.text());
            assert_eq!(reply.text(), format!("r-{number}"), "{length}");
        }
        until("the bodies", WAIT_TIMEOUT, || {
            (fleet.endpoint.bodies().len() == REQUEST_COUNT).then_some(())
        })
        .unwrap();
        for (id, body) in fleet.endpoint.bodies() {
            let number: usize = id.trim_start_matches("r-").parse().unwrap();
            let other = body.iter().filter(|byte| **byte != letter(number)).count();
            assert_eq!(other, 0, "{length}: other bytes in the body of {id}");
            if length <= MAX_FINISHED_BYTES {
                assert_eq!(body.len(), length, "{id}");
            }
        }
    }
}

// Guards against a connection that is kept for a backend server which never reads
// the rest of a body: it is closed, and other requests use another one.
#[test]
fn a_connection_whose_body_is_never_read_is_closed() {
    let length = 12_000_000;
    let fleet = Fleet::start(move |heard| {
        let wait = if heard.connection == 0 {
            WAIT_TIMEOUT
        } else {
            Duration::ZERO
        };
        let answer = Step::Write(answer(heard));
        vec![answer, Step::Wait(wait), Step::Read(length)]
    });
    assert_eq!(fleet.post(0, length).status, 200);
    for number in 1..REQUEST_COUNT {
        assert_eq!(fleet.post(number, length).text(), format!("r-{number}"));
    }
    let connections: Vec<_> = fleet
        .endpoint
        .heard()
        .iter()
        .map(|h| h.connection)
        .collect();
    assert!(connections[1..].iter().all(|connection| *connection > 0));
    until("the end of the first body", WAIT_TIMEOUT * 2, || {
        let bodies = fleet.endpoint.bodies();
        let first = bodies.iter().find(|(id, _)| id == "r-0")?;
        assert!(first.1.len() < length, "the connection was kept");
        assert!(first.1.iter().all(|byte| *byte == letter(0)));
        Some(())
    })
    .unwrap();
}

// Guards against callers that send half a body and fall silent: each kept its connection
// and its memory for ten seconds, whatever the route allowed.
#[test]
fn half_a_body_is_refused_when_its_time_is_over() {
    let fleet = Fleet::start(|heard| vec![Step::Write(answer(heard))]);
    let addr = fleet.instance.addr(node::CALLERS_PORT);
    // The route allows four seconds.
    for (deadline, limit) in [("1500", 1_500), ("9000", 4_000)] {
        let mut client = Client::connect(addr).unwrap();
        let request = Request::new("POST", "/once/17")
            .header("Host", node::HOST)
            .header("Request-Id", "r-1")
            .header("Deadline-Ms", deadline)
            .body(vec![b'x'; 40_000]);
        let bytes = request.bytes();
        let begun = Instant::now();
        client.write(&bytes[..bytes.len() / 2]).unwrap();
        let reply = client.read("POST").unwrap();
        let took = begun.elapsed();
        assert_eq!(reply.status, 408, "{}", reply.text());
        assert!(reply.text().contains("not-run"), "{}", reply.text());
        let limit = Duration::from_millis(limit);
        assert!(took >= limit, "{took:?}");
        assert!(took < limit + Duration::from_millis(500), "{took:?}");
    }
    assert!(fleet.endpoint.heard().is_empty());
}
