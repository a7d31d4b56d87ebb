//! The whole path over real processes: caller, entry instance, backend server, platform.

mod support;

use corianderway_control::KeyState;
use corianderway_standins::harness::until;
use corianderway_standins::harness::Request;
use serde_json::Value;

use crate::support::admin;
use crate::support::Fleet;
use crate::support::HOST;
use crate::support::PATIENCE;

#[test]
fn a_request_is_served_from_one_end_to_the_other() {
    let fleet = Fleet::start(2, 2);

    let asked = Request::get("/.well-known/corianderway/entries").host(HOST);
    let advice: Value = fleet.entries[0].call(&asked).unwrap().json().unwrap();
    let known: Vec<_> = fleet
        .entries
        .iter()
        .map(|e| e.callers.to_string())
        .collect();
    let first = advice["entries"][0].as_str().unwrap();
    let entry = known.iter().position(|k| k == first).unwrap();

    let (record, key) = fleet.grant("finder");
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
    until("the withdrawal", PATIENCE, || {
        let told: Value = admin(&fleet.entries[0], &page)?.json().ok()?;
        (told["in_force"] == true).then_some(())
    })
    .unwrap();
    // Told "in force", it is: no instance is given time to hear of it.
    for entry in &fleet.entries {
        assert_eq!(entry.call(&keyed).unwrap().status, 403);
    }

    let trace = refused.header("x-request-id").unwrap();
    let explained = admin(&fleet.entries[entry], &format!("/explain?request={trace}"));
    assert!(explained.unwrap().text().contains("reason=key-missing"));
    let metrics = admin(&fleet.entries[entry], "/metrics").unwrap().text();
    assert!(metrics.contains("corianderway_routed_total"), "{metrics}");
}
