//! Tests of what proves a target sound before it receives more than a bad version may.

mod rig;

use std::sync::Arc;
use std::time::Duration;

use corianderway_model::Replay;
use corianderway_steer::Action;
use corianderway_steer::Event;
use corianderway_steer::Message;
use corianderway_steer::MoveReport;
use corianderway_steer::RequestId;
use corianderway_steer::Revisions;
use corianderway_steer::ServerChange;
use corianderway_steer::ServerEntry;
use corianderway_steer::ServerTimes;
use corianderway_steer::Summary;
use corianderway_steer::Tally;
use serde_json::json;

use crate::rig::answered;
use crate::rig::Rig;

/// The time from the recorded order to its deadline.
const ORDER_SPAN: Duration = Duration::from_millis(8_800);

/// The time from the recorded order to the decision on it.
const DECISION_AGE: Duration = Duration::from_millis(7_100);

/// The interval between two summaries of a domain.
const SUMMARY_INTERVAL: Duration = Duration::from_millis(500);

/// The number of requests that are open at a time.
const OPEN_REQUESTS: u64 = 4;

/// The answers of one version at the decision.
#[derive(Clone, Copy)]
struct Answers {
    total: u32,
    timed: u32,
    slow: u32,
    servers: u32,
}

impl Answers {
    // Returns the answers until a fraction of the time to the decision.
    fn until(self, fraction: f64) -> Self {
        let part = |count: u32| (f64::from(count) * fraction) as u32;
        Self {
            total: part(self.total),
            timed: part(self.timed),
            slow: part(self.slow),
            servers: self.servers,
        }
    }

    fn tallies(self) -> Vec<Tally> {
        vec![Tally {
            route: 1,
            answers: self.total,
            failed: 0,
            timed: self.timed,
            slow: self.slow,
        }]
    }

    // Returns the times by server, with each server's part of the requests.
    fn times(self, first_server: u32) -> Vec<ServerTimes> {
        let part =
            |count: u32, at: u32| count / self.servers + u32::from(at < count % self.servers);
        let rows = (0..self.servers).map(|at| {
            let row = json!([first_server + at, part(self.timed, at), part(self.slow, at)]);
            serde_json::from_value(row).expect("a row")
        });
        rows.collect()
    }
}

fn targets() -> Vec<ServerEntry> {
    let mut targets = rig::servers();
    targets.retain(|listed| listed.backend.service.as_str() == "bids");
    for listed in &mut targets {
        let name = format!("new-{}", listed.backend.id);
        listed.backend.id = name.as_str().try_into().unwrap();
        listed.backend.version = "v2".try_into().unwrap();
    }
    targets
}

fn summary(sequence: u64, report: MoveReport) -> Event {
    let summary = Summary {
        from: "entry-9".try_into().unwrap(),
        run: 1,
        sequence,
        domain: "south-a".try_into().unwrap(),
        partial: false,
        instances: Vec::new(),
        legacy_revision: 0,
        changed: Revisions::default(),
        rate: 0.0,
        demands: Vec::new(),
        workloads: Vec::new(),
        moves: vec![report],
        crashes: Vec::new(),
        known_crashes: Vec::new(),
    };
    Event::Message(Message::Summary(Arc::new(summary)))
}

// Returns the phases that a move passes if another domain reports these answers until the
// decision, and none afterwards.
fn phases_of(target: Answers, old: Answers) -> Vec<String> {
    let mut rig = Rig::new();
    let put = targets().into_iter().map(ServerChange::Put).collect();
    rig.step(Event::Servers(put));
    let order = rig::order("bids", "v2", ORDER_SPAN);
    let identity = order.identity();
    rig.step(Event::Orders(vec![order]));
    let started = rig.now;
    let mut phases = Vec::new();
    for sequence in 1.. {
        let age = rig.now.since(started);
        if age >= ORDER_SPAN {
            break;
        }
        let fraction = (age.as_secs_f64() / DECISION_AGE.as_secs_f64()).min(1.0);
        let (target, old) = (target.until(fraction), old.until(fraction));
        let report = MoveReport {
            service: "bids".try_into().unwrap(),
            order: identity,
            age_ms: age.as_millis() as u64,
            phase: 0,
            target: target.tallies(),
            base: old.tallies(),
            old_inflight: 0,
            exposed: target.total,
            sent: target.total + old.total,
            target_times: target.times(1_000),
            base_times: old.times(2_000),
        };
        rig.step(summary(sequence, report));
        for action in rig.pass(SUMMARY_INTERVAL) {
            let Action::Log(note) = action else { continue };
            let to = note.fields.iter().find(|row| row.0 == "to");
            phases.extend(to.filter(|_| note.event == "move").map(|row| row.1.clone()));
        }
    }
    phases
}

// The evidence of a day on which a version four times as slow took over and got 1,288 of 6,282
// requests, 678 allowed: of 85 answers nine could be compared, and one of these was slow.
#[test]
fn nine_timed_answers_do_not_prove_a_version() {
    let target = Answers {
        total: 85,
        timed: 9,
        slow: 1,
        servers: 9,
    };
    let old = Answers {
        total: 4_391,
        timed: 2_952,
        slow: 70,
        servers: 120,
    };
    assert_eq!(phases_of(target, old), ["rolled-back"]);
}

// The counterpart: as many timed answers as a sound version has, and one of them slow.
#[test]
fn forty_timed_answers_prove_a_version() {
    let target = Answers {
        total: 85,
        timed: 40,
        slow: 1,
        servers: 20,
    };
    let old = Answers {
        total: 4_391,
        timed: 2_952,
        slow: 70,
        servers: 120,
    };
    assert_eq!(
        phases_of(target, old).first().map(String::as_str),
        Some("full")
    );
}

// Guards against a canary of requests whose times can't be compared: those on a route with few
// requests, which name no object, used to take the target's share before any other.
#[test]
fn a_route_with_few_requests_does_not_use_up_the_share() {
    let mut rig = Rig::new();
    let mut rare = rig::route("rare", "/rare/", "bids", Replay::Idempotent);
    rare.sticky = false;
    let routes = rig::routes().into_iter().chain([rare]).collect();
    rig.step(Event::Plan(Arc::new(rig::plan(2, routes, None))));
    let mut sent = (0, 0);
    let mut open: Vec<(u64, RequestId)> = Vec::new();
    let mut ordered = false;
    for index in 0..2_400_u64 {
        if !ordered && index == 400 {
            ordered = true;
            let put = targets().into_iter().map(ServerChange::Put).collect();
            rig.step(Event::Servers(put));
            let order = rig::order("bids", "v2", Duration::from_secs(40));
            rig.step(Event::Orders(vec![order]));
        }
        let is_rare = index % 100 == 50;
        let id = if is_rare {
            rig.request("/rare/1", None)
        } else {
            rig.request("/bids/1", Some(index % 97))
        };
        if let Some(server) = rig.sent(id) {
            let to_target = u32::from(server.starts_with("new-"));
            sent.0 += to_target * u32::from(is_rare);
            sent.1 += to_target;
            open.push((index, id));
        }
        let due = open.iter().take_while(|row| row.0 + OPEN_REQUESTS <= index);
        let due = due.count();
        for (_, id) in open.drain(..due) {
            rig.end(id, answered(200));
        }
        rig.pass(Duration::from_millis(12));
    }
    let (rare, all) = sent;
    assert!(all >= 24, "{all} requests to the target");
    // A hundredth of all requests are rare.
    assert!(
        rare * 10 <= all,
        "{rare} of {all} requests are on the rare route"
    );
}
