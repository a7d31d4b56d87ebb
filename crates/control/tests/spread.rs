//! Replication of configuration to every instance, without reverts, under faults.

mod common;

use std::time::Duration;

use corianderway_control::Event;
use corianderway_control::Id;
use corianderway_control::InForce;
use corianderway_control::Kind;
use corianderway_control::Object;
use corianderway_control::Standing;
use rand::Rng;

use crate::common::seeds;
use crate::common::Faults;
use crate::common::Fleet;

const NODES: usize = 10;
const REGIONS: usize = 3;
const SETTLE_TIMEOUT: Duration = Duration::from_secs(30);
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(11);

fn id(name: usize) -> Id {
    let kind = if name.is_multiple_of(2) {
        Kind::Contract
    } else {
        Kind::Key
    };
    Id::new(kind, format!("o{name}"))
}

fn started(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(seed, NODES, REGIONS);
    let all_current = |f: &Fleet| {
        f.running()
            .all(|n| n.control.standing(f.now) == Standing::Current)
    };
    let took = fleet.run_until(SETTLE_TIMEOUT, all_current);
    assert!(
        took.is_some(),
        "seed {seed}: not every instance became current"
    );
    fleet
}

// Tombstones are left out: to a reader a deleted object is the same as one
// that never existed.
fn sets_match_store(fleet: &Fleet) -> bool {
    let stored = fleet.store.objects().filter(|o| !o.is_deleted());
    let mut stored = stored.collect::<Vec<_>>();
    stored.sort_by(|a, b| a.id.cmp(&b.id));
    fleet.running().all(|node| {
        let held = node.control.config().all().iter();
        held.filter(|o| !o.is_deleted()).eq(stored.iter().copied())
    })
}

fn write_change(fleet: &mut Fleet, at: usize, name: usize) -> Option<Object> {
    let id = id(name);
    let stored = fleet.store.version(&id);
    let set = fleet.nodes[at].as_ref()?.control.config();
    let version = set.next_version(&id, stored);
    let object = match fleet.rng.random_range(0..5) {
        0 => Object::tombstone(id, version),
        _ => Object::new(id, version, version.to_string()),
    };
    fleet.write(at, object.clone()).then_some(object)
}

#[test]
fn every_instance_holds_a_change_within_seconds() {
    for seed in seeds(5) {
        let mut fleet = started(seed);
        write_change(&mut fleet, 4, 1).unwrap();
        let took = fleet.run_until(IN_FORCE_TIMEOUT, sets_match_store);
        assert!(took.is_some(), "seed {seed}");
    }
}

#[test]
fn change_is_in_force_only_once_every_member_holds_it() {
    for seed in seeds(5) {
        let mut fleet = started(seed);
        fleet.pause(3);
        let paused = fleet.node(3).entry.id.clone();
        let object = write_change(&mut fleet, 4, 1).unwrap();
        let stamp = object.stamp();
        fleet.step(4, Event::Follow(stamp.clone()));
        fleet.run_for(Duration::from_secs(5));
        let reported = fleet.node(4).control.in_force(&stamp);
        assert_eq!(reported, InForce::Waiting(vec![paused]), "seed {seed}");
        fleet.resume(3);
        let everywhere = |f: &Fleet| f.node(4).control.in_force(&stamp) == InForce::Everywhere;
        assert!(
            fleet.run_until(IN_FORCE_TIMEOUT, everywhere).is_some(),
            "seed {seed}"
        );
        assert!(
            sets_match_store(&fleet),
            "seed {seed}: reported in force too early"
        );
    }
}

#[test]
fn new_instance_reads_the_set_from_peers_in_an_outage() {
    for seed in seeds(5) {
        let mut fleet = started(seed);
        for name in 0..40 {
            write_change(&mut fleet, name % NODES, name);
        }
        fleet.run_until(IN_FORCE_TIMEOUT, sets_match_store).unwrap();
        fleet.store.down = true;
        fleet.run_for(Duration::from_secs(20));
        fleet.replace(5);
        assert!(
            fleet
                .run_until(IN_FORCE_TIMEOUT, sets_match_store)
                .is_some(),
            "seed {seed}"
        );
    }
}

