//! The operator's command against the platform stand-in, both as processes.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use corianderway_model::Backend;
use corianderway_model::Presence;
use corianderway_standins::harness::until;
use corianderway_standins::harness::Platform;
use corianderway_standins::platform::Down;
use corianderway_standins::platform::Faults;
use serde_json::json;
use serde_json::Value;

const DONE: i32 = 0;
const FAILED: i32 = 1;
const USAGE: i32 = 2;
const CONFLICT: i32 = 3;
const UNREACHABLE: i32 = 4;
const TIMEOUT: i32 = 5;

const CONTRACT: &str = "
account: finder
hosts: [finder.lakeshore.example]
rate: 200
burst: 400
routes:
  - { name: find, path: /capsules/, methods: [GET], service: finder }
regions:
  - { name: north, capacity: 400, shift: 40 }
versions: { share: 0.1, deadline: 10m, margin: 0.05 }
";

struct Told {
    code: i32,
    out: String,
    err: String,
}

impl Told {
    fn json(&self) -> Value {
        serde_json::from_str(&self.out).unwrap_or_else(|e| panic!("{e}: {}{}", self.out, self.err))
    }

    fn done(self) -> Self {
        assert_eq!(self.code, DONE, "{}{}", self.out, self.err);
        self
    }
}

fn command(args: &[&str], platform: Option<&Platform>) -> Told {
    let mut command = Command::new(env!("CARGO_BIN_EXE_corianderway"));
    command.args(args).env_remove("CORIANDERWAY_PLATFORM");
    if let Some(platform) = platform {
        command.env("CORIANDERWAY_PLATFORM", platform.addr.to_string());
    }
    let Output {
        status,
        stdout,
        stderr,
    } = command.output().unwrap();
    Told {
        code: status.code().unwrap(),
        out: String::from_utf8(stdout).unwrap(),
        err: String::from_utf8(stderr).unwrap(),
    }
}

fn file(text: &str) -> String {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    let name = format!("contract-{}-{count}.yaml", std::process::id());
    let path: PathBuf = [env!("CARGO_TARGET_TMPDIR"), &name].iter().collect();
    std::fs::write(&path, text).unwrap();
    path.to_string_lossy().into_owned()
}

fn backend(platform: &Platform, id: &str, version: &str) {
    let backend = Backend {
        id: id.try_into().unwrap(),
        addr: ([127, 0, 0, 1], 9).into(),
        service: "finder".try_into().unwrap(),
        version: version.try_into().unwrap(),
        region: "north".try_into().unwrap(),
        domain: "north-a".try_into().unwrap(),
        slots: 3,
        presence: Presence::Live,
    };
    platform.register_backend(&backend).unwrap();
}

// A platform with the contract in force and servers of two versions.
fn started() -> Platform {
    let platform = Platform::start().unwrap();
    command(&["contract", "apply", &file(CONTRACT)], Some(&platform)).done();
    backend(&platform, "b1", "v1");
    backend(&platform, "b2", "v2");
    platform
}

fn set(platform: &Platform, kind: &str, name: &str, fields: &Value) {
    let object = platform.get(kind, name).unwrap().unwrap();
    let mut value = (*object.value).clone();
    for (field, wanted) in fields.as_object().unwrap() {
        value[field] = wanted.clone();
    }
    platform.update(kind, name, object.version, &value).unwrap();
}

#[test]
fn a_contract_is_applied_shown_compared_and_listed() {
    let platform = started();
    let shown = command(&["contract", "show", "finder"], Some(&platform)).done();
    assert!(shown.out.contains("rate: 200"), "{}", shown.out);
    let raised = file(&CONTRACT.replace("rate: 200", "rate: 300"));
    let diff = command(&["contract", "diff", &raised], Some(&platform)).done();
    assert!(diff.out.contains("rate: 200.0 -> 300.0"), "{}", diff.out);
    let list = command(&["contract", "list", "--json"], Some(&platform)).done();
    assert_eq!(list.json()[0]["value"]["rate"], json!(200.0));
    let again = command(&["contract", "apply", &file(CONTRACT)], Some(&platform)).done();
    assert!(again.out.contains("unchanged"), "{}", again.out);
}

#[test]
fn an_invalid_contract_is_not_sent_nor_are_those_beside_it() {
    let platform = Platform::start().unwrap();
    let bad = file(&CONTRACT.replace("share: 0.1", "share: 0.9"));
    let told = command(
        &["contract", "apply", &file(CONTRACT), &bad],
        Some(&platform),
    );
    assert_eq!(told.code, FAILED);
    assert!(told.err.contains("versions.share"), "{}", told.err);
    assert!(platform.list("contracts").unwrap().is_empty());
}

