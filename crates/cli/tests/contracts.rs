//! Tests of the contract and key verbs: conflicts, lost responses and waits.

mod support;

use std::time::Duration;

use corianderway_standins::harness::until;
use corianderway_standins::harness::Platform;
use corianderway_standins::platform::Faults;
use serde_json::json;
use serde_json::Value;

use crate::support::command;
use crate::support::set_fields;
use crate::support::start_admin;
use crate::support::start_platform;
use crate::support::temp_file;
use crate::support::CONFLICT;
use crate::support::CONTRACT;
use crate::support::FAILED;
use crate::support::TIMEOUT;

#[test]
fn a_contract_is_applied_shown_diffed_and_listed() {
    let platform = start_platform();
    let shown = command(&["contract", "show", "finder"], Some(&platform)).expect_success();
    assert!(shown.out.contains("rate: 200"), "{}", shown.out);
    let raised = temp_file(&CONTRACT.replace("rate: 200", "rate: 300"));
    let diff = command(&["contract", "diff", &raised], Some(&platform)).expect_success();
    assert!(diff.out.contains("rate: 200.0 -> 300.0"), "{}", diff.out);
    let list = command(&["contract", "list", "--json"], Some(&platform)).expect_success();
    assert_eq!(list.json()[0]["value"]["rate"], json!(200.0));
    let again = command(
        &["contract", "apply", &temp_file(CONTRACT)],
        Some(&platform),
    )
    .expect_success();
    assert!(again.out.contains("unchanged"), "{}", again.out);
}

#[test]
fn one_invalid_contract_keeps_all_from_being_applied() {
    let platform = Platform::start().unwrap();
    let bad = temp_file(&CONTRACT.replace("share: 0.1", "share: 0.9"));
    let result = command(
        &["contract", "apply", &temp_file(CONTRACT), &bad],
        Some(&platform),
    );
    assert_eq!(result.code, FAILED);
    assert!(result.err.contains("versions.share"), "{}", result.err);
    assert!(platform.list("contracts").unwrap().is_empty());
}

#[test]
fn a_conflict_shows_the_other_operators_change() {
    let platform = start_platform();
    set_fields(&platform, "contracts", "finder", &json!({ "rate": 250.0 }));
    let raised = temp_file(&CONTRACT.replace("burst: 400", "burst: 500"));
    let args = ["contract", "apply", &raised, "--expect", "1"];
    let result = command(&args, Some(&platform));
    assert_eq!(result.code, CONFLICT, "{}", result.err);
    assert!(
        result.err.contains("rate: 200.0 -> 250.0"),
        "{}",
        result.err
    );
    let stored = platform.get("contracts", "finder").unwrap().unwrap();
    assert_eq!(stored.value["burst"], json!(400.0));
}

// The second operator writes between the first one's read and its write, which
// slow responses keep apart.
#[test]
fn of_two_concurrent_writes_the_later_one_reports_a_conflict() {
    let platform = start_platform();
    let faults = Faults {
        slow_ms: 400,
        ..Faults::default()
    };
    platform.set_faults(&faults).unwrap();
    let reads = || platform.calls().unwrap().method_total("get");
    let before = reads();
    let raised = temp_file(&CONTRACT.replace("burst: 400", "burst: 500"));
    let result = std::thread::scope(|scope| {
        let first = scope.spawn(|| command(&["contract", "apply", &raised], Some(&platform)));
        let read = || (reads() > before).then_some(());
        until("the first operator's read", Duration::from_secs(5), read).unwrap();
        let mut other: Value = serde_yaml_ng::from_str(CONTRACT).unwrap();
        other["rate"] = json!(250.0);
        platform.update("contracts", "finder", 1, &other).unwrap();
        first.join().unwrap()
    });
    assert_eq!(result.code, CONFLICT, "{}", result.err);
    assert!(result.err.contains("-> 250.0"), "{}", result.err);
    let stored = platform.get("contracts", "finder").unwrap().unwrap();
    assert_eq!(stored.value["burst"], json!(400));
}

#[test]
fn the_wait_ends_only_when_a_change_is_in_force_at_every_instance() {
    let platform = start_platform();
    let in_force = start_admin(r#"{"in_force":true,"waiting":[]}"#).to_string();
    let not_in_force = start_admin(r#"{"in_force":false,"waiting":["entry-2"]}"#).to_string();
    let contract = temp_file(CONTRACT);
    let apply = |instance: &str| {
        let args = ["contract", "apply", &contract, "--wait", "100ms"];
        let args = [&args[..], &["--instance", instance]].concat();
        command(&args, Some(&platform))
    };
    assert!(apply(&in_force).expect_success().err.contains("everywhere"));
    let late = apply(&not_in_force);
    assert_eq!(late.code, TIMEOUT);
    assert!(
        late.err.contains("not yet in force at entry-2"),
        "{}",
        late.err
    );
}

#[test]
fn a_write_whose_response_is_lost_is_confirmed_by_a_retry() {
    let platform = start_platform();
    let faults = Faults {
        lose_answers: 1,
        ..Faults::default()
    };
    platform.set_faults(&faults).unwrap();
    let raised = temp_file(&CONTRACT.replace("rate: 200", "rate: 300"));
    command(&["contract", "apply", &raised], Some(&platform)).expect_success();
    let stored = platform.get("contracts", "finder").unwrap().unwrap();
    assert_eq!((stored.version, &stored.value["rate"]), (2, &json!(300.0)));
}

#[test]
fn a_key_is_shown_once_and_stored_as_a_hash() {
    let platform = start_platform();
    let granted = command(&["key", "grant", "finder", "--json"], Some(&platform)).expect_success();
    let granted = granted.json();
    let (id, key) = (
        granted["id"].as_str().unwrap(),
        granted["key"].as_str().unwrap(),
    );
    let secret = key.split_once('.').unwrap().1;
    let dump = serde_json::to_string(&platform.dump().unwrap()).unwrap();
    assert!(dump.contains(id) && !dump.contains(secret));
    let list = command(&["key", "list"], Some(&platform)).expect_success();
    assert!(list.out.contains(id) && list.out.contains("granted"));
    command(&["key", "withdraw", id], Some(&platform)).expect_success();
    let list = command(&["key", "list", "--json"], Some(&platform)).expect_success();
    assert_eq!(list.json()[0]["state"], "withdrawn");
    let unknown = command(&["key", "grant", "nobody"], Some(&platform));
    assert_eq!(unknown.code, FAILED);
}
