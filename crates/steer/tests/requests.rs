//! The path of one request: attempts, answers and the truth of refusals.

mod rig;

use std::time::Duration;

use corianderway_chart::Definition;
use corianderway_model::Secret;
use corianderway_model::ServerId;
use corianderway_steer::Action;
use corianderway_steer::Bounds;
use corianderway_steer::Event;
use corianderway_steer::InputKind;
use corianderway_steer::Outcome;
use corianderway_steer::Reach;
use corianderway_steer::Reason;
use corianderway_steer::ServerChange;
use corianderway_steer::REQUEST_CHART;

use crate::rig::answered;
use crate::rig::refused_in;
use crate::rig::Rig;

/// The expected result of a first attempt.
enum Expected {
    /// The request is sent to another server.
    SentAgain,
    /// The answer is sent to the caller.
    Delivered,
    /// The caller gets a refusal with this status.
    Refused(u16),
}

#[test]
fn retries_depend_on_the_outcome_and_the_route() {
    let table = [
        ("/bids/1", answered(200), Expected::Delivered),
        ("/bids/1", answered(500), Expected::SentAgain),
        ("/bids/1", Outcome::Full { load: None }, Expected::SentAgain),
        ("/bids/1", Outcome::Misdirected, Expected::SentAgain),
        ("/bids/1", Outcome::Unreachable, Expected::SentAgain),
        ("/bids/1", Outcome::Broken, Expected::SentAgain),
        ("/payouts/1", answered(200), Expected::Delivered),
        ("/payouts/1", answered(500), Expected::Delivered),
        (
            "/payouts/1",
            Outcome::Full { load: None },
            Expected::SentAgain,
        ),
        ("/payouts/1", Outcome::Misdirected, Expected::SentAgain),
        ("/payouts/1", Outcome::Unreachable, Expected::SentAgain),
        // It may have run, so it must not be sent again, and the refusal must
        // say so.
        ("/payouts/1", Outcome::Broken, Expected::Refused(502)),
        ("/payouts/1", Outcome::TimedOut, Expected::Refused(504)),
    ];
    for (path, outcome, expected) in table {
        let mut rig = Rig::new();
        let id = rig.request(path, Some(1));
        let first = rig.sent(id).expect("a server has room");
        rig.end(id, outcome);
        match expected {
            Expected::SentAgain => {
                let second = rig.sent(id);
                assert!(second.is_some_and(|s| s != first), "{path} {outcome:?}");
            }
            Expected::Delivered => assert!(rig.is_delivered(id), "{path} {outcome:?}"),
            Expected::Refused(status) => {
                let refusal = rig.refused(id).expect("a refusal");
                assert_eq!(refusal.status(), status, "{path} {outcome:?}");
            }
        }
    }
}

#[test]
fn attempts_are_bounded_by_the_route() {
    let mut rig = Rig::new();
    let id = rig.request("/bids/1", Some(1));
    rig.end(id, Outcome::Broken);
    assert!(rig.sent(id).is_some());
    rig.end(id, Outcome::Broken);
    assert_eq!(rig.sent(id), None);
    assert_eq!(rig.refused(id).unwrap().status(), 502);
}

// Guards against a false refusal: an attempt stopped by the deadline wasn't
// counted as one that may have run, so the status was 503 although the request
// ran (REFUSED).
#[test]
fn a_request_stopped_at_its_deadline_gets_504() {
    for path in ["/bids/1", "/payouts/1"] {
        let mut rig = Rig::new();
        let id = rig.request(path, Some(1));
        assert!(rig.sent(id).is_some());
        let actions = rig.pass(Duration::from_millis(2_100));
        let refusal = refused_in(&actions, id).expect("a final answer at the route's timeout");
        assert_eq!(refusal.status(), 504, "{path}");
    }
}

#[test]
fn a_refusal_for_want_of_servers_has_a_retry_delay() {
    let mut rig = Rig::new();
    let removed = rig::servers().into_iter().map(|listed| listed.backend.id);
    let removed = removed.map(ServerChange::Removed).collect();
    rig.step(Event::Servers(removed));
    let id = rig.request("/payouts/1", None);
    let refusal = rig.refused(id).expect("no server is left");
    assert_eq!((refusal.reason, refusal.status()), (Reason::NoServer, 503));
    assert!(refusal.retry_after.is_some());
}

