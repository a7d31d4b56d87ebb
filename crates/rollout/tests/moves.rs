//! Moves of a simulated fleet: over several seeds, with outages, lost answers and
//! messages, and instances that die after a write.

#[path = "../examples/outcomes/fleet.rs"]
mod fleet;
#[path = "../examples/outcomes/traffic.rs"]
mod traffic;

use std::time::Duration;

use corianderway_rollout::Share;
use corianderway_rollout::State;
use quickcheck::QuickCheck;

use crate::fleet::Faults;
use crate::fleet::Fleet;
use crate::fleet::Run;
use crate::fleet::Size;
use crate::traffic::Profile;

const SEEDS: u64 = 6;
const SIZE: Size = Size {
    instances: 3,
    rate: 150.0,
    deadline: Duration::from_secs(90),
};

// Returns how many requests a fault may affect before the version is stopped. The
// bounds are slightly above the maximum over 300 seeds.
fn max_exposed(profile: Profile) -> u64 {
    match profile {
        Profile::Good | Profile::SharedFault | Profile::ColdStart | Profile::BelowMargin => 0,
        Profile::SingleRoute | Profile::SlowRoute | Profile::Hangs => 40,
        Profile::HiddenByShared => 60,
        Profile::Late => 100,
        Profile::AtOnce | Profile::Slow => 130,
        Profile::UnderLoad => 250,
        Profile::AtMargin => 700,
    }
}

fn runs(profile: Profile) -> Vec<Run> {
    let run = |seed| Fleet::new(profile, SIZE, seed).run();
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

// Checks that no revision is skipped or repeated, and that no move leaves a final state.
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
    // A version that is slightly worse may also be rolled back.
    for profile in Profile::SOUND
        .into_iter()
        .filter(|p| *p != Profile::BelowMargin)
    {
        for run in runs(profile) {
            assert!(run.finished, "{profile:?}: {run:?}");
            assert!(run.secs <= SIZE.deadline.as_secs_f64(), "{run:?}");
        }
    }
}

#[test]
fn bad_versions_are_rolled_back_soon_after_the_fault_shows() {
    for profile in Profile::BAD {
        for run in runs(profile) {
            assert!(run.withdrawn, "{profile:?}: {run:?}");
            assert!(run.after_stop <= 20, "{profile:?}: {run:?}");
            assert!(run.exposed <= max_exposed(profile), "{profile:?}: {run:?}");
        }
    }
}

#[test]
fn another_instance_continues_when_the_writer_dies_at_any_step() {
    let forward = [State::Trial, State::Growing, State::Done].map(|s| (Profile::Good, s));
    let rollback = [State::Withdrawing, State::Withdrawn].map(|s| (Profile::AtOnce, s));
    for (profile, state) in forward.into_iter().chain(rollback) {
        let mut fleet = Fleet::new(profile, SIZE, 1).with_faults(Faults {
            killed_writer: Some(state),
            ..Faults::default()
        });
        while !fleet.is_over() {
            fleet.advance();
        }
        check_history(&fleet);
        let end = fleet.history().last().unwrap().value.state;
        let wanted = match profile {
            Profile::Good => State::Done,
            _ => State::Withdrawn,
        };
        assert_eq!(end, wanted, "writer killed at {state:?}");
    }
}

#[test]
fn a_platform_outage_stops_growth_but_not_the_local_stop() {
    let mut fleet = Fleet::new(Profile::Late, SIZE, 2).with_faults(Faults {
        outage: 20.0..80.0,
        ..Faults::default()
    });
    let mut max_shares = None;
    while fleet.secs() < 79.0 {
        fleet.advance();
        if fleet.secs() > 22.0 {
            let shares = fleet.shares();
            let limits = max_shares.get_or_insert_with(|| shares.clone());
            assert!(shares.iter().zip(limits).all(|(now, then)| now <= then));
        }
    }
    // The fault shows from 45 s on; the platform is still down.
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
fn lost_answers_lost_messages_and_racing_writers_keep_the_record_consistent() {
    fn property(
        seed: u64,
        lost_answers: u8,
        lost_messages: u8,
        (good, all_write): (bool, bool),
    ) -> bool {
        let profile = if good { Profile::Good } else { Profile::AtOnce };
        let size = Size {
            deadline: Duration::from_secs(40),
            ..SIZE
        };
        let mut fleet = Fleet::new(profile, size, seed).with_faults(Faults {
            lost_answers: f64::from(lost_answers) / 512.0,
            lost_messages: f64::from(lost_messages) / 512.0,
            all_write,
            ..Faults::default()
        });
        while !fleet.is_over() {
            fleet.advance();
        }
        check_history(&fleet);
        let end = fleet.history().last().unwrap().value.state;
        rank(end) == 3 && (good || end == State::Withdrawn)
    }
    let mut check = QuickCheck::new().tests(10);
    check.quickcheck(property as fn(u64, u8, u8, (bool, bool)) -> bool);
}
