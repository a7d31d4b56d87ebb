//! What becomes of one request: attempts, answers, refusals that are true.

mod rig;

use std::time::Duration;

use corianderway_model::Secret;
use corianderway_model::ServerId;
use corianderway_steer::Event;
use corianderway_steer::Outcome;
use corianderway_steer::Reach;
use corianderway_steer::Reason;
use corianderway_steer::ServerChange;

use crate::rig::answered;
use crate::rig::refused_in;
use crate::rig::Rig;

/// What is expected after a first attempt with some outcome.
enum Then {
    /// The request is sent to another server.
    Again,
    /// The answer is given to the caller.
    Answer,
    /// A refusal with this status.
    Refused(u16),
}

#[test]
fn first_attempts_by_kind_of_route() {
    let table = [
        ("/bids/1", answered(200), Then::Answer),
        ("/bids/1", answered(500), Then::Again),
        ("/bids/1", Outcome::Full { load: None }, Then::Again),
        ("/bids/1", Outcome::Misdirected, Then::Again),
        ("/bids/1", Outcome::Unreachable, Then::Again),
        ("/bids/1", Outcome::Broken, Then::Again),
        ("/payouts/1", answered(200), Then::Answer),
        ("/payouts/1", answered(500), Then::Answer),
        ("/payouts/1", Outcome::Full { load: None }, Then::Again),
        ("/payouts/1", Outcome::Misdirected, Then::Again),
        ("/payouts/1", Outcome::Unreachable, Then::Again),
        // It may have run, so it is neither sent again nor called not run.
        ("/payouts/1", Outcome::Broken, Then::Refused(502)),
        ("/payouts/1", Outcome::TimedOut, Then::Refused(504)),
    ];
    for (path, outcome, then) in table {
        let mut rig = Rig::new();
        let id = rig.ask(path, Some(1));
        let first = rig.sent(id).expect("a server has room");
        rig.end(id, outcome);
        match then {
            Then::Again => {
                let second = rig.sent(id);
                assert!(second.is_some_and(|s| s != first), "{path} {outcome:?}");
            }
            Then::Answer => assert!(rig.is_delivered(id), "{path} {outcome:?}"),
            Then::Refused(status) => {
                let refusal = rig.refused(id).expect("a refusal");
                assert_eq!(refusal.status(), status, "{path} {outcome:?}");
            }
        }
    }
}

#[test]
fn attempts_are_bounded_by_the_route() {
    let mut rig = Rig::new();
    let id = rig.ask("/bids/1", Some(1));
    rig.end(id, Outcome::Broken);
    assert!(rig.sent(id).is_some());
    rig.end(id, Outcome::Broken);
    assert_eq!(rig.sent(id), None);
    assert_eq!(rig.refused(id).unwrap().status(), 502);
}

// Failed before attempts that a deadline stops were counted: the refusal was
// 503 although the request ran (REFUSED on the first quiet day).
#[test]
fn a_request_stopped_at_its_deadline_is_not_called_not_run() {
    for path in ["/bids/1", "/payouts/1"] {
        let mut rig = Rig::new();
        let id = rig.ask(path, Some(1));
        assert!(rig.sent(id).is_some());
        let done = rig.pass(Duration::from_millis(2_100));
        let refusal = refused_in(&done, id).expect("a final answer at the route's timeout");
        assert_eq!(refusal.status(), 504, "{path}");
    }
}

#[test]
fn a_refused_request_is_told_when_to_come_back() {
    let mut rig = Rig::new();
    let gone = rig::servers().into_iter().map(|listed| listed.backend.id);
    let gone = gone.map(ServerChange::Removed).collect();
    rig.step(Event::Servers(gone));
    let id = rig.ask("/payouts/1", None);
    let refusal = rig.refused(id).expect("no server is left");
    assert_eq!((refusal.reason, refusal.status()), (Reason::NoServer, 503));
    assert!(refusal.retry_after.is_some());
}

