//! The fault matrix of a request: each fault in each state of its chart.

mod rig;

use std::collections::BTreeSet;
use std::time::Duration;

use corianderway_chart::Definition;
use corianderway_node::Action;
use corianderway_node::AttemptOutcome;
use corianderway_node::Event;
use corianderway_node::PollResult;
use corianderway_node::RequestId;
use corianderway_node::REQUEST_CHART;
use serde::Deserialize;

use crate::rig::token;
use crate::rig::token_made_at;
use crate::rig::Checks;
use crate::rig::Observed;
use crate::rig::Platform;
use crate::rig::Rig;

/// The faults of the matrix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Fault {
    Refused,
    Cut,
    Shed,
    TimedOut,
    CallerLeft,
    PlatformLost,
    DeadlinePassed,
    StopPlanned,
    ServersGone,
}

const FAULTS: [Fault; 9] = [
    Fault::Refused,
    Fault::Cut,
    Fault::Shed,
    Fault::TimedOut,
    Fault::CallerLeft,
    Fault::PlatformLost,
    Fault::DeadlinePassed,
    Fault::StopPlanned,
    Fault::ServersGone,
];

/// One cell: the state of the request, the fault and the result for the caller.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Cell {
    state: String,
    #[serde(default)]
    claimed: bool,
    fault: Fault,
    /// `code/ran`, `sent-again`, `served`, `nothing` or `not-run: why`.
    told: String,
}

/// Creates a rig with a request in the given state of the chart.
fn rig_in_state(state: &str, claimed: bool) -> (Rig, RequestId) {
    let (rate, slots) = match state {
        "waiting" => (1.0, 8),
        "queued" => (100.0, 1),
        _ => (100.0, 8),
    };
    let mut rig = Rig::start(rate, slots, 2);
    let token = token();
    if state == "waiting" {
        rig.send("GET", "/find/0", None);
    }
    if state == "queued" {
        fill(&mut rig);
    }
    if state == "claiming" {
        rig.platform = Platform::Silent;
    }
    let id = if claimed {
        rig.send("POST", "/move/1", Some(&token))
    } else {
        rig.send("GET", "/find/1", None)
    };
    if state == "answering" {
        answer(&mut rig, id);
    }
    if state == "checking" {
        rig.checks = Checks::Silent;
        rig.end(id, AttemptOutcome::Broken);
    }
    (rig, id)
}

// Occupies every slot that this instance may use.
fn fill(rig: &mut Rig) {
    for at in 0..64 {
        let id = rig.send("GET", &format!("/find/fill-{at}"), None);
        if rig.observed(id).is_empty() {
            return;
        }
    }
    panic!("the slots were never exhausted");
}

fn answer(rig: &mut Rig, id: RequestId) {
    let took = Duration::from_millis(5);
    rig.end(id, AttemptOutcome::Answered { status: 200, took });
}

fn inject(rig: &mut Rig, id: RequestId, fault: Fault) {
    match fault {
        Fault::Refused => rig.end(id, AttemptOutcome::Unreachable),
        Fault::Cut => rig.end(id, AttemptOutcome::Broken),
        Fault::Shed => rig.end(id, AttemptOutcome::Shed),
        Fault::TimedOut => rig.end(id, AttemptOutcome::TimedOut),
        Fault::CallerLeft => rig.step(Event::RequestEnded {
            id,
            complete: false,
            answer: None,
        }),
        Fault::PlatformLost => {
            rig.platform = Platform::Lost;
            rig.run(Duration::from_secs(5));
        }
        Fault::DeadlinePassed => rig.run(Duration::from_secs(5)),
        Fault::StopPlanned => rig.step(Event::Stop),
        Fault::ServersGone => {
            rig.list(8, 0);
            rig.run(Duration::from_millis(200));
        }
    }
}

