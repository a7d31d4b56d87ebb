//! The choice of each failure domain's relay, and what other domains know of its
//! instances.

mod rig;

use std::time::Duration;

use corianderway_model::Time;

use crate::rig::cluster::Cluster;

/// The number of instances in each failure domain.
const DOMAIN_SIZE: usize = 4;

// Creates three failure domains in two regions, with four instances each.
fn cluster() -> Cluster {
    let domains = [
        ("north", "north-a"),
        ("north", "north-b"),
        ("south", "south-a"),
    ];
    let members = domains
        .iter()
        .enumerate()
        .flat_map(|(at, (region, domain))| {
            // The ports are a hash of the name, and these names don't collide.
            let name = move |number| format!("entry-{}{}", (b'a' + at as u8 * 5) as char, number);
            (0..DOMAIN_SIZE).map(move |number| rig::member(&name(number), region, domain))
        });
    let plan = || rig::plan(1, rig::routes(), None);
    Cluster::start(members.collect(), Time::from_millis(1_000), plan)
}

// Advances the clock in turns of 10 ms.
fn pass(cluster: &mut Cluster, span: Duration) {
    let turns = span.as_millis() / 10;
    for _ in 0..turns {
        let now = cluster.rigs[0].now + Duration::from_millis(10);
        cluster.turn(now);
    }
}

// Guards the cost of traffic between failure domains: when each instance sent its state
// to every other one, twelve sent 96 messages per second to other domains.
#[test]
fn only_relays_send_to_other_failure_domains() {
    let mut cluster = cluster();
    pass(&mut cluster, Duration::from_secs(5));
    cluster.cross_domain = 0;
    pass(&mut cluster, Duration::from_secs(10));
    // Each of three relays sends to two others, twice per second.
    assert!(
        (100..=130).contains(&cluster.cross_domain),
        "{}",
        cluster.cross_domain
    );
}

#[test]
fn every_instance_knows_all_serving_instances() {
    let mut cluster = cluster();
    pass(&mut cluster, Duration::from_secs(2));
    for by in [0, 3, 5, 11] {
        let south = cluster.named(by, "south", "south-a");
        assert_eq!(south, [8, 9, 10, 11], "by {by}");
    }
}

#[test]
fn a_domain_stays_known_after_its_relay_is_lost() {
    let mut cluster = cluster();
    pass(&mut cluster, Duration::from_secs(5));
    // All have the same processor time, so the first by name is the relay.
    cluster.cut = vec![8];
    for _ in 0..60 {
        pass(&mut cluster, Duration::from_millis(100));
        let south = cluster.named(0, "south", "south-a");
        assert!([9, 10, 11].iter().all(|at| south.contains(at)), "{south:?}");
    }
    let south = cluster.named(0, "south", "south-a");
    assert!(!south.contains(&8), "{south:?}");
}

#[test]
fn the_directory_omits_an_instance_seven_seconds_after_its_loss() {
    let mut cluster = cluster();
    pass(&mut cluster, Duration::from_secs(5));
    for lost in [vec![9], vec![8, 9], vec![8, 9, 10, 11]] {
        cluster.cut.clone_from(&lost);
        pass(&mut cluster, Duration::from_secs(7));
        for by in [0, 2, 6] {
            let south = cluster.named(by, "south", "south-a");
            assert!(lost.iter().all(|at| !south.contains(at)), "{south:?}");
        }
        cluster.cut.clear();
        pass(&mut cluster, Duration::from_secs(7));
        let south = cluster.named(0, "south", "south-a");
        assert_eq!(south.len(), DOMAIN_SIZE, "all return: {south:?}");
    }
}

#[test]
fn the_first_by_rank_is_the_only_relay_after_its_return() {
    let mut cluster = cluster();
    pass(&mut cluster, Duration::from_secs(5));
    cluster.cut = vec![8, 9, 10];
    pass(&mut cluster, Duration::from_secs(8));
    cluster.cut.clear();
    pass(&mut cluster, Duration::from_secs(8));
    cluster.cross_domain = 0;
    pass(&mut cluster, Duration::from_secs(10));
    assert!(
        (100..=130).contains(&cluster.cross_domain),
        "{}",
        cluster.cross_domain
    );
}
