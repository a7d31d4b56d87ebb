//! Keyed requests are served during a platform outage, and refused where a
//! withdrawal may have been missed.

mod common;

use std::time::Duration;

use corianderway_control::Age;
use corianderway_control::ConfigSet;
use corianderway_control::Digest;
use corianderway_control::DomainAge;
use corianderway_control::DomainHash;
use corianderway_control::Freshness;
use corianderway_control::FreshnessReport;
use corianderway_control::Id;
use corianderway_control::Kind;
use corianderway_control::Object;
use corianderway_control::Standing;
use corianderway_control::CONTACT_TTL;
use corianderway_model::FailureDomain;
use corianderway_model::Time;
use rand::Rng;

use crate::common::seeds;
use crate::common::Faults;
use crate::common::Fleet;

const NODES: usize = 12;
const REGIONS: usize = 3;
const AFTER_EXPIRY: Duration = Duration::from_secs(6);
const KEYS: usize = 8;

fn started_fleet(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(seed, NODES, REGIONS);
    fleet.run_for(Duration::from_secs(20));
    assert!(
        (0..NODES).all(|at| standing(&fleet, at) == Standing::Current),
        "seed {seed}"
    );
    fleet
}

fn standing(fleet: &Fleet, at: usize) -> Standing {
    fleet.node(at).control.standing(fleet.now)
}

fn domain(name: &str) -> FailureDomain {
    FailureDomain::try_from(name).unwrap()
}

#[test]
fn platform_outage_stops_no_keyed_request() {
    for seed in seeds(3) {
        let mut fleet = started_fleet(seed);
        fleet.store.down = true;
        for second in 0..180 {
            fleet.run_for(Duration::from_secs(1));
            let serving = (0..NODES).all(|at| standing(&fleet, at).serves_keyed());
            assert!(serving, "seed {seed}: second {second}");
        }
    }
}

#[test]
fn instance_cut_off_from_all_refuses_within_seconds() {
    for seed in seeds(3) {
        let mut fleet = Fleet::new(seed, NODES, NODES);
        fleet.run_for(Duration::from_secs(20));
        fleet.partitions = (0..NODES).filter(|at| *at != 5).map(|at| (5, at)).collect();
        fleet.run_for(AFTER_EXPIRY);
        assert_eq!(standing(&fleet, 5), Standing::Isolated, "seed {seed}");
        assert!(standing(&fleet, 4).serves_keyed(), "seed {seed}");
    }
}

#[test]
fn region_cut_off_refuses_while_others_serve() {
    for seed in seeds(3) {
        let mut fleet = started_fleet(seed);
        fleet.partitions = vec![(2, 0), (2, 1)];
        fleet.run_for(AFTER_EXPIRY);
        for at in 0..NODES {
            let cut_off = fleet.region(at) == 2;
            assert_eq!(
                standing(&fleet, at).serves_keyed(),
                !cut_off,
                "seed {seed}: {at}"
            );
        }
    }
}

#[test]
fn loss_of_the_platform_region_stops_no_other_region() {
    for seed in seeds(3) {
        let mut fleet = started_fleet(seed);
        fleet.store.down = true;
        for at in (0..NODES).filter(|at| at % REGIONS == 0) {
            fleet.stop(at);
        }
        for second in 0..60 {
            fleet.run_for(Duration::from_secs(1));
            let rest = (0..NODES).filter(|at| at % REGIONS != 0);
            let serving = rest
                .clone()
                .filter(|at| standing(&fleet, *at).serves_keyed());
            assert_eq!(
                serving.count(),
                rest.count(),
                "seed {seed}: second {second}"
            );
        }
    }
}

fn key(name: usize) -> Id {
    Id::new(Kind::Key, format!("k{name}"))
}

fn withdrawn(set: &ConfigSet, name: usize) -> bool {
    set.get(&key(name)).is_some_and(|o| o.version > 1)
}

// Whether the platform and every instance in most failure domains hold a withdrawal.
fn accepted(fleet: &Fleet, name: usize) -> bool {
    let mut domains = fleet.running().map(|n| &n.entry.domain).collect::<Vec<_>>();
    domains.sort();
    domains.dedup();
    let holds = |d: &&&FailureDomain| {
        let mut inside = fleet.running().filter(|n| n.entry.domain == ***d);
        inside.all(|n| withdrawn(n.control.config(), name))
    };
    let stored = fleet.store.version(&key(name)) > 1;
    stored && domains.iter().filter(holds).count() * 2 > domains.len()
}

