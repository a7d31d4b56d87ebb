//! States that have a way out: an instance that returns, or to which others return, serves again.

mod rig;

use std::time::Duration;

use corianderway_steer::Action;
use corianderway_steer::Event;
use corianderway_steer::Source;

use crate::rig::Rig;

/// The platform's limit on the time from the return of the machines to service.
const RECOVERY_LIMIT: Duration = Duration::from_secs(15);

// Returns how often the store is followed in these actions.
fn follows(actions: &[Action]) -> usize {
    let is_follow = |action: &&Action| matches!(action, Action::Follow(Source::Store));
    actions.iter().filter(is_follow).count()
}

// Guards against an instance that waits without end for the contents of the store, since the
// command to follow it was lost or a list of it never ends (RECOVER).
#[test]
fn a_source_that_is_never_reached_is_chosen_again_within_half_of_the_limit() {
    let mut rig = Rig::bare(rig::member("entry-1", "north", "north-a"));
    rig.step(Event::Members(Vec::new()));
    assert_eq!(follows(rig.step(Event::ProbeAnswered)), 1);
    let mut again = 0;
    let end = rig.now + RECOVERY_LIMIT / 2;
    while rig.now < end {
        let actions = rig.pass(Duration::from_millis(100));
        if actions.iter().any(|action| matches!(action, Action::Probe)) {
            again += follows(rig.step(Event::ProbeAnswered));
        }
    }
    assert_eq!(again, 1);
}