// The result for the caller after the fault, as written in the table.
fn outcome(rig: &Rig, id: RequestId, before: usize) -> String {
    let observed = rig.observed(id);
    match observed[before..].last() {
        Some(Observed::Refused(code, ran)) => format!("{code}/{ran}"),
        Some(Observed::Sent) => "sent-again".to_owned(),
        Some(Observed::Replayed) => "served".to_owned(),
        None => "nothing".to_owned(),
    }
}

#[test]
fn every_fault_in_every_state_has_the_result_in_the_table() {
    let cells: Vec<Cell> = serde_yaml_ng::from_str(include_str!("matrix.yaml")).unwrap();
    let mut mismatches = Vec::new();
    for cell in &cells {
        if cell.told.starts_with("not-run: ") {
            continue;
        }
        let (mut rig, id) = rig_in_state(&cell.state, cell.claimed);
        let before = rig.observed(id).len();
        inject(&mut rig, id, cell.fault);
        let result = outcome(&rig, id, before);
        if result != cell.told {
            mismatches.push(format!(
                "{} claimed={} {:?}: got {result}, expected {}",
                cell.state, cell.claimed, cell.fault, cell.told
            ));
        }
    }
    assert!(mismatches.is_empty(), "{}", mismatches.join("\n"));
}

// Guards against a wrong "not run": a request whose connection broke was retried, then
// refused for lack of region capacity, and reported as not run.
#[test]
fn a_broken_request_refused_for_capacity_is_not_reported_as_not_run() {
    let mut rig = Rig::with_capacity(100.0, 2.0, 8, 2);
    let id = rig.send("GET", "/brief/1", None);
    assert_eq!(rig.observed(id), [Observed::Sent]);
    rig.end(id, AttemptOutcome::Broken);
    rig.run(Duration::from_secs(2));
    let refused = Observed::Refused("region-full", "may-have-run");
    assert_eq!(rig.observed(id), [Observed::Sent, refused]);
}

// Guards against a claim that is released although its request runs: an earlier attempt had
// been rejected, and the caller left during the next one.
#[test]
fn a_claim_is_not_released_while_a_later_attempt_may_run() {
    let mut rig = Rig::start(100.0, 8, 2);
    let token = token();
    let first = rig.send("POST", "/move/1", Some(&token));
    rig.end(first, AttemptOutcome::Shed);
    assert_eq!(rig.observed(first), [Observed::Sent, Observed::Sent]);
    inject(&mut rig, first, Fault::CallerLeft);
    let again = rig.send("POST", "/move/1", Some(&token));
    rig.run(Duration::from_secs(5));
    let refused = Observed::Refused("repeated", "may-have-run");
    assert_eq!(rig.observed(again), [refused]);
}

// Guards against a request without an end: it was forwarded to a server that the latest list
// lacks, which the node still uses until more lists lack it.
#[test]
fn a_request_to_a_server_that_the_latest_list_lacks_is_sent() {
    let mut rig = Rig::start(100.0, 8, 1);
    rig.list(8, 0);
    let id = rig.send("GET", "/find/1", None);
    assert_eq!(rig.observed(id), [Observed::Sent]);
}

// Guards against a step without an end at the very moment after which a claimed request is
// not sent: the claim passed it on, and the request gave it back.
#[test]
fn a_claimed_request_without_a_server_is_refused_when_its_time_is_over() {
    let mut rig = Rig::start(100.0, 8, 1);
    for _ in 0..10 {
        rig.list(8, 0);
        rig.run(Duration::from_secs(1));
    }
    let id = rig.send("POST", "/move/1", Some(&token()));
    rig.run(Duration::from_secs(5));
    let refused = Observed::Refused("no-server", "not-run");
    assert_eq!(rig.observed(id), [refused]);
}

