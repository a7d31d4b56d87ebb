//! Whether a failed request may be sent to another backend server.

use corianderway_model::Replay;
use corianderway_model::Time;

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The backend server is known to have accepted no byte of the request.
    NotAccepted,
    /// Any other failure; the request may run.
    Broken,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterFailure {
    /// Send the request again, if the retry budget allows.
    Retry,
    /// Report to the caller that the request did not run.
    NotRun,
    /// Report to the caller that the request may have run.
    MayHaveRun,
}

/// Decides what to do after a failed attempt; `sent` is whether an earlier
/// attempt may run.
///
/// A deduplicated request carries its key to every backend server, so that it
/// may be sent again even if it may run, and even during an outage of the
/// platform.
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
