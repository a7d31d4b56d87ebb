//! Entries of another writer in the store's lists, under names that have a meaning in a query.

mod platform_fleet;

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
