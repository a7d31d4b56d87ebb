//! Shares are conserved, and the window bound holds, under random faults.

mod fleet;

use std::time::Duration;

use corianderway_limits::Parts;
use corianderway_limits::Terms;
use fleet::seeds;
use fleet::Faults;
use fleet::Fleet;
use fleet::Sabotage;

const RATE: f64 = 400.0;
const BURST: f64 = 200.0;

fn stormy() -> Faults {
    Faults {
        loss: 0.05,
        repeat: 0.2,
        delay_ms: 400,
        pause: 0.06,
        kill: 0.02,
        outage: 0.02,
        cut: 0.02,
        split: 0.02,
    }
}

fn storm(seed: u64, sabotage: Sabotage) -> Fleet {
    let terms = Terms {
        lease: Duration::from_secs(3),
        loan: Duration::from_secs(2),
        outage: Duration::from_secs(20),
        ..Terms::default()
    };
    let mut fleet = Fleet::new(seed, 3 + seed as usize % 8, RATE, BURST, terms);
    fleet.restart(sabotage);
    for at in 0..fleet.nodes.len() {
        fleet.nodes[at].weight = [0.0, 1.0, 10.0][(seed as usize + at) % 3] + 0.01;
    }
    fleet.offered = RATE * 4.0;
    fleet.idle_ms = [0, 2_000, 7_000][seed as usize % 3];
    fleet.run(Duration::from_secs(15));
    fleet.faults = stormy();
    fleet.silent = seed % 2 == 1;
    fleet.run(Duration::from_mins(3));
    fleet
}

#[test]
fn shares_are_conserved() {
    for seed in seeds(8) {
        let fleet = storm(seed, Sabotage::None);
        let epoch = fleet.platform.stored.as_ref().map(|s| s.epoch.number());
        println!(
            "LIMITS_SEED={seed} nodes={} epoch={epoch:?} admitted={} share={:.4} level={:.1}",
            fleet.nodes.len(),
            fleet.admitted(),
            fleet.worst_share as f64 / (1u64 << 32) as f64,
            fleet.worst_level,
        );
        assert!(fleet.conserved(), "LIMITS_SEED={seed}");
        assert!(fleet.admitted() > 1000, "LIMITS_SEED={seed} stood still");
    }
}

// Each mechanism that is switched off must be noticed on some seed.
fn noticed(sabotage: Sabotage) {
    let broken = (1..=8).find(|&seed| !storm(seed, sabotage).conserved());
    println!("{sabotage:?}: first seen with LIMITS_SEED={broken:?}");
    assert!(broken.is_some(), "{sabotage:?} went unnoticed");
}

// A majority loses the platform and the rest, and goes on by vouching.
fn parted(sabotage: Sabotage) -> Fleet {
    let terms = Terms {
        lease: Duration::from_secs(3),
        ..Terms::default()
    };
    let mut fleet = Fleet::new(1, 8, RATE, BURST, terms);
    fleet.restart(sabotage);
    fleet.faults.delay_ms = 20;
    fleet.run(Duration::from_secs(15));
    fleet.split = (5, fleet.ms + 60_000);
    fleet.run(Duration::from_secs(30));
    let kept = (0..5).all(|at| fleet.share(at) > 0);
    assert!(kept || sabotage != Sabotage::None, "the majority stopped");
    fleet.run(Duration::from_mins(1));
    fleet
}

// One instance is cut off; it must stop before the others use its floor.
fn isolated(sabotage: Sabotage) -> Fleet {
    let mut fleet = Fleet::new(1, 8, RATE, BURST, Terms::default());
    fleet.restart(sabotage);
    fleet.faults.delay_ms = 20;
    fleet.run(Duration::from_secs(15));
    assert!(fleet.share(0) > 0);
    fleet.cut(0, 60_000);
    fleet.run(Duration::from_secs(30));
    let rest: u64 = (1..8).map(|at| fleet.share(at)).sum();
    assert!(rest > Parts::WHOLE.get() / 10 * 9, "its floor stands idle");
    fleet.run(Duration::from_mins(1));
    fleet
}

#[test]
fn frozen_clocks_are_noticed() {
    noticed(Sabotage::FrozenClock);
}

#[test]
fn endless_leases_are_noticed() {
    assert!(isolated(Sabotage::None).conserved());
    assert!(!isolated(Sabotage::EndlessLease).conserved());
}

#[test]
fn forged_promises_are_noticed() {
    assert!(parted(Sabotage::None).conserved());
    assert!(!parted(Sabotage::ForgedPromise).conserved());
}

#[test]
fn long_loans_are_noticed() {
    noticed(Sabotage::LongLoan);
}

// A home dies with its floor lent out and starts again on the same address.
fn reborn(seed: u64, sabotage: Sabotage) -> Fleet {
    let mut fleet = Fleet::new(seed, 4, RATE, BURST, Terms::default());
    fleet.restart(sabotage);
    fleet.faults.delay_ms = 20;
    for node in &mut fleet.nodes[1..] {
        node.weight = 0.01;
    }
    fleet.run(Duration::from_secs(15));
    assert!(fleet.share(0) > Parts::WHOLE.get() / 10 * 9);
    for at in 1..4 {
        fleet.kill(at);
        fleet.run(Duration::from_secs(5));
    }
    fleet
}

#[test]
fn reused_names_are_noticed() {
    let conserved = |seed, sabotage| reborn(seed, sabotage).conserved();
    assert!((1..=8).all(|seed| conserved(seed, Sabotage::None)));
    assert!((1..=8).any(|seed| !conserved(seed, Sabotage::SameName)));
}

// A home drops a limit that it has lent and takes it up again.
#[test]
fn a_limit_that_comes_back_is_still_lent() {
    for seed in seeds(4) {
        let mut fleet = Fleet::new(seed, 4, RATE, BURST, Terms::default());
        fleet.faults.delay_ms = 20;
        for node in &mut fleet.nodes[1..] {
            node.weight = 0.01;
        }
        fleet.run(Duration::from_secs(15));
        for at in 1..4 {
            fleet.set_limit(at, false);
            fleet.run(Duration::from_millis(200));
            fleet.set_limit(at, true);
            fleet.run(Duration::from_secs(3));
        }
        assert!(fleet.conserved(), "LIMITS_SEED={seed}");
    }
}
