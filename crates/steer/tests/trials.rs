//! When quarantined requests are tried again, in virtual time.

mod rig;

use std::time::Duration;

use corianderway_model::Time;
use corianderway_steer::Event;
use corianderway_steer::Outcome;
use corianderway_steer::Plan;
use corianderway_steer::RequestId;
use corianderway_steer::ServerChange;
use corianderway_steer::ServerEntry;

use crate::rig::cluster::Cluster;

/// The time of a turn.
const TURN: Duration = Duration::from_millis(10);

/// The time until a change is known to all instances.
const SPREAD: Duration = Duration::from_secs(5);

/// The platform's limit on the time from the return of the machines to service.
const RECOVERY_LIMIT: Duration = Duration::from_secs(15);

/// The platform's limit on the retries of a request that has crashed three servers.
const MAX_RETRIES: usize = 3;

/// The time between two requests with one signature at an instance.
const ASK_INTERVAL: Duration = Duration::from_millis(100);

/// How long a request runs before it crashes its server, or is answered.
const RUN_TIME: Duration = Duration::from_secs(1);

/// How long a caller waits, and how long a route does.
const TIME_LIMIT: Duration = Duration::from_millis(1_900);

/// The signature of the request that was in flight at the servers.
const SUSPECT: u64 = 99;

fn plan() -> Plan {
    rig::plan(1, rig::routes(), None)
}

/// How a request that reached a server ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Answer,
    Crash,
    Departure,
    TimeOut,
}

struct InFlight {
    number: usize,
    id: RequestId,
    server: String,
    ends: Time,
}

struct Trial {
    cluster: Cluster,
    now: Time,
    // The number of servers that started again.
    starts: u64,
    in_flight: Vec<InFlight>,
}

impl Trial {
    // Starts three instances in each of two failure domains.
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
            in_flight: Vec::new(),
        };
        trial.pass(SPREAD * 2);
        trial
    }

    fn start_with_common_loss() -> Self {
        let mut trial = Self::calm();
        trial.lose(SUSPECT);
        trial.pass(SPREAD);
        trial
    }

    // Three instances observe a crash each, at the same moment.
    fn lose(&mut self, signature: u64) {
        for number in [0, 2, 4] {
            self.crash(number, signature);
        }
    }

    fn pass(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + TURN;
            self.cluster.turn(self.now);
        }
    }

    // Sends a request to an instance; returns the server that it is passed on to.
    fn ask(&mut self, number: usize, signature: u64) -> (RequestId, Option<String>) {
        self.ask_for(number, signature, "/bids/1")
    }

    fn ask_for(
        &mut self,
        number: usize,
        signature: u64,
        path: &str,
    ) -> (RequestId, Option<String>) {
        let rig = &mut self.cluster.rigs[number];
        let mut query = rig.query(path, None);
        query.signature = signature;
        let id = query.id;
        rig.step(Event::Request(query));
        let server = rig.sent(id);
        self.cluster.collect(number);
        (id, server)
    }

    // Sends a request to an instance; returns whether it was answered.
    fn serve(&mut self, number: usize, signature: u64) -> bool {
        let (id, server) = self.ask(number, signature);
        if server.is_some() {
            self.end(number, id, rig::answered(200));
        }
        server.is_some()
    }

    // Sends a request to an instance, which ends after the run time.
    fn begin(&mut self, number: usize, signature: u64, span: Duration) -> bool {
        let (id, server) = self.ask(number, signature);
        let ends = self.now + span;
        let is_sent = server.is_some();
        self.in_flight.extend(server.map(|server| InFlight {
            number,
            id,
            server,
            ends,
        }));
        is_sent
    }

    // Ends the requests that are due; returns their number.
    fn finish(&mut self, end: End) -> usize {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition::<Vec<_>, _>(|row| row.ends <= now);
        self.in_flight = later;
        for row in &due {
            match end {
                End::Answer => self.end(row.number, row.id, rig::answered(200)),
                End::Crash => self.end_with_crash(row.number, row.id, &row.server),
                End::Departure => self.cluster.step(row.number, Event::CallerGone(row.id)),
                End::TimeOut => self.end(row.number, row.id, Outcome::TimedOut),
            }
        }
        due.len()
    }

    fn end(&mut self, number: usize, id: RequestId, outcome: Outcome) {
        self.cluster.rigs[number].end(id, outcome);
        self.cluster.collect(number);
    }

    fn crash(&mut self, number: usize, signature: u64) {
        // It isn't retried.
        let (id, server) = self.ask_for(number, signature, "/payouts/1");
        self.end_with_crash(number, id, &server.expect("a server"));
    }

    fn end_with_crash(&mut self, number: usize, id: RequestId, server: &str) {
        self.end(number, id, Outcome::Broken);
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

    // Asks all instances until each has served a request; the first requests that reach a
    // server end in another way. Returns how long it took from now on.
    fn time_to_service(&mut self, signature: u64, mut first_ends: Vec<End>) -> Option<Duration> {
        let lost = self.now;
        let mut served = [false; 6];
        while self.now.since(lost) < RECOVERY_LIMIT * 4 {
            for (number, served) in served.iter_mut().enumerate() {
                if first_ends.is_empty() {
                    *served |= self.serve(number, signature);
                } else if self.in_flight.is_empty() {
                    self.begin(number, signature, TIME_LIMIT);
                }
            }
            let end = first_ends.first().copied().unwrap_or(End::Answer);
            if self.finish(end) > 0 {
                first_ends.remove(0);
            }
            if served == [true; 6] {
                return Some(self.now.since(lost));
            }
            self.pass(ASK_INTERVAL);
        }
        None
    }
}

