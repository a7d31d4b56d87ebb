//! The path of a request through real processes: caller, entry instance, backend server
//! and platform.

mod support;

use corianderway_control::KeyState;
use corianderway_standins::harness::until;
use corianderway_standins::harness::Request;
use serde_json::Value;

use crate::support::admin;
use crate::support::Fleet;
use crate::support::HOST;
use crate::support::WAIT_TIMEOUT;

#[test]
fn a_request_is_served_end_to_end() {
    let fleet = Fleet::start(2, 2);

    let directory_request = Request::get("/.well-known/corianderway/entries").host(HOST);
    let directory: Value = fleet.entries[0]
        .call(&directory_request)
        .unwrap()
        .json()
        .unwrap();
    let addrs: Vec<_> = fleet
        .entries
        .iter()
        .map(|e| e.callers.to_string())
        .collect();
    let first = directory["entries"][0].as_str().unwrap();
    let entry = addrs.iter().position(|k| k == first).unwrap();

    let (record, key) = fleet.create_key("finder");
    let keyed = Request::get("/dates/17?q=1").host(HOST).key(&key);
    let reply = fleet.wait_status(entry, &keyed, 200);
    let ran: Value = reply.json().unwrap();
    assert_eq!(ran["path"], "/dates/17");

    let secret = key.split_once('.').unwrap().1;
    for server in &fleet.servers {
        let history = server
            .call(&Request::get("/standin/history"))
            .unwrap()
            .text();
        assert!(!history.contains(secret), "a key reached a backend server");
    }
    assert!(!reply.text().contains(secret));

    let open = Request::get("/capsules/9").host(HOST);
    assert_eq!(fleet.entries[1 - entry].call(&open).unwrap().status, 200);

    let keyless = Request::get("/dates/17").host(HOST);
    let refused = fleet.entries[entry].call(&keyless).unwrap();
    assert_eq!(refused.status, 401);
    let body: Value = refused.json().unwrap();
    assert_eq!(
        (&body["code"], &body["ran"]),
        (&"key-missing".into(), &"not-run".into())
    );

    let stored = fleet
        .platform
        .get("keys", record.id.as_str())
        .unwrap()
        .unwrap();
    let withdrawn = record.clone().with_state(KeyState::Withdrawn);
    let written = fleet
        .platform
        .update("keys", record.id.as_str(), stored.version, &withdrawn);
    let page = format!(
        "/in-force?object=keys/{}&version={}",
        record.id,
        written.unwrap()
    );
    until("the withdrawal", WAIT_TIMEOUT, || {
        let status: Value = admin(&fleet.entries[0], &page)?.json().ok()?;
        (status["in_force"] == true).then_some(())
    })
    .unwrap();
    // Once `in_force` is reported, every instance refuses the key without delay.
    for entry in &fleet.entries {
        assert_eq!(entry.call(&keyed).unwrap().status, 403);
    }

    let request_id = refused.header("x-request-id").unwrap();
    let explained = admin(
        &fleet.entries[entry],
        &format!("/explain?request={request_id}"),
    );
    assert!(explained.unwrap().text().contains("reason=key-missing"));
    let metrics = admin(&fleet.entries[entry], "/metrics").unwrap().text();
    assert!(metrics.contains("corianderway_routed_total"), "{metrics}");
}
