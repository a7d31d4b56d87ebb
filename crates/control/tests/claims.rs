//! A request runs at most once under each request key, and every reply states
//! truthfully whether it ran.

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
const SETTLE_TIME: Duration = Duration::from_secs(20);

fn seeds(count: u64) -> Vec<u64> {
    let given = std::env::var("CONTROL_SEED").ok();
    let given = given.and_then(|text| text.parse().ok());
    // Seed 612 caught a paused instance that reported a release from an outdated
    // read; seed 798 caught an outcome that was not written after a long outage.
    let fixed = (1..=count).chain([612, 798]);
    given.map_or_else(|| fixed.collect(), |seed| vec![seed])
}

fn random_event(world: &mut World) {
    let at = world.rng.random_range(0..INSTANCES);
    let key = world.rng.random_range(0..KEYS);
    match world.rng.random_range(0..16) {
        0..7 => {
            let other = world.rng.random_ratio(1, 20);
            world.send(at, key, other);
        }
        7 => world.paused[at] = true,
        8 | 9 => world.resume(at),
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

/// Runs one random sequence of requests and faults; returns the violations.
fn interleave(seed: u64, chart: &str) -> Vec<String> {
    let mut world = World::new(seed, KEYS, chart);
    for _ in 0..STEPS {
        random_event(&mut world);
        let span = world.rng.random_range(0..900);
        world.run_for(Duration::from_millis(span));
    }
    clear_faults(&mut world);
    check_resends(&mut world);
    world.violations
}

fn clear_faults(world: &mut World) {
    world.platform = Platform::default();
    world.backend = Backend::Works;
    for at in 0..INSTANCES {
        world.resume(at);
    }
    world.run_for(SETTLE_TIME);
}

// Sends every key once more to every instance; the replies must be definite and
// the same everywhere.
fn check_resends(world: &mut World) {
    for key in 0..KEYS {
        let answers = (0..INSTANCES)
            .map(|at| resend(world, at, key))
            .collect::<Vec<_>>();
        let definite = |r: &Option<Reply>| {
            matches!(r, Some(Reply::Ran(_) | Reply::MayHaveRun | Reply::Mismatch))
        };
        let same = answers.windows(2).all(|pair| pair[0] == pair[1]);
        if !same || !answers.iter().all(definite) {
            world.violations.push(format!(
                "key {key}: replies to the repeated request: {answers:?}"
            ));
        }
    }
}

fn resend(world: &mut World, at: usize, key: usize) -> Option<Reply> {
    let id = world.send(at, key, false);
    world.run_for(Duration::from_secs(5));
    world.reply(id).cloned()
}

#[test]
fn request_runs_at_most_once_under_faults() {
    for seed in seeds(60) {
        let violations = interleave(seed, CLAIM_CHART);
        assert!(
            violations.is_empty(),
            "CONTROL_SEED={seed}: {violations:#?}"
        );
    }
}

fn assert_detected(from: &str, to: &str, wrong: &str) {
    assert!(
        CLAIM_CHART.contains(from),
        "the chart no longer contains {from}"
    );
    let chart = CLAIM_CHART.replace(from, to);
    let found = (1..=60).any(|seed| {
        let violations = interleave(seed, &chart);
        violations.iter().any(|violation| violation.contains(wrong))
    });
    assert!(found, "no check detects a violation of: {wrong}");
}

#[test]
fn checks_detect_a_forward_after_the_deadline() {
    let guarded = "{ when: in-time, to: forwarded, do: [forward] }";
    let open = "{ when: writes-left, to: forwarded, do: [forward] }";
    assert_detected(guarded, open, "forwarded after the deadline");
}

#[test]
fn checks_detect_a_forward_without_read_back() {
    let read = "{ when: in-time, to: reading, do: [read-claim] }";
    let unread = "{ when: writes-left, to: forwarded, do: [forward] }\n        - { when: in-time, to: reading, do: [read-claim] }";
    assert_detected(read, unread, "ran twice");
}

#[test]
fn checks_detect_a_forward_under_a_foreign_claim() {
    let wait = "running: { to: waiting, do: [schedule-retry] }";
    let take = "running:
        - { when: writes-left, to: forwarded, do: [forward] }
        - { to: waiting, do: [schedule-retry] }";
    assert_detected(wait, take, "ran twice");
}

#[test]
fn checks_detect_a_retry_after_an_unknown_outcome() {
    let correct = "broken: { to: finishing, do: [refuse-may-have-run, write-outcome] }";
    let retried = "broken: { to: forwarded, do: [forward] }";
    assert_detected(correct, retried, "ran twice");
}

#[test]
fn checks_detect_a_false_not_run_refusal() {
    let correct = "broken: { to: finishing, do: [refuse-may-have-run, write-outcome] }";
    let false_refusal = "broken: { to: releasing, do: [refuse-not-run, write-release] }";
    assert_detected(correct, false_refusal, "not run, but it may have run");
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

/// The claim name and number of the last platform call or attempt.
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

/// A claim is released and claimed again on the same instance. A late answer to
/// the first write must not count as an answer to the second one.
#[test]
fn late_answer_to_an_earlier_claim_is_ignored() {
    let mut claims = Claims::new();
    let mut out = Vec::new();
    let now = Time::from_millis(1);
    claims.step(now, received(0, 7), &mut out);
    let (name, first) = last_number(&out).unwrap();
    claims.step(now, ClaimEvent::CallerGone(RequestId(0)), &mut out);
    let (_, release) = last_number(&out).unwrap();
    let stored = |call| ClaimEvent::StoreAnswered {
        name: name.clone(),
        call,
        answer: StoreAnswer::Written(1),
    };
    claims.step(now, stored(release), &mut out);
    claims.step(now, received(1, 8), &mut out);
    claims.step(now, stored(first), &mut out);
    assert!(!forwards(&out));
}

/// A second answer to an earlier attempt must not count for the current one.
#[test]
fn late_answer_to_an_earlier_attempt_is_ignored() {
    let mut claims = Claims::new();
    let mut out = Vec::new();
    let now = Time::from_millis(1);
    claims.step(now, received(0, 7), &mut out);
    let (name, call) = last_number(&out).unwrap();
    let written = ClaimEvent::StoreAnswered {
        name: name.clone(),
        call,
        answer: StoreAnswer::Written(1),
    };
    claims.step(now, written, &mut out);
    let (_, attempt) = last_number(&out).unwrap();
    let refused = |attempt| ClaimEvent::BackendAnswered {
        name: name.clone(),
        attempt,
        answer: BackendAnswer::NotAccepted,
    };
    claims.step(now, refused(attempt), &mut out);
    let late = Time::from_millis(60_001);
    claims.step(late, refused(attempt), &mut out);
    let replied = out.iter().any(|a| matches!(a, ClaimAction::Reply { .. }));
    assert!(!replied);
}
