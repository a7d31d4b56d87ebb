//! Backend servers that come into use or go out of it by what the store lists.

mod rig;

use std::time::Duration;

use corianderway_steer::Action;
use corianderway_steer::Event;
use corianderway_steer::ServerChange;

use crate::rig::answered;
use crate::rig::Rig;

// Guards against requests to a server whose entry another writer has overwritten (DRAIN).
#[test]
fn a_server_whose_entry_becomes_unusable_gets_no_requests() {
    let mut rig = Rig::bare(rig::member("entry-1", "north", "north-a"));
    let mut listed = rig::server("bids-1", "bids", "north", "north-a");
    listed.revision = rig::first(5);
    rig.settle(rig::plan(1, rig::routes(), None), vec![listed.clone()]);
    let overwrite = |number| ServerChange::Unusable {
        id: listed.backend.id.clone(),
        revision: rig::first(number),
    };
    // What was known before the entry doesn't count against it.
    rig.step(Event::Servers(vec![overwrite(4)]));
    let id = rig.request("/bids/1", Some(1));
    assert!(rig.sent(id).is_some());
    rig.end(id, answered(200));
    rig.step(Event::Servers(vec![overwrite(6)]));
    let id = rig.request("/bids/1", Some(1));
    assert_eq!(rig.refused(id).expect("a refusal").status(), 503);
    // The next report of the server brings it back.
    let mut again = listed.clone();
    again.revision = rig::first(7);
    again.report_sequence += 1;
    rig.step(Event::Servers(vec![ServerChange::Put(again)]));
    let id = rig.request("/bids/1", Some(1));
    assert!(rig.sent(id).is_some());
}

// Guards against a burst at servers that became cold shortly before the evacuation of their
// failure domain ended, and have not reported it yet (FAILBACK).
#[test]
fn the_servers_of_a_readmitted_domain_get_as_few_requests_as_cold_ones() {
    let mut rig = Rig::bare(rig::member("entry-1", "north", "north-a"));
    let warm = rig::server("bids-1", "bids", "north", "north-a");
    rig.settle(rig::plan(1, rig::routes(), None), vec![warm]);
    rig.step(Event::Evacuated(vec!["north-a".try_into().unwrap()]));
    rig.pass(Duration::from_secs(8));
    rig.step(Event::Evacuated(Vec::new()));
    let sent = |actions: &[Action]| {
        let ids = actions.iter().filter_map(|action| match action {
            Action::Forward { id, .. } => Some(*id),
            _ => None,
        });
        ids.collect::<Vec<_>>()
    };
    // In each tenth of a second.
    let mut counts = [0; 50];
    for count in &mut counts {
        for _ in 0..10 {
            rig.request("/bids/1", None);
            let mut open = sent(&rig.out);
            open.extend(sent(&rig.pass(Duration::from_millis(10))));
            while let Some(id) = open.pop() {
                *count += 1;
                // A request that waits may take its place.
                open.extend(sent(rig.end(id, answered(200))));
            }
        }
    }
    // The permitted rate is 6 per second, for 3 s; the instance may add a burst of one.
    for second in counts[..29].windows(10) {
        let count: usize = second.iter().sum();
        assert!((3..=7).contains(&count), "{counts:?}");
    }
    let warm: usize = counts[40..].iter().sum();
    assert!(warm >= 100, "{counts:?}");
}
