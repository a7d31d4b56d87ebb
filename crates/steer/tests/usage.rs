//! The attempts that count for the usage reports.

mod rig;

use std::time::Duration;

use corianderway_model::SortedMap;
use corianderway_steer::Action;
use corianderway_steer::Bounds;
use corianderway_steer::Outcome;
use corianderway_steer::Steer;

use crate::rig::answered;
use crate::rig::Rig;

/// The time after which all counts are passed on.
const PASS_TIME: Duration = Duration::from_millis(200);

fn rig(count_attempts: bool) -> Rig {
    let me = rig::member("entry-1", "north", "north-a");
    let mut rig = Rig::bare(me.clone());
    let bounds = Bounds {
        count_attempts,
        ..Bounds::default()
    };
    rig.steer = Steer::new(me, bounds, 7).unwrap();
    rig.settle(rig::plan(1, rig::routes(), None), rig::servers());
    rig
}

// Returns the sums of what was counted for each account.
fn counted(actions: &[Action]) -> Vec<(String, i64)> {
    let mut sums: SortedMap<String, i64> = SortedMap::default();
    for action in actions {
        if let Action::CountAttempts(counts) = action {
            for count in counts {
                let account = count.account.as_str().to_owned();
                *sums.get_or_insert_with(account, || 0) += count.change;
            }
        }
    }
    sums.iter()
        .map(|(name, sum)| (name.clone(), *sum))
        .collect()
}

#[test]
fn each_attempt_that_may_have_run_counts_for_its_account() {
    let outcomes = [
        (answered(200), 1),
        (answered(500), 1),
        (Outcome::Broken, 1),
        (Outcome::TimedOut, 1),
        (Outcome::Full { load: None }, 0),
        (Outcome::Misdirected, 0),
        (Outcome::Unreachable, 0),
        (Outcome::NotSent, 0),
    ];
    for (outcome, runs) in outcomes {
        let mut rig = rig(true);
        let id = rig.request("/bids/1", None);
        assert!(rig.sent(id).is_some());
        let before = counted(&rig.pass(PASS_TIME));
        assert_eq!(before.iter().map(|row| row.1).sum::<i64>(), 1);
        // Whether another attempt follows shows in the actions of the same step.
        let again = rig.end(id, outcome).iter();
        let again = again
            .filter(|action| matches!(action, Action::Forward { .. }))
            .count() as i64;
        let after = counted(&rig.pass(PASS_TIME));
        let change: i64 = after.iter().map(|row| row.1).sum();
        assert_eq!(1 + change - again, runs, "{outcome:?}");
    }
}

#[test]
fn nothing_is_counted_where_no_report_is_asked_for() {
    let mut rig = rig(false);
    let id = rig.request("/bids/1", None);
    assert!(rig.sent(id).is_some());
    assert!(counted(&rig.pass(PASS_TIME)).is_empty());
}