#[test]
fn a_callers_departure_cancels_only_idempotent_requests() {
    let mut rig = Rig::new();
    let id = rig.request("/bids/1", Some(1));
    rig.step(Event::CallerGone(id));
    assert!(rig.is_cancelled(id));
    let id = rig.request("/payouts/1", Some(1));
    rig.step(Event::CallerGone(id));
    assert!(!rig.is_cancelled(id), "a payout runs to its end");
    rig.end(id, answered(200));
    assert_eq!(rig.steer.open_requests(), 0);
}

#[test]
fn unknown_keys_and_routes_get_503_without_a_view_of_the_store() {
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

// Guards against proper requests that are ended with 401 or 404 by an instance whose
// configuration is older than one that another instance follows already.
#[test]
fn unknown_keys_and_routes_get_503_while_a_later_configuration_is_known_to_exist() {
    for (known, path, key, status) in [
        (10, "/bids/1", "other", 503),
        (10, "/none/1", rig::KEY, 503),
        (11, "/bids/1", "other", 401),
        (11, "/none/1", rig::KEY, 404),
    ] {
        let mut rig = Rig::new();
        let other = rig::member("entry-2", "north", "north-a");
        rig.step(Event::Members(vec![other.clone()]));
        rig.step(rig::revisions(InputKind::Plan, known));
        rig.step(rig::digest(&other, InputKind::Plan, 11));
        rig.pass(Duration::from_millis(900));
        let mut query = rig.query(path, None);
        query.key = Some(Secret::new(key));
        let id = query.id;
        rig.step(Event::Request(query));
        let refusal = rig.refused(id).expect("a refusal");
        assert_eq!(refusal.status(), status, "knows {known}: {path}");
    }
}

#[test]
fn an_instance_that_knows_nothing_is_not_ready() {
    let mut rig = Rig::bare(rig::member("entry-1", "north", "north-a"));
    assert!(!rig.steer.is_ready());
    let id = rig.request("/bids/1", None);
    let refusal = rig.refused(id).expect("a refusal");
    assert_eq!((refusal.reason, refusal.status()), (Reason::NotReady, 503));
    rig.settle(rig::plan(1, rig::routes(), None), rig::servers());
    assert!(rig.steer.is_ready());
}

#[test]
fn a_stopping_instance_accepts_requests_for_half_its_grace_period() {
    let mut rig = Rig::new();
    let running = rig.request("/payouts/1", Some(1));
    rig.step(Event::Stop);
    assert!(!rig.steer.is_ready());
    let id = rig.request("/bids/1", Some(1));
    assert!(rig.sent(id).is_some());
    rig.pass(Duration::from_millis(1_500));
    rig.end(running, answered(200));
    assert!(rig.is_delivered(running));
    rig.pass(Duration::from_millis(1_600));
    let id = rig.request("/bids/1", Some(1));
    let refusal = rig.refused(id).expect("a refusal");
    assert_eq!((refusal.reason, refusal.status()), (Reason::Stopping, 503));
}

// Guards against requests that are accepted late in a long grace period and broken off at its
// end while a backend server is at work on them (LOST): callers never learn whether they ran.
#[test]
fn a_request_accepted_late_in_a_stop_is_not_broken_off_by_it() {
    let grace = Duration::from_secs(10);
    let bounds = Bounds {
        grace,
        ..Bounds::default()
    };
    let mut routes = rig::routes();
    routes[0].timeout = Some(Duration::from_secs(2));
    routes[1].timeout = Some(Duration::from_secs(9));
    for (path, bounded) in [("/bids/1", true), ("/payouts/1", false)] {
        let mut rig = Rig::bare_within(rig::member("entry-1", "north", "north-a"), bounds.clone());
        rig.settle(rig::plan(1, routes.clone(), None), rig::servers());
        rig.step(Event::Stop);
        let begun = rig.now;
        let mut last = None;
        while rig.now.since(begun) < grace {
            let mut query = rig.query(path, None);
            query.time_limit = Some(Duration::from_secs(20));
            let id = query.id;
            rig.step(Event::Request(query));
            if rig.sent(id).is_some() {
                last = Some(rig.now.since(begun));
                rig.end(id, answered(200));
            } else {
                assert_eq!(rig.refused(id).unwrap().reason, Reason::Stopping);
            }
            rig.pass(Duration::from_millis(100));
        }
        let last = last.expect("a request is accepted after the signal");
        // Callers that learn of the stop late are served as long as that harms none.
        let most = if bounded { 5_000 } else { 2_500 };
        assert!(last < Duration::from_millis(most), "{path}: {last:?}");
        assert!(last > Duration::from_secs(2), "{path}: {last:?}");
    }
}

// What is broken off at the end of a stop has used most of the grace period, however short.
#[test]
fn a_stop_ends_open_requests_in_the_last_sixth_of_the_grace_period() {
    for grace in [1, 2, 3, 6, 10].map(Duration::from_secs) {
        let bounds = Bounds {
            grace,
            ..Bounds::default()
        };
        let mut rig = Rig::bare_within(rig::member("entry-1", "north", "north-a"), bounds);
        let mut routes = rig::routes();
        routes[1].timeout = Some(Duration::from_secs(20));
        rig.settle(rig::plan(1, routes, None), rig::servers());
        let mut query = rig.query("/payouts/1", None);
        query.time_limit = Some(Duration::from_secs(20));
        let id = query.id;
        rig.step(Event::Request(query));
        assert!(rig.sent(id).is_some());
        rig.step(Event::Stop);
        let begun = rig.now;
        let mut ended = None;
        while ended.is_none() && rig.now.since(begun) < grace {
            let actions = rig.pass(Duration::from_millis(10));
            ended = rig::refused_in(&actions, id).map(|_| rig.now.since(begun));
        }
        let ended = ended.expect("an answer before the process ends");
        assert!(ended >= grace.mul_f64(5.0 / 6.0), "{grace:?}: {ended:?}");
    }
}

#[test]
fn a_request_is_quarantined_after_crashing_three_servers() {
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
            // Another request finds that the server is down.
            let probe = request_sent_to(&mut rig, &server);
            rig.end(probe, Outcome::Unreachable);
            if let Some(next) = again {
                crashed += 1;
                rig.end(id, Outcome::Broken);
                let probe = request_sent_to(&mut rig, &next);
                rig.end(probe, Outcome::Unreachable);
            }
            rig.out.clear();
        }
    }
    assert!((3..=4).contains(&crashed), "{crashed} servers crashed");
}

