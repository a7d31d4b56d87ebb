//! Every fault at every state of the charts of claims and keys.
//!
//! The cells stand in data files. The states come from the charts, so a new
//! state without its cells fails here.

mod claim_world;

use std::collections::BTreeSet;
use std::time::Duration;

use corianderway_chart::Outline;
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
const SETTLED: Duration = Duration::from_secs(15);
const BRIEF: Duration = Duration::from_millis(300);

/// One table of cells, and the faults that every state has a cell for.
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
    /// What the caller is told.
    first: String,
    /// What it is told when it sends the request again, to another instance.
    again: String,
    /// How often the request ran in all.
    runs: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
struct KeyCell {
    state: String,
    fault: String,
    /// What a caller with the key gets.
    check: String,
}

fn check_complete(chart: &str, faults: &[String], cells: &[(&String, &String)]) {
    let outline = Outline::parse(chart).unwrap();
    let states = outline.states.keys();
    let wanted = states.flat_map(|state| faults.iter().map(move |fault| (state, fault)));
    let wanted = wanted.collect::<BTreeSet<_>>();
    let found = cells.iter().copied().collect::<BTreeSet<_>>();
    assert_eq!(found, wanted, "every state needs a cell for every fault");
    assert_eq!(found.len(), cells.len(), "a cell stands twice");
}

fn told(reply: Option<&Reply>) -> String {
    let told = match reply {
        None => "nothing",
        Some(Reply::Ran(_)) => "ran",
        Some(Reply::NotRun) => "not-run",
        Some(Reply::NotStarted) => "not-started",
        Some(Reply::MayHaveRun) => "may-have-run",
        Some(Reply::Mismatch) => "mismatch",
        Some(Reply::Crowded) => "crowded",
    };
    told.to_owned()
}

/// Brings a request on instance 0 into a state.
fn bring(world: &mut World, state: &str) -> (RequestId, ClaimState) {
    match state {
        "claiming" => {
            world.platform.slow = Duration::from_secs(2);
            (send_for(world, BRIEF), ClaimState::Claiming)
        }
        "reading" => {
            world.platform.answers_lost = true;
            (send_for(world, BRIEF * 4), ClaimState::Reading)
        }
        "waiting" => {
            world.send(1, 0, false);
            world.paused[1] = true;
            world.run_for(BRIEF);
            (send_for(world, BRIEF), ClaimState::Waiting)
        }
        "forwarded" => {
            world.backend = Backend::Silent;
            (send_for(world, BRIEF * 2), ClaimState::Forwarded)
        }
        "finishing" => (send_cut_off(world, BRIEF * 2), ClaimState::Finishing),
        "releasing" => {
            world.backend = Backend::Refuses;
            let id = send_cut_off(world, Duration::from_secs(4));
            (id, ClaimState::Releasing)
        }
        "ended" => (send_for(world, BRIEF * 5), ClaimState::Ended),
        other => panic!("no way is known to the state {other}; add one, and its cells"),
    }
}

fn send_for(world: &mut World, span: Duration) -> RequestId {
    let id = world.send(0, 0, false);
    world.run_for(span);
    id
}

// The platform goes silent once the request is forwarded.
fn send_cut_off(world: &mut World, span: Duration) -> RequestId {
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
        "caller-gone" => world.gone(first),
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
        other => panic!("no such fault is known: {other}"),
    }
}

fn heal(world: &mut World) {
    world.platform = Platform::default();
    world.backend = Backend::Works;
    (0..INSTANCES).for_each(|at| world.thaw(at));
    world.run_for(SETTLED);
}

fn run_claim(cell: &ClaimCell) -> ClaimCell {
    let mut world = World::new(1, 1, CLAIM_CHART);
    let (first, state) = bring(&mut world, &cell.state);
    assert_eq!(world.state(0, 0), Some(state), "{cell:?}");
    world.platform = Platform::default();
    world.backend = Backend::Works;
    inject(&mut world, &cell.fault, first);
    world.resolve(world.backend);
    world.run_for(SETTLED);
    heal(&mut world);
    let again = world.send(2, 0, false);
    world.run_for(SETTLED);
    assert!(world.faults.is_empty(), "{cell:?}: {:?}", world.faults);
    ClaimCell {
        first: told(world.reply(first)),
        again: told(world.reply(again)),
        runs: world.runs[0],
        ..cell.clone()
    }
}

#[test]
fn claims_end_as_the_cells_say() {
    let table = serde_yaml_ng::from_str::<Table<ClaimCell>>(CLAIM_CELLS).unwrap();
    let cells = table.cells.iter().map(|c| (&c.state, &c.fault));
    check_complete(CLAIM_CHART, &table.faults, &cells.collect::<Vec<_>>());
    let found = table.cells.iter().map(run_claim).collect::<Vec<_>>();
    let wrong = found.iter().zip(&table.cells).filter(|(f, c)| f != c);
    let wrong = wrong.map(|(found, _)| found).collect::<Vec<_>>();
    assert!(wrong.is_empty(), "found otherwise: {wrong:#?}");
}

fn run_key(cell: &KeyCell) -> KeyCell {
    let (record, text) = KeyRecord::generate(account(), &[0xab; NONCE_BYTES], 1);
    let state = match cell.state.as_str() {
        "granted" => KeyState::Granted,
        "lapsing" => KeyState::Lapsing,
        "withdrawn" => KeyState::Withdrawn,
        other => panic!("no way is known to the state {other}; add one, and its cells"),
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
        other => panic!("no such fault is known: {other}"),
    }
    let check = match keys.check(text.reveal(), standing) {
        Ok(accepted) if accepted.lapsing => "accepted-with-warning",
        Ok(_) => "accepted",
        Err(KeyRefusal::Withdrawn) => "withdrawn",
        Err(KeyRefusal::Isolated) => "isolated",
        Err(other) => panic!("{other:?} is in no cell"),
    };
    KeyCell {
        check: check.to_owned(),
        ..cell.clone()
    }
}

#[test]
fn keys_end_as_the_cells_say() {
    let table = serde_yaml_ng::from_str::<Table<KeyCell>>(KEY_CELLS).unwrap();
    let cells = table.cells.iter().map(|c| (&c.state, &c.fault));
    check_complete(KEY_CHART, &table.faults, &cells.collect::<Vec<_>>());
    let found = table.cells.iter().map(run_key).collect::<Vec<_>>();
    assert_eq!(found, table.cells);
}
