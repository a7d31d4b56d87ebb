//! At most one run under each request key, and no refusal that lies.

mod claim_world;

use std::sync::Arc;
use std::time::Duration;

use corianderway_control::BackendAnswer;
use corianderway_control::BodyHash;
use corianderway_control::ClaimAction;
use corianderway_control::ClaimEvent;
use corianderway_control::Claims;
use corianderway_control::Nonce;
use corianderway_control::OnceRequest;
use corianderway_control::Reply;
use corianderway_control::RequestId;
use corianderway_control::StoreAnswer;
use corianderway_control::CLAIM_CHART;
use corianderway_model::Time;
use rand::Rng;

use crate::claim_world::account;
use crate::claim_world::request_key;
use crate::claim_world::Backend;
use crate::claim_world::Platform;
use crate::claim_world::World;
use crate::claim_world::INSTANCES;

const KEYS: usize = 6;
const STEPS: usize = 120;
const LATER: Duration = Duration::from_secs(20);

fn seeds(count: u64) -> Vec<u64> {
    let given = std::env::var("CONTROL_SEED").ok();
    let given = given.and_then(|text| text.parse().ok());
    // 612 found a paused instance that passed on stale word of a release, and
    // 798 an outcome that was not written after a long outage.
    let fixed = (1..=count).chain([612, 798]);
    given.map_or_else(|| fixed.collect(), |seed| vec![seed])
}

fn disturb(world: &mut World) {
    let at = world.rng.random_range(0..INSTANCES);
    let key = world.rng.random_range(0..KEYS);
    match world.rng.random_range(0..16) {
        0..7 => {
            let other = world.rng.random_ratio(1, 20);
            world.send(at, key, other);
        }
        7 => world.paused[at] = true,
        8 | 9 => world.thaw(at),
        10 => world.crash(at),
        11 => world.platform.down = !world.platform.down,
        12 => world.platform.answers_lost = !world.platform.answers_lost,
        13 => {
            let slow = world.rng.random_range(0..2500);
            world.platform.slow = Duration::from_millis(slow);
        }
        14 => {
            let choices = [
                Backend::Works,
                Backend::Refuses,
                Backend::BreaksBefore,
                Backend::BreaksAfter,
                Backend::RunsLate,
                Backend::Silent,
            ];
            world.backend = choices[world.rng.random_range(0..choices.len())];
        }
        _ => world.backend = Backend::Works,
    }
}

/// One long interleaving; what was found wrong.
fn interleave(seed: u64, chart: &str) -> Vec<String> {
    let mut world = World::new(seed, KEYS, chart);
    for _ in 0..STEPS {
        disturb(&mut world);
        let span = world.rng.random_range(0..900);
        world.run_for(Duration::from_millis(span));
    }
    heal(&mut world);
    check_again(&mut world);
    world.faults
}

fn heal(world: &mut World) {
    world.platform = Platform::default();
    world.backend = Backend::Works;
    for at in 0..INSTANCES {
        world.thaw(at);
    }
    world.run_for(LATER);
}

// Every key is sent once more: each gets a definite answer, and the same one
// wherever it is sent.
fn check_again(world: &mut World) {
    for key in 0..KEYS {
        let answers = (0..INSTANCES)
            .map(|at| again(world, at, key))
            .collect::<Vec<_>>();
        let definite = |r: &Option<Reply>| {
            matches!(r, Some(Reply::Ran(_) | Reply::MayHaveRun | Reply::Mismatch))
        };
        let same = answers.windows(2).all(|pair| pair[0] == pair[1]);
        if !same || !answers.iter().all(definite) {
            world
                .faults
                .push(format!("key {key}: sent again it got {answers:?}"));
        }
    }
}

fn again(world: &mut World, at: usize, key: usize) -> Option<Reply> {
    let id = world.send(at, key, false);
    world.run_for(Duration::from_secs(5));
    world.reply(id).cloned()
}

#[test]
fn request_runs_at_most_once_under_faults() {
    for seed in seeds(60) {
        let faults = interleave(seed, CLAIM_CHART);
        assert!(faults.is_empty(), "CONTROL_SEED={seed}: {faults:#?}");
    }
}

fn found_wrong(from: &str, to: &str, wrong: &str) {
    assert!(CLAIM_CHART.contains(from), "the chart no longer has {from}");
    let chart = CLAIM_CHART.replace(from, to);
    let found = (1..=60).any(|seed| {
        let faults = interleave(seed, &chart);
        faults.iter().any(|fault| fault.contains(wrong))
    });
    assert!(found, "the checks do not see that {wrong}");
}

#[test]
fn check_sees_a_missing_deadline() {
    let guarded = "{ when: in-time, to: forwarded, do: [forward] }";
    let open = "{ when: writes-left, to: forwarded, do: [forward] }";
    found_wrong(guarded, open, "forwarded after the deadline");
}

#[test]
fn check_sees_a_missing_read_back() {
    let read = "{ when: in-time, to: reading, do: [read] }";
    let guess = "{ when: writes-left, to: forwarded, do: [forward] }\n        - { when: in-time, to: reading, do: [read] }";
    found_wrong(read, guess, "ran twice");
}

