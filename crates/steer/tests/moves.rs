//! Tests of version moves: shares, proof, faults, and reports to the store.

mod rig;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use corianderway_model::Replay;
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

/// The time between the entries of servers that start again together.
const RESTART_SPREAD: Duration = Duration::from_millis(500);

/// The number of crashes of its servers that suffice to find a version bad.
const MAX_CRASHES: u32 = 10;

/// The time after which a request without an answer ends.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// The behavior of the target.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Target {
    Good,
    /// Fails half of its requests, from this long after the order on.
    FailsFrom(Duration),
    /// Fails half of its requests while it receives more than a few per second.
    FailsUnderLoad,
}

/// What becomes of the requests that the servers were running at a power loss.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Loss {
    /// Their connections break before the later starts are listed.
    BrokenAtOnce,
    /// Their connections break after the later starts are listed.
    BrokenLate,
    /// They end without an answer at their deadlines.
    Silent,
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

// Returns the event that lists these servers.
fn put(listed: &[ServerEntry]) -> Event {
    let put = listed.iter().cloned().map(ServerChange::Put);
    Event::Servers(put.collect())
}

// Returns the entry of a later start of a server.
fn later_start(listed: &ServerEntry) -> ServerEntry {
    let mut later = listed.clone();
    later.started_ms += 1;
    later.revision = later.revision.next();
    later
}

// Returns the change of phase that follows after all servers have failed the requests that they
// were running during a takeover. If they have restarted, later starts are listed under the same
// names, those of the target first.
fn end_of_move_after(loss: Loss, have_restarted: bool) -> String {
    let mut rig = Rig::new();
    let mut route = rig::route("bids", "/bids/", "bids", Replay::Idempotent);
    route.timeout = Some(REQUEST_TIMEOUT);
    rig.step(Event::Plan(Arc::new(rig::plan(2, vec![route], None))));
    rig.step(put(&targets()));
    rig.step(Event::Orders(vec![rig::order("bids", "v2", ORDER_SPAN)]));
    let later: Vec<_> = targets().iter().map(later_start).collect();
    let later_old: Vec<_> = rig::servers().iter().map(later_start).collect();
    let mut lost = None;
    for index in 0..ORDER_SPAN.as_secs() * 40 {
        let id = rig.request("/bids/1", Some(index % 11));
        if rig.sent(id).is_some() {
            rig.end(id, answered(200));
        }
        let done = rig.pass(Duration::from_millis(25));
        apply_reports(&mut rig, &done);
        let change = phase_in(&done);
        match lost {
            None if change.as_deref() == Some("full") => {
                lost = Some(rig.now);
                let running = (0..12).map(|object| rig.request("/bids/1", Some(object)));
                let running: Vec<_> = running.collect();
                if loss == Loss::BrokenLate && have_restarted {
                    rig.step(put(&later));
                }
                for id in running.iter().filter(|_| loss != Loss::Silent) {
                    rig.end(*id, Outcome::Broken);
                    rig.step(Event::CallerGone(*id));
                }
                if loss != Loss::BrokenLate && have_restarted {
                    rig.step(put(&later));
                }
            }
            Some(_) if change.is_some() => return change.unwrap_or_default(),
            Some(lost) if have_restarted && rig.now.since(lost) >= RESTART_SPREAD => {
                rig.step(put(&later_old));
            }
            None | Some(_) => (),
        }
    }
    panic!("the target did not take over");
}

// Returns the phase that a move has entered, if any.
fn phase_in(done: &[Action]) -> Option<String> {
    done.iter().find_map(|action| match action {
        Action::Log(note) if note.event == "move" => {
            let to = note.fields.iter().find(|row| row.0 == "to");
            to.map(|row| row.1.clone())
        }
        _ => None,
    })
}

// Guards against the rollback of a good version when its servers lose power with requests in
// flight and start again at once under the same names: the answers of the later starts used to
// count as signs that the earlier ones were alive (RECOVER).
#[test]
fn servers_that_start_again_at_once_do_not_roll_back_a_version() {
    let losses = [Loss::BrokenAtOnce, Loss::BrokenLate, Loss::Silent];
    let ends = losses.map(|loss| end_of_move_after(loss, true));
    assert_eq!(ends, ["finished", "finished", "finished"]);
}

// Guards against a version that crashes its servers and is taken for one whose servers lost
// power, since they start again at once.
#[test]
fn a_version_that_crashes_its_servers_is_rolled_back() {
    for (every, restart_ms) in [(2, 50), (2, 200), (5, 50), (5, 200), (10, 50), (10, 200)] {
        let (exposed, bad, phases) = crash_servers(every, Duration::from_millis(restart_ms));
        let case = format!("{every}, {restart_ms} ms: {bad} of {exposed} broke, {phases:?}");
        assert_eq!(
            phases.last().map(String::as_str),
            Some("rolled-back"),
            "{case}"
        );
        assert!(bad <= MAX_CRASHES, "{case}");
    }
}

// Moves to a version that crashes its server at one of `every` requests; a later start is listed
// after `restart`. Returns the requests that the target got, those that broke, and the phases.
fn crash_servers(every: u32, restart: Duration) -> (u32, u32, Vec<String>) {
    let mut rig = Rig::new();
    let mut targets = targets();
    rig.step(put(&targets));
    rig.step(Event::Orders(vec![rig::order("bids", "v2", ORDER_SPAN)]));
    let (mut exposed, mut bad, mut phases) = (0, 0, Vec::new());
    let mut down: Vec<(Time, usize)> = Vec::new();
    for index in 0..ORDER_SPAN.as_secs() * 40 {
        let now = rig.now;
        let back = down.iter().filter(|row| row.0 <= now);
        let back: Vec<usize> = back.map(|row| row.1).collect();
        down.retain(|row| row.0 > now);
        for at in back {
            targets[at] = later_start(&targets[at]);
            rig.step(put(&targets[at..=at]));
        }
        let id = rig.request("/bids/1", Some(index % 7));
        if let Some(server) = rig.sent(id) {
            let mut names = targets.iter().map(|listed| listed.backend.id.as_str());
            let target = names.position(|name| name == server);
            exposed += u32::from(target.is_some());
            match target {
                Some(at) if exposed.is_multiple_of(every) => {
                    bad += 1;
                    down.push((now + restart, at));
                    rig.end(id, Outcome::Broken);
                }
                Some(_) | None => (),
            }
            rig.end(id, answered(200));
        }
        let done = rig.pass(Duration::from_millis(25));
        phases.extend(phase_in(&done));
    }
    (exposed, bad, phases)
}

// The counterpart: a version fails requests, and the same starts of its servers answer others.
#[test]
fn servers_that_fail_requests_and_live_on_roll_back_a_version() {
    let losses = [Loss::BrokenAtOnce, Loss::BrokenLate, Loss::Silent];
    let ends = losses.map(|loss| end_of_move_after(loss, false));
    assert_eq!(ends, ["rolled-back", "rolled-back", "rolled-back"]);
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
