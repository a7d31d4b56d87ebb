//! What backend servers say of themselves with their answers: that they leave, and that they
//! want nothing for a while.

mod rig;

use std::collections::BTreeSet;
use std::time::Duration;

use corianderway_steer::Event;
use corianderway_steer::Outcome;
use corianderway_steer::Reach;
use corianderway_steer::Reason;
use corianderway_steer::ServerChange;
use corianderway_steer::ServerEntry;
use corianderway_steer::ServerNotice;

use crate::rig::answered;
use crate::rig::Rig;

/// The pause that a server asks for.
const PAUSE: Duration = Duration::from_secs(2);

/// The time within which an instance must send nothing more to a server that leaves.
const MAX_LEAVE_TIME: Duration = Duration::from_millis(2_500);

// Creates an instance whose service `bids` has these servers, warm.
fn rig_with(names: &[&str]) -> (Rig, Vec<ServerEntry>) {
    let mut rig = Rig::bare(rig::member("entry-1", "north", "north-a"));
    let listed: Vec<_> = names
        .iter()
        .map(|name| rig::server(name, "bids", "north", "north-a"))
        .collect();
    rig.settle(rig::plan(1, rig::routes(), None), listed.clone());
    (rig, listed)
}

// Sends requests one after the other, and returns the servers that got them.
fn used(rig: &mut Rig, count: usize) -> BTreeSet<String> {
    let mut used = BTreeSet::new();
    for object in 0..count as u64 {
        let id = rig.request("/bids/1", Some(object));
        if let Some(server) = rig.sent(id) {
            used.insert(server);
            rig.end(id, answered(200));
        }
    }
    used
}

// Sends requests until one goes to the server, and ends that one with a notice.
fn notify(rig: &mut Rig, server: &str, notice: ServerNotice, outcome: Outcome) {
    for object in 0..200 {
        let id = rig.request("/bids/1", Some(object));
        let sent = rig.sent(id);
        if sent.as_deref() == Some(server) {
            rig.step(Event::ServerNotice { id, notice });
            rig.end(id, outcome);
            // The request may have been sent on.
            rig.step(Event::CallerGone(id));
            return;
        }
        rig.end(id, answered(200));
    }
    panic!("no request went to {server}");
}

// Guards against requests to a server that says that it leaves, whatever the store or a late
// copy of it says afterwards.
#[test]
fn a_server_that_says_that_it_leaves_gets_no_requests_whatever_is_listed() {
    let (mut rig, listed) = rig_with(&["s1", "s2"]);
    notify(&mut rig, "s1", ServerNotice::Leaving, answered(200));
    assert_eq!(used(&mut rig, 50), BTreeSet::from(["s2".to_owned()]));
    let mut later = listed[0].clone();
    later.revision = later.revision.next();
    later.report_sequence += 1;
    let removed = ServerChange::Removed(later.backend.id.clone());
    for events in [
        vec![Event::Servers(vec![ServerChange::Put(later.clone())])],
        vec![Event::StoreLost, Event::Reach(Reach::Store)],
        vec![Event::ReplicaLost, Event::Reach(Reach::Replica)],
        // Its entry is removed, and an older copy brings it back.
        vec![
            Event::Servers(vec![removed]),
            Event::Tick,
            Event::Servers(vec![ServerChange::Put(later)]),
        ],
    ] {
        for event in events {
            rig.step(event);
            rig.pass(Duration::from_millis(200));
        }
        assert_eq!(used(&mut rig, 50), BTreeSet::from(["s2".to_owned()]));
    }
}

#[test]
fn a_new_start_of_a_server_that_left_is_used() {
    let (mut rig, listed) = rig_with(&["s1", "s2"]);
    notify(&mut rig, "s1", ServerNotice::Leaving, answered(200));
    let mut again = listed[0].clone();
    again.started_ms += 5_000;
    again.revision = again.revision.next();
    rig.step(Event::Servers(vec![ServerChange::Put(again)]));
    rig.pass(Duration::from_secs(4));
    assert!(used(&mut rig, 50).contains("s1"));
}

// A late answer of an earlier start doesn't withdraw the one that is listed now.
#[test]
fn an_answer_of_an_earlier_start_says_nothing_of_the_present_one() {
    let (mut rig, listed) = rig_with(&["s1"]);
    let id = rig.request("/bids/1", Some(1));
    assert!(rig.sent(id).is_some());
    let mut again = listed[0].clone();
    again.started_ms += 5_000;
    again.revision = again.revision.next();
    rig.step(Event::Servers(vec![ServerChange::Put(again)]));
    let notice = ServerNotice::Leaving;
    rig.step(Event::ServerNotice { id, notice });
    rig.end(id, answered(200));
    rig.pass(Duration::from_secs(4));
    assert!(!used(&mut rig, 10).is_empty());
}

