//! Version moves, drains, status and explanations.

mod support;

use serde_json::json;

use crate::support::admin;
use crate::support::command;
use crate::support::set;
use crate::support::started;
use crate::support::FAILED;
use crate::support::TIMEOUT;
use crate::support::USAGE;

#[test]
fn explain_asks_the_instances_until_one_knows_the_request() {
    let knows = admin(r#"{"request":"r1","lines":["event=route server=b1","event=end"]}"#);
    let knows_not = admin(r#"{"request":"r1","lines":[]}"#);
    let (knows, knows_not) = (knows.to_string(), knows_not.to_string());
    let args = [
        "explain",
        "r1",
        "--instance",
        &knows_not,
        "--instance",
        &knows,
    ];
    let told = command(&args, None).done();
    assert!(told.out.contains("event=route server=b1"), "{}", told.out);
    assert_eq!(command(&args[..4], None).code, FAILED);
    assert_eq!(command(&args[..2], None).code, USAGE);
}

#[test]
fn a_move_is_started_watched_and_taken_back() {
    let platform = started();
    let start = [
        "move",
        "start",
        "finder",
        "v2",
        "--deadline",
        "5m",
        "--json",
    ];
    let record = command(&start, Some(&platform)).done().json()["value"].clone();
    assert_eq!(
        (&record["from"], &record["state"]),
        (&json!("v1"), &json!("planned"))
    );
    assert_eq!(record["limit"], json!(100_000));
    assert_eq!(command(&start, Some(&platform)).code, FAILED);

    let watch = ["move", "watch", "finder", "--timeout", "100ms"];
    assert_eq!(command(&watch, Some(&platform)).code, TIMEOUT);
    command(&["move", "back", "finder"], Some(&platform)).done();
    let told = command(&watch, Some(&platform));
    assert_eq!(told.code, FAILED);
    assert!(told.err.contains("withdrawn"), "{}", told.err);
    let why = command(&["move", "show", "finder"], Some(&platform)).done();
    assert!(why.out.contains("an operator took it back"), "{}", why.out);
    set(
        &platform,
        "moves",
        "finder",
        &json!({ "changed": u32::MAX, "deadline": 0 }),
    );
    let why = command(&["move", "show", "finder"], Some(&platform)).done();
    assert!(why.out.contains("the deadline passed"), "{}", why.out);

    command(&start, Some(&platform)).done();
    set(&platform, "moves", "finder", &json!({ "state": "done" }));
    let told = command(&watch, Some(&platform)).done();
    assert!(told.out.contains("v1 to v2: done"), "{}", told.out);
    let list = command(&["move", "list"], Some(&platform)).done();
    assert!(list.out.contains("done"), "{}", list.out);
}

#[test]
fn a_move_keeps_to_the_contract() {
    let platform = started();
    let late = ["move", "start", "finder", "v2", "--deadline", "1h"];
    let told = command(&late, Some(&platform));
    assert_eq!(told.code, FAILED);
    assert!(told.err.contains("600 s"), "{}", told.err);
    let unknown = command(&["move", "start", "ledger", "v2"], Some(&platform));
    assert_eq!(unknown.code, FAILED);
}

#[test]
fn a_drain_is_planned_watched_and_cancelled() {
    let platform = started();
    let scope = ["domain", "north-a"];
    let verb = |verb| command(&[&["drain", verb], &scope[..]].concat(), Some(&platform));
    let planned = verb("plan").done();
    assert!(planned.out.contains("2 backend servers"), "{}", planned.out);
    assert_eq!(verb("plan").code, FAILED);
    set(
        &platform,
        "drains",
        "domain-north-a",
        &json!({ "state": "drained", "withheld": true }),
    );
    verb("watch").done();
    verb("cancel").done();
    let list = command(&["drain", "list"], Some(&platform)).done();
    assert!(list.out.contains("cancelled"), "{}", list.out);
    let nothing = command(&["drain", "plan", "server", "b9"], Some(&platform));
    assert_eq!(nothing.code, FAILED);
}

#[test]
fn status_shows_the_instance_list() {
    let platform = started();
    let told = command(&["status"], Some(&platform)).done();
    assert!(
        told.out.contains("b1 live north/north-a finder v1"),
        "{}",
        told.out
    );
}
