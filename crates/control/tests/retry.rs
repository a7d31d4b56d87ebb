//! A failed attempt is retried only if that can't run a non-idempotent request twice.

use corianderway_control::after_failure;
use corianderway_control::AfterFailure;
use corianderway_control::Failure;
use corianderway_model::Replay;
use corianderway_model::Time;

const START_BY: Time = Time::from_millis(1000);
const IN_TIME: Time = Time::from_millis(1000);
const LATE: Time = Time::from_millis(1001);

#[test]
fn once_is_retried_only_if_no_byte_was_accepted() {
    let after = |failure, sent, now| after_failure(Replay::Once, failure, sent, now, START_BY);
    assert_eq!(
        after(Failure::NotAccepted, false, IN_TIME),
        AfterFailure::Retry
    );
    assert_eq!(
        after(Failure::NotAccepted, false, LATE),
        AfterFailure::NotRun
    );
    for now in [IN_TIME, LATE] {
        assert_eq!(
            after(Failure::NotAccepted, true, now),
            AfterFailure::MayHaveRun
        );
        assert_eq!(after(Failure::Broken, false, now), AfterFailure::MayHaveRun);
    }
}

#[test]
fn others_are_retried_in_time_and_never_falsely_reported_as_not_run() {
    for replay in [Replay::Idempotent, Replay::Deduplicated] {
        let after = |failure, sent, now| after_failure(replay, failure, sent, now, START_BY);
        assert_eq!(after(Failure::Broken, true, IN_TIME), AfterFailure::Retry);
        assert_eq!(
            after(Failure::Broken, false, LATE),
            AfterFailure::MayHaveRun
        );
        assert_eq!(
            after(Failure::NotAccepted, true, LATE),
            AfterFailure::MayHaveRun
        );
        assert_eq!(
            after(Failure::NotAccepted, false, LATE),
            AfterFailure::NotRun
        );
    }
}
