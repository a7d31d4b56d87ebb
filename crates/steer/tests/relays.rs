//! Who speaks for a failure domain, and what the others know of its instances.

mod rig;

use std::net::SocketAddr;
use std::time::Duration;

use corianderway_model::Time;
use corianderway_steer::Action;
use corianderway_steer::Event;
use corianderway_steer::Member;
use corianderway_steer::RequestId;

use crate::rig::crowd::Crowd;

/// Instances of each failure domain.
const EACH: usize = 4;

// Three failure domains of two regions, with four instances each.
fn crowd() -> Crowd {
    let domains = [
        ("north", "north-a"),
        ("north", "north-b"),
        ("south", "south-a"),
    ];
    let members = domains
        .iter()
        .enumerate()
        .flat_map(|(at, (region, domain))| {
            // Names differ by their letter sums, from which the addresses are made.
            let name = move |number| format!("entry-{}{}", (b'a' + at as u8 * 5) as char, number);
            (0..EACH).map(move |number| rig::member(&name(number), region, domain))
        });
    let plan = || rig::plan(1, rig::routes(), None);
    Crowd::start(members.collect(), Time::from_millis(1_000), plan)
}

// Lets time pass in turns of ten milliseconds.
fn pass(crowd: &mut Crowd, span: Duration) {
    let turns = span.as_millis() / 10;
    for _ in 0..turns {
        let now = crowd.rigs[0].now + Duration::from_millis(10);
        crowd.turn(now);
    }
}

// The instances that one of them names to a caller of a region, by number.
fn named(crowd: &mut Crowd, by: usize, region: &str, domain: &str) -> Vec<usize> {
    let event = Event::Directory {
        id: RequestId(9_000),
        region: region.try_into().ok(),
        domain: domain.try_into().ok(),
    };
    crowd.rigs[by].step(event);
    let answer = crowd.rigs[by].out.iter().find_map(|action| match action {
        Action::Direct { entries, .. } => Some(entries.clone()),
        _ => None,
    });
    crowd.collect(by);
    let number = |addr: &SocketAddr| {
        let of = |m: &Member| m.entry.callers == *addr;
        crowd.members.iter().position(of).unwrap()
    };
    answer.unwrap().iter().map(number).collect()
}

// When each instance told every other one, twelve sent 96 messages a second to
// other failure domains.
#[test]
fn only_relays_tell_other_failure_domains() {
    let mut crowd = crowd();
    pass(&mut crowd, Duration::from_secs(5));
    crowd.crossed = 0;
    pass(&mut crowd, Duration::from_secs(10));
    // Each of three relays tells two others, twice a second.
    assert!((100..=130).contains(&crowd.crossed), "{}", crowd.crossed);
}

#[test]
fn every_instance_knows_all_that_serve() {
    let mut crowd = crowd();
    pass(&mut crowd, Duration::from_secs(2));
    for by in [0, 3, 5, 11] {
        let mut south = named(&mut crowd, by, "south", "south-a");
        south.sort_unstable();
        assert_eq!(south, [8, 9, 10, 11], "by {by}");
    }
}

#[test]
fn a_domain_stays_known_when_its_relay_dies() {
    let mut crowd = crowd();
    pass(&mut crowd, Duration::from_secs(5));
    // All have the same processor time, so the first by name relays.
    crowd.cut = vec![8];
    for _ in 0..60 {
        pass(&mut crowd, Duration::from_millis(100));
        let south = named(&mut crowd, 0, "south", "south-a");
        assert!([9, 10, 11].iter().all(|at| south.contains(at)), "{south:?}");
    }
    let south = named(&mut crowd, 0, "south", "south-a");
    assert!(!south.contains(&8), "{south:?}");
}

#[test]
fn nobody_names_an_instance_that_died_seven_seconds_ago() {
    let mut crowd = crowd();
    pass(&mut crowd, Duration::from_secs(5));
    for dead in [vec![9], vec![8, 9], vec![8, 9, 10, 11]] {
        crowd.cut.clone_from(&dead);
        pass(&mut crowd, Duration::from_secs(7));
        for by in [0, 2, 6] {
            let south = named(&mut crowd, by, "south", "south-a");
            assert!(dead.iter().all(|at| !south.contains(at)), "{south:?}");
        }
        crowd.cut.clear();
        pass(&mut crowd, Duration::from_secs(7));
        let south = named(&mut crowd, 0, "south", "south-a");
        assert_eq!(south.len(), EACH, "all are back: {south:?}");
    }
}

#[test]
fn the_first_by_rank_relays_again_after_its_return() {
    let mut crowd = crowd();
    pass(&mut crowd, Duration::from_secs(5));
    crowd.cut = vec![8, 9, 10];
    pass(&mut crowd, Duration::from_secs(8));
    crowd.cut.clear();
    pass(&mut crowd, Duration::from_secs(8));
    crowd.crossed = 0;
    pass(&mut crowd, Duration::from_secs(10));
    assert!((100..=130).contains(&crowd.crossed), "{}", crowd.crossed);
}
