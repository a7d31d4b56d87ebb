//! Concurrent callers under injected faults. After each run, the history of all calls
//! and runs is checked for violations.

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

use corianderway_standins::backend::AnswerFault;
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
use corianderway_standins::platform::Faults;
use corianderway_standins::platform::Outage;
use serde::Deserialize;
use serde_json::Value;

use crate::support::finder_contract;
use crate::support::idempotency_key;
use crate::support::Fleet;
use crate::support::HOST;

/// How long the callers run under each fault.
const FAULT_DURATION: Duration = Duration::from_secs(3);

/// Rate and burst of the contract, in requests per second and requests.
const RATE: f64 = 200.0;
const BURST: f64 = 100.0;

/// The faults in `history.yaml`.
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
struct FaultPair {
    first: Fault,
    second: Fault,
}

fn wall_time() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_nanos() as u64
}

/// The requests that a caller sends until it is stopped.
#[derive(Clone, Copy, Debug)]
enum Workload {
    /// Requests that may run again, always to the same instance.
    Plain,
    /// Non-idempotent requests, each sent twice, to different instances.
    Once,
}

fn caller(
    workload: Workload,
    number: usize,
    addrs: Vec<SocketAddr>,
    key: String,
    stop: Arc<AtomicBool>,
) -> JoinHandle<Vec<Call>> {
    thread::spawn(move || {
        let mut calls = Vec::new();
        for round in 0.. {
            if stop.load(Ordering::Acquire) {
                break;
            }
            let id = format!("{workload:?}-{number}-{round}");
            match workload {
                Workload::Plain => {
                    let plain = Request::get("/dates/1").host(HOST).key(&key);
                    calls.push(send(addrs[number % addrs.len()], plain, id, None));
                }
                Workload::Once => {
                    let token = idempotency_key();
                    for sending in 0..2 {
                        let addr = addrs[(number + round + sending) % addrs.len()];
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
    let sent = wall_time();
    let reply = call(addr, &request.header("x-request-id", &name));
    Call {
        request: name,
        account: "finder".into(),
        once: key.is_some(),
        key,
        sent,
        done: wall_time(),
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

fn inject(fleet: &mut Fleet, fault: Fault) {
    let platform = |faults: Faults| fleet.platform.set_faults(&faults).unwrap();
    match fault {
        Fault::None => (),
        Fault::EntryKilled => fleet.entries[0].process.kill().unwrap(),
        Fault::EntryFrozen => fleet.entries[1].process.suspend().unwrap(),
        Fault::EntryStopped => fleet.entries[2].process.terminate().unwrap(),
        Fault::ServerKilled => fleet.servers[0].process.kill().unwrap(),
        Fault::ServerFrozen => fleet.servers[1].process.suspend().unwrap(),
        Fault::AnswersCut => {
            let faults = ServerFaults {
                cut: AnswerFault::Within,
                ..ServerFaults::default()
            };
            fleet.servers[2].set_faults(&faults).unwrap();
        }
        Fault::PlatformDown => platform(Faults {
            down: Outage::Refuse,
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

fn clear_faults(fleet: &mut Fleet) {
    // Fails for a process that has ended, which needs no thaw.
    drop(fleet.entries[1].process.resume());
    drop(fleet.servers[1].process.resume());
    fleet.platform.set_faults(&Faults::default()).unwrap();
}

// Runs the callers under one pair of faults and returns the violations in the
// history. `replay` is the replay policy of the non-idempotent route.
fn run(pair: &FaultPair, replay: &str) -> Vec<String> {
    let mut fleet = Fleet::start(3, 4);
    let stored = fleet.platform.get("contracts", "finder").unwrap().unwrap();
    let mut contract = finder_contract(RATE, BURST);
    contract["routes"][2]["replay"] = replay.into();
    fleet
        .platform
        .update("contracts", "finder", stored.version, &contract)
        .unwrap();
    let (_, key) = fleet.create_key("finder");
    let probe = Request::get("/dates/1").host(HOST).key(&key);
    let addrs: Vec<_> = fleet.entries.iter().map(|e| e.callers).collect();
    for entry in 0..3 {
        fleet.wait_status(entry, &probe, 200);
    }
    let started = wall_time();
    let stop = Arc::new(AtomicBool::new(false));
    let workloads = [Workload::Plain, Workload::Once];
    let callers: Vec<_> = workloads
        .into_iter()
        .flat_map(|workload| (0..6).map(move |number| (workload, number)))
        .map(|(workload, number)| {
            let stop = Arc::clone(&stop);
            caller(workload, number, addrs.clone(), key.clone(), stop)
        })
        .collect();
    for fault in [pair.first, pair.second] {
        inject(&mut fleet, fault);
        let end = Instant::now() + FAULT_DURATION;
        thread::sleep(end.saturating_duration_since(Instant::now()));
    }
    clear_faults(&mut fleet);
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
    runs.retain(|run| run.start >= started);
    let limit = Limit {
        account: "finder".into(),
        rate: RATE,
        burst: BURST,
    };
    let history = History {
        calls,
        runs,
        limits: vec![limit],
        // A frozen backend server starts the requests sent to it once it thaws.
        slack_ms: 2 * FAULT_DURATION.as_millis() as u64,
    };
    let mut wrong: Vec<String> = check(&history).iter().map(|v| format!("{v:?}")).collect();
    if answered < 100 {
        wrong.push(format!("only {answered} answers"));
    }
    wrong
}

#[test]
fn histories_under_pairs_of_faults_have_no_violations() {
    let pairs: Vec<FaultPair> = serde_yaml_ng::from_str(include_str!("history.yaml")).unwrap();
    let runs: Vec<_> = pairs
        .into_iter()
        .map(|pair| thread::spawn(move || (run(&pair, "once"), pair)))
        .collect();
    let mut wrong = Vec::new();
    for run in runs {
        let (found, pair) = run.join().unwrap();
        wrong.extend(found.into_iter().take(5).map(|v| format!("{pair:?}: {v}")));
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

#[test]
fn without_claims_the_checker_finds_repeated_runs() {
    let pair = FaultPair {
        first: Fault::None,
        second: Fault::None,
    };
    let wrong = run(&pair, "idempotent");
    assert!(wrong.iter().any(|v| v.starts_with("RanAgain")), "{wrong:?}");
}
