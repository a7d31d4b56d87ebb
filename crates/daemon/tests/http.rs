//! Valid and malformed HTTP requests to real processes.

#[path = "../../wire/tests/heads/mod.rs"]
mod heads;
mod support;

use std::io::Write as _;
use std::time::Duration;

use corianderway_standins::estate::Scripted;
use corianderway_standins::estate::Step;
use corianderway_standins::harness::call;
use corianderway_standins::harness::until;
use corianderway_standins::harness::Client;
use corianderway_standins::harness::Request;
use serde_json::Value;

use crate::support::Fleet;
use crate::support::HOST;
use crate::support::WAIT_TIMEOUT;

/// The size of an early answer, which exceeds the buffers on its way.
const EARLY_ANSWER_BYTES: usize = 4_000_000;

/// How long a server that has answered keeps the rest of a request unread.
const READ_DELAY: Duration = Duration::from_secs(3);

#[test]
fn malformed_heads_are_refused_without_affecting_other_callers() {
    let fleet = Fleet::start(1, 1);
    let addr = fleet.entries[0].callers;
    let mut other_caller = Client::connect(addr).unwrap();
    let valid = Request::get("/capsules/1").host(HOST);
    let cases = heads::cases();
    for case in cases.iter().filter(|case| case.status.is_some()) {
        let mut client = Client::connect(addr).unwrap();
        client.write(&case.bytes()).unwrap();
        let reply = client.read("GET").unwrap();
        assert_eq!(Some(reply.status), case.status, "{}", case.name);
        assert!(client.read_to_end().unwrap().is_empty(), "{}", case.name);
        assert_eq!(
            other_caller.call(&valid).unwrap().status,
            200,
            "{}",
            case.name
        );
    }
    let history = fleet.servers[0]
        .call(&Request::get("/standin/history"))
        .unwrap()
        .text();
    assert!(!history.contains("\"/x\""), "{history}");
}

#[test]
fn requests_on_one_connection_are_answered_in_order() {
    let fleet = Fleet::start(1, 1);
    let mut client = Client::connect(fleet.entries[0].callers).unwrap();
    let paths: Vec<String> = (0..20).map(|at| format!("/capsules/{at}")).collect();
    let all: Vec<u8> = paths
        .iter()
        .flat_map(|path| Request::get(path).host(HOST).bytes())
        .collect();
    client.write(&all).unwrap();
    for path in &paths {
        let reply: Value = client.read("GET").unwrap().json().unwrap();
        assert_eq!(reply["path"], path.as_str());
    }
}

#[test]
fn a_large_body_is_passed_on_completely_in_both_directions() {
    let fleet = Fleet::start(1, 1);
    let (_, key) = fleet.create_key("finder");
    let post = Request::post("/dates/1").host(HOST).key(&key);
    fleet.wait_status(0, &post.clone().body("x"), 200);
    let body: Vec<u8> = (0..3_000_000_u32).map(|at| (at % 251) as u8).collect();
    let echo = Request::post("/dates/1?echo=1")
        .host(HOST)
        .key(&key)
        .body(body.clone());
    let reply = call(fleet.entries[0].callers, &echo).unwrap();
    assert_eq!(reply.status, 200);
    assert!(
        reply.body == body,
        "{} of {} bytes",
        reply.body.len(),
        body.len()
    );
}

#[test]
fn routes_match_by_method_and_contracts_by_host() {
    let fleet = Fleet::start(1, 1);
    let addr = fleet.entries[0].callers;
    let status = |request: &Request| call(addr, request).unwrap().status;
    assert_eq!(status(&Request::post("/capsules/1").host(HOST)), 404);
    assert_eq!(status(&Request::get("/elsewhere").host(HOST)), 404);
    assert_eq!(
        status(&Request::get("/capsules/1").host("other.example")),
        421
    );
    let upper = HOST.to_ascii_uppercase();
    assert_eq!(status(&Request::get("/capsules/1").host(&upper)), 200);
    let with_port = format!("{HOST}:80");
    assert_eq!(status(&Request::get("/capsules/1").host(&with_port)), 200);
}

