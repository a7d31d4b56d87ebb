//! Moves to other versions: shares, proofs, faults, what the store is told.

mod rig;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use corianderway_model::Time;
use corianderway_steer::Action;
use corianderway_steer::Event;
use corianderway_steer::Listed;
use corianderway_steer::Message;
use corianderway_steer::Outcome;
use corianderway_steer::Progress;
use corianderway_steer::ServerChange;
use corianderway_steer::Sighting;
use corianderway_steer::Summary;

use crate::rig::answered;
use crate::rig::Rig;

/// The time from the order to its deadline.
const SPAN: Duration = Duration::from_secs(14);

/// How the target behaves.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Target {
    Good,
    /// Fails half of its requests, from this long after the order.
    FailsFrom(Duration),
    /// Fails half of its requests while more than a few a second come.
    FailsUnderLoad,
}

struct Played {
    completed: Option<Duration>,
    rolled_back: Option<Duration>,
    to_target: u32,
    all: u32,
    target_after_end: u32,
}

fn targets() -> Vec<Listed> {
    let mut targets = rig::servers();
    targets.retain(|listed| listed.backend.service.as_str() == "bids");
    for listed in &mut targets {
        let name = format!("new-{}", listed.backend.id);
        listed.backend.id = name.as_str().try_into().unwrap();
        listed.backend.version = "v2".try_into().unwrap();
    }
    targets
}

// The store takes what is reported, and says so.
fn record(rig: &mut Rig, done: &[Action]) {
    let reports = done.iter().filter_map(|action| match action {
        Action::Report {
            order, progress, ..
        } => Some((order, *progress)),
        _ => None,
    });
    for (order, progress) in reports {
        let mut order = order.clone();
        order.progress = Some(progress);
        order.revision += 1;
        rig.step(Event::Orders(vec![order]));
    }
}

// Plays some requests a second against a move until its deadline.
fn play(target: Target, rate: u64) -> Played {
    let mut rig = Rig::new();
    let put = targets().into_iter().map(ServerChange::Put).collect();
    rig.step(Event::Servers(put));
    rig.step(Event::Orders(vec![rig::order("bids", "v2", SPAN)]));
    let begun = rig.now;
    let mut played = Played {
        completed: None,
        rolled_back: None,
        to_target: 0,
        all: 0,
        target_after_end: 0,
    };
    let mut recent = 0.0_f64;
    for turn in 0..SPAN.as_secs() * rate {
        let id = rig.ask("/bids/1", Some(turn % 7));
        let age = rig.now.since(begun);
        recent *= 1.0 - 2.0 / rate as f64;
        if let Some(server) = rig.sent(id) {
            played.all += 1;
            let mut outcome = answered(200);
            if server.starts_with("new-") {
                played.to_target += 1;
                played.target_after_end += u32::from(played.rolled_back.is_some());
                recent += 1.0;
                let fails = match target {
                    Target::Good => false,
                    Target::FailsFrom(from) => age >= from && turn % 2 == 0,
                    Target::FailsUnderLoad => recent > rate as f64 / 8.0,
                };
                if fails {
                    outcome = Outcome::Answered {
                        status: 500,
                        load: None,
                    };
                }
            }
            rig.end(id, outcome);
            // A repetition of a failed request is answered well.
            rig.end(id, answered(200));
        }
        for action in rig.pass(Duration::from_millis(1_000 / rate)) {
            if let Action::Report { progress, .. } = action {
                let age = rig.now.since(begun);
                match progress {
                    Progress::Running => (),
                    Progress::Completed => played.completed = played.completed.or(Some(age)),
                    Progress::RolledBack => played.rolled_back = played.rolled_back.or(Some(age)),
                }
            }
        }
    }
    played
}

// Failed before the store's reach was told at the start: no instance led.
#[test]
fn a_good_version_takes_over_before_its_deadline() {
    let played = play(Target::Good, 40);
    assert_eq!(played.rolled_back, None);
    assert!(played.completed.is_some_and(|at| at < SPAN));
}

