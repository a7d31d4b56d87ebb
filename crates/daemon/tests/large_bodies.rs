//! Bodies near the limits of the configuration and of an instance's memory.

mod platform_fleet;

use corianderway_standins::estate::entry;
use corianderway_standins::estate::node;
use corianderway_standins::estate::Scripted;
use corianderway_standins::estate::Step;
use corianderway_standins::harness::call;
use corianderway_standins::harness::Reply;
use corianderway_standins::harness::Request;
use serde_json::json;

use crate::platform_fleet::configuration;
use crate::platform_fleet::read;
use crate::platform_fleet::Fleet;

/// The limit of the configuration.
const MAX_BODY_BYTES: usize = 64_000_000;

fn fleet() -> Fleet {
    let fleet = Fleet::start(1);
    let mut larger = configuration(2, &["k1"]);
    larger["limits"]["max_body_bytes"] = json!(MAX_BODY_BYTES);
    fleet.store.put("config", "main", &larger);
    fleet.until("version 2", || {
        (read(&fleet.instances[0], "k2")?.status == 401).then_some(())
    });
    fleet
}

fn post(fleet: &Fleet, length: usize) -> Reply {
    let request = Request::new("POST", "/slow/1")
        .header("Host", node::HOST)
        .header("Request-Id", "r-1")
        .header("Deadline-Ms", "10000")
        .body(vec![b'x'; length]);
    call(fleet.instances[0].addr(node::CALLERS_PORT), &request).unwrap()
}

// Guards against proper requests that are ended with 413, which no caller repeats, although the
// configuration allows their bodies: an instance had a smaller limit of its own.
#[test]
fn a_body_that_the_configuration_allows_is_not_too_large() {
    let fleet = fleet();
    let reply = post(&fleet, 18_000_000);
    assert_eq!(reply.status, 200, "{}", reply.text());
    assert_eq!(
        fleet.endpoint.requests().last().unwrap().body.len(),
        18_000_000
    );
}

// A body that this instance can't hold was not run, and may fit elsewhere or later.
#[test]
fn a_body_that_does_not_fit_into_memory_gets_503_with_a_time_to_come_back() {
    let fleet = fleet();
    let before = fleet.endpoint.requests().len();
    let reply = post(&fleet, 40_000_000);
    assert_eq!(reply.status, 503, "{}", reply.text());
    let after = reply.header("retry-after").expect("a time to come back");
    assert!(after.parse::<f64>().unwrap() > 0.0);
    assert_eq!(fleet.endpoint.requests().len(), before);
}

// Guards against an answer that is thrown away after its request has run: a fixed limit was
// smaller than the memory.
#[test]
fn an_answer_that_fits_into_memory_is_delivered() {
    let fleet = fleet();
    let length = 18_000_000;
    let server = Scripted::start(move |heard| {
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nServer-Stamp: s\r\nContent-Length: {length}\r\n\r\n",
            heard.id
        );
        vec![Step::Write([head.as_bytes(), &vec![b'y'; length]].concat())]
    });
    let listed = entry(server.addr, "s1", "a", "ready", 1);
    fleet.store.put("servers", "i-2", &listed);
    fleet.store.remove("servers", "i-1");
    fleet.until("the other backend server", || {
        let reply = read(&fleet.instances[0], "k1")?;
        (reply.status == 200 && reply.body.len() == length).then_some(())
    });
}

#[test]
fn a_body_that_the_configuration_forbids_is_too_large() {
    let fleet = fleet();
    assert_eq!(post(&fleet, MAX_BODY_BYTES + 1).status, 413);
}
