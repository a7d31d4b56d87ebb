//! The fleet's retry budget across restarts of instances, in virtual time.

mod rig;

use std::time::Duration;

use corianderway_model::Time;
use corianderway_steer::Bounds;
use corianderway_steer::Event;
use corianderway_steer::Plan;

use crate::rig::cluster::Cluster;

/// The time of a turn, in which each instance receives one request.
const TURN: Duration = Duration::from_millis(50);

/// The number of instances.
const INSTANCES: usize = 6;

/// The time in which the instances learn each other's state.
const SPREAD: Duration = Duration::from_secs(2);

/// The time between two restarts; both are within one window.
const RESTART_INTERVAL: Duration = Duration::from_secs(4);

fn plan() -> Plan {
    rig::plan(1, rig::routes(), None)
}

struct Trial {
    cluster: Cluster,
    now: Time,
    // Whether the backend servers fail each first attempt.
    fails: bool,
    // The instance and the time of each first attempt and of each retry.
    first: Vec<(usize, Time)>,
    again: Vec<(usize, Time)>,
    // Requests for which no first attempt was sent at once.
    held_up: usize,
}

impl Trial {
    // Starts three instances in each of two failure domains. Their backend servers answer for
    // longer than a window, then fail each first attempt.
    fn start() -> Self {
        let members = ["a1", "a2", "a3", "b1", "b2", "b3"].map(|name| {
            let domain = if name.starts_with('a') {
                "north-a"
            } else {
                "north-b"
            };
            rig::member(&format!("entry-{name}"), "north", domain)
        });
        let now = Time::from_millis(1_000);
        let mut trial = Self {
            cluster: Cluster::start(members.to_vec(), now, plan),
            now,
            fails: false,
            first: Vec::new(),
            again: Vec::new(),
            held_up: 0,
        };
        trial.pass(Bounds::default().retry_window * 2);
        trial.fails = true;
        trial.held_up = 0;
        trial
    }

    fn pass(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + TURN;
            self.cluster.turn(self.now);
            for number in 0..INSTANCES {
                self.ask(number);
            }
        }
    }

    // Sends a request to an instance, whose first attempt fails if the servers do.
    fn ask(&mut self, number: usize) {
        let rig = &mut self.cluster.rigs[number];
        let query = rig.query("/bids/1", None);
        let id = query.id;
        rig.step(Event::Request(query));
        let mut sent = rig.sent(id).is_some();
        self.cluster.collect(number);
        if !sent {
            self.held_up += 1;
            return;
        }
        self.first.push((number, self.now));
        if self.fails {
            let rig = &mut self.cluster.rigs[number];
            rig.end(id, rig::answered(500));
            sent = rig.sent(id).is_some();
            self.cluster.collect(number);
            if sent {
                self.again.push((number, self.now));
            }
        }
        if sent {
            self.cluster.rigs[number].end(id, rig::answered(200));
            self.cluster.collect(number);
        }
    }

    fn restart_all(&mut self) {
        for member in &mut self.cluster.members {
            member.run += 1;
        }
        self.cluster.restart(self.now, plan);
    }

    fn restart(&mut self, numbers: &[usize]) {
        for number in numbers {
            self.cluster.restart_one(*number, self.now, plan());
        }
    }

    // Asserts that the retries of no window exceed what the platform allows.
    fn check(&self) {
        let Bounds {
            retry_ratio,
            retry_window,
            retry_extra,
            ..
        } = Bounds::default();
        let within = |all: &[(usize, Time)], start: Time| {
            let span = start..start + retry_window;
            all.iter().filter(|row| span.contains(&row.1)).count()
        };
        for (_, start) in &self.again {
            let first = within(&self.first, *start);
            let allowed = first as f64 * retry_ratio + retry_extra;
            let again = within(&self.again, *start);
            assert!(
                again as f64 <= allowed,
                "{again} retries for {first} requests from {start:?}"
            );
        }
    }

    // Returns the first attempts and the retries of an instance since a time.
    fn since(&self, number: usize, from: Time) -> (usize, usize) {
        let count = |all: &[(usize, Time)]| {
            let of = all.iter().filter(|row| row.0 == number && row.1 > from);
            of.count()
        };
        (count(&self.first), count(&self.again))
    }
}

// Guards against a start that grants the fleet its budget anew (BUDGET).
#[test]
fn retries_stay_within_the_budget_though_all_instances_restart_repeatedly() {
    let mut trial = Trial::start();
    for _round in 0..3 {
        trial.pass(RESTART_INTERVAL);
        trial.restart_all();
    }
    trial.pass(Bounds::default().retry_window * 2);
    trial.check();
}

// Guards against a budget that only the store's list keeps within bounds (BUDGET).
#[test]
fn retries_stay_within_the_budget_though_the_store_is_away_at_the_restart() {
    let mut trial = Trial::start();
    trial.cluster.without_store = (0..INSTANCES).collect();
    for _round in 0..2 {
        trial.pass(RESTART_INTERVAL);
        trial.restart_all();
    }
    trial.pass(Bounds::default().retry_window * 2);
    trial.check();
}

// Guards against a budget that is kept only if all instances restart (BUDGET).
#[test]
fn retries_stay_within_the_budget_though_some_instances_restart_repeatedly() {
    let mut trial = Trial::start();
    for _round in 0..3 {
        trial.pass(RESTART_INTERVAL / 2);
        trial.restart(&[0, 1, 3, 4]);
    }
    trial.pass(Bounds::default().retry_window * 2);
    trial.check();
}

// Guards against restarts in turn, each of which gets the part of those that have started (BUDGET).
#[test]
fn retries_stay_within_the_budget_though_instances_restart_in_turn() {
    let mut trial = Trial::start();
    trial.pass(RESTART_INTERVAL / 2);
    for number in 0..INSTANCES {
        trial.restart(&[number]);
        trial.pass(RESTART_INTERVAL / 4);
    }
    trial.pass(Bounds::default().retry_window * 2);
    trial.check();
}

// Guards against an instance that retries nothing for a window though it alone has restarted.
#[test]
fn an_instance_that_restarts_alone_retries_as_the_others_do() {
    let mut trial = Trial::start();
    trial.pass(RESTART_INTERVAL);
    trial.restart(&[2]);
    let restarted = trial.now;
    trial.pass(SPREAD);
    let (first, again) = trial.since(2, restarted);
    assert!(again * 10 >= first, "{again} retries for {first} requests");
}

// Guards against first attempts that wait for the retry budget after a restart (RECOVER).
#[test]
fn first_attempts_are_not_held_up_by_a_restart_of_all_instances() {
    let mut trial = Trial::start();
    trial.pass(RESTART_INTERVAL);
    trial.restart_all();
    trial.fails = false;
    trial.held_up = 0;
    trial.pass(Bounds::default().retry_window);
    assert_eq!(trial.held_up, 0, "requests that were not sent at once");
}

// Guards against instances that stay limited after a window has passed since their start.
#[test]
fn a_window_after_a_restart_of_all_instances_retries_are_sent_as_before_it() {
    let mut trial = Trial::start();
    trial.restart_all();
    trial.fails = false;
    trial.pass(Bounds::default().retry_window * 3 / 2);
    trial.fails = true;
    let settled = trial.now;
    trial.pass(RESTART_INTERVAL);
    for number in 0..INSTANCES {
        let (first, again) = trial.since(number, settled);
        assert!(again * 4 >= first, "{again} retries for {first} requests");
    }
}
