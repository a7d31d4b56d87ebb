//! The instances that the directory names to callers.

mod rig;

use std::time::Duration;

use corianderway_model::Time;
use corianderway_steer::Event;
use corianderway_steer::Member;
use corianderway_steer::ServerChange;

use crate::rig::cluster::Cluster;

/// The processor time of a strong and of a weak instance, in thousandths of a core.
const STRONG: u32 = 500;
const WEAK: u32 = 100;

// Creates a failure domain with two strong and four weak instances, the strong ones
// first, and another domain of the region with two instances alike.
fn cluster() -> Cluster {
    let member = |number: usize, domain, millicores| Member {
        millicores,
        ..rig::member(&format!("entry-{number}"), "north", domain)
    };
    let near = (0..6).map(|number| {
        let millicores = if number < 2 { STRONG } else { WEAK };
        member(number, "north-a", millicores)
    });
    let far = (6..8).map(|number| member(number, "north-b", WEAK));
    let plan = || rig::plan(1, rig::routes(), None);
    Cluster::start(near.chain(far).collect(), Time::from_millis(1_000), plan)
}

// Advances the clock in turns of 10 ms, each with `requests` new requests at the
// instances of the first domain.
fn pass(cluster: &mut Cluster, span: Duration, requests: usize) {
    for turn in 0..span.as_millis() / 10 {
        let now = cluster.rigs[0].now + Duration::from_millis(10);
        cluster.turn(now);
        for number in 0..requests {
            let at = (turn as usize + number) % 6;
            if !cluster.cut.contains(&at) {
                cluster.rigs[at].request("/bids/1", None);
                cluster.collect(at);
            }
        }
        for (number, id, _) in std::mem::take(&mut cluster.forwarded) {
            let outcome = rig::answered(200);
            cluster.step(number, Event::AttemptEnded { id, outcome });
        }
    }
}

// Guards callers against instances with a tenth of a core and a slow link: each instance
// of a failure domain was named alike, and callers pick among them at random.
#[test]
fn only_the_strongest_instances_are_named_while_they_suffice() {
    let mut cluster = cluster();
    pass(&mut cluster, Duration::from_secs(8), 3);
    for by in [0, 1, 5, 7] {
        assert_eq!(cluster.named(by, "north", "north-a"), [0, 1], "by {by}");
        assert_eq!(cluster.named(by, "north", "north-b"), [6, 7], "by {by}");
    }
}

// Two strong instances have a second of processor time per second together; the requests
// of this test need more than they may use.
#[test]
fn all_instances_are_named_under_a_load_that_needs_them() {
    let mut cluster = cluster();
    pass(&mut cluster, Duration::from_secs(8), 9);
    assert_eq!(cluster.named(0, "north", "north-a"), [0, 1, 2, 3, 4, 5]);
    pass(&mut cluster, Duration::from_secs(20), 2);
    assert_eq!(cluster.named(0, "north", "north-a"), [0, 1]);
}

// Guards against a single instance being named, whose loss would leave none.
#[test]
fn the_weaker_instances_are_named_when_one_strong_is_left() {
    let mut cluster = cluster();
    pass(&mut cluster, Duration::from_secs(6), 3);
    cluster.cut = vec![1];
    pass(&mut cluster, Duration::from_secs(6), 3);
    assert_eq!(cluster.named(0, "north", "north-a"), [0, 2, 3, 4, 5]);
    cluster.cut = Vec::new();
    pass(&mut cluster, Duration::from_secs(6), 3);
    assert_eq!(cluster.named(0, "north", "north-a"), [0, 1]);
}

// Guards callers of a machine that has become slow: an instance that begins its periodic
// work 60 ms late is not named while others keep up.
#[test]
fn an_instance_that_does_not_keep_up_is_left_out() {
    let mut cluster = cluster();
    pass(&mut cluster, Duration::from_secs(6), 3);
    cluster.late = (vec![1], 16);
    pass(&mut cluster, Duration::from_secs(5), 3);
    assert_eq!(cluster.named(0, "north", "north-a"), [0, 2, 3, 4, 5]);
    assert_eq!(cluster.named(7, "north", "north-a"), [0, 2, 3, 4, 5]);
    assert_eq!(cluster.named(1, "north", "north-a"), [0, 2, 3, 4, 5]);
    cluster.late.0.clear();
    pass(&mut cluster, Duration::from_secs(5), 3);
    assert_eq!(cluster.named(0, "north", "north-a"), [0, 1]);
    // Both strong instances are late: their load is too high for them.
    cluster.late.0 = vec![0, 1];
    pass(&mut cluster, Duration::from_secs(5), 3);
    assert_eq!(cluster.named(7, "north", "north-a"), [0, 1, 2, 3, 4, 5]);
}

// Guards against windows that are divided among instances without callers: where 18 of
// 195 instances were named, each could send a server one request at a time.
#[test]
fn only_named_instances_share_the_window_of_a_server() {
    let mut cluster = cluster();
    pass(&mut cluster, Duration::from_secs(6), 3);
    let added = rig::server("bids-north-a-9", "bids", "north", "north-a");
    for number in 0..8 {
        let put = vec![ServerChange::Put(added.clone())];
        cluster.step(number, Event::Servers(put));
    }
    pass(&mut cluster, Duration::from_millis(200), 0);
    for _ in 0..60 {
        cluster.rigs[0].request("/bids/1", None);
        cluster.collect(0);
    }
    let sent = cluster
        .forwarded
        .iter()
        .filter(|sent| sent.2 == added.backend.id);
    // Two strong instances here and two in the other domain share four slots; each may
    // have one more request on its way.
    assert_eq!(sent.count(), 2);
}
