//! Instances on the platform, run as processes with stand-ins for the store and
//! the backend servers.

mod platform_fleet;

use std::thread;
use std::time::Duration;
use std::time::Instant;

use corianderway_standins::estate::node;
use corianderway_standins::estate::Endpoint;
use corianderway_standins::estate::Node;
use corianderway_standins::harness::call;
use corianderway_standins::harness::Request;
use serde_json::json;
use serde_json::Value;

use crate::platform_fleet::configuration;
use crate::platform_fleet::get;
use crate::platform_fleet::read;
use crate::platform_fleet::Fleet;
use crate::platform_fleet::WAIT_TIMEOUT;

#[test]
fn a_request_is_forwarded_and_its_answer_returned() {
    let fleet = Fleet::start(1);
    let instance = &fleet.instances[0];
    let reply = read(instance, "k1").unwrap();
    assert_eq!(reply.status, 200);
    assert_eq!(reply.text(), "answer of i-1");
    assert_eq!(reply.header("server-stamp"), Some("3e1b.07.5a2"));
    let seen = fleet.endpoint.requests();
    assert_eq!(seen.len(), 1);
    assert_eq!(seen[0].request_line, "GET /read/17?x=1");
    assert_eq!(seen[0].account.as_deref(), Some("t1"));
    assert!(!seen[0].headers.contains(&"key".to_owned()));
    let unknown = read(instance, "k9").unwrap();
    assert_eq!(unknown.status, 401);
    let unrouted = get(instance, node::CALLERS_PORT, "/none/", &[("Key", "k1")]).unwrap();
    assert_eq!(unrouted.status, 404);
    let advice = get(
        instance,
        node::DIRECTORY_PORT,
        "/resolve?name=desk.example&region=north&zone=a",
        &[],
    );
    let advice: Value = serde_json::from_str(&advice.unwrap().text()).unwrap();
    assert_eq!(
        advice["addresses"],
        json!([instance.addr(node::CALLERS_PORT)])
    );
    let explained = get(instance, node::ADMIN_PORT, "/explain?request=r-1", &[]).unwrap();
    assert!(
        explained.text().contains("event=sent"),
        "{}",
        explained.text()
    );
    // The thread that counts events may be later than the answer.
    fleet.until("the count of events", || {
        let metrics = get(instance, node::ADMIN_PORT, "/metrics", &[])?;
        let is_counted = metrics.text().contains("corianderway_events");
        is_counted.then_some(())
    });
}

// Guards against a key that stays valid on an instance which the store rejects:
// that instance must learn of the withdrawal from another one.
#[test]
fn an_instance_that_the_store_rejects_refuses_a_withdrawn_key() {
    let fleet = Fleet::start(2);
    let [rejected, connected] = &fleet.instances[..] else {
        panic!("two instances");
    };
    assert_eq!(read(rejected, "k2").unwrap().status, 200);
    fleet.store.reject_callers(&[rejected.site.store]);
    fleet.store.compact();
    fleet
        .store
        .put("config", "main", &configuration(2, &["k1"]));
    for instance in [connected, rejected] {
        fleet.until("the withdrawal", || {
            (read(instance, "k2")?.status == 401).then_some(())
        });
        assert_eq!(read(instance, "k1").unwrap().status, 200);
    }
}

// The platform's limit on the time until a change takes effect.
const MAX_CHANGE_DELAY: Duration = Duration::from_millis(2_500);

// One instance of a failure domain follows the store and the others follow its
// replica. Guards against changes that are late or lost when that instance dies.
#[test]
fn a_failure_domain_keeps_following_the_store_when_its_reader_dies() {
    let mut fleet = Fleet::start(3);
    let source = |instance: &Node| {
        let mut lines = instance.process.lines().into_iter().rev();
        let last = lines.find(|line| line.contains("event=source "));
        last.unwrap_or_default()
    };
    let follows_store = |instance: &Node| source(instance).contains("to=Store");
    let at = fleet.until("one instance that follows the store", || {
        let mut rows = fleet.instances.iter().enumerate();
        let at = rows.position(|row| follows_store(row.1))?;
        let count = fleet.instances.iter().filter(|i| follows_store(i)).count();
        let follows_copy = |i: &Node| source(i).contains("to=Copy");
        let rest = fleet.instances.iter().filter(|i| follows_copy(i)).count();
        (count == 1 && rest == 2).then_some(at)
    });
    let mut reader = fleet.instances.remove(at);
    reader.process.kill().unwrap();
    fleet
        .store
        .put("config", "main", &configuration(2, &["k1"]));
    let changed = Instant::now();
    for instance in &fleet.instances {
        fleet.until("the withdrawal", || {
            (read(instance, "k2")?.status == 401).then_some(())
        });
        assert_eq!(read(instance, "k1").unwrap().status, 200);
    }
    let span = changed.elapsed();
    assert!(span < MAX_CHANGE_DELAY, "{span:?}");
}

