//! The source from which each instance follows the store's contents.

mod rig;

use std::time::Duration;

use corianderway_model::Time;
use corianderway_steer::InputKind;
use corianderway_steer::Source;

use crate::rig::cluster::Cluster;

/// The number of instances in each of two failure domains in two regions.
const DOMAIN_SIZE: usize = 5;

/// The time within which an instance must have changed its source: a change of the
/// configuration must be in force within it and the time for the change itself.
const MAX_CHANGE_TIME: Duration = Duration::from_millis(2_200);

fn cluster() -> Cluster {
    cluster_of(DOMAIN_SIZE)
}

fn cluster_of(size: usize) -> Cluster {
    let members = (0..2 * size).map(|number| {
        let (letter, region, domain) = if number < size {
            ('a', "north", "north-a")
        } else {
            ('f', "south", "south-a")
        };
        rig::member(&format!("entry-{letter}{number:02}"), region, domain)
    });
    let plan = || rig::plan(1, rig::routes(), None);
    let mut cluster = Cluster::start(members.collect(), Time::from_millis(1_000), plan);
    pass(&mut cluster, Duration::from_secs(5));
    cluster
}

fn pass(cluster: &mut Cluster, span: Duration) {
    for _ in 0..span.as_millis() / 10 {
        let now = cluster.rigs[0].now + Duration::from_millis(10);
        cluster.turn(now);
    }
}

// Returns the numbers of the instances that follow the store.
fn following(cluster: &Cluster) -> Vec<usize> {
    let numbered = cluster.sources.iter().enumerate();
    let stored = numbered.filter(|row| *row.1 == Source::Store);
    stored.map(|row| row.0).collect()
}

// Returns the connected instances that follow neither the store nor a replica.
fn detached(cluster: &Cluster) -> Vec<usize> {
    let numbered = cluster.sources.iter().enumerate();
    let detached = numbered.filter(|row| *row.1 == Source::Nothing);
    let detached = detached.map(|row| row.0);
    detached.filter(|at| !cluster.cut.contains(at)).collect()
}

// Returns the connected instances that wait for a replica whose instance does not follow
// the store.
fn waiting(cluster: &Cluster) -> Vec<usize> {
    let numbers = 0..cluster.members.len();
    let waiting = numbers.filter(|at| cluster.waits(*at));
    waiting.filter(|at| !cluster.cut.contains(at)).collect()
}

// Guards the number of watches on the store: without replicas, all ten instances followed
// it.
#[test]
fn one_instance_of_each_domain_follows_the_store() {
    let cluster = cluster();
    assert_eq!(following(&cluster), [0, DOMAIN_SIZE]);
    assert_eq!(detached(&cluster), []);
}

#[test]
fn another_instance_follows_the_store_if_the_first_cannot() {
    let mut cluster = cluster();
    cluster.without_store = vec![0];
    pass(&mut cluster, MAX_CHANGE_TIME);
    assert_eq!(detached(&cluster), []);
    let stored = following(&cluster);
    assert!(!stored.contains(&0) && stored.iter().any(|at| *at < DOMAIN_SIZE));
}

// Guards against a late configuration when the first instances of a domain can't reach
// the store: the others waited for one after the other (run hunt-53ee-7 of lvr-glb-grown,
// CONFIG).
#[test]
fn the_first_by_rank_that_reaches_the_store_follows_it() {
    for without_store in [vec![0, 1], vec![0, 1, 2], vec![0, 1, 2, 3]] {
        let mut cluster = cluster();
        cluster.without_store.clone_from(&without_store);
        pass(&mut cluster, MAX_CHANGE_TIME);
        assert_eq!(detached(&cluster), [], "{without_store:?}");
        let sources: Vec<_> = cluster.sources.iter().take(DOMAIN_SIZE).collect();
        let stored = |s: &&&Source| ***s == Source::Store;
        assert!(
            sources.iter().any(|s| stored(&s)),
            "{without_store:?}: {sources:?}"
        );
        assert_eq!(waiting(&cluster), [], "{without_store:?}: {sources:?}");
    }
}

// Guards against a late configuration when only the last instance of a large domain
// reaches the store: the ninth of nine still used the previous configuration after 3.6 s
// (run hunt-7a40-3 of trazo-central-grown, HOME).
#[test]
fn the_last_of_a_large_domain_follows_the_store_in_time() {
    for size in [9, 32] {
        let mut cluster = cluster_of(size);
        cluster.without_store = (0..size - 1).collect();
        pass(&mut cluster, MAX_CHANGE_TIME);
        let source = cluster.sources[size - 1];
        assert_eq!(source, Source::Store, "of {size}");
        pass(&mut cluster, MAX_CHANGE_TIME);
        assert_eq!(detached(&cluster), [], "of {size}");
        assert_eq!(waiting(&cluster), [], "of {size}");
    }
}

#[test]
fn another_instance_follows_the_store_if_the_first_is_lost() {
    let mut cluster = cluster();
    for lost in [vec![0], vec![0, 1], vec![0, 1, 2, 3]] {
        cluster.cut.clone_from(&lost);
        pass(&mut cluster, MAX_CHANGE_TIME);
        assert_eq!(detached(&cluster), [], "after the loss of {lost:?}");
        pass(&mut cluster, Duration::from_secs(8));
        let stored = following(&cluster);
        let live = stored
            .iter()
            .filter(|at| **at < DOMAIN_SIZE && !lost.contains(at));
        assert_eq!(live.count(), 1, "one follows the store: {stored:?}");
        cluster.cut.clear();
        pass(&mut cluster, Duration::from_secs(8));
        assert_eq!(following(&cluster), [0, DOMAIN_SIZE]);
    }
}

#[test]
fn a_domain_without_the_store_follows_a_replica_of_another() {
    let mut cluster = cluster();
    cluster.without_store = (0..DOMAIN_SIZE).collect();
    pass(&mut cluster, MAX_CHANGE_TIME);
    assert_eq!(detached(&cluster), []);
    assert_eq!(following(&cluster), [DOMAIN_SIZE]);
    cluster.without_store.clear();
    pass(&mut cluster, Duration::from_secs(10));
    assert_eq!(following(&cluster), [0, DOMAIN_SIZE]);
}

#[test]
fn all_follow_a_source_again_after_an_outage_of_the_store() {
    let mut cluster = cluster();
    cluster.without_store = (0..2 * DOMAIN_SIZE).collect();
    pass(&mut cluster, Duration::from_secs(6));
    assert_eq!(following(&cluster), []);
    cluster.without_store.clear();
    pass(&mut cluster, Duration::from_secs(2));
    assert_eq!(detached(&cluster), []);
}

// Guards against a source whose watch silently stopped: the other instances must not rely
// on its replica when another domain has observed a later revision.
#[test]
fn a_lagging_replica_is_abandoned() {
    let mut cluster = cluster();
    for number in DOMAIN_SIZE..2 * DOMAIN_SIZE {
        cluster.step(number, rig::revisions(InputKind::Plan, 50));
    }
    pass(&mut cluster, MAX_CHANGE_TIME);
    let stored = following(&cluster);
    let fresh = stored.iter().filter(|at| **at > 0 && **at < DOMAIN_SIZE);
    assert!(fresh.count() >= 1, "{stored:?}");
}