#[test]
fn a_bad_version_is_taken_back_with_few_requests() {
    // A hunt found 248 requests where 245 are allowed, with the fault of the last
    // rows: deploy/days/many-versions.toml --vary --seed 108000093381. One
    // instance alone sees the fault sooner than ten that share it, so these rows
    // passed then, too.
    let table = [
        (Target::FailsFrom(Duration::ZERO), 40),
        (Target::FailsFrom(Duration::from_secs(3)), 40),
        (Target::FailsUnderLoad, 40),
        (Target::FailsUnderLoad, 140),
    ];
    for (target, rate) in table {
        let played = play(target, rate);
        assert_eq!(played.completed, None, "{target:?}");
        assert!(played.rolled_back.is_some(), "{target:?}");
        // The platform's bound: a tenth of all requests, and 50 more.
        let most = f64::from(played.all) * 0.1 + 50.0;
        assert!(f64::from(played.to_target) <= most, "{target:?}");
        assert_eq!(played.target_after_end, 0, "{target:?}");
    }
}

// A day of the bench took a good version back: trazo-central scale-2, where a
// failure domain's servers die while the target gets everything.
#[test]
fn the_death_of_a_failure_domain_takes_no_version_back() {
    let mut rig = Rig::new();
    let put = targets().into_iter().map(ServerChange::Put).collect();
    rig.step(Event::Servers(put));
    rig.step(Event::Orders(vec![rig::order("bids", "v2", SPAN)]));
    let turned = |done: &[Action], to: &str| {
        let told = |a: &Action| {
            let Action::Log(note) = a else { return false };
            note.event == "move" && note.pairs.iter().any(|p| *p == ("to", to.to_owned()))
        };
        done.iter().any(told)
    };
    let (mut full, mut breaks) = (false, BTreeMap::new());
    for turn in 0..SPAN.as_secs() * 40 {
        let id = rig.ask("/bids/1", Some(turn % 11));
        if let Some(server) = rig.sent(id) {
            let mut outcome = answered(200);
            if full && server.starts_with("new-") && server.contains("north-b") {
                // What ran there when it died breaks; afterwards nothing listens.
                let broken = breaks.entry(server).or_insert(0);
                *broken += 1;
                outcome = if *broken <= 3 {
                    Outcome::Broken
                } else {
                    Outcome::Unreachable
                };
            }
            rig.end(id, outcome);
            rig.end(id, answered(200));
        }
        let done = rig.pass(Duration::from_millis(25));
        record(&mut rig, &done);
        full |= turned(&done, "full");
        assert!(!turned(&done, "rolled-back"), "at {turn}");
        if turned(&done, "completed") {
            assert!(full && breaks.len() == 2, "{breaks:?}");
            return;
        }
    }
    panic!("the version did not take over");
}

#[test]
fn a_version_without_an_order_gets_nothing_at_first() {
    let mut rig = Rig::new();
    let put = targets().into_iter().map(ServerChange::Put).collect();
    rig.step(Event::Servers(put));
    for object in 0..50 {
        let id = rig.ask("/bids/1", Some(object));
        if let Some(server) = rig.sent(id) {
            assert!(!server.starts_with("new-"));
            rig.end(id, answered(200));
        }
    }
}

// Good versions missed their deadlines where the leading instance was restarted
// in the middle of the move: an age could not exceed the process's own.
#[test]
fn an_instance_that_starts_in_the_middle_of_a_move_knows_its_age() {
    let mut rig = Rig::new();
    let order = rig::order("bids", "v2", SPAN);
    let identity = order.identity();
    rig.step(Event::Orders(vec![order]));
    let age = Duration::from_mins(1);
    assert!(rig.now.since(Time::ZERO) < age);
    let sighting = Sighting {
        service: "bids".try_into().unwrap(),
        order: identity,
        age_ms: age.as_millis() as u64,
        phase: 0,
        target: Vec::new(),
        base: Vec::new(),
        old_inflight: 0,
        exposed: 0,
        sent: 0,
        target_times: Vec::new(),
        base_times: Vec::new(),
    };
    let summary = Summary {
        from: "entry-9".try_into().unwrap(),
        run: 1,
        number: 1,
        domain: "south-a".try_into().unwrap(),
        partial: false,
        standings: Vec::new(),
        revision: 0,
        rate: 0.0,
        demands: Vec::new(),
        works: Vec::new(),
        moves: vec![sighting],
        crashes: Vec::new(),
    };
    rig.step(Event::Told(Message::Summary(Arc::new(summary))));
    let told = rig
        .pass(Duration::from_secs(2))
        .into_iter()
        .find_map(|done| {
            let Action::Log(note) = done else { return None };
            let age = note.pairs.iter().find(|pair| pair.0 == "age_ms")?;
            Some(age.1.parse::<u64>().unwrap())
        });
    assert!(
        told.is_some_and(|told| u128::from(told) >= age.as_millis()),
        "{told:?}"
    );
}
