//! What instances follow to know what the store holds.

mod rig;

use std::time::Duration;

use corianderway_model::Time;
use corianderway_steer::Event;
use corianderway_steer::Source;

use crate::rig::crowd::Crowd;

/// Instances of each of two failure domains of two regions.
const EACH: usize = 5;

/// The time in which a change of the configuration has to be in force, less
/// the time for the change itself.
const TAKEOVER: Duration = Duration::from_millis(2_200);

fn crowd() -> Crowd {
    crowd_of(EACH)
}

fn crowd_of(each: usize) -> Crowd {
    let members = (0..2 * each).map(|number| {
        let (letter, region, domain) = if number < each {
            ('a', "north", "north-a")
        } else {
            ('f', "south", "south-a")
        };
        rig::member(&format!("entry-{letter}{number:02}"), region, domain)
    });
    let plan = || rig::plan(1, rig::routes(), None);
    let mut crowd = Crowd::start(members.collect(), Time::from_millis(1_000), plan);
    pass(&mut crowd, Duration::from_secs(5));
    crowd
}

fn pass(crowd: &mut Crowd, span: Duration) {
    for _ in 0..span.as_millis() / 10 {
        let now = crowd.rigs[0].now + Duration::from_millis(10);
        crowd.turn(now);
    }
}

// Instances that follow the store, by number.
fn following(crowd: &Crowd) -> Vec<usize> {
    let numbered = crowd.sources.iter().enumerate();
    let stored = numbered.filter(|row| *row.1 == Source::Store);
    stored.map(|row| row.0).collect()
}

// Instances that follow neither the store nor a copy of it.
fn lost(crowd: &Crowd) -> Vec<usize> {
    let numbered = crowd.sources.iter().enumerate();
    let lost = numbered.filter(|row| *row.1 == Source::Nothing);
    let lost = lost.map(|row| row.0);
    lost.filter(|at| !crowd.cut.contains(at)).collect()
}

// Instances that wait for a copy that does not follow the store.
fn waiting(crowd: &Crowd) -> Vec<usize> {
    let numbers = 0..crowd.members.len();
    let waiting = numbers.filter(|at| crowd.waits(*at));
    waiting.filter(|at| !crowd.cut.contains(at)).collect()
}

// When each instance followed the store itself, all ten did.
#[test]
fn one_instance_of_each_domain_follows_the_store() {
    let crowd = crowd();
    assert_eq!(following(&crowd), [0, EACH]);
    assert_eq!(lost(&crowd), []);
}

#[test]
fn another_takes_over_from_one_that_the_store_turns_away() {
    let mut crowd = crowd();
    crowd.away = vec![0];
    pass(&mut crowd, TAKEOVER);
    assert_eq!(lost(&crowd), []);
    let stored = following(&crowd);
    assert!(!stored.contains(&0) && stored.iter().any(|at| *at < EACH));
}

// A hunt found it: hunt-53ee-7 of lvr-glb-grown, CONFIG, where the store turned
// away the first instances of a domain. The others waited for one after the other.
#[test]
fn the_first_that_can_takes_over_when_the_store_turns_several_away() {
    for away in [vec![0, 1], vec![0, 1, 2], vec![0, 1, 2, 3]] {
        let mut crowd = crowd();
        crowd.away.clone_from(&away);
        pass(&mut crowd, TAKEOVER);
        assert_eq!(lost(&crowd), [], "{away:?}");
        let sources: Vec<_> = crowd.sources.iter().take(EACH).collect();
        let stored = |s: &&&Source| ***s == Source::Store;
        assert!(sources.iter().any(|s| stored(&s)), "{away:?}: {sources:?}");
        assert_eq!(waiting(&crowd), [], "{away:?}: {sources:?}");
    }
}

// A hunt found it: hunt-7a40-3 of trazo-central-grown, HOME, where the store
// turned away eight instances of a domain of nine, and the ninth still used
// the configuration before after 3.6 s.
#[test]
fn the_last_of_a_large_domain_takes_over_in_time() {
    for each in [9, 32] {
        let mut crowd = crowd_of(each);
        crowd.away = (0..each - 1).collect();
        pass(&mut crowd, TAKEOVER);
        let source = crowd.sources[each - 1];
        assert_eq!(source, Source::Store, "of {each}");
        pass(&mut crowd, TAKEOVER);
        assert_eq!(lost(&crowd), [], "of {each}");
        assert_eq!(waiting(&crowd), [], "of {each}");
    }
}

#[test]
fn another_takes_over_from_one_that_dies() {
    let mut crowd = crowd();
    for dead in [vec![0], vec![0, 1], vec![0, 1, 2, 3]] {
        crowd.cut.clone_from(&dead);
        pass(&mut crowd, TAKEOVER);
        assert_eq!(lost(&crowd), [], "after the death of {dead:?}");
        pass(&mut crowd, Duration::from_secs(8));
        let stored = following(&crowd);
        let live = stored.iter().filter(|at| **at < EACH && !dead.contains(at));
        assert_eq!(live.count(), 1, "one is enough: {stored:?}");
        crowd.cut.clear();
        pass(&mut crowd, Duration::from_secs(8));
        assert_eq!(following(&crowd), [0, EACH]);
    }
}

#[test]
fn a_domain_that_the_store_turns_away_follows_another_one() {
    let mut crowd = crowd();
    crowd.away = (0..EACH).collect();
    pass(&mut crowd, TAKEOVER);
    assert_eq!(lost(&crowd), []);
    assert_eq!(following(&crowd), [EACH]);
    crowd.away.clear();
    pass(&mut crowd, Duration::from_secs(10));
    assert_eq!(following(&crowd), [0, EACH]);
}

#[test]
fn all_find_back_when_the_store_was_away() {
    let mut crowd = crowd();
    crowd.away = (0..2 * EACH).collect();
    pass(&mut crowd, Duration::from_secs(6));
    assert_eq!(following(&crowd), []);
    crowd.away.clear();
    pass(&mut crowd, Duration::from_secs(2));
    assert_eq!(lost(&crowd), []);
}

// The first of a domain hears nothing more, and does not notice: the others
// must not rely on it when another domain has seen a later change.
#[test]
fn a_copy_that_is_behind_is_left() {
    let mut crowd = crowd();
    for number in EACH..2 * EACH {
        crowd.step(number, Event::Revision(50));
    }
    pass(&mut crowd, TAKEOVER);
    let stored = following(&crowd);
    let fresh = stored.iter().filter(|at| **at > 0 && **at < EACH);
    assert!(fresh.count() >= 1, "{stored:?}");
}
