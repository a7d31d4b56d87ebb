//! Backend servers that answer a long upload before they have read it, without a length, and
//! end the connection.

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
use corianderway_standins::harness::Reply;
use corianderway_standins::harness::Request;
use serde_json::json;
use serde_json::Value;

/// The timeout for each awaited condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// The number of uploads of a test.
const UPLOAD_COUNT: usize = 30;

/// The size of an upload, which exceeds the buffers on its way.
const UPLOAD_BYTES: usize = 12_000_000;

/// The size of the answer's part, which takes more than one read.
const PART_BYTES: usize = 20_000;

/// How long after its end an answer is reset.
const RESET_DELAY: Duration = Duration::from_millis(5);

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
    // Each upload has a server of its own, since one that fails gets no requests for a while.
    fn start(script: impl Fn(&ReceivedRequest) -> Vec<Step> + Send + Sync + 'static) -> Self {
        let store = Store::start();
        let endpoint = Scripted::start(script);
        store.put("config", "main", &configuration());
        for number in 0..UPLOAD_COUNT {
            let entry = entry(endpoint.addr, "s1", "a", "ready", 1);
            store.put("servers", &format!("i-{number}"), &entry);
        }
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

    fn upload(&self, number: usize) -> Reply {
        self.post(number, UPLOAD_BYTES)
    }

    fn post(&self, number: usize, length: usize) -> Reply {
        let request = Request::post(&format!("/once/{number}"))
            .header("Host", node::HOST)
            .header("Request-Id", format!("r-{number}"))
            .header("Deadline-Ms", "4000")
            .body(vec![b'u'; length]);
        call(self.instance.addr(node::CALLERS_PORT), &request).unwrap()
    }

    // Uploads until that many requests have reached the server; returns the answers to these.
    fn upload_all(&self) -> Vec<Reply> {
        let mut replies = Vec::new();
        for number in 0..UPLOAD_COUNT * 2 {
            let reply = self.upload(number);
            let id = format!("r-{number}");
            if self.endpoint.heard().iter().any(|heard| heard.id == id) {
                replies.push(reply);
            }
            if replies.len() == UPLOAD_COUNT {
                break;
            }
        }
        assert_eq!(replies.len(), UPLOAD_COUNT, "uploads that were sent");
        replies
    }
}

// Returns the start of an answer; `rest` is the rest of its head.
fn answer(heard: &ReceivedRequest, rest: &str) -> Step {
    let id = &heard.id;
    let head = format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: s\r\n{rest}\r\n");
    Step::Write([head.as_bytes(), &vec![b'p'; PART_BYTES]].concat())
}

fn assert_may_have_run(replies: &[Reply]) {
    let complete = replies.iter().filter(|reply| reply.status == 200).count();
    assert_eq!(complete, 0, "complete, of {UPLOAD_COUNT} answers");
    for reply in replies {
        assert_eq!(reply.status, 502, "{}", reply.text());
    }
}

// Guards against a part of an answer that is taken for a whole one: the write of the upload fails
// with the reset, and the read behind it finds a plain end.
#[test]
fn an_early_answer_that_is_reset_is_not_complete() {
    let fleet = Fleet::start(|heard| vec![answer(heard, ""), Step::Reset]);
    assert_may_have_run(&fleet.upload_all());
}

// Guards against an end that is read right before the reset.
#[test]
fn an_early_answer_that_is_reset_after_its_end_is_not_complete() {
    let fleet = Fleet::start(|heard| {
        let delay = Step::Wait(RESET_DELAY);
        vec![answer(heard, ""), Step::Close, delay, Step::Reset]
    });
    assert_may_have_run(&fleet.upload_all());
}

// Guards against an answer that is thrown away since its request has not been read.
#[test]
fn an_early_answer_is_complete_if_its_server_reads_on_after_its_end() {
    // `Step::Close` reads one byte.
    let fleet = Fleet::start(|heard| {
        let rest = Step::Read(UPLOAD_BYTES - 1);
        vec![answer(heard, ""), Step::Close, rest]
    });
    for reply in fleet.upload_all() {
        assert_eq!(reply.status, 200, "{}", reply.text());
        assert_eq!(reply.body.len(), PART_BYTES);
    }
}

// The reset may still come, or be lost on its way.
#[test]
fn an_early_answer_is_not_complete_if_its_server_does_not_read_on() {
    let fleet = Fleet::start(|heard| {
        let silent = Step::Wait(WAIT_TIMEOUT);
        vec![answer(heard, ""), Step::Close, silent]
    });
    assert_eq!(fleet.upload(0).status, 502);
}

#[test]
fn an_early_answer_with_a_length_is_complete_although_it_is_reset() {
    let length = format!("Content-Length: {PART_BYTES}\r\n");
    let fleet = Fleet::start(move |heard| vec![answer(heard, &length), Step::Reset]);
    for reply in fleet.upload_all() {
        assert_eq!(reply.status, 200, "{}", reply.text());
        assert_eq!(reply.body.len(), PART_BYTES);
    }
}

// Guards against an answer that waits for an acknowledgement which came with it.
#[test]
fn an_answer_without_a_length_to_a_request_that_was_read_is_complete_at_once() {
    let length = 1_000;
    let fleet = Fleet::start(move |heard| vec![Step::Read(length), answer(heard, ""), Step::Close]);
    let begun = Instant::now();
    for number in 0..UPLOAD_COUNT {
        let reply = fleet.post(number, length);
        assert_eq!(reply.status, 200, "{}", reply.text());
        assert_eq!(reply.body.len(), PART_BYTES);
    }
    let took = begun.elapsed();
    println!("{UPLOAD_COUNT} answers in {took:?}");
    assert!(took < Duration::from_secs(2), "{took:?}");
}
