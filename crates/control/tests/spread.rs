//! Configuration spreads to every instance, and never reverts, under faults.

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
const SETTLED: Duration = Duration::from_secs(30);
const IN_FORCE: Duration = Duration::from_secs(11);

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
    let took = fleet.run_until(SETTLED, all_current);
    assert!(
        took.is_some(),
        "seed {seed}: not every instance is in touch"
    );
    fleet
}

// A tombstone and an object that never was are the same to a reader.
fn equal(fleet: &Fleet) -> bool {
    let stored = fleet.store.objects().filter(|o| !o.is_deleted());
    let mut stored = stored.collect::<Vec<_>>();
    stored.sort_by(|a, b| a.id.cmp(&b.id));
    fleet.running().all(|node| {
        let held = node.control.set().all().iter();
        held.filter(|o| !o.is_deleted()).eq(stored.iter().copied())
    })
}

fn change(fleet: &mut Fleet, at: usize, name: usize) -> Option<Object> {
    let id = id(name);
    let stored = fleet.store.version(&id);
    let set = fleet.nodes[at].as_ref()?.control.set();
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
        change(&mut fleet, 4, 1).unwrap();
        let took = fleet.run_until(IN_FORCE, equal);
        assert!(took.is_some(), "seed {seed}");
    }
}

#[test]
fn operator_is_told_when_a_change_is_in_force() {
    for seed in seeds(5) {
        let mut fleet = started(seed);
        fleet.pause(3);
        let paused = fleet.node(3).entry.id.clone();
        let object = change(&mut fleet, 4, 1).unwrap();
        let stamp = object.stamp();
        fleet.step(4, Event::Follow(stamp.clone()));
        fleet.run_for(Duration::from_secs(5));
        let told = fleet.node(4).control.in_force(&stamp);
        assert_eq!(told, InForce::Waiting(vec![paused]), "seed {seed}");
        fleet.thaw(3);
        let everywhere = |f: &Fleet| f.node(4).control.in_force(&stamp) == InForce::Everywhere;
        assert!(
            fleet.run_until(IN_FORCE, everywhere).is_some(),
            "seed {seed}"
        );
        assert!(equal(&fleet), "seed {seed}: told too early");
    }
}

#[test]
fn new_instance_is_filled_by_peers_in_an_outage() {
    for seed in seeds(5) {
        let mut fleet = started(seed);
        for name in 0..40 {
            change(&mut fleet, name % NODES, name);
        }
        fleet.run_until(IN_FORCE, equal).unwrap();
        fleet.store.down = true;
        fleet.run_for(Duration::from_secs(20));
        fleet.replace(5);
        assert!(fleet.run_until(IN_FORCE, equal).is_some(), "seed {seed}");
    }
}

#[test]
fn unsound_object_is_held_nowhere() {
    let mut fleet = started(1);
    fleet.write(0, Object::new(id(2), 1, "bad"));
    fleet.run_for(IN_FORCE);
    assert!(fleet
        .running()
        .all(|n| n.control.set().get(&id(2)).is_none()));
    assert!(fleet.running().any(|n| n.rejected > 0));
}

#[test]
fn store_that_went_back_reverts_nothing_and_is_repaired() {
    for seed in seeds(5) {
        let mut fleet = started(seed);
        change(&mut fleet, 0, 1);
        fleet.run_until(IN_FORCE, equal).unwrap();
        let earlier = fleet.store.clone();
        for name in 0..6 {
            change(&mut fleet, name, name);
        }
        fleet.run_until(IN_FORCE, equal).unwrap();
        let held = fleet.node(0).control.set().all().to_vec();
        fleet.store.down = true;
        fleet.run_for(Duration::from_secs(20));
        fleet.store.go_back(&earlier);
        fleet.store.down = false;
        fleet.run_for(Duration::from_mins(1));
        assert_eq!(fleet.node(0).control.set().all(), held, "seed {seed}");
        assert!(equal(&fleet), "seed {seed}: the store was not repaired");
    }
}

/// A long interleaving of changes and faults: no instance ever goes back, and
/// all agree with the store once the faults end.
#[test]
fn versions_only_go_up_and_sets_converge() {
    for seed in seeds(4) {
        println!("CONTROL_SEED={seed}");
        let mut fleet = started(seed);
        let mut seen = vec![Vec::new(); NODES];
        for _ in 0..60 {
            fault(&mut fleet, &mut seen);
            let span = fleet.rng.random_range(50..1500);
            fleet.run_for(Duration::from_millis(span));
            check_monotone(&fleet, &mut seen, seed);
        }
        heal(&mut fleet);
        assert!(fleet.run_until(SETTLED * 2, equal).is_some(), "seed {seed}");
    }
}

fn fault(fleet: &mut Fleet, seen: &mut [Vec<Object>]) {
    let at = fleet.rng.random_range(0..NODES);
    let other = fleet.rng.random_range(0..REGIONS);
    match fleet.rng.random_range(0..14) {
        0..6 => drop(change(fleet, at, at * 3 % 8)),
        6 => fleet.pause(at),
        7 => fleet.thaw(at),
        8 => {
            fleet.replace(at);
            seen[at].clear();
        }
        9 => fleet.store.down = !fleet.store.down,
        10 => fleet.store.lose_answers = !fleet.store.lose_answers,
        11 => fleet.store.slow = Duration::from_millis(fleet.rng.random_range(0..4000)),
        12 => fleet.cuts = vec![(at % REGIONS, other)],
        _ => {
            fleet.cuts.clear();
            fleet.faults = Faults {
                lost: fleet.rng.random_range(0.0..0.3),
                doubled: fleet.rng.random_range(0.0..0.3),
                delayed: fleet.rng.random_range(0.0..0.2),
            };
        }
    }
}

fn heal(fleet: &mut Fleet) {
    fleet.store.down = false;
    fleet.store.lose_answers = false;
    fleet.store.slow = Duration::ZERO;
    fleet.cuts.clear();
    fleet.faults = Faults::default();
    for at in 0..NODES {
        fleet.thaw(at);
        fleet.list_instances(at);
    }
}

fn check_monotone(fleet: &Fleet, seen: &mut [Vec<Object>], seed: u64) {
    for (node, seen) in fleet.nodes.iter().flatten().zip(seen) {
        let set = node.control.set();
        for object in seen.iter() {
            let reverted = set.rank(&object.id) < Some(object.rank());
            assert!(!reverted, "seed {seed}: {} reverted", object.id);
        }
        *seen = set.all().to_vec();
    }
}
