//! Non-idempotent requests over real processes: each runs at most once, and a refusal
//! states correctly whether it may have run.

mod support;

use std::thread;
use std::time::Duration;

use corianderway_standins::harness::call;
use corianderway_standins::harness::until;
use corianderway_standins::harness::Reply;
use corianderway_standins::harness::Request;
use corianderway_standins::platform::Faults;
use corianderway_standins::platform::Outage;
use serde_json::Value;

use crate::support::idempotency_key;
use crate::support::run_count;
use crate::support::Fleet;
use crate::support::HOST;
use crate::support::WAIT_TIMEOUT;

struct Setup {
    fleet: Fleet,
    key: String,
}

impl Setup {
    fn start(servers: usize) -> Self {
        let fleet = Fleet::start(3, servers);
        let (_, key) = fleet.create_key("finder");
        let probe = Request::get("/dates/1").host(HOST).key(&key);
        for entry in 0..3 {
            fleet.wait_status(entry, &probe, 200);
        }
        Self { fleet, key }
    }

    fn transfer(&self, path: &str, token: &str) -> Request {
        let request = Request::post(path).host(HOST).key(&self.key);
        request.header("idempotency-key", token).body("heir=17")
    }
}

fn ran(reply: &Reply) -> String {
    let body: Value = reply.json().unwrap();
    body["ran"].as_str().unwrap_or("answered").to_owned()
}

#[test]
fn a_request_sent_to_every_instance_at_once_runs_once() {
    let setup = Setup::start(2);
    let token = idempotency_key();
    let request = setup.transfer("/transfers/9?work_ms=300", &token);
    let callers: Vec<_> = setup
        .fleet
        .entries
        .iter()
        .flat_map(|entry| [entry.callers, entry.callers])
        .map(|addr| {
            let request = request.clone();
            thread::spawn(move || call(addr, &request).unwrap())
        })
        .collect();
    let replies: Vec<Reply> = callers.into_iter().map(|c| c.join().unwrap()).collect();
    assert_eq!(run_count(&setup.fleet.servers, &token), 1);
    let bodies: Vec<String> = replies.iter().map(Reply::text).collect();
    assert!(replies.iter().all(|r| r.status == 200), "{bodies:?}");
    assert!(bodies.iter().all(|b| *b == bodies[0]), "{bodies:?}");
    let again = setup.fleet.entries[2].call(&request).unwrap();
    assert_eq!((again.status, again.text()), (200, bodies[0].clone()));
    assert_eq!(run_count(&setup.fleet.servers, &token), 1);
}

#[test]
fn another_request_under_the_same_key_is_refused_as_not_run() {
    let setup = Setup::start(1);
    let token = idempotency_key();
    let first = setup.transfer("/transfers/1", &token);
    assert_eq!(setup.fleet.entries[0].call(&first).unwrap().status, 200);
    let other = setup.transfer("/transfers/2", &token);
    for entry in &setup.fleet.entries {
        let reply = entry.call(&other).unwrap();
        assert_eq!((reply.status, ran(&reply).as_str()), (422, "not-run"));
    }
    assert_eq!(run_count(&setup.fleet.servers, &token), 1);
    let malformed = setup.transfer("/transfers/3", "transfer-3");
    assert_eq!(setup.fleet.entries[0].call(&malformed).unwrap().status, 400);
}

#[test]
fn an_instance_killed_during_a_run_leaves_the_outcome_unknown() {
    let mut setup = Setup::start(1);
    let token = idempotency_key();
    let request = setup.transfer("/transfers/5?work_ms=1000", &token);
    let addr = setup.fleet.entries[0].callers;
    let sent = request.clone();
    let caller = thread::spawn(move || call(addr, &sent));
    until("the run", WAIT_TIMEOUT, || {
        (run_count(&setup.fleet.servers, &token) == 1).then_some(())
    })
    .unwrap();
    setup.fleet.entries[0].process.kill().unwrap();
    assert!(caller.join().unwrap().is_err());
    for entry in [1, 2] {
        let reply = setup.fleet.entries[entry].call(&request).unwrap();
        assert_eq!(ran(&reply), "may-have-run", "{}", reply.text());
    }
    assert_eq!(run_count(&setup.fleet.servers, &token), 1);
}

