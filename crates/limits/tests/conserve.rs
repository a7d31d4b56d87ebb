//! Shares are conserved and admission stays within the limit under random
//! faults.

mod fleet;

use std::time::Duration;

use corianderway_limits::Share;
use corianderway_limits::Timing;
use fleet::seeds;
use fleet::Defect;
use fleet::Faults;
use fleet::Fleet;

const RATE: f64 = 400.0;
const BURST: f64 = 200.0;

fn all_faults() -> Faults {
    Faults {
        loss: 0.05,
        duplication: 0.2,
        delay_ms: 400,
        pause: 0.06,
        kill: 0.02,
        outage: 0.02,
        isolation: 0.02,
        partition: 0.02,
    }
}

fn run_with_faults(seed: u64, defect: Defect) -> Fleet {
    let timing = Timing {
        lease: Duration::from_secs(3),
        loan: Duration::from_secs(2),
        max_outage: Duration::from_secs(20),
        ..Timing::default()
    };
    let mut fleet = Fleet::new(seed, 3 + seed as usize % 8, RATE, BURST, timing);
    fleet.restart(defect);
    for index in 0..fleet.nodes.len() {
        fleet.nodes[index].weight = [0.0, 1.0, 10.0][(seed as usize + index) % 3] + 0.01;
    }
    fleet.offered_rate = RATE * 4.0;
    fleet.idle_ms = [0, 2_000, 7_000][seed as usize % 3];
    fleet.run(Duration::from_secs(15));
    fleet.faults = all_faults();
    fleet.loses_writes = seed % 2 == 1;
    fleet.run(Duration::from_mins(3));
    fleet
}

#[test]
fn shares_are_conserved() {
    for seed in seeds(8) {
        let fleet = run_with_faults(seed, Defect::None);
        let epoch = fleet.platform.stored.as_ref().map(|s| s.epoch.number());
        println!(
            "LIMITS_SEED={seed} nodes={} epoch={epoch:?} admitted={} share={:.4} level={:.1}",
            fleet.nodes.len(),
            fleet.admitted(),
            fleet.max_share as f64 / (1u64 << 32) as f64,
            fleet.max_level,
        );
        assert!(fleet.conserved(), "LIMITS_SEED={seed}");
        assert!(
            fleet.admitted() > 1000,
            "LIMITS_SEED={seed} admitted too little"
        );
    }
}

// Asserts that the conservation check fails on at least one seed.
fn assert_detected(defect: Defect) {
    let detected = (1..=8).find(|&seed| !run_with_faults(seed, defect).conserved());
    println!("{defect:?}: first detected with LIMITS_SEED={detected:?}");
    assert!(detected.is_some(), "{defect:?} was not detected");
}

// A majority is partitioned from the platform and the other members, and keeps
// renewing its leases among itself.
fn partitioned_majority(defect: Defect) -> Fleet {
    let timing = Timing {
        lease: Duration::from_secs(3),
        ..Timing::default()
    };
    let mut fleet = Fleet::new(1, 8, RATE, BURST, timing);
    fleet.restart(defect);
    fleet.faults.delay_ms = 20;
    fleet.run(Duration::from_secs(15));
    fleet.partition = (5, fleet.ms + 60_000);
    fleet.run(Duration::from_secs(30));
    let still_sharing = (0..5).all(|index| fleet.share(index) > 0);
    assert!(
        still_sharing || defect != Defect::None,
        "the majority stopped"
    );
    fleet.run(Duration::from_mins(1));
    fleet
}

// One instance is isolated. It must stop before the others use its floor.
fn isolated_member(defect: Defect) -> Fleet {
    let mut fleet = Fleet::new(1, 8, RATE, BURST, Timing::default());
    fleet.restart(defect);
    fleet.faults.delay_ms = 20;
    fleet.run(Duration::from_secs(15));
    assert!(fleet.share(0) > 0);
    fleet.isolate(0, 60_000);
    fleet.run(Duration::from_secs(30));
    let rest: u64 = (1..8).map(|index| fleet.share(index)).sum();
    assert!(rest > Share::WHOLE.get() / 10 * 9, "its floor is unused");
    fleet.run(Duration::from_mins(1));
    fleet
}

#[test]
fn check_detects_frozen_clocks() {
    assert_detected(Defect::FrozenClock);
}

#[test]
fn check_detects_endless_leases() {
    assert!(isolated_member(Defect::None).conserved());
    assert!(!isolated_member(Defect::EndlessLease).conserved());
}

#[test]
fn check_detects_forged_promises() {
    assert!(partitioned_majority(Defect::None).conserved());
    assert!(!partitioned_majority(Defect::ForgedPromise).conserved());
}

#[test]
fn check_detects_long_loans() {
    assert_detected(Defect::LongLoan);
}

// An owner dies while its floor is lent out, and restarts on the same address.
fn restarted_owner(seed: u64, defect: Defect) -> Fleet {
    let mut fleet = Fleet::new(seed, 4, RATE, BURST, Timing::default());
    fleet.restart(defect);
    fleet.faults.delay_ms = 20;
    for node in &mut fleet.nodes[1..] {
        node.weight = 0.01;
    }
    fleet.run(Duration::from_secs(15));
    assert!(fleet.share(0) > Share::WHOLE.get() / 10 * 9);
    for index in 1..4 {
        fleet.kill(index);
        fleet.run(Duration::from_secs(5));
    }
    fleet
}

#[test]
fn check_detects_reused_instance_ids() {
    let conserved = |seed, defect| restarted_owner(seed, defect).conserved();
    assert!((1..=8).all(|seed| conserved(seed, Defect::None)));
    assert!((1..=8).any(|seed| !conserved(seed, Defect::ReusedId)));
}

// Guards against losing track of loans when an owner removes a limit and adds
// it again before the loans end.
#[test]
fn readded_limit_keeps_its_loans() {
    for seed in seeds(4) {
        let mut fleet = Fleet::new(seed, 4, RATE, BURST, Timing::default());
        fleet.faults.delay_ms = 20;
        for node in &mut fleet.nodes[1..] {
            node.weight = 0.01;
        }
        fleet.run(Duration::from_secs(15));
        for index in 1..4 {
            fleet.set_limit(index, false);
            fleet.run(Duration::from_millis(200));
            fleet.set_limit(index, true);
            fleet.run(Duration::from_secs(3));
        }
        assert!(fleet.conserved(), "LIMITS_SEED={seed}");
    }
}