#[test]
fn a_conflict_shows_the_other_operators_change() {
    let platform = started();
    set(&platform, "contracts", "finder", &json!({ "rate": 250.0 }));
    let raised = file(&CONTRACT.replace("burst: 400", "burst: 500"));
    let args = ["contract", "apply", &raised, "--expect", "1"];
    let told = command(&args, Some(&platform));
    assert_eq!(told.code, CONFLICT, "{}", told.err);
    assert!(told.err.contains("rate: 200.0 -> 250.0"), "{}", told.err);
    let held = platform.get("contracts", "finder").unwrap().unwrap();
    assert_eq!(held.value["burst"], json!(400.0));
}

// The first operator has read the contract and waits for the answer when the
// second one writes.
#[test]
fn of_two_racing_operators_one_wins_and_the_other_is_told() {
    let platform = started();
    let faults = Faults {
        slow_ms: 400,
        ..Faults::default()
    };
    platform.set_faults(&faults).unwrap();
    let reads = || platform.calls().unwrap().of("get");
    let before = reads();
    let raised = file(&CONTRACT.replace("burst: 400", "burst: 500"));
    let told = std::thread::scope(|scope| {
        let first = scope.spawn(|| command(&["contract", "apply", &raised], Some(&platform)));
        let read = || (reads() > before).then_some(());
        until("the first operator's read", Duration::from_secs(5), read).unwrap();
        let mut other: Value = serde_yaml_ng::from_str(CONTRACT).unwrap();
        other["rate"] = json!(250.0);
        platform.update("contracts", "finder", 1, &other).unwrap();
        first.join().unwrap()
    });
    assert_eq!(told.code, CONFLICT, "{}", told.err);
    assert!(told.err.contains("-> 250.0"), "{}", told.err);
    let held = platform.get("contracts", "finder").unwrap().unwrap();
    assert_eq!(held.value["burst"], json!(400));
}

// Answers each call with one text, as the admin address of an instance would.
fn admin(answer: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let mut head = Vec::new();
            while !head.ends_with(b"\r\n\r\n") {
                let mut byte = [0];
                stream.read_exact(&mut byte).unwrap();
                head.push(byte[0]);
            }
            let length = answer.len();
            let reply = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{answer}");
            stream.write_all(reply.as_bytes()).unwrap();
        }
    });
    addr
}

