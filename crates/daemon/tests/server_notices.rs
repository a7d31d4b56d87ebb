//! Backend servers that say in their answers that they leave, or want nothing for a while.

mod platform_fleet;

use std::thread;
use std::time::Duration;
use std::time::Instant;

use corianderway_standins::estate::Endpoint;
use corianderway_standins::estate::Mode;

use crate::platform_fleet::read;
use crate::platform_fleet::Fleet;

/// The time within which an instance must send nothing more to a server that leaves.
const MAX_LEAVE_TIME: Duration = Duration::from_millis(2_500);

/// The time after its answer from which on a server gets nothing more in its pause.
const MAX_PAUSE_DELAY: Duration = Duration::from_millis(500);

const PAUSE: Duration = Duration::from_secs(2);

// Starts an instance with a second server, which has got requests.
fn fleet() -> (Fleet, Endpoint) {
    let fleet = Fleet::start(1);
    let second = Endpoint::start("i-2");
    let entry = second.entry("s1", "a", "ready", 1);
    fleet.store.put("servers", "i-2", &entry);
    fleet.until("an answer of the second server", || {
        let reply = read(&fleet.instances[0], "k1")?;
        (reply.text() == "answer of i-2").then_some(())
    });
    (fleet, second)
}

// Guards against requests to a server that says that it leaves, while the store still lists it
// and lists it anew.
#[test]
fn a_server_that_says_that_it_leaves_gets_no_more_requests() {
    let (fleet, second) = fleet();
    let instance = &fleet.instances[0];
    second.set_mode(Mode::Leaving);
    let known = second.requests().len();
    fleet.until("an answer that says so", || {
        read(instance, "k1");
        (second.requests().len() > known).then_some(())
    });
    let told = Instant::now();
    for seq in 2..30 {
        let entry = second.entry("s1", "a", "ready", seq);
        fleet.store.put("servers", "i-2", &entry);
        for _ in 0..10 {
            assert_eq!(read(instance, "k1").unwrap().status, 200);
        }
        thread::sleep(Duration::from_millis(100));
    }
    assert!(told.elapsed() > MAX_LEAVE_TIME);
    let late = second.requests();
    let late = late
        .iter()
        .filter(|request| request.at > told + MAX_PAUSE_DELAY);
    assert_eq!(late.count(), 0);
}

// Guards against requests to a server that has answered 503 with a time to come back; none of
// them is lost.
#[test]
fn a_server_that_asks_for_a_pause_gets_nothing_in_it() {
    let (fleet, second) = fleet();
    let instance = &fleet.instances[0];
    second.set_mode(Mode::Pausing(PAUSE));
    let end = Instant::now() + PAUSE * 3;
    while Instant::now() < end {
        assert_eq!(read(instance, "k1").unwrap().status, 200);
    }
    let rejections: Vec<Instant> = second.rejections().iter().map(|r| r.at).collect();
    assert!(rejections.len() >= 2, "{} rejections", rejections.len());
    let gaps = rejections
        .windows(2)
        .map(|pair| pair[1].duration_since(pair[0]));
    let early: Vec<_> = gaps
        .filter(|gap| *gap > MAX_PAUSE_DELAY && *gap < PAUSE)
        .collect();
    assert!(early.is_empty(), "{early:?}");
    let soon = rejections
        .windows(2)
        .filter(|p| p[1].duration_since(p[0]) <= MAX_PAUSE_DELAY);
    assert_eq!(soon.count(), 0, "one caller has one request under way");
}
