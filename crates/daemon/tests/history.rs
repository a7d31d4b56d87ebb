//! Concurrent callers under faults; the whole history is checked after the run.

mod support;

use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use corianderway_standins::backend::Cut;
use corianderway_standins::backend::Faults as ServerFaults;
use corianderway_standins::checker::check;
use corianderway_standins::checker::Call;
use corianderway_standins::checker::End;
use corianderway_standins::checker::History;
use corianderway_standins::checker::Limit;
use corianderway_standins::checker::Ran;
use corianderway_standins::harness::call;
use corianderway_standins::harness::Reply;
use corianderway_standins::harness::Request;
use corianderway_standins::platform::Down;
use corianderway_standins::platform::Faults;
use serde::Deserialize;
use serde_json::Value;

use crate::support::finder;
use crate::support::token;
use crate::support::Fleet;
use crate::support::HOST;

/// How long the callers go on under each fault.
const SPAN: Duration = Duration::from_secs(3);

/// Rate and burst of the contract, in requests a second and requests.
const RATE: f64 = 200.0;
const BURST: f64 = 100.0;

/// Faults of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Fault {
    None,
    EntryKilled,
    EntryFrozen,
    EntryStopped,
    ServerKilled,
    ServerFrozen,
    AnswersCut,
    PlatformDown,
    PlatformSlow,
    PlatformLosesAnswers,
    ListLags,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Row {
    first: Fault,
    second: Fault,
}

fn wall() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_nanos() as u64
}

/// What one caller sends until it is stopped.
#[derive(Clone, Copy, Debug)]
enum Habit {
    /// Requests that may run again, always to the same instance.
    Plain,
    /// Non-idempotent requests, each sent twice, to different instances.
    Once,
}

fn caller(
    habit: Habit,
    number: usize,
    addrs: Vec<SocketAddr>,
    key: String,
    stop: Arc<AtomicBool>,
) -> JoinHandle<Vec<Call>> {
    thread::spawn(move || {
        let mut calls = Vec::new();
        for turn in 0.. {
            if stop.load(Ordering::Acquire) {
                break;
            }
            let id = format!("{habit:?}-{number}-{turn}");
            match habit {
                Habit::Plain => {
                    let plain = Request::get("/dates/1").host(HOST).key(&key);
                    calls.push(send(addrs[number % addrs.len()], plain, id, None));
                }
                Habit::Once => {
                    let token = token();
                    for sending in 0..2 {
                        let addr = addrs[(number + turn + sending) % addrs.len()];
                        let once = Request::post("/transfers/1").host(HOST).key(&key);
                        let once = once.header("idempotency-key", &token).body(id.clone());
                        let once = once.header("x-deadline-ms", 1_000);
                        let name = format!("{id}-{sending}");
                        calls.push(send(addr, once, name, Some(token.clone())));
                    }
                }
            }
        }
        calls
    })
}

fn send(addr: SocketAddr, request: Request, name: String, key: Option<String>) -> Call {
    let sent = wall();
    let reply = call(addr, &request.header("x-request-id", &name));
    Call {
        request: name,
        account: "finder".into(),
        once: key.is_some(),
        key,
        sent,
        done: wall(),
        end: reply.map_or(End::Lost, |reply| end(&reply)),
    }
}

fn end(reply: &Reply) -> End {
    let body: Value = reply.json().unwrap_or_default();
    match (body["code"].as_str(), body["ran"].as_str()) {
        (Some(code), Some(ran)) => End::Refused {
            code: code.to_owned(),
            ran: if ran == "not-run" {
                Ran::No
            } else {
                Ran::Maybe
            },
        },
        _ => End::Answered {
            status: reply.status,
            echoed: None,
            whole: true,
        },
    }
}

