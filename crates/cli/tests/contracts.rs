//! Contracts and keys: conflicts, lost answers, waits.

mod support;

use std::time::Duration;

use corianderway_standins::harness::until;
use corianderway_standins::harness::Platform;
use corianderway_standins::platform::Faults;
use serde_json::json;
use serde_json::Value;

use crate::support::admin;
use crate::support::command;
use crate::support::file;
use crate::support::set;
use crate::support::started;
use crate::support::CONFLICT;
use crate::support::CONTRACT;
use crate::support::FAILED;
use crate::support::TIMEOUT;

#[test]
fn a_contract_is_applied_shown_compared_and_listed() {
    let platform = started();
    let shown = command(&["contract", "show", "finder"], Some(&platform)).done();
    assert!(shown.out.contains("rate: 200"), "{}", shown.out);
    let raised = file(&CONTRACT.replace("rate: 200", "rate: 300"));
    let diff = command(&["contract", "diff", &raised], Some(&platform)).done();
    assert!(diff.out.contains("rate: 200.0 -> 300.0"), "{}", diff.out);
    let list = command(&["contract", "list", "--json"], Some(&platform)).done();
    assert_eq!(list.json()[0]["value"]["rate"], json!(200.0));
    let again = command(&["contract", "apply", &file(CONTRACT)], Some(&platform)).done();
    assert!(again.out.contains("unchanged"), "{}", again.out);
}

#[test]
fn an_invalid_contract_is_not_sent_nor_are_those_beside_it() {
    let platform = Platform::start().unwrap();
    let bad = file(&CONTRACT.replace("share: 0.1", "share: 0.9"));
    let told = command(
        &["contract", "apply", &file(CONTRACT), &bad],
        Some(&platform),
    );
    assert_eq!(told.code, FAILED);
    assert!(told.err.contains("versions.share"), "{}", told.err);
    assert!(platform.list("contracts").unwrap().is_empty());
}

#[test]
fn a_conflict_shows_the_other_operators_change() {
    let platform = started();
    set(&platform, "contracts", "finder", &json!({ "rate": 250.0 }));
    let raised = file(&CONTRACT.replace("burst: 400", "burst: 500"));
    let args = ["contract", "apply", &raised, "--expect", "1"];
    let told = command(&args, Some(&platform));
    assert_eq!(told.code, CONFLICT, "{}", told.err);
    assert!(told.err.contains("rate: 200.0 -> 250.0"), "{}", told.err);
    let held = platform.get("contracts", "finder").unwrap().unwrap();
    assert_eq!(held.value["burst"], json!(400.0));
}

// The first operator has read the contract and waits for the answer when the
// second one writes.
#[test]
fn of_two_racing_operators_one_wins_and_the_other_is_told() {
    let platform = started();
    let faults = Faults {
        slow_ms: 400,
        ..Faults::default()
    };
    platform.set_faults(&faults).unwrap();
    let reads = || platform.calls().unwrap().of("get");
    let before = reads();
    let raised = file(&CONTRACT.replace("burst: 400", "burst: 500"));
    let told = std::thread::scope(|scope| {
        let first = scope.spawn(|| command(&["contract", "apply", &raised], Some(&platform)));
        let read = || (reads() > before).then_some(());
        until("the first operator's read", Duration::from_secs(5), read).unwrap();
        let mut other: Value = serde_yaml_ng::from_str(CONTRACT).unwrap();
        other["rate"] = json!(250.0);
        platform.update("contracts", "finder", 1, &other).unwrap();
        first.join().unwrap()
    });
    assert_eq!(told.code, CONFLICT, "{}", told.err);
    assert!(told.err.contains("-> 250.0"), "{}", told.err);
    let held = platform.get("contracts", "finder").unwrap().unwrap();
    assert_eq!(held.value["burst"], json!(400));
}

#[test]
fn a_change_is_told_to_be_in_force_when_every_instance_holds_it() {
    let platform = started();
    let everywhere = admin(r#"{"in_force":true,"waiting":[]}"#).to_string();
    let one_waits = admin(r#"{"in_force":false,"waiting":["entry-2"]}"#).to_string();
    let contract = file(CONTRACT);
    let apply = |instance: &str| {
        let args = ["contract", "apply", &contract, "--wait", "100ms"];
        let args = [&args[..], &["--instance", instance]].concat();
        command(&args, Some(&platform))
    };
    assert!(apply(&everywhere).done().err.contains("everywhere"));
    let late = apply(&one_waits);
    assert_eq!(late.code, TIMEOUT);
    assert!(
        late.err.contains("not yet in force at entry-2"),
        "{}",
        late.err
    );
}

#[test]
fn a_write_whose_answer_is_lost_is_settled_by_reading_back() {
    let platform = started();
    let faults = Faults {
        lose_answers: 1,
        ..Faults::default()
    };
    platform.set_faults(&faults).unwrap();
    let raised = file(&CONTRACT.replace("rate: 200", "rate: 300"));
    command(&["contract", "apply", &raised], Some(&platform)).done();
    let held = platform.get("contracts", "finder").unwrap().unwrap();
    assert_eq!((held.version, &held.value["rate"]), (2, &json!(300.0)));
}

#[test]
fn a_key_is_shown_once_and_stored_as_a_hash() {
    let platform = started();
    let granted = command(&["key", "grant", "finder", "--json"], Some(&platform)).done();
    let granted = granted.json();
    let (id, key) = (
        granted["id"].as_str().unwrap(),
        granted["key"].as_str().unwrap(),
    );
    let secret = key.split_once('.').unwrap().1;
    let dump = serde_json::to_string(&platform.dump().unwrap()).unwrap();
    assert!(dump.contains(id) && !dump.contains(secret));
    let list = command(&["key", "list"], Some(&platform)).done();
    assert!(list.out.contains(id) && list.out.contains("granted"));
    command(&["key", "withdraw", id], Some(&platform)).done();
    let list = command(&["key", "list", "--json"], Some(&platform)).done();
    assert_eq!(list.json()[0]["state"], "withdrawn");
    let unknown = command(&["key", "grant", "nobody"], Some(&platform));
    assert_eq!(unknown.code, FAILED);
}