#[test]
fn invalid_object_is_held_nowhere() {
    let mut fleet = started(1);
    fleet.write(0, Object::new(id(2), 1, "bad"));
    fleet.run_for(IN_FORCE_TIMEOUT);
    assert!(fleet
        .running()
        .all(|n| n.control.config().get(&id(2)).is_none()));
    assert!(fleet.running().any(|n| n.rejected > 0));
}

#[test]
fn store_rollback_reverts_nothing_and_is_repaired() {
    for seed in seeds(5) {
        let mut fleet = started(seed);
        write_change(&mut fleet, 0, 1);
        fleet.run_until(IN_FORCE_TIMEOUT, sets_match_store).unwrap();
        let earlier = fleet.store.clone();
        for name in 0..6 {
            write_change(&mut fleet, name, name);
        }
        fleet.run_until(IN_FORCE_TIMEOUT, sets_match_store).unwrap();
        let held = fleet.node(0).control.config().all().to_vec();
        fleet.store.down = true;
        fleet.run_for(Duration::from_secs(20));
        fleet.store.roll_back(&earlier);
        fleet.store.down = false;
        fleet.run_for(Duration::from_mins(1));
        assert_eq!(fleet.node(0).control.config().all(), held, "seed {seed}");
        assert!(
            sets_match_store(&fleet),
            "seed {seed}: the store was not repaired"
        );
    }
}

/// Changes interleaved with random faults. No instance may ever hold an older
/// version than before, and all agree with the store once the faults end.
#[test]
fn versions_never_decrease_and_sets_converge() {
    for seed in seeds(4) {
        println!("CONTROL_SEED={seed}");
        let mut fleet = started(seed);
        let mut last_seen = vec![Vec::new(); NODES];
        for _ in 0..60 {
            random_step(&mut fleet, &mut last_seen);
            let span = fleet.rng.random_range(50..1500);
            fleet.run_for(Duration::from_millis(span));
            check_versions(&fleet, &mut last_seen, seed);
        }
        end_faults(&mut fleet);
        assert!(
            fleet
                .run_until(SETTLE_TIMEOUT * 2, sets_match_store)
                .is_some(),
            "seed {seed}"
        );
    }
}

fn random_step(fleet: &mut Fleet, last_seen: &mut [Vec<Object>]) {
    let at = fleet.rng.random_range(0..NODES);
    let other = fleet.rng.random_range(0..REGIONS);
    match fleet.rng.random_range(0..14) {
        0..6 => drop(write_change(fleet, at, at * 3 % 8)),
        6 => fleet.pause(at),
        7 => fleet.resume(at),
        8 => {
            fleet.replace(at);
            last_seen[at].clear();
        }
        9 => fleet.store.down = !fleet.store.down,
        10 => fleet.store.lose_answers = !fleet.store.lose_answers,
        11 => fleet.store.answer_delay = Duration::from_millis(fleet.rng.random_range(0..4000)),
        12 => fleet.partitions = vec![(at % REGIONS, other)],
        _ => {
            fleet.partitions.clear();
            fleet.faults = Faults {
                lost: fleet.rng.random_range(0.0..0.3),
                duplicated: fleet.rng.random_range(0.0..0.3),
                delayed: fleet.rng.random_range(0.0..0.2),
            };
        }
    }
}

fn end_faults(fleet: &mut Fleet) {
    fleet.store.down = false;
    fleet.store.lose_answers = false;
    fleet.store.answer_delay = Duration::ZERO;
    fleet.partitions.clear();
    fleet.faults = Faults::default();
    for at in 0..NODES {
        fleet.resume(at);
        fleet.list_instances(at);
    }
}

fn check_versions(fleet: &Fleet, last_seen: &mut [Vec<Object>], seed: u64) {
    for (node, last_seen) in fleet.nodes.iter().flatten().zip(last_seen) {
        let set = node.control.config();
        for object in last_seen.iter() {
            let reverted = set.rank(&object.id) < Some(object.rank());
            assert!(!reverted, "seed {seed}: {} reverted", object.id);
        }
        *last_seen = set.all().to_vec();
    }
}