#[test]
fn a_caller_that_leaves_stops_what_may_be_repeated() {
    let mut rig = Rig::new();
    let id = rig.ask("/bids/1", Some(1));
    rig.step(Event::Left(id));
    assert!(rig.is_cancelled(id));
    let id = rig.ask("/payouts/1", Some(1));
    rig.step(Event::Left(id));
    assert!(!rig.is_cancelled(id), "a payout runs to its end");
    rig.end(id, answered(200));
    assert_eq!(rig.steer.open(), 0);
}

#[test]
fn unknown_keys_and_routes_are_refused_only_by_who_is_not_behind() {
    let table = [
        (Reach::Store, "/bids/1", "other", 401),
        (Reach::Store, "/none/1", rig::KEY, 404),
        (Reach::Replica, "/none/1", rig::KEY, 404),
        (Reach::Nothing, "/bids/1", "other", 503),
        (Reach::Nothing, "/none/1", rig::KEY, 503),
    ];
    for (reach, path, key, status) in table {
        let mut rig = Rig::new();
        rig.step(Event::Reach(reach));
        let mut query = rig.query(path, None);
        query.key = Some(Secret::new(key));
        let id = query.id;
        rig.step(Event::Request(query));
        let refusal = rig.refused(id).expect("a refusal");
        assert_eq!(refusal.status(), status, "{reach:?} {path}");
    }
}

#[test]
fn an_instance_that_knows_nothing_is_not_ready() {
    let mut rig = Rig::bare(rig::member("entry-1", "north", "north-a"));
    assert!(!rig.steer.is_ready());
    let id = rig.ask("/bids/1", None);
    let refusal = rig.refused(id).expect("a refusal");
    assert_eq!((refusal.reason, refusal.status()), (Reason::NotReady, 503));
    rig.settle(rig::plan(1, rig::routes(), None), rig::servers());
    assert!(rig.steer.is_ready());
}

#[test]
fn a_stop_takes_requests_for_half_of_its_grace() {
    let mut rig = Rig::new();
    let running = rig.ask("/payouts/1", Some(1));
    rig.step(Event::Stop);
    assert!(!rig.steer.is_ready());
    let id = rig.ask("/bids/1", Some(1));
    assert!(rig.sent(id).is_some());
    rig.pass(Duration::from_millis(1_500));
    rig.end(running, answered(200));
    assert!(rig.is_delivered(running));
    rig.pass(Duration::from_millis(1_600));
    let id = rig.ask("/bids/1", Some(1));
    let refusal = rig.refused(id).expect("a refusal");
    assert_eq!((refusal.reason, refusal.status()), (Reason::Stopping, 503));
}

#[test]
fn a_request_that_crashes_its_servers_stops_after_three() {
    let mut rig = Rig::new();
    let mut crashed = 0;
    for _ in 0..6 {
        let mut query = rig.query("/bids/1", None);
        query.signature = 99;
        let id = query.id;
        rig.step(Event::Request(query));
        while let Some(server) = rig.sent(id) {
            crashed += 1;
            rig.end(id, Outcome::Broken);
            let again = rig.sent(id);
            // The server is found dead by another request.
            let probe = probe_of(&mut rig, &server);
            rig.end(probe, Outcome::Unreachable);
            if let Some(next) = again {
                crashed += 1;
                rig.end(id, Outcome::Broken);
                let probe = probe_of(&mut rig, &next);
                rig.end(probe, Outcome::Unreachable);
            }
            rig.out.clear();
        }
    }
    assert!((3..=4).contains(&crashed), "{crashed} servers crashed");
}

// A request of another signature that goes to the named server.
fn probe_of(rig: &mut Rig, server: &str) -> corianderway_steer::RequestId {
    let wanted = ServerId::try_from(server).unwrap();
    for object in 0..400 {
        let id = rig.ask("/bids/2", Some(object));
        if rig.sent(id).as_deref() == Some(wanted.as_str()) {
            return id;
        }
        rig.step(Event::Left(id));
    }
    panic!("no request went to {server}");
}