#[test]
fn check_sees_a_claim_that_is_not_respected() {
    let wait = "running: { to: waiting, do: [schedule-retry] }";
    let take = "running:
        - { when: writes-left, to: forwarded, do: [forward] }
        - { to: waiting, do: [schedule-retry] }";
    found_wrong(wait, take, "ran twice");
}

#[test]
fn check_sees_an_unknown_outcome_that_is_run_again() {
    let told = "broken: { to: finishing, do: [refuse-may-have-run, finish] }";
    let retried = "broken: { to: forwarded, do: [forward] }";
    found_wrong(told, retried, "ran twice");
}

#[test]
fn check_sees_a_refusal_that_lies() {
    let told = "broken: { to: finishing, do: [refuse-may-have-run, finish] }";
    let lied = "broken: { to: releasing, do: [refuse-not-run, release] }";
    found_wrong(told, lied, "not run, but it may have run");
}

#[test]
fn answer_is_the_same_on_every_instance() {
    let mut world = World::new(1, 1, CLAIM_CHART);
    let ids = [0, 1, 2, 0].map(|at| {
        let id = world.send(at, 0, false);
        world.run_for(Duration::from_secs(2));
        id
    });
    let replies = ids.map(|id: RequestId| world.reply(id).cloned());
    assert!(matches!(replies[0], Some(Reply::Ran(_))));
    assert!(replies.iter().all(|reply| *reply == replies[0]));
    assert_eq!((world.runs[0], world.writes), (1, 4));
}

#[test]
fn duplicate_in_flight_gets_the_same_answer_without_a_call() {
    let mut world = World::new(1, 1, CLAIM_CHART);
    let first = world.send(0, 0, false);
    let second = world.send(0, 0, false);
    world.run_for(Duration::from_secs(2));
    assert!(matches!(world.reply(first), Some(Reply::Ran(_))));
    assert_eq!(world.reply(first), world.reply(second));
    assert_eq!((world.runs[0], world.writes, world.reads), (1, 2, 0));
}

#[test]
fn other_body_under_the_same_key_is_refused() {
    let mut world = World::new(1, 1, CLAIM_CHART);
    world.send(0, 0, false);
    let here = world.send(0, 0, true);
    world.run_for(Duration::from_secs(2));
    let there = world.send(1, 0, true);
    world.run_for(Duration::from_secs(2));
    assert_eq!(world.reply(here), Some(&Reply::Mismatch));
    assert_eq!(world.reply(there), Some(&Reply::Mismatch));
    assert_eq!(world.runs[0], 1);
}

fn received(id: u64, nonce: u64) -> ClaimEvent {
    ClaimEvent::Received(OnceRequest {
        id: RequestId(id),
        account: account(),
        key: request_key(0),
        body: BodyHash::new([&b"transfer"[..]]),
        nonce: Nonce(nonce, 0),
        start_by: Time::from_millis(60_000),
        answer_by: Time::from_millis(60_000),
    })
}

/// The number of the last platform call or attempt among actions.
fn last_number(out: &[ClaimAction]) -> Option<(Arc<str>, u64)> {
    out.iter().rev().find_map(|action| match action {
        ClaimAction::Put { name, call, .. } | ClaimAction::Get { name, call } => {
            Some((name.clone(), *call))
        }
        ClaimAction::Forward { name, attempt, .. } => Some((name.clone(), *attempt)),
        ClaimAction::Reply { .. } => None,
    })
}

fn forwards(out: &[ClaimAction]) -> bool {
    out.iter().any(|a| matches!(a, ClaimAction::Forward { .. }))
}

/// A claim is given up and begun anew on the same instance; a late answer to
/// the first write does not make the second one seem written.
#[test]
fn late_answer_to_an_earlier_claim_is_not_taken() {
    let mut claims = Claims::new();
    let mut out = Vec::new();
    let now = Time::from_millis(1);
    claims.step(now, received(0, 7), &mut out);
    let (name, first) = last_number(&out).unwrap();
    claims.step(now, ClaimEvent::Gone(RequestId(0)), &mut out);
    let (_, release) = last_number(&out).unwrap();
    let stored = |call| ClaimEvent::Stored {
        name: name.clone(),
        call,
        answer: StoreAnswer::Written(1),
    };
    claims.step(now, stored(release), &mut out);
    claims.step(now, received(1, 8), &mut out);
    claims.step(now, stored(first), &mut out);
    assert!(!forwards(&out));
}

/// An answer to an attempt that was given up says nothing about the next one.
#[test]
fn late_answer_to_an_earlier_attempt_is_not_taken() {
    let mut claims = Claims::new();
    let mut out = Vec::new();
    let now = Time::from_millis(1);
    claims.step(now, received(0, 7), &mut out);
    let (name, call) = last_number(&out).unwrap();
    let written = ClaimEvent::Stored {
        name: name.clone(),
        call,
        answer: StoreAnswer::Written(1),
    };
    claims.step(now, written, &mut out);
    let (_, attempt) = last_number(&out).unwrap();
    let refused = |attempt| ClaimEvent::Backend {
        name: name.clone(),
        attempt,
        answer: BackendAnswer::NotAccepted,
    };
    claims.step(now, refused(attempt), &mut out);
    let late = Time::from_millis(60_001);
    claims.step(late, refused(attempt), &mut out);
    let told = out.iter().any(|a| matches!(a, ClaimAction::Reply { .. }));
    assert!(!told);
}