// Guards against a request that is never quarantined under light load, where no other request
// shows that a server is down.
#[test]
fn a_request_is_quarantined_by_the_checks_of_the_servers_that_it_crashed() {
    let mut rig = Rig::new();
    let mut crashed = 0;
    for _ in 0..6 {
        let mut query = rig.query("/bids/1", None);
        query.signature = 99;
        let id = query.id;
        rig.step(Event::Request(query));
        while rig.sent(id).is_some() {
            crashed += 1;
            rig.end(id, Outcome::Broken);
            let sent = rig.sent(id);
            let checked = rig.out.iter().find_map(|action| match action {
                Action::CheckServer { server, .. } => Some(server.clone()),
                _ => None,
            });
            let server = checked.expect("a check");
            let reachable = false;
            rig.step(Event::ServerChecked { server, reachable });
            if sent.is_some() {
                crashed += 1;
                rig.end(id, Outcome::Broken);
                let checks = rig.out.clone();
                for action in checks {
                    if let Action::CheckServer { server, .. } = action {
                        rig.step(Event::ServerChecked { server, reachable });
                    }
                }
            }
            rig.out.clear();
        }
        rig.pass(Duration::from_secs(5));
    }
    assert!((3..=4).contains(&crashed), "{crashed} servers crashed");
}

// A server that accepts connections after one broke has not crashed.
#[test]
fn connections_that_break_alone_quarantine_nothing() {
    let mut rig = Rig::new();
    for _ in 0..6 {
        let mut query = rig.query("/bids/1", None);
        query.signature = 99;
        let id = query.id;
        rig.step(Event::Request(query));
        while let Some(server) = rig.sent(id) {
            rig.end(id, Outcome::Broken);
            let sent = rig.sent(id);
            let server = ServerId::try_from(server.as_str()).unwrap();
            let reachable = true;
            rig.step(Event::ServerChecked { server, reachable });
            if sent.is_some() {
                rig.end(id, Outcome::Broken);
            }
            rig.out.clear();
        }
        rig.pass(Duration::from_secs(5));
    }
    let mut query = rig.query("/bids/1", None);
    query.signature = 99;
    let id = query.id;
    rig.step(Event::Request(query));
    assert!(rig.sent(id).is_some());
}

