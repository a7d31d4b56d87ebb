//! Tests of version moves: shares, proof, faults, and reports to the store.

mod rig;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use corianderway_model::Time;
use corianderway_steer::Action;
use corianderway_steer::Event;
use corianderway_steer::Message;
use corianderway_steer::MoveReport;
use corianderway_steer::Outcome;
use corianderway_steer::Progress;
use corianderway_steer::Revisions;
use corianderway_steer::ServerChange;
use corianderway_steer::ServerEntry;
use corianderway_steer::Summary;

use crate::rig::answered;
use crate::rig::Rig;

/// The time from the order to its deadline.
const ORDER_SPAN: Duration = Duration::from_secs(14);

/// The behavior of the target.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Target {
    Good,
    /// Fails half of its requests, from this long after the order on.
    FailsFrom(Duration),
    /// Fails half of its requests while it receives more than a few per second.
    FailsUnderLoad,
}

struct MoveResult {
    completed: Option<Duration>,
    rolled_back: Option<Duration>,
    to_target: u32,
    requests: u32,
    after_rollback: u32,
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

// Records the reports of progress in the store, and announces the changed
// orders.
fn apply_reports(rig: &mut Rig, done: &[Action]) {
    let reports = done.iter().filter_map(|action| match action {
        Action::RecordProgress {
            order, progress, ..
        } => Some((order, *progress)),
        _ => None,
    });
    for (order, progress) in reports {
        let mut order = order.clone();
        order.progress = Some(progress);
        order.revision = order.revision.next();
        rig.step(Event::Orders(vec![order]));
    }
}

// Sends `rate` requests per second until the deadline of a move.
fn simulate(target: Target, rate: u64) -> MoveResult {
    let mut rig = Rig::new();
    let put = targets().into_iter().map(ServerChange::Put).collect();
    rig.step(Event::Servers(put));
    rig.step(Event::Orders(vec![rig::order("bids", "v2", ORDER_SPAN)]));
    let started = rig.now;
    let mut result = MoveResult {
        completed: None,
        rolled_back: None,
        to_target: 0,
        requests: 0,
        after_rollback: 0,
    };
    let mut recent_requests = 0.0_f64;
    for index in 0..ORDER_SPAN.as_secs() * rate {
        let id = rig.request("/bids/1", Some(index % 7));
        let age = rig.now.since(started);
        recent_requests *= 1.0 - 2.0 / rate as f64;
        if let Some(server) = rig.sent(id) {
            result.requests += 1;
            let mut outcome = answered(200);
            if server.starts_with("new-") {
                result.to_target += 1;
                result.after_rollback += u32::from(result.rolled_back.is_some());
                recent_requests += 1.0;
                let fails = match target {
                    Target::Good => false,
                    Target::FailsFrom(from) => age >= from && index % 2 == 0,
                    Target::FailsUnderLoad => recent_requests > rate as f64 / 8.0,
                };
                if fails {
                    outcome = Outcome::Answered {
                        status: 500,
                        load: None,
                    };
                }
            }
            rig.end(id, outcome);
            // A retry of a failed request succeeds.
            rig.end(id, answered(200));
        }
        for action in rig.pass(Duration::from_millis(1_000 / rate)) {
            if let Action::RecordProgress { progress, .. } = action {
                let age = rig.now.since(started);
                match progress {
                    Progress::Running => (),
                    Progress::Completed => result.completed = result.completed.or(Some(age)),
                    Progress::RolledBack => result.rolled_back = result.rolled_back.or(Some(age)),
                }
            }
        }
    }
    result
}

// Guards against a move without a leader: instances didn't learn at the start
// that they reached the store.
#[test]
fn a_good_version_takes_over_before_its_deadline() {
    let result = simulate(Target::Good, 40);
    assert_eq!(result.rolled_back, None);
    assert!(result.completed.is_some_and(|at| at < ORDER_SPAN));
}

#[test]
fn a_bad_version_is_rolled_back_after_few_requests() {
    // Guards against too many requests to a target that fails under load. A
    // search found 248 requests where 245 are allowed, with the fault of the
    // last two rows: `deploy/days/many-versions.toml --vary --seed
    // 108000093381`. A single instance detects the fault sooner than ten that
    // share the requests, so these rows passed at that time as well.
    let table = [
        (Target::FailsFrom(Duration::ZERO), 40),
        (Target::FailsFrom(Duration::from_secs(3)), 40),
        (Target::FailsUnderLoad, 40),
        (Target::FailsUnderLoad, 140),
    ];
    for (target, rate) in table {
        let result = simulate(target, rate);
        assert_eq!(result.completed, None, "{target:?}");
        assert!(result.rolled_back.is_some(), "{target:?}");
        // The platform's bound: a tenth of all requests, plus 50.
        let max_exposed = f64::from(result.requests) * 0.1 + 50.0;
        assert!(f64::from(result.to_target) <= max_exposed, "{target:?}");
        assert_eq!(result.after_rollback, 0, "{target:?}");
    }
}

// Guards against the rollback of a good version when the servers of a failure
// domain die while the target receives all requests, as seen in `trazo-central`
// `scale-2`.
#[test]
fn the_loss_of_a_failure_domain_does_not_roll_back_a_version() {
    let mut rig = Rig::new();
    let put = targets().into_iter().map(ServerChange::Put).collect();
    rig.step(Event::Servers(put));
    rig.step(Event::Orders(vec![rig::order("bids", "v2", ORDER_SPAN)]));
    let changed_to = |done: &[Action], to: &str| {
        let is_change = |a: &Action| {
            let Action::Log(note) = a else { return false };
            note.event == "move" && note.fields.iter().any(|p| *p == ("to", to.to_owned()))
        };
        done.iter().any(is_change)
    };
    let (mut full, mut broken_by_server) = (false, BTreeMap::new());
    for index in 0..ORDER_SPAN.as_secs() * 40 {
        let id = rig.request("/bids/1", Some(index % 11));
        if let Some(server) = rig.sent(id) {
            let mut outcome = answered(200);
            if full && server.starts_with("new-") && server.contains("north-b") {
                // The requests that were running there break; later connections
                // are refused.
                let broken = broken_by_server.entry(server).or_insert(0);
                *broken += 1;
                outcome = if *broken <= 3 {
                    Outcome::Broken
                } else {
                    Outcome::Unreachable
                };
            }
            rig.end(id, outcome);
            rig.end(id, answered(200));
        }
        let done = rig.pass(Duration::from_millis(25));
        apply_reports(&mut rig, &done);
        full |= changed_to(&done, "full");
        assert!(!changed_to(&done, "rolled-back"), "at {index}");
        if changed_to(&done, "completed") {
            assert!(full && broken_by_server.len() == 2, "{broken_by_server:?}");
            return;
        }
    }
    panic!("the target did not take over");
}

#[test]
fn a_version_without_an_order_receives_no_requests_at_first() {
    let mut rig = Rig::new();
    let put = targets().into_iter().map(ServerChange::Put).collect();
    rig.step(Event::Servers(put));
    for object in 0..50 {
        let id = rig.request("/bids/1", Some(object));
        if let Some(server) = rig.sent(id) {
            assert!(!server.starts_with("new-"));
            rig.end(id, answered(200));
        }
    }
}

// Guards against missed deadlines of good versions after a restart of the
// leader during the move: the age of an order couldn't exceed the age of the
// process.
#[test]
fn an_instance_that_starts_during_a_move_learns_its_age() {
    let mut rig = Rig::new();
    let order = rig::order("bids", "v2", ORDER_SPAN);
    let identity = order.identity();
    rig.step(Event::Orders(vec![order]));
    let age = Duration::from_mins(1);
    assert!(rig.now.since(Time::ZERO) < age);
    let report = MoveReport {
        service: "bids".try_into().unwrap(),
        order: identity,
        age_ms: age.as_millis() as u64,
        phase: 0,
        target: Vec::new(),
        base: Vec::new(),
        old_inflight: 0,
        exposed: 0,
        sent: 0,
        target_times: Vec::new(),
        base_times: Vec::new(),
    };
    let summary = Summary {
        from: "entry-9".try_into().unwrap(),
        run: 1,
        sequence: 1,
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
    rig.step(Event::Message(Message::Summary(Arc::new(summary))));
    let logged_ms = rig
        .pass(Duration::from_secs(2))
        .into_iter()
        .find_map(|done| {
            let Action::Log(note) = done else { return None };
            let age = note.fields.iter().find(|pair| pair.0 == "age_ms")?;
            Some(age.1.parse::<u64>().unwrap())
        });
    assert!(
        logged_ms.is_some_and(|logged| u128::from(logged) >= age.as_millis()),
        "{logged_ms:?}"
    );
}
