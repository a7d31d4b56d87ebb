//! Planned stops, lost instances and platform outages over real processes.

mod support;

use std::thread;

use corianderway_standins::harness::call;
use corianderway_standins::harness::until;
use corianderway_standins::harness::Request;
use corianderway_standins::platform::Faults;
use corianderway_standins::platform::Outage;
use serde_json::json;
use serde_json::Value;

use crate::support::admin;
use crate::support::Fleet;
use crate::support::HOST;
use crate::support::WAIT_TIMEOUT;

#[test]
fn a_planned_stop_cuts_off_no_request() {
    let mut fleet = Fleet::start(2, 1);
    let addr = fleet.entries[0].callers;
    let slow = Request::get("/capsules/1?work_ms=1500").host(HOST);
    let callers: Vec<_> = (0..4)
        .map(|_| {
            let slow = slow.clone();
            thread::spawn(move || call(addr, &slow))
        })
        .collect();
    until("the requests", WAIT_TIMEOUT, || {
        let status: Value = admin(&fleet.entries[0], "/status")?.json().ok()?;
        (status["open"] == 4).then_some(())
    })
    .unwrap();
    fleet.entries[0].process.terminate().unwrap();
    let directory_request = Request::get("/.well-known/corianderway/entries").host(HOST);
    until(
        "the other instance to stop listing it",
        WAIT_TIMEOUT,
        || {
            let directory: Value = fleet.entries[1]
                .call(&directory_request)
                .ok()?
                .json()
                .ok()?;
            let unlisted = directory["entries"]
                .as_array()?
                .iter()
                .all(|e| *e != addr.to_string());
            unlisted.then_some(())
        },
    )
    .unwrap();
    for caller in callers {
        assert_eq!(caller.join().unwrap().unwrap().status, 200);
    }
    let status = fleet.entries[0].process.wait(WAIT_TIMEOUT).unwrap();
    assert!(status.success(), "{status}");
}

#[test]
fn a_new_instance_starts_from_its_peers_during_a_platform_outage() {
    let mut fleet = Fleet::start(2, 1);
    let (_, key) = fleet.create_key("finder");
    let keyed = Request::get("/dates/1").host(HOST).key(&key);
    fleet.wait_status(0, &keyed, 200);
    fleet.wait_status(1, &keyed, 200);
    let down = Faults {
        down: Outage::Refuse,
        ..Faults::default()
    };
    fleet.platform.set_faults(&down).unwrap();
    fleet.add_entry("entry-late");
    until("the configuration", WAIT_TIMEOUT, || {
        let status: Value = admin(&fleet.entries[2], "/status")?.json().ok()?;
        (status["contracts"] == 1 && status["keys"] == 1).then_some(())
    })
    .unwrap();
    fleet.wait_status(2, &keyed, 200);
    assert_eq!(fleet.entries[0].call(&keyed).unwrap().status, 200);
}

#[test]
fn a_fleet_lost_at_once_serves_again_once_the_epoch_is_confirmed() {
    let mut fleet = Fleet::start(3, 1);
    let request = Request::get("/capsules/1").host(HOST);
    assert_eq!(fleet.entries[0].call(&request).unwrap().status, 200);
    for mut entry in std::mem::take(&mut fleet.entries) {
        let id = entry.process.field("instance").unwrap().to_owned();
        entry.process.kill().unwrap();
        fleet.platform.remove_entry(&id).unwrap();
    }
    for at in 0..3 {
        fleet.add_entry(&format!("entry-new-{at}"));
    }
    let epoch = until("the old epoch", WAIT_TIMEOUT, || {
        let status: Value = admin(&fleet.entries[0], "/status")?.json().ok()?;
        status["epoch"].as_u64().filter(|epoch| *epoch > 0)
    })
    .unwrap();
    let refused = fleet.entries[0].call(&request).unwrap();
    let body: Value = refused.json().unwrap();
    assert_eq!(
        (&body["code"], &body["ran"]),
        (&"rate-unchecked".into(), &"not-run".into())
    );
    let confirmation = json!({ "epoch": epoch, "who": "test" });
    fleet
        .platform
        .create("epochs", "confirmed", &confirmation)
        .unwrap();
    fleet.wait_ready();
    assert_eq!(fleet.entries[0].call(&request).unwrap().status, 200);
}
