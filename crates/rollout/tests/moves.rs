//! Moves of a small fleet: many seeds, dying movers, outages, lost answers.

#[path = "../examples/outcomes/fleet.rs"]
mod fleet;
#[path = "../examples/outcomes/traffic.rs"]
mod traffic;

use std::time::Duration;

use corianderway_rollout::Share;
use corianderway_rollout::State;
use quickcheck::QuickCheck;

use crate::fleet::Fleet;
use crate::fleet::Run;
use crate::fleet::Size;
use crate::fleet::Trouble;
use crate::traffic::Kind;

const SEEDS: u64 = 6;
const SIZE: Size = Size {
    instances: 3,
    rate: 150.0,
    deadline: Duration::from_secs(90),
};

// What a fault may cost before the version is stopped, in requests: a little
// above the most of 300 seeds.
fn most_met(kind: Kind) -> u64 {
    match kind {
        Kind::Good | Kind::SharedFault | Kind::ColdStart | Kind::BelowMargin => 0,
        Kind::SingleRoute | Kind::SlowRoute | Kind::Hangs => 40,
        Kind::HiddenByShared => 60,
        Kind::Late => 100,
        Kind::AtOnce | Kind::Slow => 130,
        Kind::UnderLoad => 250,
        Kind::AtMargin => 700,
    }
}

fn runs(kind: Kind) -> Vec<Run> {
    let run = |seed| Fleet::new(kind, SIZE, seed).run();
    (0..SEEDS).map(run).collect()
}

fn rank(state: State) -> u8 {
    match state {
        State::Planned => 0,
        State::Trial | State::Growing | State::Held => 1,
        State::Withdrawing => 2,
        State::Done | State::Withdrawn => 3,
    }
}

// Revisions follow each other one by one, and no move returns from its end.
fn check_history(fleet: &Fleet) {
    for pair in fleet.history().windows(2) {
        let (before, after) = (&pair[0], &pair[1]);
        assert_eq!(after.version, before.version + 1);
        assert_eq!(after.value.revision, before.value.revision + 1);
        assert!(rank(after.value.state) >= rank(before.value.state));
        assert!(after.value.changed >= before.value.changed);
        if rank(before.value.state) == 2 {
            assert_eq!(after.value.share, Share::ZERO);
        }
    }
}

#[test]
fn good_versions_finish_by_the_deadline() {
    // A version that is slightly worse may be taken back as well.
    for kind in Kind::SOUND.into_iter().filter(|k| *k != Kind::BelowMargin) {
        for run in runs(kind) {
            assert!(run.finished, "{kind:?}: {run:?}");
            assert!(run.secs <= SIZE.deadline.as_secs_f64(), "{run:?}");
        }
    }
}

#[test]
fn bad_versions_are_taken_back_soon_after_the_fault_shows() {
    for kind in Kind::BAD {
        for run in runs(kind) {
            assert!(run.withdrawn, "{kind:?}: {run:?}");
            assert!(run.after <= 20, "{kind:?}: {run:?}");
            assert!(run.met <= most_met(kind), "{kind:?}: {run:?}");
        }
    }
}

#[test]
fn another_instance_goes_on_when_the_mover_dies_at_any_step() {
    let finishing = [State::Trial, State::Growing, State::Done].map(|s| (Kind::Good, s));
    let withdrawing = [State::Withdrawing, State::Withdrawn].map(|s| (Kind::AtOnce, s));
    for (kind, state) in finishing.into_iter().chain(withdrawing) {
        let mut fleet = Fleet::new(kind, SIZE, 1).with_trouble(Trouble {
            killer: Some(state),
            ..Trouble::default()
        });
        while !fleet.is_over() {
            fleet.advance();
        }
        check_history(&fleet);
        let end = fleet.history().last().unwrap().value.state;
        let wanted = match kind {
            Kind::Good => State::Done,
            _ => State::Withdrawn,
        };
        assert_eq!(end, wanted, "mover killed at {state:?}");
    }
}

#[test]
fn an_outage_stops_growth_and_not_the_local_stop() {
    let mut fleet = Fleet::new(Kind::Late, SIZE, 2).with_trouble(Trouble {
        outage: 20.0..80.0,
        ..Trouble::default()
    });
    let mut most = None;
    while fleet.secs() < 79.0 {
        fleet.advance();
        if fleet.secs() > 22.0 {
            let shares = fleet.shares();
            let limit = most.get_or_insert_with(|| shares.clone());
            assert!(shares.iter().zip(limit).all(|(now, then)| now <= then));
        }
    }
    // The fault shows from 45 s on; the platform does not know yet.
    assert!(fleet.shares().iter().all(|s| *s == Share::ZERO));
    assert_eq!(fleet.history().last().unwrap().value.state, State::Trial);
    while !fleet.is_over() {
        fleet.advance();
    }
    check_history(&fleet);
    assert_eq!(
        fleet.history().last().unwrap().value.state,
        State::Withdrawn
    );
}

#[test]
fn lost_answers_messages_and_racing_movers_keep_the_record_whole() {
    fn holds(seed: u64, lost: u8, dropped: u8, (good, alone): (bool, bool)) -> bool {
        let kind = if good { Kind::Good } else { Kind::AtOnce };
        let size = Size {
            deadline: Duration::from_secs(40),
            ..SIZE
        };
        let mut fleet = Fleet::new(kind, size, seed).with_trouble(Trouble {
            lost: f64::from(lost) / 512.0,
            dropped: f64::from(dropped) / 512.0,
            alone,
            ..Trouble::default()
        });
        while !fleet.is_over() {
            fleet.advance();
        }
        check_history(&fleet);
        let end = fleet.history().last().unwrap().value.state;
        rank(end) == 3 && (good || end == State::Withdrawn)
    }
    let mut check = QuickCheck::new().tests(10);
    check.quickcheck(holds as fn(u64, u8, u8, (bool, bool)) -> bool);
}
