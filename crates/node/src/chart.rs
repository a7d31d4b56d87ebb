//! The chart of a request, and the names in it.

use corianderway_chart::Chart;
use serde::Deserialize;

/// The chart file of a request.
pub const REQUEST_CHART: &str = include_str!("../charts/request.yaml");

/// The checked chart of a request.
pub(crate) type RequestChart = Chart<State, Signal, Guard, Effect>;

/// Where a request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum State {
    Received,
    Claiming,
    Forwarded,
    Answering,
    Abandoned,
    Done,
}

/// What happens to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Signal {
    Admitted,
    Claimed,
    Refused,
    Answered,
    Failed,
    Ended,
}

/// What decides between two branches.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Guard {
    /// The route is non-idempotent and its backend servers do not deduplicate.
    NeedsClaim,
    /// A further attempt can do no harm and has budget, server and time.
    MayRetry,
}

/// What is done on the way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Effect {
    /// Begin to claim the request.
    Claim,
    /// Choose a backend server and send the request there.
    Forward,
    /// Refuse for the reason at hand.
    Refuse,
    /// Refuse after a failed attempt.
    GiveUp,
    /// Count the answer for its backend server.
    CountAnswer,
    /// Count the failure for its backend server.
    CountFailure,
    /// Count that the caller left before the answer.
    CountDeparture,
    /// Close the books of an answered request.
    Close,
    /// Give up a claim that nobody needs.
    Release,
}
