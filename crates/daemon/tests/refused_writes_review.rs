//! Further ways to a refused write that runs, and what callers can do with the checks that
//! guard against them.

use std::collections::BTreeMap;
use std::io::Read as _;
use std::io::Write as _;
use std::net::TcpStream;
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
    // Starts an instance and backend servers that all have the same address.
    fn start(
        servers: usize,
        script: impl Fn(&ReceivedRequest) -> Vec<Step> + Send + Sync + 'static,
    ) -> Self {
        let store = Store::start();
        let endpoint = Scripted::start(script);
        store.put("config", "main", &configuration());
        for number in 1..=servers {
            let entry = entry(endpoint.addr, "s1", "a", "ready", 1);
            store.put("servers", &format!("i-{number}"), &entry);
        }
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

    // Returns how often a request was run.
    fn runs(&self, id: &str) -> usize {
        let bodies = self.endpoint.bodies();
        bodies.iter().filter(|(run, _)| run == id).count()
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

fn assert_may_have_run(reply: &Reply, what: &str) {
    assert!(
        !REFUSING_STATUSES.contains(&reply.status),
        "{what}: {} {}",
        reply.status,
        reply.text()
    );
}

// Guards against the fourth of the statuses: a backend server that runs a write and answers
// 421 without saying that it has not run. The write must neither be refused nor run again.
#[test]
fn a_write_that_ran_and_got_421_is_neither_refused_nor_sent_again() {
    for servers in [1, 2] {
        let fleet = Fleet::start(servers, |heard| run_and_answer(heard, 421));
        let reply = fleet.post("/once/17", "r-0");
        assert_eq!(fleet.runs("r-0"), 1, "runs with {servers} servers");
        assert_may_have_run(&reply, &format!("{servers} servers"));
        assert!(reply.text().contains("may-have-run"), "{}", reply.text());
    }
}

// A 421 that names another backend server, or says that nothing ran, remains a proof: the
// write is sent to a second server.
#[test]
fn a_write_that_another_server_turned_away_is_sent_again() {
    for proof in ["Instance-Id: i-9\r\n", "Not-Run: 1\r\n"] {
        let fleet = Fleet::start(2, move |heard| {
            if heard.number == 0 && heard.connection == 0 {
                let answer = response(421, &heard.id, proof, "");
                // The server closes, so that the second attempt uses another connection.
                return vec![Step::Write(answer), Step::Close];
            }
            run_and_answer(heard, 200)
        });
        let reply = fleet.post("/once/17", "r-0");
        assert_eq!((reply.status, fleet.runs("r-0")), (200, 1), "{proof}");
    }
}

// Guards against a caller whose id looks like the start of a second answer. Backend servers
// echo it, so a sound server would count as one that breaks off its answers.
#[test]
fn an_id_that_looks_like_a_status_line_fails_no_backend_server() {
    let fleet = Fleet::start(1, |heard| run_and_answer(heard, 200));
    assert_eq!(fleet.post("/read/17", "r-0").status, 200);
    let status = fleet.post("/read/17", "HTTP/1.1 200").status;
    assert!(matches!(status, 200 | 400), "{status}");
    let lines = fleet.instance.process.lines();
    let broken = lines.iter().find(|line| line.contains("outcome=Broken"));
    assert_eq!(broken, None);
}

// Guards against a caller that sends no id, on a connection that was used before: the answer
// can't be matched, and a sound backend server would count as a faulty one.
#[test]
fn a_request_without_an_id_fails_no_backend_server() {
    let fleet = Fleet::start(1, |heard| {
        if heard.id.is_empty() {
            let answer = b"HTTP/1.1 400 No Id\r\nNot-Run: id\r\nContent-Length: 0\r\n\r\n";
            return vec![Step::Read(BODY.len()), Step::Write(answer.to_vec())];
        }
        run_and_answer(heard, 200)
    });
    for number in 0..4 {
        let id = format!("r-{number}");
        fleet.until("an answer", || {
            (fleet.post("/read/17", &id).status == 200).then_some(())
        });
        let request = Request::post("/read/17").header("Host", node::HOST);
        let addr = fleet.instance.addr(node::CALLERS_PORT);
        let status = call(addr, &request.body(BODY)).unwrap().status;
        assert_ne!(status, 502);
    }
    let lines = fleet.instance.process.lines();
    let broken = lines.iter().find(|line| line.contains("outcome=Broken"));
    assert_eq!(broken, None);
}

// Guards against the body of a refusal that is sent for a `HEAD` request: its caller reads
// the body as the start of the next answer on the connection.
#[test]
fn a_refused_head_request_gets_no_body() {
    let fleet = Fleet::start(1, |heard| run_and_answer(heard, 200));
    let mut stream = TcpStream::connect(fleet.instance.addr(node::CALLERS_PORT)).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    let host = node::HOST;
    let head = format!("HEAD /nowhere HTTP/1.1\r\nHost: {host}\r\nRequest-Id: r-0\r\n\r\n");
    stream.write_all(head.as_bytes()).unwrap();
    let get = format!(
        "GET /nowhere HTTP/1.1\r\nHost: {host}\r\nRequest-Id: r-1\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(get.as_bytes()).unwrap();
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).unwrap();
    let text = String::from_utf8_lossy(&bytes);
    let second = text.split_once("\r\n\r\n").unwrap().1;
    assert!(second.starts_with("HTTP/1.1 404"), "{text}");
}

// What a faulty backend server sends ahead of an answer, drawn from a seed: whole and cut
// copies of rejections and answers to earlier requests, interim responses, odd lines.
fn noise(seed: u64) -> Vec<u8> {
    let mut state = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    let mut draw = |bound: usize| {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        (state >> 11) as usize % bound
    };
    let mut bytes = Vec::new();
    for _ in 0..=draw(3) {
        let status = [100, 103, 200, 204, 304, 400, 421, 429, 503][draw(9)];
        let id = [
            "Request-Id: r-0\r\n",
            "",
            "Request-Id: r-0\r\nRequest-Id: r-9\r\n",
        ][draw(3)];
        let mark = [
            "Not-Run: full\r\n",
            "not-run: 1\r\nInstance-Id: i-9\r\n",
            "",
        ][draw(3)];
        let rest = [
            "Content-Length: 0\r\n\r\n",
            "Content-Length: 5\r\n\r\nearly",
            "Content-Length: 90\r\n\r\nshort",
            "Transfer-Encoding: chunked\r\n\r\n5\r\nearly\r\n0\r\n\r\n",
            "Transfer-Encoding: chunked\r\n\r\n0\r\nNot-Run: 1\r\n\r\n",
            "\r\n",
        ][draw(6)];
        let piece = match draw(8) {
            0 => ["\r\n", "\r\n\r\n", "0\r\n\r\n", "junk\r\n", "HTTP/1.1 "][draw(5)].to_owned(),
            _ => format!("HTTP/1.1 {status} Status\r\n{mark}{id}{rest}"),
        };
        let end = if draw(2) == 0 {
            piece.len()
        } else {
            draw(piece.len() + 1)
        };
        bytes.extend_from_slice(&piece.as_bytes()[..end]);
    }
    bytes
}

// Guards against anything of that kind that refuses a write which runs.
#[test]
fn no_noise_ahead_of_an_answer_refuses_a_write_that_runs() {
    let fleet = Fleet::start(1, |heard| {
        let mut steps = run_and_answer(heard, 200);
        if let Some(seed) = heard.id.strip_prefix("s-").filter(|_| heard.number > 0) {
            steps.insert(1, Step::Write(noise(seed.parse().unwrap())));
        }
        steps
    });
    let addr = fleet.instance.addr(node::CALLERS_PORT);
    let mut seen = BTreeMap::new();
    for seed in 0..400 {
        let post = |id: &str, limit: u32| {
            let request = Request::post("/once/17").header("Host", node::HOST);
            let request = request.header("Request-Id", id);
            call(addr, &request.header("Deadline-Ms", limit).body(BODY)).unwrap()
        };
        fleet.until("a connection that is kept", || {
            (post("r-0", 1_000).status == 200).then_some(())
        });
        let id = format!("s-{seed}");
        let reply = post(&id, 60);
        let ran = fleet.runs(&id) > 0;
        let kept = fleet
            .endpoint
            .heard()
            .iter()
            .any(|h| h.id == id && h.number > 0);
        *seen.entry((reply.status, ran, kept)).or_insert(0) += 1;
        if ran {
            let noise = noise(seed);
            let noise = String::from_utf8_lossy(&noise);
            assert_may_have_run(&reply, &format!("{id} after {noise:?}"));
            assert!(
                reply.status != 200 || reply.text() == "ran",
                "{id} after {noise:?}"
            );
        }
    }
    let kept: u32 = seen.iter().filter(|row| row.0 .2).map(|row| row.1).sum();
    assert!(kept > 300, "on a kept connection: {kept}; {seen:?}");
}