#[test]
fn a_draining_backend_server_gets_no_new_requests() {
    let fleet = Fleet::start(1);
    let instance = &fleet.instances[0];
    let second = Endpoint::start("i-2");
    fleet
        .store
        .put("servers", "i-2", &second.entry("s1", "a", "ready", 1));
    let draining = fleet.endpoint.entry("s1", "a", "draining", 2);
    fleet.store.put("servers", "i-1", &draining);
    fleet.until("an answer of the other backend server", || {
        let reply = read(instance, "k1")?;
        (reply.text() == "answer of i-2").then_some(())
    });
    let before = fleet.endpoint.requests().len();
    for _ in 0..20 {
        assert_eq!(read(instance, "k1").unwrap().status, 200);
    }
    assert_eq!(fleet.endpoint.requests().len(), before);
}

#[test]
fn a_planned_stop_finishes_open_requests() {
    let mut fleet = Fleet::start(1);
    let addr = fleet.instances[0].addr(node::CALLERS_PORT);
    let caller = thread::spawn(move || {
        let request = Request::new("POST", "/slow/1")
            .header("Host", "desk.example")
            .header("Request-Id", "r-2")
            .header("Deadline-Ms", "4000");
        call(addr, &request)
    });
    fleet.until("the request at the backend server", || {
        (fleet.endpoint.requests().len() == 1).then_some(())
    });
    fleet.instances[0].process.terminate().unwrap();
    let reply = caller.join().unwrap().unwrap();
    assert_eq!(
        (reply.status, reply.text().as_str()),
        (200, "answer of i-1")
    );
    let status = fleet.instances[0].process.wait(WAIT_TIMEOUT).unwrap();
    assert!(status.success(), "{status}");
    assert_eq!(fleet.endpoint.requests().len(), 1, "the request ran once");
}

/// A failed request, and the words that its log lines must contain, line by line.
struct Failure {
    id: &'static str,
    path: &'static str,
    key: &'static str,
    status: u16,
    words: &'static [&'static [&'static str]],
}

// Keep in step with docs/OPERATIONS.md, "From a request's id to its cause".
#[test]
fn a_failed_request_is_explained_by_its_id() {
    let fleet = Fleet::start(1);
    let instance = &fleet.instances[0];
    let check = |failure: &Failure| {
        let headers = [
            ("Key", failure.key),
            ("Request-Id", failure.id),
            ("Deadline-Ms", "4000"),
        ];
        let reply = get(instance, node::CALLERS_PORT, failure.path, &headers).unwrap();
        assert_eq!(reply.status, failure.status, "{}", failure.id);
        let lines = fleet.until("the log lines", || {
            let lines = instance.request_lines(failure.id);
            (lines.len() >= failure.words.len()).then_some(lines)
        });
        let target = format!("/explain?request={}", failure.id);
        let explained = get(instance, node::ADMIN_PORT, &target, &[])
            .unwrap()
            .text();
        for (line, words) in lines.iter().zip(failure.words) {
            for word in *words {
                assert!(line.contains(word), "{word} in {line}");
                assert!(explained.contains(word), "{word} in {explained}");
            }
        }
    };
    // The backend server takes longer than the route's timeout.
    check(&Failure {
        id: "f-504",
        path: "/slow/brief/1",
        key: "k1",
        status: 504,
        words: &[
            &["event=sent", "server=i-1", "left_ms=300"],
            &["event=attempted", "outcome=TimedOut"],
            &["event=refused", "status=504", "tried=1"],
        ],
    });
    // Version 2 withdraws the key.
    fleet
        .store
        .put("config", "main", &configuration(2, &["k1"]));
    fleet.until("version 2", || {
        let lines = instance.process.lines();
        let configured = |l: &String| l.contains("event=configured from=1 to=2");
        lines.iter().any(configured).then_some(())
    });
    check(&Failure {
        id: "f-401",
        path: "/read/1",
        key: "k2",
        status: 401,
        words: &[&["event=refused", "reason=unknown-key", "config=2"]],
    });
    // The only backend server drains.
    let draining = fleet.endpoint.entry("s1", "a", "draining", 2);
    fleet.store.put("servers", "i-1", &draining);
    fleet.until("the drain", || {
        let lines = instance.process.lines();
        let is_draining =
            |l: &String| l.contains("event=server server=i-1") && l.contains("why=draining");
        lines.iter().any(is_draining).then_some(())
    });
    check(&Failure {
        id: "f-503",
        path: "/read/1",
        key: "k1",
        status: 503,
        words: &[&["event=refused", "reason=no-server", "tried=0", "leaving:1"]],
    });
}
