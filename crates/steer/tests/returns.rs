//! States that have a way out: an instance that returns, or to which others return, serves again.

mod rig;

use std::time::Duration;

use corianderway_steer::Action;
use corianderway_steer::Event;
use corianderway_steer::Outcome;
use corianderway_steer::ServerChange;
use corianderway_steer::ServerNotice;
use corianderway_steer::Source;

use crate::rig::answered;
use crate::rig::Rig;

/// The platform's limit on the time from the return of the machines to service.
const RECOVERY_LIMIT: Duration = Duration::from_secs(15);

// Returns how often the store is followed in these actions.
fn follows(actions: &[Action]) -> usize {
    let is_follow = |action: &&Action| matches!(action, Action::Follow(Source::Store));
    actions.iter().filter(is_follow).count()
}

// Guards against an instance that waits without end for the contents of the store, since the
// command to follow it was lost or a list of it never ends (RECOVER).
#[test]
fn a_source_that_is_never_reached_is_chosen_again_within_half_of_the_limit() {
    let mut rig = Rig::bare(rig::member("entry-1", "north", "north-a"));
    rig.step(Event::Members(Vec::new()));
    assert_eq!(follows(rig.step(Event::ProbeAnswered)), 1);
    let mut again = 0;
    let end = rig.now + RECOVERY_LIMIT / 2;
    while rig.now < end {
        let actions = rig.pass(Duration::from_millis(100));
        if actions.iter().any(|action| matches!(action, Action::Probe)) {
            again += follows(rig.step(Event::ProbeAnswered));
        }
    }
    assert_eq!(again, 1);
}

// Guards against a long list that is begun anew again and again, since a slow store takes long
// for all of its pages.
#[test]
fn a_source_that_delivers_pages_is_not_left() {
    let mut rig = Rig::bare(rig::member("entry-1", "north", "north-a"));
    rig.step(Event::Members(Vec::new()));
    assert_eq!(follows(rig.step(Event::ProbeAnswered)), 1);
    let end = rig.now + RECOVERY_LIMIT;
    while rig.now < end {
        let actions = rig.pass(Duration::from_millis(1_500));
        let is_probe = |action: &Action| matches!(action, Action::Probe);
        assert!(!actions.iter().any(is_probe), "{actions:?}");
        rig.step(Event::PageRead);
    }
}

// Guards against servers that get nothing for good, since others answered at their addresses
// for a moment, while the entries stay as they are (RECOVER).
#[test]
fn a_server_at_whose_address_another_answered_is_tried_again() {
    let mut rig = Rig::new();
    let end = rig.now + RECOVERY_LIMIT;
    loop {
        let id = rig.request("/bids/1", None);
        if rig.sent(id).is_none() {
            break;
        }
        rig.end(id, Outcome::Misdirected);
        rig.step(Event::CallerGone(id));
    }
    let mut is_sent = false;
    while rig.now < end && !is_sent {
        rig.pass(Duration::from_millis(500));
        let id = rig.request("/bids/1", None);
        is_sent = rig.sent(id).is_some();
        rig.step(Event::CallerGone(id));
    }
    assert!(is_sent, "no request was sent in {RECOVERY_LIMIT:?}");
}

// Sends requests all at once and ends those that were sent with an outcome; returns their
// number.
fn send_together(rig: &mut Rig, outcome: Outcome) -> usize {
    let (mut sent, mut waiting) = (Vec::new(), Vec::new());
    for _ in 0..20 {
        let id = rig.request("/bids/1", None);
        if rig.sent(id).is_some() {
            sent.push(id);
        } else {
            waiting.push(id);
        }
    }
    for id in waiting {
        rig.step(Event::CallerGone(id));
    }
    for id in &sent {
        rig.end(*id, outcome);
        // The request may wait for room again.
        rig.step(Event::CallerGone(*id));
    }
    rig.pass(Duration::from_millis(300));
    sent.len()
}

// Guards against a server that reports no load and gets one request at a time for good, since
// it was full when all callers returned (RECOVER).
#[test]
fn a_server_without_load_reports_gets_as_much_as_before_after_it_was_full() {
    let mut rig = Rig::bare(rig::member("entry-1", "north", "north-a"));
    let listed = rig::server("bids-1", "bids", "north", "north-a");
    rig.settle(rig::plan(1, rig::routes(), None), vec![listed]);
    let before = send_together(&mut rig, answered(200));
    let full = Outcome::Full { load: None };
    let rounds = (0..10).map(|_| send_together(&mut rig, full));
    let least = rounds.min();
    assert_eq!((before, least), (5, Some(1)), "before and when full");
    let end = rig.now + RECOVERY_LIMIT;
    let mut after = 0;
    while rig.now < end {
        after = send_together(&mut rig, answered(200));
    }
    assert_eq!(after, before);
}

// Guards against a server that doesn't say when it started and is ignored once it starts again
// under its id, since it counts its reports anew (RECOVER).
#[test]
fn a_server_that_states_no_start_is_used_after_it_started_again_elsewhere() {
    let mut rig = Rig::bare(rig::member("entry-1", "north", "north-a"));
    let mut listed = rig::server("bids-1", "bids", "north", "north-a");
    (listed.started_ms, listed.report_sequence) = (0, 40);
    rig.settle(rig::plan(1, rig::routes(), None), vec![listed.clone()]);
    let id = rig.request("/bids/1", Some(1));
    rig.step(Event::ServerNotice {
        id,
        notice: ServerNotice::Leaving,
    });
    rig.end(id, answered(200));
    listed.report_sequence = 1;
    listed.revision = listed.revision.next();
    listed.backend.addr = "127.0.0.1:10".parse().unwrap();
    let addr = listed.backend.addr;
    rig.step(Event::Servers(vec![ServerChange::Put(listed)]));
    rig.pass(Duration::from_secs(4));
    let id = rig.request("/bids/1", Some(1));
    let sent = rig.out.iter().find_map(|action| match action {
        Action::Forward { id: of, addr, .. } if *of == id => Some(*addr),
        _ => None,
    });
    assert_eq!(sent, Some(addr));
}