// Guards against a caller without an answer: its claim said that the request may have run
// while the attempt was still in flight, and nothing more after its end.
#[test]
fn a_claimed_attempt_that_ends_after_its_deadline_is_refused_as_may_have_run() {
    let mut rig = Rig::start(100.0, 8, 2);
    let id = rig.send("POST", "/move/1", Some(&token()));
    rig.run(Duration::from_secs(5));
    assert_eq!(rig.observed(id), [Observed::Sent]);
    rig.end(id, AttemptOutcome::TimedOut);
    let refused = Observed::Refused("repeated", "may-have-run");
    assert_eq!(rig.observed(id), [Observed::Sent, refused]);
}

// Guards against a wrong "not run": a repeat was refused before its claim was looked up, and
// an earlier sending under the same idempotency key had run.
#[test]
fn a_repeat_refused_before_its_claim_is_known_is_not_reported_as_not_run() {
    let mut rig = Rig::start(1.0, 8, 2);
    let first = rig.send("POST", "/move/1", Some(&token()));
    rig.end(first, AttemptOutcome::Broken);
    let again = rig.send("POST", "/move/1", Some(&token()));
    rig.run(Duration::from_millis(600));
    let refused = Observed::Refused("rate-exceeded", "not-started");
    assert_eq!(rig.observed(again), [refused]);
}

// Guards against a wrong "not run" under a key so old that its claim may have been removed.
#[test]
fn a_request_under_an_old_key_is_not_reported_as_not_run() {
    let mut rig = Rig::start(100.0, 8, 2);
    let old = rig.send("POST", "/move/1", Some(&token_made_at(0, 1)));
    let refused = Observed::Refused("token-unusable", "not-started");
    assert_eq!(rig.observed(old), [refused]);
    let malformed = rig.send("POST", "/move/1", Some("move-1"));
    let refused = Observed::Refused("token-unusable", "not-run");
    assert_eq!(rig.observed(malformed), [refused]);
}

// Guards against a retry while nobody knows whether the request crashed its server: a poll
// that began before the crash got the first of its two answers.
#[test]
fn a_poll_that_the_crash_cut_off_does_not_end_the_check() {
    let (mut rig, id) = rig_in_state("checking", false);
    let Some(Action::Probe { server, .. }) = rig.sent.last().cloned() else {
        panic!("no check");
    };
    let mut report = PollResult {
        server,
        reached: true,
        healthy: Some(true),
        draining: false,
        load: None,
    };
    rig.step(Event::ServerPolled(report.clone()));
    assert_eq!(rig.observed(id), [Observed::Sent]);
    report.load = Some(0);
    rig.step(Event::ServerPolled(report));
    assert_eq!(rig.observed(id), [Observed::Sent, Observed::Sent]);
}

// Guards against a wrong "not run" of a request that is quarantined after its crashes.
#[test]
fn a_request_that_crashed_servers_is_not_refused_as_not_run() {
    let mut rig = Rig::start(100.0, 8, 4);
    rig.checks = Checks::Silent;
    let id = rig.send("GET", "/find/1", None);
    for _ in 0..2 {
        rig.end(id, AttemptOutcome::Broken);
        let Some(Action::Probe { server, .. }) = rig.sent.last().cloned() else {
            panic!("no check");
        };
        rig.step(Event::ServerPolled(PollResult {
            server,
            reached: false,
            healthy: None,
            draining: false,
            load: None,
        }));
        rig.run(Duration::from_secs(1));
    }
    let refused = Observed::Refused("server-broke", "may-have-run");
    assert_eq!(rig.observed(id), [Observed::Sent, Observed::Sent, refused]);
}

#[test]
fn every_state_has_a_cell_for_every_fault() {
    let cells: Vec<Cell> = serde_yaml_ng::from_str(include_str!("matrix.yaml")).unwrap();
    let chart = Definition::parse(REQUEST_CHART).unwrap();
    let known: BTreeSet<_> = cells.iter().map(|c| (c.state.as_str(), c.fault)).collect();
    for (state, node) in &chart.states {
        for fault in FAULTS.iter().filter(|_| !node.terminal) {
            let listed = known.contains(&(state.as_str(), *fault));
            assert!(listed, "no cell for {fault:?} at {state}");
        }
    }
}
