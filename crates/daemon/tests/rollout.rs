//! Version moves and drains over real processes.

mod support;

use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use corianderway_model::VersionPolicy;
use corianderway_rollout::Drain;
use corianderway_rollout::DrainScope;
use corianderway_rollout::Move;
use corianderway_rollout::Plan;
use corianderway_standins::backend::Faults;
use corianderway_standins::backend::Rule;
use corianderway_standins::harness::call;
use corianderway_standins::harness::until;
use corianderway_standins::harness::Client;
use corianderway_standins::harness::Daemon;
use corianderway_standins::harness::Request;
use serde_json::Value;

use crate::support::Fleet;
use crate::support::HOST;

/// The timeout for a move or a drain to reach a state.
const STATE_TIMEOUT: Duration = Duration::from_mins(1);

/// Callers that send requests one after the other until they are stopped.
struct Load {
    stop: Arc<AtomicBool>,
    callers: Vec<JoinHandle<usize>>,
}

impl Load {
    fn start(addrs: impl IntoIterator<Item = SocketAddr>) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let callers = addrs.into_iter().map(|addr| {
            let stop = Arc::clone(&stop);
            thread::spawn(move || {
                let mut client = Client::connect(addr).unwrap();
                let mut failed = 0;
                while !stop.load(Ordering::Acquire) {
                    let reply = client
                        .call(&Request::get("/capsules/1").host(HOST))
                        .unwrap();
                    failed += usize::from(reply.status != 200);
                }
                failed
            })
        });
        let callers = callers.collect();
        Self { stop, callers }
    }

    /// Stops the callers and returns the number of responses other than 200.
    fn stop(self) -> usize {
        self.stop.store(true, Ordering::Release);
        self.callers.into_iter().map(|c| c.join().unwrap()).sum()
    }
}

fn wall_time() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

fn start_move(fleet: &Fleet) {
    let plan = Plan {
        service: "finder".try_into().unwrap(),
        from: "v1".try_into().unwrap(),
        to: "v2".try_into().unwrap(),
        wall: wall_time(),
        policy: VersionPolicy {
            share: 0.2,
            deadline: Duration::from_secs(40),
            margin: 0.05,
        },
        who: "test".into(),
    };
    let record = Move::try_from(plan).unwrap();
    fleet.platform.create("moves", "finder", &record).unwrap();
}

fn wait_state(fleet: &Fleet, kind: &str, name: &str, state: &str) -> Value {
    let mut last = Value::Null;
    let reached = until(state, STATE_TIMEOUT, || {
        let held = fleet.platform.get(kind, name).ok()??;
        last = serde_json::to_value(&held.value).ok()?;
        (last["state"] == state).then(|| last.clone())
    });
    reached.unwrap_or_else(|_| panic!("not {state}, last {last}"))
}

#[test]
fn a_good_version_takes_over_before_its_deadline() {
    let mut fleet = Fleet::start(2, 2);
    fleet.add_server("finder-new-0", "v2", &[]);
    fleet.add_server("finder-new-1", "v2", &[]);
    start_move(&fleet);
    let load = Load::start(fleet.entries.iter().map(|e| e.callers));
    wait_state(&fleet, "moves", "finder", "done");
    let reply = fleet.entries[0]
        .call(&Request::get("/capsules/1").host(HOST))
        .unwrap();
    assert_eq!(load.stop(), 0);
    let ran: Value = reply.json().unwrap();
    assert_eq!(ran["version"], "v2");
}

#[test]
fn a_version_without_a_move_gets_no_requests() {
    let mut fleet = Fleet::start(2, 2);
    fleet.add_server("finder-new-0", "v2", &[]);
    let listed = Request::get("/status");
    until("the new server", STATE_TIMEOUT, || {
        let known = |entry: &Daemon| {
            call(entry.metrics, &listed).is_ok_and(|r| r.text().contains("finder-new-0"))
        };
        fleet.entries.iter().all(known).then_some(())
    })
    .unwrap();
    let load = Load::start(fleet.entries.iter().map(|e| e.callers));
    let ran = || fleet.servers[0].history().unwrap().len();
    until("requests", STATE_TIMEOUT, || (ran() > 100).then_some(())).unwrap();
    assert_eq!(load.stop(), 0);
    assert!(fleet.servers[2].history().unwrap().is_empty());
}

#[test]
fn a_bad_version_is_withdrawn_after_few_requests() {
    let mut fleet = Fleet::start(2, 2);
    fleet.add_server("finder-new-0", "v2", &[]);
    let fails = Rule {
        fail: 1.0,
        ..Rule::default()
    };
    let faults = Faults {
        rules: vec![fails],
        ..Faults::default()
    };
    fleet.servers[2].set_faults(&faults).unwrap();
    start_move(&fleet);
    let load = Load::start(fleet.entries.iter().map(|e| e.callers));
    wait_state(&fleet, "moves", "finder", "withdrawn");
    let failed = load.stop();
    let received = fleet.servers[2].history().unwrap().len();
    assert!(
        failed <= received && received <= 60,
        "{failed} failed of {received}"
    );
}

#[test]
fn a_drain_completes_and_its_server_gets_no_new_requests() {
    let fleet = Fleet::start(2, 3);
    let load = Load::start(fleet.entries.iter().map(|e| e.callers));
    let scope = DrainScope::Server("finder-0".try_into().unwrap());
    let name = scope.object_name();
    let drain = Drain::new(scope, wall_time(), "test");
    fleet.platform.create("drains", &name, &drain).unwrap();
    wait_state(&fleet, "drains", &name, "drained");
    let before = fleet.servers[0].history().unwrap().len();
    let others = || -> usize {
        fleet.servers[1..]
            .iter()
            .map(|s| s.history().unwrap().len())
            .sum()
    };
    let target = others() + 200;
    until("more requests", STATE_TIMEOUT, || {
        (others() > target).then_some(())
    })
    .unwrap();
    assert_eq!(fleet.servers[0].history().unwrap().len(), before);
    assert_eq!(load.stop(), 0);
}