// Guards against trials at all instances at once: none knew of the others' trials until a
// server had crashed (BUDGET).
#[test]
fn a_request_that_runs_before_it_crashes_servers_reaches_few_more() {
    let mut trial = Trial::start_with_common_loss();
    let begun = trial.now;
    let mut retries = 0;
    while trial.now.since(begun) < RECOVERY_LIMIT * 4 {
        for number in 0..trial.cluster.members.len() {
            retries += usize::from(trial.begin(number, SUSPECT, RUN_TIME));
        }
        trial.finish(End::Crash);
        trial.pass(ASK_INTERVAL);
    }
    assert!((1..=MAX_RETRIES).contains(&retries), "{retries} retries");
}

// Guards against a quarantine that goes on since the caller of the trial left (RECOVER).
#[test]
fn a_caller_that_leaves_during_its_trial_delays_service_little() {
    let mut trial = Trial::start_with_common_loss();
    let took = trial.time_to_service(SUSPECT, vec![End::Departure]);
    assert!(
        took.is_some_and(|took| took + SPREAD < RECOVERY_LIMIT),
        "{took:?}"
    );
}

// Guards against a quarantine that goes on since trials met a server that didn't answer
// (RECOVER).
#[test]
fn trials_that_time_out_delay_service_little() {
    let mut trial = Trial::start_with_common_loss();
    let took = trial.time_to_service(SUSPECT, vec![End::TimeOut, End::TimeOut]);
    assert!(took.is_some(), "not served within a minute");
}

// Guards against a request that is never quarantined, since it was often answered before it
// began to crash servers (BUDGET).
#[test]
fn a_request_that_was_often_answered_is_quarantined_once_it_crashes_servers() {
    let mut trial = Trial::calm();
    for _ in 0..200 {
        for number in 0..6 {
            trial.serve(number, SUSPECT);
        }
        trial.pass(ASK_INTERVAL);
    }
    trial.pass(SPREAD * 2);
    let mut crashes = 0;
    for round in 0..20 {
        let number = round % 6;
        let (id, server) = trial.ask_for(number, SUSPECT, "/payouts/1");
        if let Some(server) = server {
            crashes += 1;
            trial.end_with_crash(number, id, &server);
        }
        trial.pass(SPREAD);
    }
    // Three before the quarantine.
    assert!(crashes <= 3 + MAX_RETRIES, "{crashes} crashes");
}

// Guards against crashes that are reported without their age, and so after the answers that
// cleared them, while more signatures are suspected than a message tells of (RECOVER).
#[test]
fn many_requests_stay_served_after_a_common_loss() {
    let mut trial = Trial::calm();
    let signatures = 100..124;
    for signature in signatures.clone() {
        trial.lose(signature);
    }
    trial.pass(RECOVERY_LIMIT);
    // Callers of some instances ask for each of them; the other instances serve none.
    let mut refused = 0;
    let begun = trial.now;
    while trial.now.since(begun) < RECOVERY_LIMIT * 2 {
        let age = trial.now.since(begun);
        for signature in signatures.clone() {
            for number in [1, 3] {
                let is_served = trial.serve(number, signature);
                refused += usize::from(!is_served && age > SPREAD);
            }
        }
        trial.pass(SPREAD + RUN_TIME);
    }
    assert_eq!(refused, 0, "requests refused after they were served");
}
