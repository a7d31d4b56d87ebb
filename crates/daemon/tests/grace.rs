//! Requests that are open or arrive during a planned stop of their instance.

use std::io::Read as _;
use std::io::Write as _;
use std::net::TcpStream;
use std::path::Path;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use corianderway_standins::estate::entry;
use corianderway_standins::estate::node;
use corianderway_standins::estate::Endpoint;
use corianderway_standins::estate::Mode;
use corianderway_standins::estate::Node;
use corianderway_standins::estate::ReceivedRequest;
use corianderway_standins::estate::Scripted;
use corianderway_standins::estate::Site;
use corianderway_standins::estate::Step;
use corianderway_standins::estate::Store;
use corianderway_standins::harness::until;
use serde_json::json;
use serde_json::Value;

/// The timeout for each awaited condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// The grace: the time from the signal until the process is ended by force.
const GRACE: Duration = Duration::from_secs(4);

/// The size of a large body, which exceeds the socket buffers of the system.
const LARGE_BODY_BYTES: usize = 12 * 1_024 * 1_024;

struct Fleet {
    instance: Node,
    _store: Store,
}

/// What a caller read until the answer was complete or the connection ended.
struct Answer {
    head: String,
    body: Vec<u8>,
}

fn configuration() -> Value {
    json!({
        "version": 1,
        "routes": {
            "columns": ["name", "host", "path_prefix", "kind", "timeout_ms", "target_latency_ms",
                "priority", "max_attempts", "public", "sticky", "service"],
            "rows": [
                ["read", node::HOST, "/read/", "safe", 10_000, 600, 2, 1, true, false, "s1"],
                ["once", node::HOST, "/once/", "unsafe", 10_000, 600, 2, 1, true, false, "s1"],
            ],
        },
        "services": { "columns": ["name"], "rows": [["s1"]] },
        "limits": { "max_header_bytes": 16_384, "max_body_bytes": 100_000,
            "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000 },
        "tenants": { "columns": ["name", "api_keys"], "rows": [] },
    })
}

impl Fleet {
    fn start(server: &Value) -> Self {
        Self::start_with(server, GRACE)
    }

    fn start_with(server: &Value, grace: Duration) -> Self {
        let store = Store::start();
        store.put("config", "main", &configuration());
        store.put("servers", "i-1", server);
        let dir = Path::new(env!("CARGO_TARGET_TMPDIR"));
        let mut site = Site::new("north", "a", store.addr);
        site.grace = grace.as_secs() as u32;
        let instance = Node::start(site, &[("a", "north")], dir).unwrap();
        let fleet = Self {
            instance,
            _store: store,
        };
        until("readiness", WAIT_TIMEOUT, || {
            fleet.instance.is_ready().then_some(())
        })
        .unwrap();
        fleet
    }

    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.instance.addr(node::CALLERS_PORT)).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        stream
    }

    // Sends a request on a new connection and waits for the answer.
    fn ask(&self, path: &str, id: &str) -> Answer {
        let mut stream = self.connect();
        stream.write_all(&request(path, id)).unwrap();
        read(&mut stream)
    }

    fn stop(&mut self) -> Instant {
        self.instance.process.terminate().unwrap();
        Instant::now()
    }
}

fn request(path: &str, id: &str) -> Vec<u8> {
    let host = node::HOST;
    format!("GET {path} HTTP/1.1\r\nHost: {host}\r\nRequest-Id: {id}\r\nDeadline-Ms: 12000\r\n\r\n")
        .into_bytes()
}

