//! Non-idempotent requests over real processes: at most one run, and truthful refusals.

mod support;

use std::thread;
use std::time::Duration;

use corianderway_standins::harness::call;
use corianderway_standins::harness::until;
use corianderway_standins::harness::Reply;
use corianderway_standins::harness::Request;
use corianderway_standins::platform::Down;
use corianderway_standins::platform::Faults;
use serde_json::Value;

use crate::support::runs;
use crate::support::token;
use crate::support::Fleet;
use crate::support::HOST;
use crate::support::PATIENCE;

struct World {
    fleet: Fleet,
    key: String,
}

impl World {
    fn start(servers: usize) -> Self {
        let fleet = Fleet::start(3, servers);
        let (_, key) = fleet.grant("finder");
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
    let world = World::start(2);
    let token = token();
    let request = world.transfer("/transfers/9?work_ms=300", &token);
    let callers: Vec<_> = world
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
    assert_eq!(runs(&world.fleet.servers, &token), 1);
    let bodies: Vec<String> = replies.iter().map(Reply::text).collect();
    assert!(replies.iter().all(|r| r.status == 200), "{bodies:?}");
    assert!(bodies.iter().all(|b| *b == bodies[0]), "{bodies:?}");
    let again = world.fleet.entries[2].call(&request).unwrap();
    assert_eq!((again.status, again.text()), (200, bodies[0].clone()));
    assert_eq!(runs(&world.fleet.servers, &token), 1);
}

#[test]
fn another_request_under_the_same_key_is_refused_as_not_run() {
    let world = World::start(1);
    let token = token();
    let first = world.transfer("/transfers/1", &token);
    assert_eq!(world.fleet.entries[0].call(&first).unwrap().status, 200);
    let other = world.transfer("/transfers/2", &token);
    for entry in &world.fleet.entries {
        let reply = entry.call(&other).unwrap();
        assert_eq!((reply.status, ran(&reply).as_str()), (422, "not-run"));
    }
    assert_eq!(runs(&world.fleet.servers, &token), 1);
    let malformed = world.transfer("/transfers/3", "transfer-3");
    assert_eq!(world.fleet.entries[0].call(&malformed).unwrap().status, 400);
}

#[test]
fn an_instance_killed_while_the_request_runs_leaves_it_unknown() {
    let mut world = World::start(1);
    let token = token();
    let request = world.transfer("/transfers/5?work_ms=1000", &token);
    let addr = world.fleet.entries[0].callers;
    let sent = request.clone();
    let caller = thread::spawn(move || call(addr, &sent));
    until("the run", PATIENCE, || {
        (runs(&world.fleet.servers, &token) == 1).then_some(())
    })
    .unwrap();
    world.fleet.entries[0].process.kill().unwrap();
    assert!(caller.join().unwrap().is_err());
    for entry in [1, 2] {
        let reply = world.fleet.entries[entry].call(&request).unwrap();
        assert_eq!(ran(&reply), "may-have-run", "{}", reply.text());
    }
    assert_eq!(runs(&world.fleet.servers, &token), 1);
}

#[test]
fn lost_answers_of_the_platform_neither_lose_nor_repeat_a_request() {
    let world = World::start(2);
    for lost in [1, 2, 3] {
        let faults = Faults {
            lose_answers: lost,
            ..Faults::default()
        };
        world.fleet.platform.set_faults(&faults).unwrap();
        let token = token();
        let request = world.transfer("/transfers/7", &token);
        let reply = world.fleet.entries[0].call(&request).unwrap();
        let again = world.fleet.entries[1].call(&request).unwrap();
        let count = runs(&world.fleet.servers, &token);
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
fn a_platform_outage_refuses_claims_truthfully_and_leaves_the_rest_alone() {
    let world = World::start(1);
    let down = Faults {
        down: Down::Refuse,
        ..Faults::default()
    };
    world.fleet.platform.set_faults(&down).unwrap();
    let claimed = token();
    let reply = world.fleet.entries[0]
        .call(&world.transfer("/transfers/1", &claimed))
        .unwrap();
    assert_eq!(reply.status, 503);
    assert_ne!(ran(&reply), "may-have-run");
    assert_eq!(runs(&world.fleet.servers, &claimed), 0);
    let deduplicated = token();
    let seal = world.transfer("/seals/1", &deduplicated);
    assert_eq!(world.fleet.entries[1].call(&seal).unwrap().status, 200);
    let read = Request::get("/dates/1").host(HOST).key(&world.key);
    assert_eq!(world.fleet.entries[2].call(&read).unwrap().status, 200);
}

#[test]
fn a_paused_instance_that_wakes_late_sends_nothing() {
    let mut world = World::start(1);
    let slow = Faults {
        slow_ms: 700,
        ..Faults::default()
    };
    world.fleet.platform.set_faults(&slow).unwrap();
    let token = token();
    let request = world
        .transfer("/transfers/3", &token)
        .header("x-deadline-ms", 1_500);
    let addr = world.fleet.entries[0].callers;
    let caller = thread::spawn(move || call(addr, &request));
    until("the claim", PATIENCE, || {
        let claims = world.fleet.platform.dump().ok()?;
        claims.iter().any(|o| &*o.kind == "claims").then_some(())
    })
    .unwrap();
    world.fleet.entries[0].process.freeze().unwrap();
    thread::sleep(Duration::from_secs(2));
    world.fleet.entries[0].process.thaw().unwrap();
    let reply = caller.join().unwrap().unwrap();
    assert_eq!(runs(&world.fleet.servers, &token), 0, "{}", reply.text());
    assert_ne!(reply.status, 200);
}
