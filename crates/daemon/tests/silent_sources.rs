//! Changes take effect in time although a source of the store's contents went silent.

mod platform_fleet;

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

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
    assert!(span < MAX_CHANGE_DELAY, "{span:?}");
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
    let ended = AtomicBool::new(false);
    thread::scope(|scope| {
        scope.spawn(|| {
            let mut seq = 1;
            while !ended.load(Ordering::Acquire) {
                seq += 1;
                let entry = fleet.endpoint.entry("s1", "a", "ready", seq);
                fleet.store.put("servers", "i-1", &entry);
                thread::sleep(CHANGE_INTERVAL);
            }
        });
        fleet.store.set_deaf(&["config"]);
        let configuration = configuration(2, &KEYS);
        fleet.store.put("config", "main", &configuration);
        thread::sleep(Duration::from_secs(1));
        fleet.store.set_deaf(&[]);
        thread::sleep(STABLE_WINDOW);
        let withdrawn = std::panic::AssertUnwindSafe(|| assert_withdrawn_in_time(&fleet, 3));
        let result = std::panic::catch_unwind(withdrawn);
        ended.store(true, Ordering::Release);
        if let Err(panic) = result {
            std::panic::resume_unwind(panic);
        }
    });
}
