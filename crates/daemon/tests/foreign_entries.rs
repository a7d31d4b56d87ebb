//! Entries of another writer in the store's lists, under names that have a meaning in a query
//! or in place of others.

mod platform_fleet;

use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use crate::platform_fleet::read;
use crate::platform_fleet::Fleet;

/// What the names of the other writer hold.
const ODD_PARTS: [&str; 10] = [
    "&", "&after=", "+", "#", "%", "%zz", "%26", " ", "\"\\", "\u{e9}",
];

/// The number of objects in a page of the store, all of which have the same odd part.
const PAGE_OBJECTS: usize = 3;

// Guards against lists that never end, or that the store rejects, since a page ends at such a
// name (RECOVER: after a restart of all instances almost no request was served).
#[test]
fn instances_that_start_beside_entries_with_odd_names_serve() {
    for kind in ["servers", "rollouts", "evacuations", "instances"] {
        for odd in ODD_PARTS {
            let mut fleet = Fleet::start(1);
            // Sorted before the entries to use.
            for number in 0..PAGE_OBJECTS {
                let foreign = json!("left by another writer");
                fleet.store.put(kind, &format!("0{odd}{number}"), &foreign);
            }
            fleet.restart(0);
            let what = format!("readiness beside {odd:?} in {kind}");
            let instance = &fleet.instances[0];
            fleet.until(&what, || instance.is_ready().then_some(()));
            assert_eq!(read(instance, "k1").unwrap().status, 200, "{what}");
        }
    }
}

/// The platform's limit on the time for which a server that left may get requests.
const MAX_DRAIN_DELAY: Duration = Duration::from_millis(2_500);

// Guards against an entry that can't be read and hides that the one before it is gone (DRAIN):
// instances that follow a copy got both changes as one, and went on using the server.
#[test]
fn a_server_whose_entry_is_replaced_by_an_unreadable_one_gets_no_requests() {
    for is_removed in [true, false] {
        let fleet = Fleet::start(3);
        for instance in &fleet.instances {
            assert_eq!(read(instance, "k1").unwrap().status, 200);
        }
        if is_removed {
            fleet.store.remove("servers", "i-1");
        }
        let foreign = json!({ "status": { "state": "left" } });
        fleet.store.put("servers", "i-1", &foreign);
        let begun = Instant::now();
        for instance in &fleet.instances {
            fleet.until("the end of the server", || {
                (read(instance, "k1")?.status == 503).then_some(())
            });
        }
        let took = begun.elapsed();
        assert!(took < MAX_DRAIN_DELAY, "removed {is_removed}: {took:?}");
    }
}

#[test]
fn an_instance_restores_its_own_entry_if_it_is_overwritten() {
    let fleet = Fleet::start(2);
    let [instance, _] = &fleet.instances[..] else {
        panic!("two instances");
    };
    let name = &instance.site.name;
    let is_own = || Some(fleet.store.get("instances", name)?["spec"]["entry"].is_object());
    fleet.until("the entry", || is_own().filter(|own| *own));
    let foreign = json!("left by another writer");
    fleet.store.put("instances", name, &foreign);
    fleet.until("the entry again", || is_own().filter(|own| *own));
}
