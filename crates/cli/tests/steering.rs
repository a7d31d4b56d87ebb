//! Tests of the move, drain, status and explain verbs.

mod support;

use serde_json::json;

use crate::support::command;
use crate::support::set_fields;
use crate::support::start_admin;
use crate::support::start_platform;
use crate::support::FAILED;
use crate::support::TIMEOUT;
use crate::support::USAGE;

#[test]
fn explain_queries_all_instances_for_the_request() {
    let with_lines =
        start_admin(r#"{"request":"r1","lines":["event=route server=b1","event=end"]}"#);
    let without_lines = start_admin(r#"{"request":"r1","lines":[]}"#);
    let (with_lines, without_lines) = (with_lines.to_string(), without_lines.to_string());
    let args = [
        "explain",
        "r1",
        "--instance",
        &without_lines,
        "--instance",
        &with_lines,
    ];
    let result = command(&args, None).expect_success();
    assert!(
        result.out.contains("event=route server=b1"),
        "{}",
        result.out
    );
    assert_eq!(command(&args[..4], None).code, FAILED);
    assert_eq!(command(&args[..2], None).code, USAGE);
}

#[test]
fn a_move_is_started_watched_and_taken_back() {
    let platform = start_platform();
    let start = [
        "move",
        "start",
        "finder",
        "v2",
        "--deadline",
        "5m",
        "--json",
    ];
    let record = command(&start, Some(&platform)).expect_success().json()["value"].clone();
    assert_eq!(
        (&record["from"], &record["state"]),
        (&json!("v1"), &json!("planned"))
    );
    assert_eq!(record["limit"], json!(100_000));
    assert_eq!(command(&start, Some(&platform)).code, FAILED);

    let watch = ["move", "watch", "finder", "--timeout", "100ms"];
    assert_eq!(command(&watch, Some(&platform)).code, TIMEOUT);
    command(&["move", "back", "finder"], Some(&platform)).expect_success();
    let result = command(&watch, Some(&platform));
    assert_eq!(result.code, FAILED);
    assert!(result.err.contains("withdrawn"), "{}", result.err);
    let why = command(&["move", "show", "finder"], Some(&platform)).expect_success();
    assert!(why.out.contains("an operator took it back"), "{}", why.out);
    set_fields(
        &platform,
        "moves",
        "finder",
        &json!({ "changed": u32::MAX, "deadline": 0 }),
    );
    let why = command(&["move", "show", "finder"], Some(&platform)).expect_success();
    assert!(why.out.contains("the deadline passed"), "{}", why.out);

    command(&start, Some(&platform)).expect_success();
    set_fields(&platform, "moves", "finder", &json!({ "state": "done" }));
    let result = command(&watch, Some(&platform)).expect_success();
    assert!(result.out.contains("v1 to v2: done"), "{}", result.out);
    let list = command(&["move", "list"], Some(&platform)).expect_success();
    assert!(list.out.contains("done"), "{}", list.out);
}

#[test]
fn a_move_needs_a_contract_and_keeps_to_its_deadline() {
    let platform = start_platform();
    let late = ["move", "start", "finder", "v2", "--deadline", "1h"];
    let result = command(&late, Some(&platform));
    assert_eq!(result.code, FAILED);
    assert!(result.err.contains("600 s"), "{}", result.err);
    let unknown = command(&["move", "start", "ledger", "v2"], Some(&platform));
    assert_eq!(unknown.code, FAILED);
}

#[test]
fn a_drain_is_planned_watched_and_cancelled() {
    let platform = start_platform();
    let scope = ["domain", "north-a"];
    let verb = |verb| command(&[&["drain", verb], &scope[..]].concat(), Some(&platform));
    let planned = verb("plan").expect_success();
    assert!(planned.out.contains("2 backend servers"), "{}", planned.out);
    assert_eq!(verb("plan").code, FAILED);
    set_fields(
        &platform,
        "drains",
        "domain-north-a",
        &json!({ "state": "drained", "withheld": true }),
    );
    verb("watch").expect_success();
    verb("cancel").expect_success();
    let list = command(&["drain", "list"], Some(&platform)).expect_success();
    assert!(list.out.contains("cancelled"), "{}", list.out);
    let nothing = command(&["drain", "plan", "server", "b9"], Some(&platform));
    assert_eq!(nothing.code, FAILED);
}

#[test]
fn status_shows_the_instance_list() {
    let platform = start_platform();
    let result = command(&["status"], Some(&platform)).expect_success();
    assert!(
        result.out.contains("b1 live north/north-a finder v1"),
        "{}",
        result.out
    );
}
