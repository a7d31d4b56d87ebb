//! Failure detection, departure and removal of members, and the choice of watchers.

mod common;

use std::time::Duration;

use corianderway_chart::Definition;
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
const DETECTION_TIMEOUT: Duration = Duration::from_secs(15);

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
fn charts_are_valid() {
    for chart in [MEMBER_CHART, WATCH_CHART, SWEEP_CHART] {
        Definition::parse(chart).unwrap();
    }
}

#[test]
fn stopped_watcher_is_replaced() {
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
        let replaced = |f: &Fleet| watching(f) == REGIONS * WATCHERS_PER_REGION;
        assert!(
            fleet.run_until(DETECTION_TIMEOUT, replaced).is_some(),
            "seed {seed}"
        );
    }
}

#[test]
fn paused_member_becomes_unreachable_and_live_again() {
    for seed in seeds(3) {
        let mut fleet = started(seed);
        let id = fleet.node(7).entry.id.clone();
        fleet.pause(7);
        let unreachable = |f: &Fleet| {
            states(f, 7, id.as_str())
                .iter()
                .all(|s| *s == MemberState::Unreachable)
        };
        assert!(
            fleet.run_until(DETECTION_TIMEOUT, unreachable).is_some(),
            "seed {seed}"
        );
        fleet.resume(7);
        let live = |f: &Fleet| {
            states(f, 7, id.as_str())
                .iter()
                .all(|s| *s == MemberState::Live)
        };
        assert!(
            fleet.run_until(DETECTION_TIMEOUT, live).is_some(),
            "seed {seed}"
        );
    }
}

#[test]
fn lost_messages_make_no_member_unreachable() {
    for seed in seeds(3) {
        let mut fleet = started(seed);
        fleet.faults.lost = 0.05;
        for second in 0..120 {
            fleet.run_for(Duration::from_secs(1));
            for at in 0..NODES {
                let mut entries = fleet.node(at).control.entries();
                let unreachable = entries.any(|(_, state)| state == MemberState::Unreachable);
                assert!(!unreachable, "seed {seed}: second {second}");
            }
        }
    }
}

#[test]
fn leaving_member_is_known_everywhere_and_then_gone() {
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
        assert!(
            fleet.run_until(DETECTION_TIMEOUT, gone).is_some(),
            "seed {seed}"
        );
    }
}

#[test]
fn leaving_member_in_the_platforms_list_is_published() {
    let mut fleet = started(1);
    let mut entries = fleet.running().map(|n| n.entry.clone()).collect::<Vec<_>>();
    entries[7].presence = Presence::Leaving;
    let id = entries[7].id.clone();
    fleet.step(0, Event::Listed(entries));
    let known_leaving = |f: &Fleet| {
        f.node(3)
            .control
            .entry(&id)
            .is_some_and(|e| e.presence == Presence::Leaving)
    };
    assert!(fleet.run_until(DETECTION_TIMEOUT, known_leaving).is_some());
}

/// A partitioned instance learns of a departure minutes after the others and so
/// removes its record later. It must not send the record back to those that
/// have already removed it.
#[test]
fn forgotten_member_does_not_come_back() {
    let mut fleet = Fleet::new(1, 4, 4);
    fleet.run_for(Duration::from_secs(10));
    let id = fleet.node(3).entry.id.clone();
    fleet.partitions = vec![(2, 0), (2, 1), (2, 3)];
    fleet.step(3, Event::Leave);
    fleet.run_for(Duration::from_secs(2));
    fleet.stop(3);
    fleet.run_for(Duration::from_mins(5));
    assert!(fleet.node(2).control.entry(&id).is_some());
    fleet.partitions.clear();
    fleet.run_for(Duration::from_mins(62));
    for at in 0..3 {
        let known = fleet.node(at).control.is_known(&id);
        assert!(!known, "instance {at} still remembers {id}");
    }
}
