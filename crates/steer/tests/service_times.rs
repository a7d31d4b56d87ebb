//! The estimated service times of routes, and what is refused because of them.

mod rig;

use std::time::Duration;

use corianderway_model::Replay;
use corianderway_steer::Route;

use crate::rig::answered;
use crate::rig::Rig;

/// How long a request takes at a backend server in good order.
const USUAL: Duration = Duration::from_millis(300);

/// How long callers keep asking once the backend servers are in good order.
const REQUESTS_AFTERWARDS: u64 = 200;

fn rig_with(change: impl Fn(&mut Route)) -> Rig {
    let mut route = rig::route("bids", "/bids/", "bids", Replay::Idempotent);
    change(&mut route);
    let mut rig = Rig::bare(rig::member("entry-1", "north", "north-a"));
    rig.settle(rig::plan(1, vec![route], None), rig::servers());
    rig
}

// Sends a request whose attempt takes `span`, or the time until it is cancelled. Returns
// whether a backend server answered.
fn is_answered_after(rig: &mut Rig, object: Option<u64>, span: Duration) -> bool {
    let id = rig.request("/bids/1", object);
    if rig.sent(id).is_none() {
        rig.pass(span);
        return false;
    }
    let actions = rig.pass(span);
    if rig::refused_in(&actions, id).is_some() {
        return false;
    }
    rig.end(id, answered(200));
    rig.is_delivered(id)
}

#[test]
fn requests_are_served_after_all_backend_servers_were_slow() {
    let mut rig = rig_with(|_| ());
    for object in 0..400 {
        is_answered_after(&mut rig, Some(object), Duration::from_millis(1_950));
    }
    rig.pass(Duration::from_secs(15));
    let served = (1_000..1_000 + REQUESTS_AFTERWARDS)
        .filter(|object| is_answered_after(&mut rig, Some(*object), USUAL));
    let served = served.count() as u64;
    assert!(served * 4 >= REQUESTS_AFTERWARDS * 3, "{served} served");
}

#[test]
fn requests_without_objects_are_served_after_all_backend_servers_were_slow() {
    let mut rig = rig_with(|route| route.sticky = false);
    for _ in 0..400 {
        is_answered_after(&mut rig, None, Duration::from_millis(1_950));
    }
    rig.pass(Duration::from_secs(15));
    let served = (0..REQUESTS_AFTERWARDS).filter(|_| is_answered_after(&mut rig, None, USUAL));
    let served = served.count() as u64;
    assert!(served * 4 >= REQUESTS_AFTERWARDS * 3, "{served} served");
}

#[test]
fn requests_are_served_after_a_start_where_the_timeout_is_near_the_target_latency() {
    let mut rig = rig_with(|route| route.timeout = Some(Duration::from_secs(1)));
    let served =
        (0..REQUESTS_AFTERWARDS).filter(|object| is_answered_after(&mut rig, Some(*object), USUAL));
    let served = served.count() as u64;
    assert!(served * 4 >= REQUESTS_AFTERWARDS * 3, "{served} served");
}
