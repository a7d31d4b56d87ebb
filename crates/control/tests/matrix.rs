//! Every fault in every state of the state charts of claims and keys.
//!
//! The expected results are in `data/claim_faults.yaml` and
//! `data/key_faults.yaml`. The states come from the charts, so that a state
//! without its cells fails the test.

mod claim_world;

use std::collections::BTreeSet;
use std::time::Duration;

use corianderway_chart::Definition;
use corianderway_control::ClaimState;
use corianderway_control::KeyRecord;
use corianderway_control::KeyRefusal;
use corianderway_control::KeyState;
use corianderway_control::KeyTable;
use corianderway_control::Reply;
use corianderway_control::RequestId;
use corianderway_control::Standing;
use corianderway_control::CLAIM_CHART;
use corianderway_control::KEY_CHART;
use corianderway_control::NONCE_BYTES;
use serde::Deserialize;

use crate::claim_world::account;
use crate::claim_world::Backend;
use crate::claim_world::Platform;
use crate::claim_world::World;
use crate::claim_world::INSTANCES;

const CLAIM_CELLS: &str = include_str!("data/claim_faults.yaml");
const KEY_CELLS: &str = include_str!("data/key_faults.yaml");
const SETTLE_TIME: Duration = Duration::from_secs(15);
const STEP_TIME: Duration = Duration::from_millis(300);

/// A table with one cell for each pair of state and fault.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Table<C> {
    faults: Vec<String>,
    cells: Vec<C>,
}

