//! Changes take effect in time although a source of the store's contents went silent.

mod platform_fleet;

use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use corianderway_standins::estate::Endpoint;

use crate::platform_fleet::configuration;
use crate::platform_fleet::read;
use crate::platform_fleet::Fleet;

/// The platform's limit on the time until a change takes effect.
const MAX_CHANGE_DELAY: Duration = Duration::from_millis(2_500);

/// The platform's time after a disturbance in which that limit doesn't hold.
const STABLE_WINDOW: Duration = Duration::from_secs(4);

/// The interval of the changes that re-send the watch of the configuration.
const CHANGE_INTERVAL: Duration = Duration::from_millis(60);

const KEYS: [&str; 2] = ["k1", "k2"];

// Withdraws `k2` with a version, and asserts that each instance refuses it in time.
fn assert_withdrawn_in_time(fleet: &Fleet, version: u64) {
    fleet
        .store
        .put("config", "main", &configuration(version, &["k1"]));
    let changed = Instant::now();
    for instance in &fleet.instances {
        fleet.until("the withdrawal", || {
            (read(instance, "k2")?.status == 401).then_some(())
        });
        assert_eq!(read(instance, "k1").unwrap().status, 200);
    }
    let span = changed.elapsed();
    // Half of the limit or more is worth a look, also if it is no failure.
    if span > MAX_CHANGE_DELAY / 2 {
        println!("withdrawn after {span:?}\n{}", fleet.logs());
    }
    assert!(span < MAX_CHANGE_DELAY, "{span:?}");
}

// Changes the configuration once, and loses the watches of it that are sent afterwards, by
// one instance or by all.
fn lose_configuration_watch(fleet: &Fleet, only: Option<SocketAddr>) {
    fleet.store.set_deaf(&["config"], only);
    let configuration = configuration(2, &KEYS);
    fleet.store.put("config", "main", &configuration);
    thread::sleep(Duration::from_secs(1));
    fleet.store.set_deaf(&[], None);
}

/// Changes the entry of the backend server at short intervals until dropped.
struct ServerChanges {
    ended: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl ServerChanges {
    fn start(fleet: &Fleet) -> Self {
        let ended = Arc::new(AtomicBool::new(false));
        let (stop, store, endpoint) = (
            Arc::clone(&ended),
            fleet.store.clone(),
            fleet.endpoint.clone(),
        );
        let thread = thread::spawn(move || {
            let mut seq = 1;
            while !stop.load(Ordering::Acquire) {
                seq += 1;
                store.put("servers", "i-1", &endpoint.entry("s1", "a", "ready", seq));
                thread::sleep(CHANGE_INTERVAL);
            }
        });
        Self {
            ended,
            thread: Some(thread),
        }
    }
}

impl Drop for ServerChanges {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Release);
        self.thread.take().map(JoinHandle::join);
    }
}

// Guards against withdrawn keys and dropped routes that stay in use: a watch that is sent
// while the store is silent is never answered, also after the store is back.
#[test]
fn a_key_withdrawn_after_the_store_was_silent_is_refused_in_time() {
    let fleet = Fleet::start(3);
    for version in 2..10 {
        let configuration = configuration(version, &KEYS);
        fleet.store.put("config", "main", &configuration);
        thread::sleep(CHANGE_INTERVAL);
    }
    fleet.store.set_silent(true);
    thread::sleep(Duration::from_secs(2));
    fleet.store.set_silent(false);
    thread::sleep(STABLE_WINDOW);
    assert_withdrawn_in_time(&fleet, 10);
}

// Guards against the same when only the watch of one kind is lost, and changes of another
// kind go on.
#[test]
fn a_lost_watch_is_noticed_while_other_kinds_change() {
    let fleet = Fleet::start(3);
    let changes = ServerChanges::start(&fleet);
    lose_configuration_watch(&fleet, None);
    thread::sleep(STABLE_WINDOW);
    assert_withdrawn_in_time(&fleet, 3);
    drop(changes);
}

// Guards against a lost watch that goes unnoticed by a comparison with other instances, since
// one revision stood for all kinds and other kinds changed: the withdrawal was late although
// nothing else was disturbed.
#[test]
fn a_lost_watch_is_noticed_by_what_other_instances_know() {
    let fleet = Fleet::start_in(&["a", "b", "b"]);
    let changes = ServerChanges::start(&fleet);
    lose_configuration_watch(&fleet, Some(fleet.instances[0].site.store));
    assert_withdrawn_in_time(&fleet, 3);
    drop(changes);
}

// Guards against requests to a server that has left, from an instance that nothing has
// disturbed: the loss of the instance whose replica it follows counted as an outage of the
// store, in which entries lapse and return.
#[test]
fn a_server_that_leaves_while_a_neighbor_stands_still_gets_no_requests() {
    for round in 0..2 {
        let mut fleet = Fleet::start(2);
        let leaving = Endpoint::start("i-2");
        fleet
            .store
            .put("servers", "i-2", &leaving.entry("s1", "a", "ready", 1));
        thread::sleep(STABLE_WINDOW);
        fleet.instances[round].process.suspend().unwrap();
        thread::sleep(Duration::from_millis(100));
        fleet.store.remove("servers", "i-2");
        let removed = Instant::now();
        let other = &fleet.instances[1 - round];
        let mut late = Vec::new();
        while removed.elapsed() < MAX_CHANGE_DELAY + STABLE_WINDOW {
            let sent = removed.elapsed();
            let reply = read(other, "k1").expect("an answer");
            if sent > MAX_CHANGE_DELAY && reply.text() == "answer of i-2" {
                late.push(sent);
            }
        }
        fleet.instances[round].process.resume().unwrap();
        assert!(late.is_empty(), "round {round}: {} {late:?}", late.len());
    }
}