#[test]
fn lost_platform_responses_neither_lose_nor_repeat_a_request() {
    let setup = Setup::start(2);
    for lost in [1, 2, 3] {
        let faults = Faults {
            lose_answers: lost,
            ..Faults::default()
        };
        setup.fleet.platform.set_faults(&faults).unwrap();
        let token = idempotency_key();
        let request = setup.transfer("/transfers/7", &token);
        let reply = setup.fleet.entries[0].call(&request).unwrap();
        let again = setup.fleet.entries[1].call(&request).unwrap();
        let count = run_count(&setup.fleet.servers, &token);
        assert!(count <= 1, "{count} runs with {lost} lost answers");
        if ran(&reply) == "not-run" && ran(&again) == "not-run" {
            assert_eq!(count, 0);
        }
        if reply.status == 200 {
            assert_eq!(count, 1);
        }
    }
}

#[test]
fn a_platform_outage_refuses_only_requests_that_need_a_claim() {
    let setup = Setup::start(1);
    let down = Faults {
        down: Outage::Refuse,
        ..Faults::default()
    };
    setup.fleet.platform.set_faults(&down).unwrap();
    let claimed = idempotency_key();
    let reply = setup.fleet.entries[0]
        .call(&setup.transfer("/transfers/1", &claimed))
        .unwrap();
    assert_eq!(reply.status, 503);
    assert_ne!(ran(&reply), "may-have-run");
    assert_eq!(run_count(&setup.fleet.servers, &claimed), 0);
    let deduplicated = idempotency_key();
    let seal = setup.transfer("/seals/1", &deduplicated);
    assert_eq!(setup.fleet.entries[1].call(&seal).unwrap().status, 200);
    let read = Request::get("/dates/1").host(HOST).key(&setup.key);
    assert_eq!(setup.fleet.entries[2].call(&read).unwrap().status, 200);
}

#[test]
fn an_instance_resumed_after_the_deadline_sends_nothing() {
    let mut setup = Setup::start(1);
    let slow = Faults {
        slow_ms: 700,
        ..Faults::default()
    };
    setup.fleet.platform.set_faults(&slow).unwrap();
    let token = idempotency_key();
    let request = setup
        .transfer("/transfers/3", &token)
        .header("x-deadline-ms", 1_500);
    let addr = setup.fleet.entries[0].callers;
    let caller = thread::spawn(move || call(addr, &request));
    until("the claim", WAIT_TIMEOUT, || {
        let claims = setup.fleet.platform.dump().ok()?;
        claims.iter().any(|o| &*o.kind == "claims").then_some(())
    })
    .unwrap();
    setup.fleet.entries[0].process.suspend().unwrap();
    thread::sleep(Duration::from_secs(2));
    setup.fleet.entries[0].process.resume().unwrap();
    let reply = caller.join().unwrap().unwrap();
    assert_eq!(
        run_count(&setup.fleet.servers, &token),
        0,
        "{}",
        reply.text()
    );
    assert_ne!(reply.status, 200);
}

// Guards against a caller without an answer: the process was paused beyond the request's
// deadline, and its claim ended before the attempt did.
#[test]
fn a_request_in_flight_beyond_its_deadline_during_a_pause_is_refused_as_may_have_run() {
    let mut setup = Setup::start(1);
    let token = idempotency_key();
    let request = setup
        .transfer("/transfers/4?work_ms=10000", &token)
        .header("x-deadline-ms", 1_500);
    let addr = setup.fleet.entries[0].callers;
    let caller = thread::spawn(move || call(addr, &request));
    until("the run", WAIT_TIMEOUT, || {
        (run_count(&setup.fleet.servers, &token) == 1).then_some(())
    })
    .unwrap();
    // The backend server doesn't answer at the deadline either.
    setup.fleet.servers[0].process.suspend().unwrap();
    setup.fleet.entries[0].process.suspend().unwrap();
    thread::sleep(Duration::from_secs(2));
    setup.fleet.entries[0].process.resume().unwrap();
    let reply = until("the answer", WAIT_TIMEOUT, || {
        caller.is_finished().then_some(())
    });
    setup.fleet.servers[0].process.resume().unwrap();
    reply.unwrap();
    let reply = caller.join().unwrap().unwrap();
    assert_eq!(ran(&reply), "may-have-run", "{}", reply.text());
}
