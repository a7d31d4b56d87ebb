//! Requests that crash the backend servers which run them.

mod platform_fleet;

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use corianderway_standins::estate::entry;
use corianderway_standins::estate::Crashing;
use serde_json::json;

use crate::platform_fleet::get;
use crate::platform_fleet::Fleet;

/// The path whose requests crash a backend server.
const FATAL: &str = "/read/fatal";

/// How long a backend server is down after a crash.
const DOWNTIME: Duration = Duration::from_millis(1_500);

/// The interval at which the caller sends the request again.
const RETRY_INTERVAL: Duration = Duration::from_millis(700);

/// Each sending reaches two backend servers at the most, and three crashes are enough for
/// the request to be quarantined.
const MAX_CRASHES: usize = 4;

// Sends the fatal request ten times beside a light load of sound ones, and returns the
// crashes that it caused.
fn crashes_of(count: usize) -> usize {
    let fleet = Fleet::start(1);
    fleet.store.remove("servers", "i-1");
    let servers: Vec<_> = (0..count)
        .map(|_| Crashing::start(FATAL, DOWNTIME))
        .collect();
    let starts: Vec<_> = servers.iter().map(Crashing::crashes).collect();
    for (number, server) in servers.iter().enumerate() {
        let listed = entry(server.addr, "s1", "a", "ready", 1);
        fleet
            .store
            .put("servers", &format!("i-{}", number + 2), &listed);
    }
    let instance = &fleet.instances[0];
    let ask = |path: &str, id: &str| {
        let headers = [("Key", "k1"), ("Request-Id", id), ("Deadline-Ms", "2000")];
        get(
            instance,
            corianderway_standins::estate::node::CALLERS_PORT,
            path,
            &headers,
        )
    };
    fleet.until("an answer", || {
        (ask("/read/1", "r-0")?.status == 200).then_some(())
    });
    let ended = AtomicBool::new(false);
    thread::scope(|scope| {
        scope.spawn(|| {
            let mut starts = starts;
            while !ended.load(Ordering::Acquire) {
                for (number, server) in servers.iter().enumerate() {
                    if server.crashes() != starts[number] {
                        starts[number] = server.crashes();
                        thread::sleep(DOWNTIME);
                        let mut listed = entry(server.addr, "s1", "a", "ready", 1);
                        listed["born"] = json!(1_790_000_000_000_u64 + starts[number] as u64);
                        fleet
                            .store
                            .put("servers", &format!("i-{}", number + 2), &listed);
                    }
                }
                drop(ask("/read/2", "sound"));
                thread::sleep(Duration::from_millis(100));
            }
        });
        for number in 0..10 {
            drop(ask(FATAL, &format!("fatal-{number}")));
            thread::sleep(RETRY_INTERVAL);
        }
        ended.store(true, Ordering::Release);
    });
    servers.iter().map(Crashing::crashes).sum()
}

// Guards against a request that crashes one server after the other for good: under light load
// a server that has just failed gets no request, so nothing showed that it had crashed.
#[test]
fn a_request_that_crashes_servers_is_quarantined_under_light_load() {
    let crashes = crashes_of(8);
    assert!((3..=MAX_CRASHES).contains(&crashes), "{crashes} crashes");
}

// Guards against the same with fewer servers than the crashes that lead to quarantine: each
// start of a server counts.
#[test]
fn a_request_that_crashes_few_servers_again_and_again_is_quarantined() {
    let crashes = crashes_of(2);
    assert!((3..=MAX_CRASHES).contains(&crashes), "{crashes} crashes");
}