fn read(stream: &mut TcpStream) -> Answer {
    let mut bytes = Vec::new();
    let mut block = vec![0; 65_536];
    loop {
        let head = bytes.windows(4).position(|end| end == b"\r\n\r\n");
        let head = head.map(|at| String::from_utf8_lossy(&bytes[..at]).into_owned());
        if let Some(head) = &head {
            let lines = head.lines().filter_map(|line| line.split_once(": "));
            let mut lengths = lines.filter(|(name, _)| name.eq_ignore_ascii_case("content-length"));
            let length = lengths
                .next()
                .map_or(0, |(_, value)| value.parse().unwrap());
            let body = &bytes[head.len() + 4..];
            if body.len() >= length {
                let (head, body) = (head.clone(), body.to_vec());
                return Answer { head, body };
            }
        }
        match stream.read(&mut block) {
            Ok(0) | Err(_) => {
                let head = head.unwrap_or_default();
                return Answer {
                    body: bytes.split_off((head.len() + 4).min(bytes.len())),
                    head,
                };
            }
            Ok(count) => bytes.extend_from_slice(&block[..count]),
        }
    }
}

impl Answer {
    fn status(&self) -> &str {
        self.head.split(' ').nth(1).unwrap_or("none")
    }

    fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

// Guards against requests that are cut off without an answer at the end of the
// grace.
#[test]
fn a_request_that_outlasts_a_stop_is_answered() {
    // The margins for last answers shrink with the grace.
    let short = GRACE / 4;
    for (path, grace) in [("/once/1", GRACE), ("/read/1", GRACE), ("/once/1", short)] {
        let endpoint = Endpoint::start("i-1");
        endpoint.set_mode(Mode::Slow(Duration::from_secs(8)));
        let mut fleet = Fleet::start_with(&endpoint.entry("s1", "a", "ready", 1), grace);
        let mut stream = fleet.connect();
        stream.write_all(&request(path, "r-1")).unwrap();
        until("the request at the backend server", WAIT_TIMEOUT, || {
            (endpoint.requests().len() == 1).then_some(())
        })
        .unwrap();
        let begun = fleet.stop();
        let answer = read(&mut stream);
        assert_eq!(answer.status(), "504", "{path} within {grace:?}");
        assert!(answer.text().contains("may-have-run"), "{}", answer.text());
        fleet.instance.process.wait(WAIT_TIMEOUT).unwrap();
        // A busy machine may take more than the margins of a short grace.
        let bound = grace.max(GRACE);
        assert!(begun.elapsed() <= bound, "{:?}", begun.elapsed());
        assert_eq!(endpoint.requests().len(), 1);
    }
}

// Guards against requests that are accepted and forwarded during a stop although
// they take longer than the rest of the grace, and are then cut off.
#[test]
fn a_request_that_can_not_finish_during_a_stop_is_refused_at_once() {
    let endpoint = Endpoint::start("i-1");
    endpoint.set_mode(Mode::Slow(Duration::from_millis(2_500)));
    let mut fleet = Fleet::start(&endpoint.entry("s1", "a", "ready", 1));
    // The instance measures how long such requests take.
    for round in 0..2 {
        thread::scope(|scope| {
            for number in 0..8 {
                let fleet = &fleet;
                scope.spawn(move || {
                    drop(fleet.ask("/once/1", &format!("r-{round}-{number}")));
                });
            }
        });
    }
    let ran = endpoint.requests().len();
    let begun = fleet.stop();
    let middle = Duration::from_millis(1_700);
    until("the middle of the grace", WAIT_TIMEOUT, || {
        (begun.elapsed() >= middle).then_some(())
    })
    .unwrap();
    let asked = Instant::now();
    let answer = fleet.ask("/once/1", "r-9");
    assert_eq!(answer.status(), "503", "{}", answer.head);
    assert!(answer.text().contains("\"not-run\""), "{}", answer.text());
    assert!(answer.head.to_ascii_lowercase().contains("retry-after"));
    assert!(asked.elapsed() < Duration::from_millis(500));
    assert_eq!(endpoint.requests().len(), ran);
}

// Guards against a process that exits once its decisions are made, while an answer
// is still being written to a slow caller.
#[test]
fn a_stop_waits_for_a_caller_that_still_reads() {
    let endpoint = Scripted::start(|heard: &ReceivedRequest| {
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nServer-Stamp: s\r\n\
             Content-Length: {LARGE_BODY_BYTES}\r\n\r\n",
            heard.id
        );
        let body = vec![b'x'; LARGE_BODY_BYTES];
        vec![Step::Write(head.into_bytes()), Step::Write(body)]
    });
    let mut fleet = Fleet::start(&entry(endpoint.addr, "s1", "a", "ready", 1));
    let mut stream = fleet.connect();
    stream.write_all(&request("/read/1", "r-1")).unwrap();
    let mut first = [0; 1];
    stream.peek(&mut first).unwrap();
    let begun = fleet.stop();
    // The caller does not read until long after all other work is done.
    let pause = GRACE.mul_f64(0.8);
    until("most of the grace", WAIT_TIMEOUT, || {
        (begun.elapsed() >= pause).then_some(())
    })
    .unwrap();
    let answer = read(&mut stream);
    assert_eq!(
        (answer.status(), answer.body.len()),
        ("200", LARGE_BODY_BYTES)
    );
    fleet.instance.process.wait(WAIT_TIMEOUT).unwrap();
    assert!(begun.elapsed() <= GRACE, "{:?}", begun.elapsed());
}

