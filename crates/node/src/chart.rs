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
    Waiting,
    Claiming,
    Forwarded,
    Queued,
    Answering,
    Done,
}

/// What happens to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Signal {
    /// The client account's rate admits it.
    Granted,
    /// A limit of its client account does not admit it yet.
    Short,
    /// The claim is made.
    Claimed,
    /// The request ran before, and its answer is known.
    Remembered,
    /// No backend server has a slot that it may use.
    Full,
    /// A slot may have become free.
    Free,
    /// It is refused, for the reason at hand.
    Refused,
    /// The head of an answer came.
    Answered,
    /// The attempt ended without an answer.
    Failed,
    /// The answer was delivered, or the caller left.
    Ended,
}

/// What decides between two branches.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Guard {
    /// The route is non-idempotent and its backend servers do not deduplicate.
    NeedsClaim,
    /// A claim was made for it.
    HasClaim,
    /// A further attempt can do no harm and has budget, server and time.
    MayRetry,
}

/// What is done on the way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Effect {
    /// Wait until quota can have come from the peers.
    WaitForQuota,
    /// Begin to claim the request.
    Claim,
    /// Drop a claim that is being made.
    AbandonClaim,
    /// Choose a backend server and send the request there.
    Forward,
    /// Wait for a slot of the service.
    WaitForSlot,
    /// Tell the caller of the refusal.
    Refuse,
    /// Count the answer for its backend server.
    CountAnswer,
    /// Count the failure for its backend server.
    CountFailure,
    /// Count that the caller left before the answer.
    CountDeparture,
    /// Count the end of an answered request.
    CountEnd,
    /// Give the answer that is remembered.
    Replay,
    /// Record in the claim how the attempt ended.
    SettleClaim,
}