fn strike(fleet: &mut Fleet, fault: Fault) {
    let platform = |faults: Faults| fleet.platform.set_faults(&faults).unwrap();
    match fault {
        Fault::None => (),
        Fault::EntryKilled => fleet.entries[0].process.kill().unwrap(),
        Fault::EntryFrozen => fleet.entries[1].process.freeze().unwrap(),
        Fault::EntryStopped => fleet.entries[2].process.terminate().unwrap(),
        Fault::ServerKilled => fleet.servers[0].process.kill().unwrap(),
        Fault::ServerFrozen => fleet.servers[1].process.freeze().unwrap(),
        Fault::AnswersCut => {
            let faults = ServerFaults {
                cut: Cut::Within,
                ..ServerFaults::default()
            };
            fleet.servers[2].set_faults(&faults).unwrap();
        }
        Fault::PlatformDown => platform(Faults {
            down: Down::Refuse,
            ..Faults::default()
        }),
        Fault::PlatformSlow => platform(Faults {
            slow_ms: 400,
            ..Faults::default()
        }),
        Fault::PlatformLosesAnswers => platform(Faults {
            lose_answers: 50,
            ..Faults::default()
        }),
        Fault::ListLags => platform(Faults {
            list_lag_ms: 2_000,
            ..Faults::default()
        }),
    }
}

fn heal(fleet: &mut Fleet) {
    // A process that ended can't be thawed, and need not be.
    drop(fleet.entries[1].process.thaw());
    drop(fleet.servers[1].process.thaw());
    fleet.platform.set_faults(&Faults::default()).unwrap();
}

// Runs one row of the table and returns what is wrong with its history;
// `replay` is how the contract marks the non-idempotent route.
fn run(row: &Row, replay: &str) -> Vec<String> {
    let mut fleet = Fleet::start(3, 4);
    let stored = fleet.platform.get("contracts", "finder").unwrap().unwrap();
    let mut contract = finder(RATE, BURST);
    contract["routes"][2]["replay"] = replay.into();
    fleet
        .platform
        .update("contracts", "finder", stored.version, &contract)
        .unwrap();
    let (_, key) = fleet.grant("finder");
    let probe = Request::get("/dates/1").host(HOST).key(&key);
    let addrs: Vec<_> = fleet.entries.iter().map(|e| e.callers).collect();
    for entry in 0..3 {
        fleet.wait_status(entry, &probe, 200);
    }
    let began = wall();
    let stop = Arc::new(AtomicBool::new(false));
    let habits = [Habit::Plain, Habit::Once];
    let callers: Vec<_> = habits
        .into_iter()
        .flat_map(|habit| (0..6).map(move |number| (habit, number)))
        .map(|(habit, number)| {
            let stop = Arc::clone(&stop);
            caller(habit, number, addrs.clone(), key.clone(), stop)
        })
        .collect();
    for fault in [row.first, row.second] {
        strike(&mut fleet, fault);
        let end = Instant::now() + SPAN;
        thread::sleep(end.saturating_duration_since(Instant::now()));
    }
    heal(&mut fleet);
    stop.store(true, Ordering::Release);
    let calls: Vec<Call> = callers
        .into_iter()
        .flat_map(|c| c.join().unwrap())
        .collect();
    let answered = calls
        .iter()
        .filter(|c| matches!(c.end, End::Answered { status: 200, .. }));
    let answered = answered.count();
    let mut runs = fleet.runs();
    runs.retain(|run| run.start >= began);
    let limit = Limit {
        account: "finder".into(),
        rate: RATE,
        burst: BURST,
    };
    let history = History {
        calls,
        runs,
        limits: vec![limit],
        // A frozen backend server starts what it was sent once it thaws.
        slack_ms: 2 * SPAN.as_millis() as u64,
    };
    let mut wrong: Vec<String> = check(&history).iter().map(|v| format!("{v:?}")).collect();
    if answered < 100 {
        wrong.push(format!("only {answered} answers"));
    }
    wrong
}

#[test]
fn histories_under_pairs_of_faults_hold_no_violation() {
    let rows: Vec<Row> = serde_yaml_ng::from_str(include_str!("history.yaml")).unwrap();
    let runs: Vec<_> = rows
        .into_iter()
        .map(|row| thread::spawn(move || (run(&row, "once"), row)))
        .collect();
    let mut wrong = Vec::new();
    for run in runs {
        let (found, row) = run.join().unwrap();
        wrong.extend(found.into_iter().take(5).map(|v| format!("{row:?}: {v}")));
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

#[test]
fn without_claims_the_check_finds_repeated_runs() {
    let row = Row {
        first: Fault::None,
        second: Fault::None,
    };
    let wrong = run(&row, "idempotent");
    assert!(wrong.iter().any(|v| v.starts_with("RanAgain")), "{wrong:?}");
}