#[test]
fn explain_asks_the_instances_until_one_knows_the_request() {
    let knows = admin(r#"{"request":"r1","lines":["event=route server=b1","event=end"]}"#);
    let knows_not = admin(r#"{"request":"r1","lines":[]}"#);
    let (knows, knows_not) = (knows.to_string(), knows_not.to_string());
    let args = [
        "explain",
        "r1",
        "--instance",
        &knows_not,
        "--instance",
        &knows,
    ];
    let told = command(&args, None).done();
    assert!(told.out.contains("event=route server=b1"), "{}", told.out);
    assert_eq!(command(&args[..4], None).code, FAILED);
    assert_eq!(command(&args[..2], None).code, USAGE);
}

#[test]
fn a_change_is_told_to_be_in_force_when_every_instance_holds_it() {
    let platform = started();
    let everywhere = admin(r#"{"in_force":true,"waiting":[]}"#).to_string();
    let one_waits = admin(r#"{"in_force":false,"waiting":["entry-2"]}"#).to_string();
    let contract = file(CONTRACT);
    let apply = |instance: &str| {
        let args = ["contract", "apply", &contract, "--wait", "100ms"];
        let args = [&args[..], &["--instance", instance]].concat();
        command(&args, Some(&platform))
    };
    assert!(apply(&everywhere).done().err.contains("everywhere"));
    let late = apply(&one_waits);
    assert_eq!(late.code, TIMEOUT);
    assert!(
        late.err.contains("not yet in force at entry-2"),
        "{}",
        late.err
    );
}

#[test]
fn a_write_whose_answer_is_lost_is_settled_by_reading_back() {
    let platform = started();
    let faults = Faults {
        lose_answers: 1,
        ..Faults::default()
    };
    platform.set_faults(&faults).unwrap();
    let raised = file(&CONTRACT.replace("rate: 200", "rate: 300"));
    command(&["contract", "apply", &raised], Some(&platform)).done();
    let held = platform.get("contracts", "finder").unwrap().unwrap();
    assert_eq!((held.version, &held.value["rate"]), (2, &json!(300.0)));
}

#[test]
fn a_key_is_shown_once_and_stored_as_a_hash() {
    let platform = started();
    let granted = command(&["key", "grant", "finder", "--json"], Some(&platform)).done();
    let granted = granted.json();
    let (id, key) = (
        granted["id"].as_str().unwrap(),
        granted["key"].as_str().unwrap(),
    );
    let secret = key.split_once('.').unwrap().1;
    let dump = serde_json::to_string(&platform.dump().unwrap()).unwrap();
    assert!(dump.contains(id) && !dump.contains(secret));
    let list = command(&["key", "list"], Some(&platform)).done();
    assert!(list.out.contains(id) && list.out.contains("granted"));
    command(&["key", "withdraw", id], Some(&platform)).done();
    let list = command(&["key", "list", "--json"], Some(&platform)).done();
    assert_eq!(list.json()[0]["state"], "withdrawn");
    let unknown = command(&["key", "grant", "nobody"], Some(&platform));
    assert_eq!(unknown.code, FAILED);
}

#[test]
fn a_move_is_started_watched_and_taken_back() {
    let platform = started();
    let start = [
        "move",
        "start",
        "finder",
        "v2",
        "--deadline",
        "5m",
        "--json",
    ];
    let record = command(&start, Some(&platform)).done().json()["value"].clone();
    assert_eq!(
        (&record["from"], &record["state"]),
        (&json!("v1"), &json!("planned"))
    );
    assert_eq!(record["limit"], json!(100_000));
    assert_eq!(command(&start, Some(&platform)).code, FAILED);

    let watch = ["move", "watch", "finder", "--timeout", "100ms"];
    assert_eq!(command(&watch, Some(&platform)).code, TIMEOUT);
    command(&["move", "back", "finder"], Some(&platform)).done();
    let told = command(&watch, Some(&platform));
    assert_eq!(told.code, FAILED);
    assert!(told.err.contains("withdrawn"), "{}", told.err);

    command(&start, Some(&platform)).done();
    set(&platform, "moves", "finder", &json!({ "state": "done" }));
    let told = command(&watch, Some(&platform)).done();
    assert!(told.out.contains("v1 to v2: done"), "{}", told.out);
    let list = command(&["move", "list"], Some(&platform)).done();
    assert!(list.out.contains("done"), "{}", list.out);
}

#[test]
fn a_move_keeps_to_the_contract() {
    let platform = started();
    let late = ["move", "start", "finder", "v2", "--deadline", "1h"];
    let told = command(&late, Some(&platform));
    assert_eq!(told.code, FAILED);
    assert!(told.err.contains("600 s"), "{}", told.err);
    let unknown = command(&["move", "start", "ledger", "v2"], Some(&platform));
    assert_eq!(unknown.code, FAILED);
}

#[test]
fn a_drain_is_planned_watched_and_cancelled() {
    let platform = started();
    let scope = ["domain", "north-a"];
    let verb = |verb| command(&[&["drain", verb], &scope[..]].concat(), Some(&platform));
    let planned = verb("plan").done();
    assert!(planned.out.contains("2 backend servers"), "{}", planned.out);
    assert_eq!(verb("plan").code, FAILED);
    set(
        &platform,
        "drains",
        "domain-north-a",
        &json!({ "state": "drained", "withheld": true }),
    );
    verb("watch").done();
    verb("cancel").done();
    let list = command(&["drain", "list"], Some(&platform)).done();
    assert!(list.out.contains("cancelled"), "{}", list.out);
    let nothing = command(&["drain", "plan", "server", "b9"], Some(&platform));
    assert_eq!(nothing.code, FAILED);
}

#[test]
fn status_shows_the_instance_list() {
    let platform = started();
    let told = command(&["status"], Some(&platform)).done();
    assert!(
        told.out.contains("b1 live north/north-a finder v1"),
        "{}",
        told.out
    );
}

#[test]
fn charts_are_listed_drawn_and_checked() {
    let list = command(&["chart", "list", "--json"], None).done().json();
    for chart in list.as_array().unwrap() {
        let name = chart["name"].as_str().unwrap();
        let drawn = command(&["chart", "print", name], None).done();
        assert!(drawn.out.starts_with("stateDiagram-v2"));
    }
    let sound =
        "{chart: c, initial: a, events: [e], states: {a: {on: {e: {to: b}}}, b: {final: true}}}";
    command(&["chart", "check", &file(sound)], None).done();
    let faulty = command(
        &["chart", "check", &file(&sound.replace("to: b", "to: a"))],
        None,
    );
    assert_eq!(faulty.code, FAILED);
    assert!(faulty.err.contains("unreachable"), "{}", faulty.err);
}

#[test]
fn each_group_and_verb_has_help_and_wrong_usage_has_its_code() {
    for group in [
        "contract", "key", "move", "drain", "status", "explain", "chart",
    ] {
        assert!(command(&[group, "--help"], None)
            .done()
            .out
            .starts_with(group));
    }
    let verb = command(&["move", "start", "--help"], None).done();
    assert!(verb.out.contains("--deadline") && !verb.out.contains("move back"));
    assert!(command(&["--help"], None).done().out.contains("EXIT CODES"));
    for wrong in [
        &["move"][..],
        &["tidy"],
        &[],
        &["contract", "list"],
        &["drain", "plan", "a", "b"],
    ] {
        assert_eq!(command(wrong, None).code, USAGE, "{wrong:?}");
    }
}

#[test]
fn a_platform_that_is_out_has_its_code() {
    let platform = started();
    let faults = Faults {
        down: Down::Refuse,
        ..Faults::default()
    };
    platform.set_faults(&faults).unwrap();
    let told = command(&["contract", "list"], Some(&platform));
    assert_eq!(told.code, UNREACHABLE, "{}", told.err);
}