fn random_fault(fleet: &mut Fleet) {
    let at = fleet.rng.random_range(0..NODES);
    let other = fleet.rng.random_range(0..REGIONS);
    match fleet.rng.random_range(0..9) {
        0 => fleet.pause(at),
        1 | 2 => fleet.resume(at),
        3 => fleet.store.down = !fleet.store.down,
        4 => fleet.store.answer_delay = Duration::from_millis(fleet.rng.random_range(0..3000)),
        5 | 6 => fleet.partitions.push((at % REGIONS, other)),
        7 => fleet.replace(at),
        _ => {
            fleet.partitions.clear();
            fleet.faults = Faults {
                lost: fleet.rng.random_range(0.0..0.2),
                duplicated: fleet.rng.random_range(0.0..0.2),
                delayed: fleet.rng.random_range(0.0..0.2),
            };
        }
    }
}

/// [`CONTACT_TTL`] after a withdrawal was accepted, no instance that lacks it serves
/// keyed requests, whatever is cut off, paused, delayed, replaced or down.
#[test]
fn no_serving_instance_misses_an_accepted_withdrawal() {
    let mut cases = 0;
    for seed in seeds(6) {
        println!("CONTROL_SEED={seed}");
        let mut fleet = started_fleet(seed);
        for name in 0..KEYS {
            fleet.write(name % NODES, Object::new(key(name), 1, "granted"));
        }
        fleet.run_for(Duration::from_secs(5));
        let mut since = [None; KEYS];
        for step in 0..200 {
            if step % 2 == 0 {
                random_fault(&mut fleet);
            }
            if step % 25 == 10 {
                let at = fleet.rng.random_range(0..NODES);
                fleet.write(at, Object::new(key(step / 25), 2, "withdrawn"));
            }
            fleet.run_for(Duration::from_millis(250));
            for (name, since) in since.iter_mut().enumerate() {
                if since.is_none() && accepted(&fleet, name) {
                    *since = Some(fleet.now);
                }
                cases += check_withdrawn(&fleet, name, *since, seed);
            }
        }
    }
    let one_seed = seeds(6).len() == 1;
    assert!(
        cases > 100 || one_seed,
        "only {cases} cases had an instance that lacks the withdrawal"
    );
}

fn check_withdrawn(fleet: &Fleet, name: usize, since: Option<Time>, seed: u64) -> usize {
    let expired = since.is_some_and(|at| fleet.now.since(at) > CONTACT_TTL);
    let nodes = fleet.running().filter(|n| !n.paused && expired);
    let missed = nodes.filter(|n| !withdrawn(n.control.config(), name));
    let mut cases = 0;
    for node in missed {
        cases += 1;
        let serves = node.control.standing(fleet.now).serves_keyed();
        let id = &node.entry.id;
        assert!(!serves, "seed {seed}: {id} accepts withdrawn key {name}");
    }
    cases
}

fn report_of(keys: Digest, ages: &[(&str, u16)]) -> FreshnessReport {
    let mut other = Freshness::new(&domain("a"));
    other.set_domains(&[domain("b"), domain("c")]);
    let counted = other.report(Time::ZERO, keys).counted;
    let domains = ages
        .iter()
        .map(|(name, age)| DomainAge(DomainHash::from(&domain(name)), Age(*age)));
    FreshnessReport {
        keys,
        counted,
        platform: None,
        domains: domains.collect(),
    }
}

fn tracker() -> Freshness {
    let mut fresh = Freshness::new(&domain("a"));
    fresh.set_domains(&[domain("b"), domain("c")]);
    fresh
}

#[test]
fn contact_with_most_failure_domains_is_enough() {
    let now = Time::from_millis(60_000);
    let mut fresh = tracker();
    fresh.apply_report(now, Digest(1), &report_of(Digest(1), &[("b", 0)]));
    assert_eq!(fresh.standing(now), Standing::Isolated);
    fresh.apply_report(now, Digest(1), &report_of(Digest(1), &[("c", 4000)]));
    assert_eq!(fresh.standing(now), Standing::PeersOnly);
    let later = now + Duration::from_millis(1001);
    assert_eq!(fresh.standing(later), Standing::Isolated);
}

#[test]
fn report_with_another_key_digest_is_ignored() {
    let now = Time::from_millis(60_000);
    let mut fresh = tracker();
    let report = report_of(Digest(2), &[("b", 0), ("c", 0)]);
    assert!(!fresh.apply_report(now, Digest(1), &report));
    assert_eq!(fresh.standing(now), Standing::Isolated);
}

#[test]
fn report_age_counts_from_the_probe_and_not_from_the_arrival() {
    let asked = Time::from_millis(60_000);
    let arrived = asked + CONTACT_TTL * 2;
    let mut fresh = tracker();
    fresh.apply_report(
        asked,
        Digest(1),
        &report_of(Digest(1), &[("b", 0), ("c", 0)]),
    );
    assert_eq!(fresh.standing(arrived), Standing::Isolated);
}

#[test]
fn isolated_instance_does_not_report_its_failure_domain() {
    let now = Time::from_millis(60_000);
    let mut fresh = tracker();
    assert!(fresh.report(now, Digest(1)).domains.is_empty());
    fresh.platform_answered(Time::from_millis(57_000));
    assert_eq!(fresh.report(now, Digest(1)).domains.len(), 1);
}