#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
struct ClaimCell {
    state: String,
    fault: String,
    /// The reply to the first request.
    first: String,
    /// The reply when the request is sent again to another instance.
    again: String,
    /// How often the request ran in total.
    runs: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
struct KeyCell {
    state: String,
    fault: String,
    /// The result of checking the key.
    check: String,
}

fn check_complete(chart: &str, faults: &[String], cells: &[(&String, &String)]) {
    let outline = Definition::parse(chart).unwrap();
    let states = outline.states.keys();
    let wanted = states.flat_map(|state| faults.iter().map(move |fault| (state, fault)));
    let wanted = wanted.collect::<BTreeSet<_>>();
    let found = cells.iter().copied().collect::<BTreeSet<_>>();
    assert_eq!(found, wanted, "every state needs a cell for every fault");
    assert_eq!(found.len(), cells.len(), "a cell is listed twice");
}

fn reply_name(reply: Option<&Reply>) -> String {
    let name = match reply {
        None => "nothing",
        Some(Reply::Ran(_)) => "ran",
        Some(Reply::NotRun) => "not-run",
        Some(Reply::NotStarted) => "not-started",
        Some(Reply::MayHaveRun) => "may-have-run",
        Some(Reply::Mismatch) => "mismatch",
        Some(Reply::TooManyCallers) => "crowded",
    };
    name.to_owned()
}

/// Sends a request to instance 0 such that its claim reaches a state.
fn reach_state(world: &mut World, state: &str) -> (RequestId, ClaimState) {
    match state {
        "claiming" => {
            world.platform.slow = Duration::from_secs(2);
            (send_for(world, STEP_TIME), ClaimState::Claiming)
        }
        "reading" => {
            world.platform.answers_lost = true;
            (send_for(world, STEP_TIME * 4), ClaimState::Reading)
        }
        "waiting" => {
            world.send(1, 0, false);
            world.paused[1] = true;
            world.run_for(STEP_TIME);
            (send_for(world, STEP_TIME), ClaimState::Waiting)
        }
        "forwarded" => {
            world.backend = Backend::Silent;
            (send_for(world, STEP_TIME * 2), ClaimState::Forwarded)
        }
        "finishing" => (
            send_then_cut_platform(world, STEP_TIME * 2),
            ClaimState::Finishing,
        ),
        "releasing" => {
            world.backend = Backend::Refuses;
            let id = send_then_cut_platform(world, Duration::from_secs(4));
            (id, ClaimState::Releasing)
        }
        "ended" => (send_for(world, STEP_TIME * 5), ClaimState::Ended),
        other => panic!("state {other} has no setup; add one and the cells of the state"),
    }
}

fn send_for(world: &mut World, span: Duration) -> RequestId {
    let id = world.send(0, 0, false);
    world.run_for(span);
    id
}

// Sends a request and makes the platform unreachable once it is forwarded.
fn send_then_cut_platform(world: &mut World, span: Duration) -> RequestId {
    let id = world.send(0, 0, false);
    while !world.forwarded(0) {
        world.run_for(Duration::from_millis(100));
    }
    world.platform.down = true;
    world.run_for(span);
    id
}

fn inject(world: &mut World, fault: &str, first: RequestId) {
    match fault {
        "killed" => world.crash(0),
        "frozen" => world.paused[0] = true,
        "platform-down" => world.platform.down = true,
        "platform-slow" => world.platform.slow = Duration::from_millis(1500),
        "answers-lost" => world.platform.answers_lost = true,
        "backend-refuses" => world.backend = Backend::Refuses,
        "backend-breaks" => world.backend = Backend::BreaksBefore,
        "backend-runs-and-breaks" => world.backend = Backend::BreaksAfter,
        "caller-gone" => world.disconnect(first),
        "killed-and-platform-down" => {
            world.crash(0);
            world.platform.down = true;
        }
        "frozen-and-answers-lost" => {
            world.paused[0] = true;
            world.platform.answers_lost = true;
        }
        "answers-lost-and-backend-breaks" => {
            world.platform.answers_lost = true;
            world.backend = Backend::BreaksAfter;
        }
        other => panic!("unknown fault: {other}"),
    }
}

fn clear_faults(world: &mut World) {
    world.platform = Platform::default();
    world.backend = Backend::Works;
    (0..INSTANCES).for_each(|at| world.resume(at));
    world.run_for(SETTLE_TIME);
}

fn run_claim(cell: &ClaimCell) -> ClaimCell {
    let mut world = World::new(1, 1, CLAIM_CHART);
    let (first, state) = reach_state(&mut world, &cell.state);
    assert_eq!(world.state(0, 0), Some(state), "{cell:?}");
    world.platform = Platform::default();
    world.backend = Backend::Works;
    inject(&mut world, &cell.fault, first);
    world.release_unanswered(world.backend);
    world.run_for(SETTLE_TIME);
    clear_faults(&mut world);
    let again = world.send(2, 0, false);
    world.run_for(SETTLE_TIME);
    assert!(
        world.violations.is_empty(),
        "{cell:?}: {:?}",
        world.violations
    );
    ClaimCell {
        first: reply_name(world.reply(first)),
        again: reply_name(world.reply(again)),
        runs: world.runs[0],
        ..cell.clone()
    }
}

#[test]
fn claims_match_the_fault_table() {
    let table = serde_yaml_ng::from_str::<Table<ClaimCell>>(CLAIM_CELLS).unwrap();
    let cells = table.cells.iter().map(|c| (&c.state, &c.fault));
    check_complete(CLAIM_CHART, &table.faults, &cells.collect::<Vec<_>>());
    let found = table.cells.iter().map(run_claim).collect::<Vec<_>>();
    let wrong = found.iter().zip(&table.cells).filter(|(f, c)| f != c);
    let wrong = wrong.map(|(found, _)| found).collect::<Vec<_>>();
    assert!(wrong.is_empty(), "cells with another result: {wrong:#?}");
}

fn run_key(cell: &KeyCell) -> KeyCell {
    let (record, text) = KeyRecord::generate(account(), &[0xab; NONCE_BYTES], 1);
    let state = match cell.state.as_str() {
        "granted" => KeyState::Granted,
        "lapsing" => KeyState::Lapsing,
        "withdrawn" => KeyState::Withdrawn,
        other => panic!("state {other} has no setup; add one and the cells of the state"),
    };
    let mut keys = KeyTable::new();
    keys.apply(record.clone().with_state(state));
    let mut standing = Standing::Current;
    match cell.fault.as_str() {
        "withdrawn" => drop(keys.apply(record.with_state(KeyState::Withdrawn))),
        "stale-grant" => drop(keys.apply(record.with_state(KeyState::Granted))),
        "deleted" => drop(keys.delete(&record.id)),
        "deleted-then-stale-grant" => {
            keys.delete(&record.id);
            keys.apply(record);
        }
        "platform-down" => standing = Standing::PeersOnly,
        "isolated" => standing = Standing::Isolated,
        other => panic!("unknown fault: {other}"),
    }
    let check = match keys.check(text.reveal(), standing) {
        Ok(accepted) if accepted.lapsing => "accepted-with-warning",
        Ok(_) => "accepted",
        Err(KeyRefusal::Withdrawn) => "withdrawn",
        Err(KeyRefusal::Isolated) => "isolated",
        Err(other) => panic!("refusal without a name in the table: {other:?}"),
    };
    KeyCell {
        check: check.to_owned(),
        ..cell.clone()
    }
}

#[test]
fn keys_match_the_fault_table() {
    let table = serde_yaml_ng::from_str::<Table<KeyCell>>(KEY_CELLS).unwrap();
    let cells = table.cells.iter().map(|c| (&c.state, &c.fault));
    check_complete(KEY_CHART, &table.faults, &cells.collect::<Vec<_>>());
    let found = table.cells.iter().map(run_key).collect::<Vec<_>>();
    assert_eq!(found, table.cells);
}
