//! Rate limits and the quarantine of requests that crash servers, over real processes.

mod support;

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use corianderway_standins::backend::Faults;
use corianderway_standins::harness::call;
use corianderway_standins::harness::until;
use corianderway_standins::harness::Client;
use corianderway_standins::harness::Request;
use serde_json::Value;

use crate::support::finder_contract;
use crate::support::Fleet;
use crate::support::HOST;
use crate::support::WAIT_TIMEOUT;

/// Sends requests from `callers` callers to each address for `duration`, each as fast as
/// it gets responses, and counts the requests that ran.
fn flood(addrs: &[SocketAddr], callers: usize, duration: Duration) -> usize {
    let end = Instant::now() + duration;
    let threads: Vec<_> = (0..callers)
        .flat_map(|_| addrs.iter().copied())
        .map(|addr| {
            thread::spawn(move || {
                let mut client = Client::connect(addr).unwrap();
                let mut ran = 0;
                while Instant::now() < end {
                    let reply = client
                        .call(&Request::get("/capsules/1").host(HOST))
                        .unwrap();
                    assert!(matches!(reply.status, 200 | 429 | 503), "{}", reply.text());
                    ran += usize::from(reply.status == 200);
                }
                ran
            })
        })
        .collect();
    threads.into_iter().map(|t| t.join().unwrap()).sum()
}

fn start_limited(rate: f64, burst: f64) -> Fleet {
    let fleet = Fleet::start(3, 2);
    let stored = fleet.platform.get("contracts", "finder").unwrap().unwrap();
    let contract = finder_contract(rate, burst);
    fleet
        .platform
        .update("contracts", "finder", stored.version, &contract)
        .unwrap();
    let in_force = "object=contracts/finder";
    for entry in &fleet.entries {
        until("the limit", WAIT_TIMEOUT, || {
            let lines = entry.process.lines();
            let seen = lines.iter().filter(|l| l.contains(in_force)).count();
            (seen >= 2).then_some(())
        })
        .unwrap();
    }
    fleet
}

#[test]
fn all_instances_together_admit_no_more_than_rate_and_burst() {
    let (rate, burst) = (100.0, 50.0);
    let fleet = start_limited(rate, burst);
    let addrs: Vec<_> = fleet.entries.iter().map(|e| e.callers).collect();
    let started = Instant::now();
    let ran = flood(&addrs, 4, Duration::from_secs(4)) as f64;
    let max_runs = rate * started.elapsed().as_secs_f64() + burst;
    assert!(ran <= max_runs, "{ran} ran, at most {max_runs}");
    assert!(ran >= rate * 4.0 * 0.7, "{ran} ran of {}", rate * 4.0);
}

#[test]
fn callers_on_one_instance_get_the_full_rate() {
    let (rate, burst) = (100.0, 50.0);
    let fleet = start_limited(rate, burst);
    let addrs = [fleet.entries[0].callers];
    let started = Instant::now();
    let ran = flood(&addrs, 6, Duration::from_secs(6)) as f64;
    let max_runs = rate * started.elapsed().as_secs_f64() + burst;
    assert!(ran <= max_runs, "{ran} ran, at most {max_runs}");
    // Without loans from other instances, its share would be a third of the rate.
    assert!(ran >= rate * 6.0 * 0.7, "{ran} ran of {}", rate * 6.0);
}

#[test]
fn a_request_that_crashes_servers_is_quarantined_after_few_crashes() {
    let fleet = Fleet::start(2, 6);
    let faults = Faults {
        crash_path: Some("poison".to_owned()),
        ..Faults::default()
    };
    for server in &fleet.servers {
        server.set_faults(&faults).unwrap();
    }
    let crashing = Request::get("/capsules/poison").host(HOST);
    let mut sent = 0;
    until("the refusal", WAIT_TIMEOUT, || {
        let entry = fleet.entries[sent % 2].callers;
        sent += 1;
        let reply = call(entry, &crashing).ok()?;
        let body: Value = reply.json().ok()?;
        (body["code"] == "quarantined").then_some(())
    })
    .unwrap();
    let alive = |server: &&corianderway_standins::harness::Server| server.load().is_ok();
    let left = fleet.servers.iter().filter(alive).count();
    assert!(left >= 3, "{left} of 6 servers left");
    let harmless = Request::get("/capsules/fine").host(HOST);
    for entry in 0..2 {
        fleet.wait_status(entry, &harmless, 200);
    }
}
