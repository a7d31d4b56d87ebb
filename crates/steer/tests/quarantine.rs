//! What instances that start learn of the requests that crash backend servers, in virtual time.

mod rig;

use std::time::Duration;

use corianderway_model::Time;
use corianderway_steer::Event;
use corianderway_steer::Outcome;
use corianderway_steer::Plan;
use corianderway_steer::Reason;
use corianderway_steer::RequestId;
use corianderway_steer::ServerChange;
use corianderway_steer::ServerEntry;

use crate::rig::cluster::Cluster;

/// The time of a turn.
const TURN: Duration = Duration::from_millis(10);

/// The time until a change is known to all instances.
const SPREAD: Duration = Duration::from_secs(5);

/// How long crashes are remembered.
const CRASH_TTL: Duration = Duration::from_mins(10);

/// The platform's limit on the time from the return of the machines to service.
const RECOVERY_LIMIT: Duration = Duration::from_secs(15);

/// The platform's limit on the retries of a request that has crashed three servers.
const MAX_RETRIES: usize = 3;

/// A span that ends before the first crashes are forgotten.
const TRIALS_SPAN: Duration = Duration::from_mins(9);

/// The signature of the request that crashes servers.
const FATAL: u64 = 99;

fn plan() -> Plan {
    rig::plan(1, rig::routes(), None)
}

struct Trial {
    cluster: Cluster,
    now: Time,
    // The number of servers that started again.
    starts: u64,
}

impl Trial {
    // Starts three instances in each of two failure domains; three of them observe a crash each,
    // one after the other.
    fn start() -> Self {
        let mut trial = Self::calm();
        for number in [0, 2, 4] {
            trial.crash(number);
            trial.pass(SPREAD);
        }
        trial
    }

    // Starts the same instances; three of them observe a crash each, at the same moment.
    fn start_with_common_loss() -> Self {
        let mut trial = Self::calm();
        for number in [0, 2, 4] {
            trial.crash(number);
        }
        trial.pass(SPREAD);
        trial
    }

    fn calm() -> Self {
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
        let mut trial = Self {
            cluster,
            now,
            starts: 0,
        };
        trial.pass(SPREAD * 2);
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

    // Sends the fatal request to an instance; returns the server that it is passed on to.
    fn ask(&mut self, number: usize) -> (RequestId, Option<String>) {
        let rig = &mut self.cluster.rigs[number];
        let mut query = rig.query("/payouts/1", None);
        query.signature = FATAL;
        let id = query.id;
        rig.step(Event::Request(query));
        let server = rig.sent(id);
        self.cluster.collect(number);
        (id, server)
    }

    // Crashes a server with the fatal request, which an instance observes.
    fn crash(&mut self, number: usize) {
        let (id, server) = self.ask(number);
        self.end_with_crash(number, id, &server.expect("a server"));
    }

    fn end_with_crash(&mut self, number: usize, id: RequestId, server: &str) {
        self.cluster.rigs[number].end(id, Outcome::Broken);
        self.cluster.collect(number);
        // It is listed again with a later start.
        let is_crashed = |listed: &ServerEntry| listed.backend.id.as_str() == server;
        let listed = rig::servers().into_iter().find(is_crashed);
        let mut listed = listed.expect("a listed server");
        self.starts += 1;
        listed.started_ms = 2_000 + self.starts;
        listed.revision = rig::first(listed.started_ms);
        for instance in 0..self.cluster.members.len() {
            let change = ServerChange::Put(listed.clone());
            self.cluster.step(instance, Event::Servers(vec![change]));
        }
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

// Guards against a request that is rejected for ten minutes since it was in flight at servers
// that were lost together (RECOVER).
#[test]
fn requests_in_flight_at_a_common_loss_are_served_again_by_all_instances() {
    let mut trial = Trial::start_with_common_loss();
    let lost = trial.now;
    let mut served = [false; 6];
    while served != [true; 6] {
        let age = trial.now.since(lost);
        assert!(age < RECOVERY_LIMIT, "served after {age:?}: {served:?}");
        for (number, served) in served.iter_mut().enumerate() {
            let (id, server) = trial.ask(number);
            *served = server.is_some();
            if server.is_some() {
                trial.cluster.rigs[number].end(id, rig::answered(200));
                trial.cluster.collect(number);
            }
        }
        trial.pass(TURN * 10);
    }
}

// Guards against trials without end of a request that does crash servers (BUDGET).
#[test]
fn a_request_whose_trials_crash_servers_reaches_few_more() {
    let mut trial = Trial::start_with_common_loss();
    let begun = trial.now;
    let mut retries = 0;
    while trial.now.since(begun) < TRIALS_SPAN {
        for number in 0..trial.cluster.members.len() {
            let (id, server) = trial.ask(number);
            if let Some(server) = server {
                retries += 1;
                trial.end_with_crash(number, id, &server);
            }
        }
        trial.pass(Duration::from_millis(500));
    }
    assert!((1..=MAX_RETRIES).contains(&retries), "{retries} retries");
}
