//! A test rig of instances that exchange what they know of requests that crash backend servers.

use std::time::Duration;

use corianderway_model::Time;
use corianderway_steer::Event;
use corianderway_steer::Outcome;
use corianderway_steer::Plan;
use corianderway_steer::Reason;
use corianderway_steer::RequestId;
use corianderway_steer::ServerChange;
use corianderway_steer::ServerEntry;

use super::cluster::Cluster;

/// The time of a turn.
pub const TURN: Duration = Duration::from_millis(10);

/// The time until a change is known to all instances.
pub const SPREAD: Duration = Duration::from_secs(5);

/// The platform's limit on the time from the return of the machines to service.
pub const RECOVERY_LIMIT: Duration = Duration::from_secs(15);

/// The platform's limit on the retries of a request that has crashed three servers.
pub const MAX_RETRIES: usize = 3;

/// The time between two requests with one signature at an instance.
pub const ASK_INTERVAL: Duration = Duration::from_millis(100);

/// How long a caller waits, and how long a route does.
const TIME_LIMIT: Duration = Duration::from_millis(1_900);

/// The signature of the request that was in flight at the servers.
pub const SUSPECT: u64 = 99;

pub fn plan() -> Plan {
    super::plan(1, super::routes(), None)
}

/// How a request that was passed on to a server ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Answer,
    Crash,
    Departure,
    TimeOut,
    Refusal,
}

struct InFlight {
    number: usize,
    id: RequestId,
    server: String,
    ends: Time,
}

/// Three instances in each of two failure domains.
pub struct Trial {
    pub cluster: Cluster,
    pub now: Time,
    // The number of servers that started again.
    starts: u64,
    in_flight: Vec<InFlight>,
}

impl Trial {
    pub fn calm() -> Self {
        let now = Time::from_millis(1_000);
        let members = ["a1", "a2", "a3", "b1", "b2", "b3"].map(|name| {
            let domain = if name.starts_with('a') {
                "north-a"
            } else {
                "north-b"
            };
            super::member(&format!("entry-{name}"), "north", domain)
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

    pub fn start_with_common_loss() -> Self {
        let mut trial = Self::calm();
        trial.lose(SUSPECT);
        trial.pass(SPREAD);
        trial
    }

    /// Three instances observe a crash each, one after the other.
    pub fn start_with_spread_crashes() -> Self {
        let mut trial = Self::calm();
        for number in [0, 2, 4] {
            trial.crash(number, SUSPECT);
            trial.pass(SPREAD);
        }
        trial
    }

    /// Sends a request to an instance; returns whether it is refused as quarantined.
    pub fn is_quarantined(&mut self, number: usize) -> bool {
        let rig = &mut self.cluster.rigs[number];
        let mut query = rig.query("/payouts/1", None);
        query.signature = SUSPECT;
        let id = query.id;
        rig.step(Event::Request(query));
        let refusal = rig.refused(id);
        rig.step(Event::CallerGone(id));
        self.cluster.collect(number);
        refusal.is_some_and(|refusal| refusal.reason == Reason::Quarantined)
    }

    /// Three instances observe a crash each, at the same moment.
    pub fn lose(&mut self, signature: u64) {
        for number in [0, 2, 4] {
            self.crash(number, signature);
        }
    }

    pub fn pass(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + TURN;
            self.cluster.turn(self.now);
        }
    }

    /// Sends a request to an instance; returns the server that it is passed on to.
    pub fn ask(&mut self, number: usize, signature: u64) -> (RequestId, Option<String>) {
        self.ask_for(number, signature, "/bids/1")
    }

    pub fn ask_for(
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

    /// Sends a request to an instance; returns whether it was answered.
    pub fn serve(&mut self, number: usize, signature: u64) -> bool {
        let (id, server) = self.ask(number, signature);
        if server.is_some() {
            self.end(number, id, super::answered(200));
        }
        server.is_some()
    }

    /// Sends a request to an instance, which ends after the run time.
    pub fn begin(&mut self, number: usize, signature: u64, span: Duration) -> bool {
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

    /// Ends the requests that are due; returns their number.
    pub fn finish(&mut self, end: End) -> usize {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition::<Vec<_>, _>(|row| row.ends <= now);
        self.in_flight = later;
        for row in &due {
            match end {
                End::Answer => self.end(row.number, row.id, super::answered(200)),
                End::Crash => self.end_with_crash(row.number, row.id, &row.server),
                End::Departure => self.cluster.step(row.number, Event::CallerGone(row.id)),
                End::TimeOut => self.end(row.number, row.id, Outcome::TimedOut),
                End::Refusal => self.end(row.number, row.id, Outcome::Unreachable),
            }
        }
        due.len()
    }

    pub fn end(&mut self, number: usize, id: RequestId, outcome: Outcome) {
        self.cluster.rigs[number].end(id, outcome);
        self.cluster.collect(number);
    }

    pub fn crash(&mut self, number: usize, signature: u64) {
        // It isn't retried.
        let (id, server) = self.ask_for(number, signature, "/payouts/1");
        self.end_with_crash(number, id, &server.expect("a server"));
    }

    pub fn end_with_crash(&mut self, number: usize, id: RequestId, server: &str) {
        self.end(number, id, Outcome::Broken);
        // It is listed again with a later start.
        let is_crashed = |listed: &ServerEntry| listed.backend.id.as_str() == server;
        let listed = super::servers().into_iter().find(is_crashed);
        let mut listed = listed.expect("a listed server");
        self.starts += 1;
        listed.started_ms = 2_000 + self.starts;
        listed.revision = super::first(listed.started_ms);
        for instance in 0..self.cluster.members.len() {
            let change = ServerChange::Put(listed.clone());
            self.cluster.step(instance, Event::Servers(vec![change]));
        }
    }

    /// Asks all instances until each has served a request; the first requests that reach a
    /// server end in another way. Returns how long it took from now on.
    pub fn time_to_service(&mut self, signature: u64, first_ends: Vec<End>) -> Option<Duration> {
        let begun = self.now;
        let mut served = [false; 6];
        self.end_trials(signature, first_ends);
        while served != [true; 6] && self.now.since(begun) < RECOVERY_LIMIT * 4 {
            for (number, served) in served.iter_mut().enumerate() {
                *served |= self.serve(number, signature);
            }
            self.pass(ASK_INTERVAL);
        }
        (served == [true; 6]).then(|| self.now.since(begun))
    }

    /// Asks all instances until requests have ended in each of these ways, one at a time, or
    /// for a minute.
    pub fn end_trials(&mut self, signature: u64, ends: Vec<End>) {
        let begun = self.now;
        let mut ends = ends.into_iter().peekable();
        while let Some(end) = ends.peek() {
            for number in 0..self.cluster.members.len() {
                if self.in_flight.is_empty() {
                    self.begin(number, signature, TIME_LIMIT);
                }
            }
            if self.finish(*end) > 0 {
                ends.next();
            }
            if self.now.since(begun) >= RECOVERY_LIMIT * 4 {
                return;
            }
            self.pass(ASK_INTERVAL);
        }
    }
}
