//! At most one instance acts at a time, and each window has one report.

mod world;

use std::collections::BTreeMap;

use corianderway_duties::Action;
use corianderway_duties::Event;
use corianderway_duties::Found;
use corianderway_duties::Version;

use crate::world::Seen;
use crate::world::Trouble;
use crate::world::World;
use crate::world::EPOCH_MS;
use crate::world::LEASE_MS;
use crate::world::WINDOW_MS;

/// The number of drawn histories of each kind.
const DRAWS: u64 = 1_000;

/// The virtual time with faults, and the time after it.
const CALM_MS: u64 = 40_000;
const END_MS: u64 = 65_000;

// Returns what is wrong with a history of calls.
fn faults(seen: &[Seen]) -> Vec<String> {
    let mut faults = Vec::new();
    let (mut reports, mut holders) = (BTreeMap::new(), BTreeMap::new());
    let mut highest = 0;
    let mut turns: Vec<(usize, u64)> = Vec::new();
    for call in seen {
        let at = call.at;
        if call.accepted {
            let counts = &call.report.counts;
            let first = reports.entry(call.report.window).or_insert(counts);
            if *first != counts {
                faults.push(format!(
                    "{at}: window {} has two reports",
                    call.report.window
                ));
            }
        }
        if *holders.entry(call.token).or_insert(call.holder) != call.holder {
            faults.push(format!("{at}: token {} has two holders", call.token));
        }
        if call.token < highest {
            faults.push(format!("{at}: token {} after {highest}", call.token));
        }
        highest = highest.max(call.token);
        match turns.last_mut() {
            Some(last) if last.0 == call.holder => last.1 = at,
            _ => {
                let former = turns.iter().rev().find(|turn| turn.0 == call.holder);
                if former.is_some_and(|turn| at - turn.1 < LEASE_MS) {
                    faults.push(format!("{at}: holder {} is back at once", call.holder));
                }
                turns.push((call.holder, at));
            }
        }
    }
    faults
}

fn seeds() -> Vec<u64> {
    match std::env::var("DUTIES_SEED") {
        Ok(seed) => vec![seed.parse().expect("DUTIES_SEED is a number")],
        Err(_) => (0..DRAWS).collect(),
    }
}

// Returns the fraction of the windows that have no accepted report at the end.
fn check(trouble: Trouble) -> f64 {
    let (mut missed, mut windows) = (0_u32, 0_u32);
    for seed in seeds() {
        let mut world = World::new(seed, trouble);
        world.run(CALM_MS, END_MS);
        let found = faults(&world.seen);
        assert!(found.is_empty(), "DUTIES_SEED={seed}: {found:?}");
        for window in EPOCH_MS / WINDOW_MS..(EPOCH_MS + END_MS - 15_000) / WINDOW_MS {
            windows += 1;
            let mut calls = world.seen.iter().filter(|call| call.accepted);
            missed += u32::from(!calls.any(|call| call.report.window == window));
        }
    }
    f64::from(missed) / f64::from(windows)
}

#[test]
fn a_calm_fleet_reports_each_window_once_and_in_time() {
    for seed in 0..20 {
        let mut world = World::new(seed, Trouble::None);
        world.run(0, 60_000);
        for window in EPOCH_MS / WINDOW_MS..(EPOCH_MS + 50_000) / WINDOW_MS {
            let truth = world.truth.iter().filter(|row| row.0 .0 == window);
            let truth: Vec<_> = truth.map(|(key, n)| (key.1.clone(), *n)).collect();
            let calls: Vec<_> = world
                .seen
                .iter()
                .filter(|c| c.report.window == window)
                .collect();
            assert_eq!(calls.len(), 1, "seed {seed}, window {window}");
            assert_eq!(
                calls[0].report.counts, truth,
                "seed {seed}, window {window}"
            );
            let end = (window + 1) * WINDOW_MS - EPOCH_MS;
            assert!(calls[0].at < end + 5_000, "seed {seed}, window {window}");
        }
    }
}

#[test]
fn a_clock_that_is_stepped_moves_few_counts() {
    for stepped in 0..5 {
        let mut world = World::new(7, Trouble::None);
        world.run(0, 17_000);
        world.step_clock(stepped, 4_000);
        world.run(0, 60_000);
        for window in (EPOCH_MS + 20_000) / WINDOW_MS..(EPOCH_MS + 50_000) / WINDOW_MS {
            let truth = world.truth.iter().filter(|row| row.0 .0 == window);
            let truth = truth.map(|row| *row.1 as f64).sum::<f64>();
            let call = world.seen.iter().find(|call| call.report.window == window);
            let told: u64 = call.unwrap().report.counts.iter().map(|row| row.1).sum();
            let off = (told as f64 / truth - 1.0).abs();
            assert!(
                off < 0.05,
                "instance {stepped}, window {window}: off by {off}"
            );
        }
    }
}

#[test]
fn faults_bring_no_second_holder_and_lose_no_window() {
    let missed = check(Trouble::Faults);
    assert!(missed == 0.0, "{missed} of the windows have no report");
}

#[test]
fn an_older_copy_of_the_store_brings_no_second_holder() {
    let missed = check(Trouble::OlderCopies);
    assert!(missed < 0.1, "{missed} of the windows have no report");
}

#[test]
fn a_takeover_acknowledged_in_another_era_does_not_count() {
    for (era, held) in [(1, true), (2, false)] {
        let mut duty = world::duty();
        let mut out = Vec::new();
        let mut step = |at: u64, event| {
            out.clear();
            duty.step(world::moment(at), event, &mut out);
            (duty.token().is_some(), std::mem::take(&mut out))
        };
        let found = |revision| Found {
            version: Version { era: 1, revision },
            record: None,
        };
        step(0, Event::Peers(Vec::new()));
        let (_, reads) = step(3_000, Event::Tick);
        assert!(matches!(reads[..], [Action::Read]));
        step(3_010, Event::Read(found(9)));
        step(7_000, Event::Tick);
        let (_, writes) = step(7_010, Event::Read(found(9)));
        assert!(matches!(writes[..], [Action::Write(_, 9)]));
        // The revision was given out again for a write of another holder.
        let version = Version { era, revision: 10 };
        let (holds, _) = step(7_020, Event::Written(version));
        assert_eq!(holds, held, "era {era}");
    }
}
