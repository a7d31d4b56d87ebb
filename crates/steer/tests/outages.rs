//! That a true outage of the store costs no live server, for those that follow the replica of
//! an instance that lost the store: in virtual time, with drawn times of each step.

mod rig;

use std::time::Duration;

use corianderway_model::Time;
use corianderway_steer::Event;
use corianderway_steer::InputKind;
use corianderway_steer::ServerChange;
use corianderway_steer::Source;
use rand::rngs::SmallRng;
use rand::Rng as _;
use rand::SeedableRng as _;

use crate::rig::cluster::Cluster;

/// The number of draws.
const DRAWS: u64 = 100;

/// The time of a turn.
const TURN: Duration = Duration::from_millis(10);

/// A live server whose entry lapses during the outage.
const SERVER: &str = "bids-north-a-1";

/// When an entry lapses, after the start of the outage, and is back, after the end.
const LAPSE_TIME: Duration = Duration::from_secs(1);
const RETURN_TIME: Duration = Duration::from_millis(1_500);

/// The times of an outage, from its start on.
struct Outage {
    end: Duration,
    // When each instance misses a check, if it reads the store, and when it loses the store.
    missed: Vec<Duration>,
    lost: Vec<Duration>,
}

impl Outage {
    // An outage that ends soon after the first reader takes the store for lost.
    fn draw(rng: &mut SmallRng, size: usize) -> Self {
        let mut draw = |range| Duration::from_millis(rng.random_range(range));
        let missed = (0..size).map(|_| draw(700..=1_200)).collect();
        let lost: Vec<Duration> = (0..size).map(|_| draw(1_400..=1_900)).collect();
        let end = lost[0] + draw(20..=1_000);
        // One that gets an answer before does not lose it.
        let lost = lost.into_iter();
        let lost = lost.map(|at| if at > end { Duration::MAX } else { at });
        Self {
            end,
            missed,
            lost: lost.collect(),
        }
    }
}

// Returns the instances that drop the live server.
fn dropped_by(seed: u64) -> Vec<usize> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let size = rng.random_range(2..=6);
    let members = (0..2 * size).map(|number| {
        let (letter, region, domain) = if number < size {
            ('a', "north", "north-a")
        } else {
            ('f', "south", "south-a")
        };
        rig::member(&format!("entry-{letter}{number:02}"), region, domain)
    });
    let mut now = Time::from_millis(1_000);
    let mut cluster = Cluster::start(members.collect(), now, || rig::plan(1, rig::routes(), None));
    let links = rng.random_range(0..=6);
    cluster.slow = ((0..2 * size).collect(), links);
    let settled = now + Duration::from_millis(rng.random_range(5_000..6_000));
    while now < settled {
        now = now + TURN;
        cluster.turn(now);
    }
    let outage = Outage::draw(&mut rng, 2 * size);
    let start = now;
    let mut listed = vec![false; 2 * size];
    while now < start + Duration::from_secs(8) {
        now = now + TURN;
        let since = now.since(start);
        let before = since.checked_sub(TURN).expect("a turn");
        let falls = |at: Duration| before < at && at <= since;
        for number in 0..2 * size {
            if cluster.sources[number] == Source::Store && falls(outage.missed[number]) {
                cluster.step(number, Event::CheckMissed);
            }
        }
        let away = |number: &usize| since >= outage.lost[*number] && since < outage.end;
        cluster.without_store = (0..2 * size).filter(away).collect();
        cluster.turn(now);
        // Whoever reads the store after the lapse learns a list without the entry.
        for (number, listed) in listed.iter_mut().enumerate() {
            let reads = cluster.sources[number] == Source::Store;
            let lapsed = since >= outage.end.max(LAPSE_TIME) && since < outage.end + RETURN_TIME;
            if reads && lapsed && !*listed {
                *listed = true;
                let id = SERVER.try_into().expect("a server id");
                cluster.step(number, Event::Servers(vec![ServerChange::Removed(id)]));
                cluster.step(number, rig::revisions(InputKind::Servers, 50));
            }
        }
        if falls(outage.end + RETURN_TIME) {
            let servers = rig::servers();
            let back = servers
                .into_iter()
                .filter(|s| s.backend.id.as_str() == SERVER);
            let back: Vec<ServerChange> = back.map(ServerChange::Put).collect();
            for number in 0..2 * size {
                cluster.step(number, Event::Servers(back.clone()));
            }
        }
    }
    // Those whose neighbor took the store for lost.
    let follows = |number: &usize| (1..size).contains(number);
    let left = cluster.left.iter().filter(|row| row.1 == SERVER);
    left.map(|row| row.0).filter(follows).collect()
}

// Guards against the loss of live servers after an outage that ended before others than the
// neighbor took the store for lost: they have missed a check, and tell so.
#[test]
fn a_live_server_is_kept_after_an_outage() {
    let draws = (0..DRAWS).map(|seed| (seed, dropped_by(seed)));
    let dropped: Vec<_> = draws.filter(|row| !row.1.is_empty()).collect();
    assert!(
        dropped.is_empty(),
        "{} of {DRAWS}: {dropped:?}",
        dropped.len()
    );
}
