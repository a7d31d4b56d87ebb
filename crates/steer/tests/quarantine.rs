//! What instances that start learn of the requests that crash backend servers, in virtual time.

mod rig;

use std::time::Duration;

use corianderway_model::Time;
use corianderway_steer::Event;
use corianderway_steer::Outcome;
use corianderway_steer::Plan;
use corianderway_steer::Reason;
use corianderway_steer::ServerChange;
use corianderway_steer::ServerEntry;

use crate::rig::cluster::Cluster;

/// The time of a turn.
const TURN: Duration = Duration::from_millis(10);

/// The time until a change is known to all instances.
const SPREAD: Duration = Duration::from_secs(5);

/// How long crashes are remembered.
const CRASH_TTL: Duration = Duration::from_mins(10);

/// The signature of the request that crashes servers.
const FATAL: u64 = 99;

fn plan() -> Plan {
    rig::plan(1, rig::routes(), None)
}

struct Trial {
    cluster: Cluster,
    now: Time,
}

impl Trial {
    // Starts three instances in each of two failure domains; three of them observe a crash each.
    fn start() -> Self {
        let now = Time::from_millis(1_000);
        let members = ["a1", "a2", "a3", "b1", "b2", "b3"].map(|name| {
            let domain = if name.starts_with('a') {
                "north-a"
            } else {
                "north-b"
            };
            rig::member(&format!("entry-{name}"), "north", domain)
        });
        let cluster = Cluster::start(members.to_vec(), now, plan);
        let mut trial = Self { cluster, now };
        trial.pass(SPREAD * 2);
        for number in [0, 2, 4] {
            trial.crash(number);
        }
        trial
    }

    fn pass(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + TURN;
            self.cluster.turn(self.now);
        }
    }

    // Sends the fatal request to an instance; returns whether it is refused as quarantined.
    fn is_quarantined(&mut self, number: usize) -> bool {
        let rig = &mut self.cluster.rigs[number];
        let mut query = rig.query("/payouts/1", None);
        query.signature = FATAL;
        let id = query.id;
        rig.step(Event::Request(query));
        let refusal = rig.refused(id);
        rig.step(Event::CallerGone(id));
        self.cluster.collect(number);
        refusal.is_some_and(|refusal| refusal.reason == Reason::Quarantined)
    }

    // Crashes a server with the fatal request, which an instance observes.
    fn crash(&mut self, number: usize) {
        let rig = &mut self.cluster.rigs[number];
        let mut query = rig.query("/payouts/1", None);
        query.signature = FATAL;
        let id = query.id;
        rig.step(Event::Request(query));
        let server = rig.sent(id).expect("a server");
        rig.end(id, Outcome::Broken);
        self.cluster.collect(number);
        // It is listed again with a later start.
        let is_crashed = |listed: &ServerEntry| listed.backend.id.as_str() == server;
        let listed = rig::servers().into_iter().find(is_crashed);
        let mut listed = listed.expect("a listed server");
        listed.started_ms = 2_000 + number as u64;
        listed.revision = rig::first(listed.started_ms);
        for instance in 0..self.cluster.members.len() {
            let change = ServerChange::Put(listed.clone());
            self.cluster.step(instance, Event::Servers(vec![change]));
        }
        self.pass(SPREAD);
    }
}

// Guards against a request that crashes more servers after restarts: each instance passed on
// only the crashes that it had observed itself, so that its restart took them from all (BUDGET).
#[test]
fn a_quarantine_outlives_the_restarts_of_all_instances_in_turn() {
    let mut trial = Trial::start();
    for _round in 0..2 {
        for number in 0..trial.cluster.members.len() {
            assert!(
                trial.is_quarantined(number),
                "before the restart of {number}"
            );
            trial.cluster.restart_one(number, trial.now, plan());
            trial.pass(SPREAD);
            assert!(
                trial.is_quarantined(number),
                "after the restart of {number}"
            );
        }
    }
}

// Guards against crashes that are never forgotten since instances tell each other of them.
#[test]
fn a_quarantine_ends_though_instances_restart() {
    let mut trial = Trial::start();
    let begun = trial.now;
    let mut number = 0;
    while trial.now.since(begun) < CRASH_TTL + SPREAD {
        trial.cluster.restart_one(number, trial.now, plan());
        trial.pass(Duration::from_secs(30));
        number = (number + 1) % trial.cluster.members.len();
    }
    for number in 0..trial.cluster.members.len() {
        assert!(!trial.is_quarantined(number), "instance {number}");
    }
}
