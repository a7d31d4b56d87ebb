//! Whether a request that failed may be sent to another backend server.

use corianderway_model::Replay;
use corianderway_model::Time;

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Certainly not one byte of the request was accepted.
    NotAccepted,
    /// Anything else; the request may run.
    Broken,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterFailure {
    /// Send it again, if the retry budget allows.
    Retry,
    /// Tell the caller that it did not run.
    NotRun,
    /// Tell the caller that it may have run.
    MayHaveRun,
}

/// Decides what to do after a failed attempt; `sent` tells whether an earlier
/// attempt may run.
///
/// A deduplicated request carries its key to each backend server, so it may
/// be sent again even if it may run, also while the platform is out.
pub fn after_failure(
    replay: Replay,
    failure: Failure,
    sent: bool,
    now: Time,
    start_by: Time,
) -> AfterFailure {
    let may_run = sent || failure == Failure::Broken;
    let repeatable = match replay {
        Replay::Idempotent | Replay::Deduplicated => true,
        Replay::Once => !may_run,
    };
    match (repeatable && now <= start_by, may_run) {
        (true, _) => AfterFailure::Retry,
        (false, true) => AfterFailure::MayHaveRun,
        (false, false) => AfterFailure::NotRun,
    }
}
