//! Service after instances and backend servers were lost together, with more that is wrong at
//! their return.

mod platform_callers;
mod platform_fleet;

use std::thread;
use std::time::Duration;
use std::time::Instant;

use corianderway_standins::estate::Crashing;
use corianderway_standins::harness::Link;
use corianderway_standins::harness::Proxy;

use crate::platform_callers::beside_each;
use crate::platform_fleet::Fleet;
use crate::platform_fleet::DOWNTIME;
use crate::platform_fleet::MIN_SERVED;
use crate::platform_fleet::MIN_SERVED_SHARE;
use crate::platform_fleet::RECOVERY_LIMIT;

/// How long the store rejects calls once the instances are back.
const LIMITED_TIME: Duration = Duration::from_secs(3);

/// How long an answer of a slow store is under way; the list of servers takes three answers.
const ANSWER_DELAY: Duration = Duration::from_millis(200);

/// The same where answers take longer than checks of the store wait for theirs.
const LONG_ANSWER_DELAY: Duration = Duration::from_millis(400);

/// The span over which requests are counted.
const SPAN: Duration = Duration::from_secs(1);

const KINDS: [&str; 5] = ["config", "servers", "rollouts", "evacuations", "instances"];

// Guards against instances that keep a cached list that they read at their start, or give up while
// the store rejects their first calls (RECOVER).
#[test]
fn callers_are_served_though_first_lists_are_old_and_the_store_limits_calls() {
    let mut fleet = Fleet::start_in(&["a", "a", "b"]);
    fleet.store.remove("servers", "i-1");
    let servers: Vec<_> = (0..4).map(|_| Crashing::start("/none", DOWNTIME)).collect();
    let id = |start: u64| move |number: usize| format!("start-{start}-{number}");
    fleet.list_started(&servers, 0, id(0));
    let instances = fleet.caller_addrs();
    beside_each(&instances, |counts| {
        let (calm, _) = counts.during(SPAN);
        assert!(calm > MIN_SERVED, "{calm} requests served before");
        for instance in &mut fleet.instances {
            instance.process.kill().unwrap();
        }
        fleet.store.freeze_cached(&KINDS);
        for (number, server) in servers.iter().enumerate() {
            server.crash();
            fleet.store.remove("servers", &id(0)(number));
        }
        fleet.store.set_limited(true);
        thread::sleep(DOWNTIME);
        fleet.list_started(&servers, 1, id(1));
        for number in 0..instances.len() {
            fleet.restart(number);
        }
        let returned = Instant::now();
        thread::sleep(LIMITED_TIME);
        fleet.store.set_limited(false);
        loop {
            let (served, asked) = counts.during(SPAN);
            if served as f64 >= MIN_SERVED_SHARE * asked as f64 {
                break;
            }
            assert!(
                returned.elapsed() < RECOVERY_LIMIT,
                "{served} of {asked} requests served\n{}",
                fleet.logs()
            );
        }
    });
}

// Starts some of two instances, in two failure domains, again, and asserts that they are soon
// ready although each answer of their store is delayed. The list of servers takes three.
// The store rejects calls for a time at first.
fn assert_ready_soon(numbers: &[usize], delay: Duration, limited: Duration) {
    let mut fleet = Fleet::start_in(&["a", "b"]);
    for number in 2..=7 {
        let listed = fleet.endpoint.entry("s1", "a", "ready", 1);
        let id = format!("i-{number}");
        fleet.store.put("servers", &id, &listed);
    }
    let mut proxies = Vec::new();
    for number in numbers {
        let instance = &mut fleet.instances[*number];
        instance.process.kill().unwrap();
        let proxy = Proxy::start(instance.site.store).unwrap();
        proxy.set_link(Link::slow(delay));
        instance.site.store = proxy.addr;
        proxies.push(proxy);
    }
    fleet.store.set_limited(!limited.is_zero());
    for number in numbers {
        fleet.restart(*number);
    }
    let returned = Instant::now();
    thread::sleep(limited);
    fleet.store.set_limited(false);
    for number in numbers {
        let instance = &fleet.instances[*number];
        fleet.until("readiness", || instance.is_ready().then_some(()));
    }
    let span = returned.elapsed();
    let most = RECOVERY_LIMIT / 2 + limited;
    assert!(span < most, "{span:?}\n{}", fleet.logs());
}

// Guards against lists of a slow store that begin anew before they end, each time that other
// instances tell of something that isn't listed yet (RECOVER).
#[test]
fn an_instance_with_a_slow_store_is_ready_though_others_know_more() {
    assert_ready_soon(&[1], ANSWER_DELAY, Duration::ZERO);
}

// Guards against a slow store that counts as lost by its checks while its lists are answered
// (RECOVER).
#[test]
fn instances_that_return_together_to_a_slow_store_are_ready() {
    assert_ready_soon(&[0, 1], LONG_ANSWER_DELAY, Duration::ZERO);
}

// Guards against probes of a slow store that never end in time, so that an instance whose first
// calls failed doesn't follow it again (RECOVER).
#[test]
fn instances_whose_first_calls_a_slow_store_rejected_are_ready() {
    assert_ready_soon(&[0, 1], LONG_ANSWER_DELAY, LIMITED_TIME);
}
