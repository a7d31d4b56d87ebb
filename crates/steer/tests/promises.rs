//! No false promise, as the backend servers see it.
//!
//! A refusal with status 408, 421, 429 or 503 promises that the request has not run and never
//! will. An attempt that was forwarded may run at any time until its outcome shows that it
//! hasn't, also after it was cancelled.

mod rig;

use std::collections::BTreeMap;

use crate::rig::world::Drawn;
use crate::rig::world::World;

// Runs every fourth seed below 1,000.
fn run_seeds(first: u64) {
    for seed in (first..1_000).step_by(4) {
        let (violations, _) = World::new(seed).run(seed);
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
    }
}

#[test]
fn no_promise_is_false_in_a_random_world_1() {
    run_seeds(0);
}

#[test]
fn no_promise_is_false_in_a_random_world_2() {
    run_seeds(1);
}

#[test]
fn no_promise_is_false_in_a_random_world_3() {
    run_seeds(2);
}

#[test]
fn no_promise_is_false_in_a_random_world_4() {
    run_seeds(3);
}

// The runs contain what they are meant to draw.
#[test]
fn the_random_world_draws_every_kind_of_end() {
    let mut total = Drawn::default();
    let mut refused: BTreeMap<(&str, u16), usize> = BTreeMap::new();
    for seed in 0..160 {
        let (_, drawn) = World::new(seed).run(seed);
        for (key, count) in drawn.refused {
            *refused.entry(key).or_default() += count;
        }
        total.refusing_answers += drawn.refusing_answers;
        total.delivered += drawn.delivered;
        total.cancelled += drawn.cancelled;
        total.nested += drawn.nested;
        total.asked += drawn.asked;
        total.unforwarded += drawn.unforwarded;
    }
    println!("{total:?} {refused:?}");
    let counts = [
        total.refusing_answers,
        total.delivered,
        total.cancelled,
        total.nested,
        total.asked,
        total.unforwarded,
    ];
    assert!(counts.iter().all(|count| *count > 0), "{total:?}");
    for key in [
        ("over-rate", 429),
        ("overloaded", 503),
        ("no-server", 503),
        ("timed-out", 504),
        ("timed-out", 503),
        ("broken", 502),
        ("ambiguous", 502),
        ("stopping", 503),
        ("quarantined", 503),
    ] {
        assert!(refused.contains_key(&key), "no {key:?} in {refused:?}");
    }
}
