//! How long each kind of change takes to be in force, by what fails and by who is asked. The
//! table is in `source_faults.yaml`.

mod platform_fleet;

use std::thread;
use std::time::Duration;
use std::time::Instant;

use corianderway_standins::estate::node;
use corianderway_standins::estate::Endpoint;
use corianderway_standins::estate::Node;
use serde::Deserialize;
use serde_json::json;
use serde_json::Value;

use crate::platform_fleet::configuration;
use crate::platform_fleet::get;
use crate::platform_fleet::read;
use crate::platform_fleet::Fleet;

/// The time in which the instances settle on their sources.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// How long after the bound a change is still waited for, so that the message says how late it
/// is.
const PATIENCE: Duration = Duration::from_secs(12);

#[derive(Debug, Deserialize)]
struct Table {
    rows: Vec<Row>,
}

#[derive(Clone, Copy, Debug, Deserialize)]
struct Row {
    fault: Fault,
    asker: Asker,
    bound_ms: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Fault {
    None,
    ReaderStandsStill,
    ReaderKilled,
    ReaderRejected,
    ReaderSilenced,
    DeafConfig,
    DeafServers,
    DeafEvacuations,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Asker {
    Follower,
    Reader,
    Far,
    Starter,
}

/// A kind of change, and whether it is in force at an instance.
type Change = (&'static str, fn(&Node) -> bool);

const CHANGES: [Change; 4] = [
    ("key", |node| {
        read(node, "k2").is_some_and(|reply| reply.status == 401)
    }),
    ("route", |node| {
        let path = "/slow/brief/1";
        let reply = get(node, node::CALLERS_PORT, path, &[("Request-Id", "r-2")]);
        reply.is_some_and(|reply| reply.status == 404)
    }),
    ("server", |node| !is_answered_by(node, "answer of i-2")),
    ("evacuation", |node| !is_answered_by(node, "answer of i-3")),
];

// Returns whether a server still gets requests; several are sent, as the servers share them.
fn is_answered_by(node: &Node, answer: &str) -> bool {
    (0..6).any(|_| {
        let reply = read(node, "k1");
        reply.is_none_or(|reply| reply.status != 200 || reply.text() == answer)
    })
}

// The configuration without `k2` and without the routes under `/slow/`.
fn reduced() -> Value {
    let mut reduced = configuration(3, &["k1"]);
    let rows = reduced["routes"]["rows"].as_array_mut().unwrap();
    rows.retain(|row| row[0] == "read");
    reduced
}

// Returns the changes that were late, each with the time that it took.
fn late_changes(row: Row) -> Vec<String> {
    let mut fleet = Fleet::start_in(&["a", "a", "b"]);
    let leaving = Endpoint::start("i-2");
    let evacuated = Endpoint::start("i-3");
    let store = fleet.store.clone();
    store.put("servers", "i-2", &leaving.entry("s1", "a", "ready", 1));
    store.put("servers", "i-3", &evacuated.entry("s1", "b", "ready", 1));
    thread::sleep(SETTLE_TIME);
    let follows_store = |node: &Node| {
        let lines = node.process.lines();
        let source = lines
            .iter()
            .rev()
            .find(|line| line.contains("event=source "));
        source.is_some_and(|line| line.contains("to=Store"))
    };
    let reader = (0..2).find(|number| follows_store(&fleet.instances[*number]));
    let reader = reader.expect("a reader in the domain");
    let addr = fleet.instances[reader].site.store;
    match row.fault {
        Fault::None => (),
        Fault::ReaderStandsStill => fleet.instances[reader].process.suspend().unwrap(),
        Fault::ReaderKilled => fleet.instances[reader].process.kill().unwrap(),
        Fault::ReaderRejected => {
            store.reject_callers(&[addr]);
            store.compact();
        }
        Fault::ReaderSilenced => store.silence_callers(&[addr]),
        Fault::DeafConfig => lose_watch(&fleet, "config"),
        Fault::DeafServers => lose_watch(&fleet, "servers"),
        Fault::DeafEvacuations => lose_watch(&fleet, "evacuations"),
    }
    store.put("config", "main", &reduced());
    store.remove("servers", "i-2");
    store.put("evacuations", "b", &json!({}));
    let changed = Instant::now();
    let asker = match row.asker {
        Asker::Follower | Asker::Starter => 1 - reader,
        Asker::Reader => reader,
        Asker::Far => 2,
    };
    if row.asker == Asker::Starter {
        fleet.restart(asker);
    }
    let node = &fleet.instances[asker];
    let bound = Duration::from_millis(row.bound_ms);
    let mut pending = CHANGES.to_vec();
    let mut late = Vec::new();
    while !pending.is_empty() && changed.elapsed() < bound + PATIENCE {
        pending.retain(|(kind, in_force)| {
            let done = in_force(node);
            let span = changed.elapsed();
            if done && span > bound {
                late.push(format!("{kind} {} ms", span.as_millis()));
            }
            !done
        });
        thread::sleep(Duration::from_millis(10));
    }
    late.extend(pending.iter().map(|(kind, _)| format!("{kind} never")));
    if !late.is_empty() {
        println!("{row:?}\n{}", node.process.lines().join("\n"));
    }
    if row.fault == Fault::ReaderStandsStill {
        fleet.instances[reader].process.resume().unwrap();
    }
    late
}

// Loses the watches of a kind: a change re-sends them, and those that arrive are never answered.
fn lose_watch(fleet: &Fleet, kind: &str) {
    let store = &fleet.store;
    store.set_deaf(&[kind], None);
    match kind {
        "config" => store.put("config", "main", &configuration(2, &["k1", "k2"])),
        "servers" => store.put(
            "servers",
            "i-1",
            &fleet.endpoint.entry("s1", "a", "ready", 2),
        ),
        _ => {
            store.put("evacuations", "c", &json!({}));
            store.remove("evacuations", "c");
        }
    }
    thread::sleep(Duration::from_millis(800));
    store.set_deaf(&[], None);
}

#[test]
fn each_change_is_in_force_in_time_whatever_source_fails() {
    let table: Table = serde_yaml_ng::from_str(include_str!("source_faults.yaml")).unwrap();
    let mut late = Vec::new();
    for rows in table.rows.chunks(6) {
        let running: Vec<_> = rows
            .iter()
            .map(|row| {
                let row = *row;
                (row, thread::spawn(move || late_changes(row)))
            })
            .collect();
        for (row, thread) in running {
            let changes = thread.join().expect("the row was played");
            if !changes.is_empty() {
                late.push(format!(
                    "{:?} at {:?}: {}",
                    row.fault,
                    row.asker,
                    changes.join(", ")
                ));
            }
        }
    }
    assert!(late.is_empty(), "{}", late.join("\n"));
}