#[test]
fn a_key_in_the_path_or_sent_twice_is_refused() {
    let fleet = Fleet::start(1, 1);
    let (_, key) = fleet.create_key("finder");
    let good = Request::get("/dates/1").host(HOST).key(&key);
    fleet.wait_status(0, &good, 200);
    let in_path = Request::get(&format!("/dates/{key}")).host(HOST).key(&key);
    assert_eq!(fleet.entries[0].call(&in_path).unwrap().status, 403);
    assert_eq!(
        fleet.entries[0]
            .call(&good.clone().key(&key))
            .unwrap()
            .status,
        403
    );
    let in_query = Request::get(&format!("/dates/1?k={key}"))
        .host(HOST)
        .key(&key);
    assert_eq!(fleet.entries[0].call(&in_query).unwrap().status, 200);
    let secret = key.split_once('.').unwrap().1;
    let history = fleet.servers[0]
        .call(&Request::get("/standin/history"))
        .unwrap()
        .text();
    assert!(!history.contains(secret));
}

// Guards against an answer that is cut off because its server read only a part of the
// request before it answered: the rest of the request was taken for one that the caller
// had cut off.
#[test]
fn an_early_answer_to_a_large_request_is_delivered_whole() {
    let mut fleet = Fleet::start(1, 1);
    let (_, key) = fleet.create_key("finder");
    let server = Scripted::start(|heard| {
        let is_early = heard.target.starts_with("/dates/");
        let body = match heard.target.split('?').next() {
            _ if is_early => vec![b'e'; EARLY_ANSWER_BYTES],
            Some("/health") => b"{\"status\":\"ok\"}".to_vec(),
            Some("/load") => b"{\"running\":0}".to_vec(),
            _ => Vec::new(),
        };
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        let mut steps = vec![Step::Write([head.into_bytes(), body].concat())];
        if is_early {
            // The rest of the request is never read.
            steps.extend([Step::Read(100_000), Step::Wait(READ_DELAY)]);
        }
        steps
    });
    fleet.add_backend("finder-9", server.addr);
    fleet.servers.clear();
    let get = Request::get("/capsules/1").host(HOST);
    until("answers of the scripted server", WAIT_TIMEOUT, || {
        let reply = fleet.entries[0].call(&get).ok()?;
        (reply.status == 200 && reply.body.is_empty()).then_some(())
    })
    .unwrap();
    for _ in 0..10 {
        let post = Request::post("/dates/1").host(HOST).key(&key);
        let mut client = Client::connect(fleet.entries[0].callers).unwrap();
        let mut writer = client.clone_stream().unwrap();
        let bytes = post.body(vec![b'r'; 6_000_000]).bytes();
        let writing = std::thread::spawn(move || drop(writer.write_all(&bytes)));
        let reply = client.read("POST").unwrap();
        assert_eq!(reply.status, 200);
        assert_eq!(reply.body.len(), EARLY_ANSWER_BYTES);
        drop(client);
        writing.join().unwrap();
    }
}

// Guards against a header that ends the head of a response early: the library that decodes
// responses adds a date with a line break to those without one.
#[test]
fn a_response_without_a_date_is_delivered_whole() {
    let mut fleet = Fleet::start(1, 1);
    let server = Scripted::start(|heard| {
        let body = match heard.target.as_str() {
            "/health" => "{\"status\":\"ok\"}",
            "/load" => "{\"running\":0}",
            target => target,
        };
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        vec![Step::Write([head.as_bytes(), body.as_bytes()].concat())]
    });
    fleet.add_backend("finder-9", server.addr);
    fleet.servers.clear();
    let mut client = Client::connect(fleet.entries[0].callers).unwrap();
    let reply = until("a response of the scripted server", WAIT_TIMEOUT, || {
        let reply = client.call(&Request::get("/capsules/1").host(HOST)).ok()?;
        (reply.status == 200).then_some(reply)
    });
    assert_eq!(reply.unwrap().text(), "/capsules/1");
    let reply = client.call(&Request::get("/capsules/22").host(HOST));
    assert_eq!(reply.unwrap().text(), "/capsules/22");
}
