//! Members are found, suspected, cleared, replaced and forgotten.

mod common;

use std::time::Duration;

use corianderway_chart::Outline;
use corianderway_control::Event;
use corianderway_control::MemberState;
use corianderway_control::MEMBER_CHART;
use corianderway_control::SWEEP_CHART;
use corianderway_control::WATCHERS_PER_REGION;
use corianderway_control::WATCH_CHART;
use corianderway_model::Presence;

use crate::common::seeds;
use crate::common::Fleet;

const NODES: usize = 12;
const REGIONS: usize = 3;
const NOTICED: Duration = Duration::from_secs(15);

fn started(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(seed, NODES, REGIONS);
    fleet.run_for(Duration::from_secs(10));
    fleet
}

fn states(fleet: &Fleet, of: usize, id: &str) -> Vec<MemberState> {
    let others = (0..NODES).filter(|at| *at != of);
    let found = others.flat_map(|at| {
        let entries = fleet.node(at).control.entries();
        entries
            .filter(|(e, _)| e.id.as_str() == id)
            .map(|(_, state)| state)
    });
    found.collect()
}

#[test]
fn charts_are_sound() {
    for chart in [MEMBER_CHART, WATCH_CHART, SWEEP_CHART] {
        Outline::parse(chart).unwrap();
    }
}

#[test]
fn few_watch_and_a_lost_watcher_is_replaced() {
    for seed in seeds(3) {
        let mut fleet = started(seed);
        let watching = |f: &Fleet| f.running().filter(|n| n.control.watching()).count();
        assert_eq!(
            watching(&fleet),
            REGIONS * WATCHERS_PER_REGION,
            "seed {seed}"
        );
        let first = (0..NODES).find(|at| fleet.node(*at).control.watching());
        fleet.stop(first.unwrap());
        let again = |f: &Fleet| watching(f) == REGIONS * WATCHERS_PER_REGION;
        assert!(fleet.run_until(NOTICED, again).is_some(), "seed {seed}");
    }
}

#[test]
fn silent_member_is_noticed_and_a_thawed_one_cleared() {
    for seed in seeds(3) {
        let mut fleet = started(seed);
        let id = fleet.node(7).entry.id.clone();
        fleet.pause(7);
        let silent = |f: &Fleet| {
            states(f, 7, id.as_str())
                .iter()
                .all(|s| *s == MemberState::Unreachable)
        };
        assert!(fleet.run_until(NOTICED, silent).is_some(), "seed {seed}");
        fleet.thaw(7);
        let live = |f: &Fleet| {
            states(f, 7, id.as_str())
                .iter()
                .all(|s| *s == MemberState::Live)
        };
        assert!(fleet.run_until(NOTICED, live).is_some(), "seed {seed}");
    }
}

#[test]
fn lost_messages_make_nobody_silent() {
    for seed in seeds(3) {
        let mut fleet = started(seed);
        fleet.faults.lost = 0.05;
        for second in 0..120 {
            fleet.run_for(Duration::from_secs(1));
            for at in 0..NODES {
                let mut entries = fleet.node(at).control.entries();
                let silent = entries.any(|(_, state)| state == MemberState::Unreachable);
                assert!(!silent, "seed {seed}: second {second}");
            }
        }
    }
}

#[test]
fn leaving_member_is_known_everywhere_within_seconds_and_then_gone() {
    for seed in seeds(3) {
        let mut fleet = started(seed);
        let id = fleet.node(7).entry.id.clone();
        fleet.step(7, Event::Leave);
        let leaving = |f: &Fleet| {
            states(f, 7, id.as_str())
                .iter()
                .all(|s| *s == MemberState::Leaving)
        };
        let took = fleet.run_until(Duration::from_secs(3), leaving);
        assert!(took.is_some(), "seed {seed}");
        fleet.stop(7);
        let gone = |f: &Fleet| {
            (0..NODES)
                .filter(|at| *at != 7)
                .all(|at| f.node(at).control.entry(&id).is_none())
        };
        assert!(fleet.run_until(NOTICED, gone).is_some(), "seed {seed}");
    }
}

#[test]
fn platforms_list_announces_a_leaving_member() {
    let mut fleet = started(1);
    let mut entries = fleet.running().map(|n| n.entry.clone()).collect::<Vec<_>>();
    entries[7].presence = Presence::Leaving;
    let id = entries[7].id.clone();
    fleet.step(0, Event::Listing(entries));
    let known = |f: &Fleet| {
        f.node(3)
            .control
            .entry(&id)
            .is_some_and(|e| e.presence == Presence::Leaving)
    };
    assert!(fleet.run_until(NOTICED, known).is_some());
}

/// One instance hears of a departure minutes after the others, and yet it does
/// not bring it back when they have forgotten it.
#[test]
fn gone_members_are_forgotten_for_good() {
    let mut fleet = Fleet::new(1, 4, 4);
    fleet.run_for(Duration::from_secs(10));
    let id = fleet.node(3).entry.id.clone();
    fleet.cuts = vec![(2, 0), (2, 1), (2, 3)];
    fleet.step(3, Event::Leave);
    fleet.run_for(Duration::from_secs(2));
    fleet.stop(3);
    fleet.run_for(Duration::from_mins(5));
    assert!(fleet.node(2).control.entry(&id).is_some());
    fleet.cuts.clear();
    fleet.run_for(Duration::from_mins(62));
    for at in 0..3 {
        let held = fleet.node(at).control.is_known(&id);
        assert!(!held, "instance {at} still remembers {id}");
    }
}