#[test]
fn servers_that_all_leave_at_once_are_used_only_while_they_may_be() {
    let (mut rig, _) = rig_with(&["s1", "s2"]);
    notify(&mut rig, "s1", ServerNotice::Leaving, answered(200));
    notify(&mut rig, "s2", ServerNotice::Leaving, answered(200));
    assert!(!used(&mut rig, 10).is_empty(), "they still serve");
    rig.pass(MAX_LEAVE_TIME);
    let id = rig.request("/bids/1", Some(1));
    let refusal = rig.refused(id).expect("a refusal");
    assert_eq!((refusal.reason, refusal.status()), (Reason::NoServer, 503));
    assert!(refusal.retry_after.is_some());
}

// Guards against requests to a server that has asked for none; another one takes them.
#[test]
fn a_server_that_asks_for_a_pause_gets_no_requests_in_it() {
    let (mut rig, _) = rig_with(&["s1", "s2"]);
    let full = Outcome::Full { load: None };
    for _ in 0..3 {
        notify(&mut rig, "s1", ServerNotice::Pause(PAUSE), full);
        let end = rig.now + PAUSE;
        while rig.now + Duration::from_millis(100) < end {
            assert_eq!(used(&mut rig, 10), BTreeSet::from(["s2".to_owned()]));
            rig.pass(Duration::from_millis(100));
        }
        rig.pass(Duration::from_millis(200));
        assert!(used(&mut rig, 50).contains("s1"), "it is used again");
    }
}

#[test]
fn the_request_that_was_turned_away_goes_to_another_server() {
    let (mut rig, _) = rig_with(&["s1", "s2"]);
    let id = rig.request("/payouts/1", Some(1));
    // The service has no servers of its own here.
    assert_eq!(rig.refused(id).expect("a refusal").reason, Reason::NoServer);
    let id = rig.request("/bids/1", Some(1));
    let first = rig.sent(id).expect("room");
    let notice = ServerNotice::Pause(PAUSE);
    rig.step(Event::ServerNotice { id, notice });
    rig.end(id, Outcome::Full { load: None });
    let second = rig.sent(id).expect("another server");
    assert_ne!(first, second);
}

// What can't be served is refused at once, and callers come back when a server returns, not all
// at the same time.
#[test]
fn requests_are_refused_until_the_first_server_returns_if_all_pause() {
    let (mut rig, _) = rig_with(&["s1", "s2"]);
    let full = Outcome::Full { load: None };
    notify(&mut rig, "s1", ServerNotice::Pause(PAUSE), full);
    notify(&mut rig, "s2", ServerNotice::Pause(PAUSE * 2), full);
    let mut delays = BTreeSet::new();
    for object in 0..20 {
        let id = rig.request("/bids/1", Some(object));
        let refusal = rig.refused(id).expect("a refusal at once");
        assert_eq!(
            (refusal.reason, refusal.status()),
            (Reason::Overloaded, 503)
        );
        let delay = refusal.retry_after.expect("a time to come back");
        assert!(delay >= PAUSE && delay < PAUSE * 2, "{delay:?}");
        delays.insert(delay);
    }
    assert!(delays.len() > 10, "{delays:?}");
}

// A server that returns gets a part of what it got before, so that servers that turn away
// together aren't hit together.
#[test]
fn a_server_returns_from_a_pause_with_few_requests_at_once() {
    let (mut rig, _) = rig_with(&["s1"]);
    let at_once = |rig: &mut Rig| {
        let (mut sent, mut waiting) = (Vec::new(), Vec::new());
        for object in 0..20 {
            let id = rig.request("/bids/1", Some(object));
            if rig.sent(id).is_some() {
                sent.push(id);
            } else {
                waiting.push(id);
            }
        }
        let count = sent.len();
        for id in waiting {
            rig.step(Event::CallerGone(id));
        }
        for id in sent {
            rig.end(id, answered(200));
        }
        rig.pass(Duration::from_secs(1));
        count
    };
    let before = at_once(&mut rig);
    let full = Outcome::Full { load: None };
    notify(&mut rig, "s1", ServerNotice::Pause(PAUSE), full);
    rig.pass(PAUSE + Duration::from_millis(100));
    let after = at_once(&mut rig);
    assert!(
        after >= 1 && after < before,
        "{before} before, {after} after"
    );
}