#[test]
fn a_partly_received_request_is_served_when_a_stop_begins() {
    let endpoint = Endpoint::start("i-1");
    let mut fleet = Fleet::start(&endpoint.entry("s1", "a", "ready", 1));
    let mut stream = fleet.connect();
    let bytes = request("/once/1", "r-1");
    let (first, rest) = bytes.split_at(bytes.len() / 2);
    stream.write_all(first).unwrap();
    let begun = fleet.stop();
    until("half a second of the grace", WAIT_TIMEOUT, || {
        (begun.elapsed() >= Duration::from_millis(500)).then_some(())
    })
    .unwrap();
    stream.write_all(rest).unwrap();
    assert_eq!(read(&mut stream).status(), "200");
    assert_eq!(endpoint.requests().len(), 1);
}

// Callers use their open connections until the process ends. Guards against
// requests that ran but are refused as not run, and ones that are cut off.
#[test]
fn requests_on_open_connections_run_or_are_refused_as_not_run_during_a_stop() {
    let endpoint = Endpoint::start("i-1");
    let mut fleet = Fleet::start(&endpoint.entry("s1", "a", "ready", 1));
    let callers: Vec<_> = (0..4)
        .map(|caller| {
            let mut stream = fleet.connect();
            let addr = fleet.instance.addr(node::CALLERS_PORT);
            thread::spawn(move || {
                let mut answers = Vec::new();
                let begun = Instant::now();
                for number in 0.. {
                    let id = format!("r-{caller}-{number}");
                    if begun.elapsed() > WAIT_TIMEOUT
                        || stream.write_all(&request("/once/1", &id)).is_err()
                    {
                        break;
                    }
                    let answer = read(&mut stream);
                    let closes = answer
                        .head
                        .to_ascii_lowercase()
                        .contains("connection: close");
                    answers.push((id, answer.status().to_owned()));
                    if closes || answer.head.is_empty() {
                        match TcpStream::connect(addr) {
                            Ok(next) => stream = next,
                            Err(_gone) => break,
                        }
                        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
                    }
                    thread::sleep(Duration::from_millis(20));
                }
                answers
            })
        })
        .collect();
    until("requests", WAIT_TIMEOUT, || {
        (endpoint.requests().len() > 20).then_some(())
    })
    .unwrap();
    fleet.stop();
    for caller in callers {
        for (id, status) in caller.join().unwrap() {
            let runs = endpoint
                .requests()
                .iter()
                .filter(|seen| seen.id == id)
                .count();
            match status.as_str() {
                "200" => assert_eq!(runs, 1, "{id}"),
                // Refused, or the process ended before it read the request.
                "503" | "none" => assert_eq!(runs, 0, "{id}: {status}"),
                other => panic!("{id}: {other}"),
            }
        }
    }
}