// Guards against requests that wait in vain: a request for which the queue has no place was
// never tried again, and was refused only when its wait was over.
#[test]
fn a_request_for_which_the_queue_has_no_place_is_refused_at_once() {
    let mut rig = Rig::new();
    let (mut sent, mut refused) = (0, 0);
    for _ in 0..400 {
        let id = rig.request("/bids/1", None);
        sent += usize::from(rig.sent(id).is_some());
        let refusals = rig.out.iter().filter(|action| match action {
            Action::Refuse { refusal, .. } => refusal.reason == Reason::Overloaded,
            _ => false,
        });
        refused += refusals.count();
    }
    let waiting = rig.steer.waiting_requests();
    assert!(
        waiting > 0 && refused > 0,
        "{waiting} wait, {refused} refused"
    );
    assert_eq!(sent + waiting + refused, 400);
    assert_eq!(rig.steer.open_requests(), sent + waiting);
}

// Guards against requests whose wait is over but which keep their places in the queue.
#[test]
fn requests_whose_wait_is_over_leave_the_queue() {
    let mut rig = Rig::new();
    for _ in 0..200 {
        rig.request("/bids/1", None);
    }
    assert!(rig.steer.waiting_requests() > 0);
    rig.pass(Duration::from_secs(1));
    assert_eq!(rig.steer.waiting_requests(), 0);
}

// Sends requests of other signatures until one goes to the named server.
fn request_sent_to(rig: &mut Rig, server: &str) -> corianderway_steer::RequestId {
    let wanted = ServerId::try_from(server).unwrap();
    for object in 0..400 {
        let id = rig.request("/bids/2", Some(object));
        if rig.sent(id).as_deref() == Some(wanted.as_str()) {
            return id;
        }
        rig.step(Event::CallerGone(id));
    }
    panic!("no request went to {server}");
}

// Guards against a refusal that is decided while an attempt is on its way: the chart that
// permits one can't be loaded.
#[test]
fn no_chart_ends_a_request_beside_its_attempt() {
    let table = [
        // No event but the attempt's end, the deadline and the caller's departure.
        (
            "ignore: [admitted, token-needed, chosen, refused, full, room-freed]",
            "ignore: [admitted, token-needed, chosen, full, room-freed]",
            "      timed-out: { to: done, do: [cancel, end-attempt, refuse] }",
            "      refused: { to: done, do: [cancel, end-attempt, refuse] }
      timed-out: { to: done, do: [cancel, end-attempt, refuse] }",
        ),
        (
            "ignore: [admitted, token-needed, chosen, refused, full, room-freed]",
            "ignore: [admitted, token-needed, chosen, refused, room-freed]",
            "      timed-out: { to: done, do: [cancel, end-attempt, refuse] }",
            "      full: { to: waiting, do: [enqueue] }
      timed-out: { to: done, do: [cancel, end-attempt, refuse] }",
        ),
        // No end without the count of a run, or without the cancellation.
        (
            "do: [cancel, end-attempt, refuse]",
            "do: [cancel, refuse]",
            "",
            "",
        ),
        (
            "do: [cancel, end-attempt, refuse]",
            "do: [end-attempt, refuse]",
            "",
            "",
        ),
        (
            "do: [cancel, end-attempt, refuse]",
            "do: [refuse, cancel, end-attempt]",
            "",
            "",
        ),
        ("do: [end-attempt, deliver]", "do: [deliver]", "", ""),
        ("do: [end-attempt, release]", "do: [release]", "", ""),
        // No retry beside the attempt either.
        ("do: [end-attempt, choose]", "do: [choose]", "", ""),
        ("    during: attempt\n", "", "", ""),
        // No second attempt beside the first one.
        (
            "do: [end-attempt, deliver]",
            "do: [end-attempt, forward, deliver]",
            "",
            "",
        ),
    ];
    assert!(Definition::parse(REQUEST_CHART).is_ok());
    for (from, to, beside, added) in table {
        let text = REQUEST_CHART.replacen(from, to, 1);
        assert_ne!(text, REQUEST_CHART, "{from}");
        let text = text.replacen(beside, added, 1);
        let error = Definition::parse(&text).map(|_| ()).unwrap_err();
        let error = error.to_string();
        assert!(error.contains("\"attempt\""), "{to}: {error}");
    }
}
