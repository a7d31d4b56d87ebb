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

/// The statuses that tell a caller that its request has not run and never will.
const REFUSING_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// The body of every request.
const BODY: &str = "transfer 17";

struct Fleet {
    endpoint: Scripted,
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
            endpoint,
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

    // Returns how often a request reached the backend server.
    fn arrivals(&self, id: &str) -> usize {
        let heard = self.endpoint.heard();
        heard.iter().filter(|request| request.id == id).count()
    }
}

fn response(status: u16, id: &str, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 {status} Status\r\nRequest-Id: {id}\r\n{headers}Content-Length: {length}\r\n\r\n{body}")
        .into_bytes()
}

fn run_and_answer(heard: &ReceivedRequest, status: u16) -> Vec<Step> {
    let answer = response(status, &heard.id, "Server-Stamp: s\r\n", "ran");
    vec![Step::Read(BODY.len()), Step::Write(answer)]
}

fn reject(heard: &ReceivedRequest) -> Vec<Step> {
    let answer = response(503, &heard.id, "Not-Run: full\r\n", "");
    vec![Step::Read(BODY.len()), Step::Write(answer)]
}

fn assert_may_have_run(reply: &Reply, what: &str) {
    assert!(
        !REFUSING_STATUSES.contains(&reply.status),
        "{what}: {} {}",
        reply.status,
        reply.text()
    );
}

// Guards against a write that ran at a backend server which then answers with a status that
// says that it did not: the caller would send the write again.
#[test]
fn a_write_that_ran_is_not_answered_with_a_refusing_status() {
    for status in [408, 429, 503] {
        let fleet = Fleet::start(move |heard| run_and_answer(heard, status));
        for number in 0..5 {
            let id = format!("r-{number}");
            let reply = fleet.post("/once/17", &id);
            let ran = fleet.endpoint.bodies();
            // A backend server that failed may get no further requests for a while.
            if !ran.iter().any(|(run, _)| *run == id) {
                assert!(number > 0, "the first write ran");
                continue;
            }
            assert_may_have_run(&reply, &format!("{status} of {id}"));
            assert!(reply.text().contains("may-have-run"), "{}", reply.text());
            assert_eq!(fleet.arrivals(&id), 1, "{id} was sent once");
            // The status isn't the backend server's, so its stamp must not be there either.
            assert_eq!(reply.header("server-stamp"), None);
        }
    }
}

// The status of a backend server is changed only where it would be a false promise.
#[test]
fn other_answers_of_backend_servers_are_passed_on_unchanged() {
    for status in [200, 404, 500, 504] {
        let fleet = Fleet::start(move |heard| run_and_answer(heard, status));
        let reply = fleet.post("/once/17", "r-0");
        assert_eq!((reply.status, reply.text()), (status, "ran".to_owned()));
        assert_eq!(reply.header("server-stamp"), Some("s"));
    }
    for status in [408, 429, 503] {
        let fleet = Fleet::start(move |heard| run_and_answer(heard, status));
        let reply = fleet.post("/read/17", "r-0");
        assert_eq!((reply.status, reply.text()), (status, "ran".to_owned()));
        assert_eq!(reply.header("server-stamp"), Some("s"));
    }
}

// A rejection that says that nothing ran remains a refusal that callers may rely on.
#[test]
fn a_rejected_write_is_refused_as_not_run() {
    let fleet = Fleet::start(reject);
    let reply = fleet.post("/once/17", "r-0");
    assert_eq!(reply.status, 503);
    assert!(reply.text().contains("not-run"), "{}", reply.text());
    assert!(reply.header("retry-after").is_some());
}

// Guards against a second, late copy of a rejection that is taken for the answer to a write
// which runs: the caller has sent the write again under the same id, and it went out on the
// same connection.
#[test]
fn a_late_copy_of_a_rejection_does_not_refuse_the_same_id_again() {
    let fleet = Fleet::start(|heard| {
        if heard.number == 0 {
            return reject(heard);
        }
        // The copy comes ahead of the answer to the write that runs.
        let mut steps = reject(heard);
        steps.extend(run_and_answer(heard, 200).split_off(1));
        steps
    });
    let reply = fleet.post("/once/17", "r-0");
    assert_eq!(reply.status, 503);
    let reply = fleet.until("a second arrival", || {
        let reply = fleet.post("/once/17", "r-0");
        (fleet.arrivals("r-0") > 1).then_some(reply)
    });
    let second = fleet.endpoint.heard()[1].clone();
    // On a connection of its own the write is rejected, and the refusal is true.
    if second.number > 0 {
        assert_may_have_run(&reply, "a write that ran on a kept connection");
    }
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

// Guards against the start of a rejection that is sent after a complete answer and cut off at
// any byte: the next answer on the connection follows it, and both together read as one head
// that rejects a write which runs.
#[test]
fn a_cut_rejection_ahead_of_an_answer_does_not_refuse_a_write_that_ran() {
    let rejection = |id: &str| {
        format!(
            "HTTP/1.1 503 Full\r\nNot-Run: full\r\nRequest-Id: {id}\r\nContent-Length: 0\r\n\r\n"
        )
        .into_bytes()
    };
    let fleet = Fleet::start(move |heard| {
        let mut steps = run_and_answer(heard, 200);
        if let Some(cut) = heard.id.strip_prefix("cut-").filter(|_| heard.number > 0) {
            let cut = cut.parse().unwrap();
            let part = rejection("r-0")[..cut].to_vec();
            steps.insert(1, Step::Write(part));
        }
        steps
    });
    let length = rejection("r-0").len();
    let mut on_kept = 0;
    for cut in 0..=length {
        let id = format!("cut-{cut}");
        fleet.until("a connection that is kept", || {
            (fleet.post("/once/17", "r-0").status == 200).then_some(())
        });
        let reply = fleet.post("/once/17", &id);
        let Some(heard) = fleet.endpoint.heard().into_iter().find(|h| h.id == id) else {
            continue;
        };
        on_kept += usize::from(heard.number > 0);
        assert_may_have_run(&reply, &id);
        if reply.status == 200 {
            assert_eq!(reply.text(), "ran", "{id}");
        }
    }
    assert!(
        on_kept > length / 2,
        "{on_kept} of {length} on a kept connection"
    );
}

// Guards against the same with the start of a success: it must not turn the failure that
// follows it into a success.
#[test]
fn a_cut_success_ahead_of_a_failure_is_no_success() {
    let copy = response(200, "r-0", "Server-Stamp: s\r\n", "ran");
    let length = copy.len();
    let fleet = Fleet::start(move |heard| {
        let cut = heard.id.strip_prefix("cut-").filter(|_| heard.number > 0);
        let Some(cut) = cut else {
            return run_and_answer(heard, 200);
        };
        let mut steps = run_and_answer(heard, 404);
        let part = copy[..cut.parse().unwrap()].to_vec();
        steps.insert(1, Step::Write(part));
        steps
    });
    for cut in 0..=length {
        let id = format!("cut-{cut}");
        fleet.until("a connection that is kept", || {
            (fleet.post("/read/17", "r-0").status == 200).then_some(())
        });
        let reply = fleet.post("/read/17", &id);
        let heard = fleet.endpoint.heard().into_iter().find(|h| h.id == id);
        if heard.is_some_and(|h| h.number > 0) {
            assert_ne!(reply.status, 200, "{id}: {}", reply.text());
        }
    }
}
