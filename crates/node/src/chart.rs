//! The types of a request's chart, `charts/request.yaml`.

use corianderway_chart::Chart;
use serde::Deserialize;

/// The text of the chart.
pub const REQUEST_CHART: &str = include_str!("../charts/request.yaml");

/// The parsed chart.
pub(crate) type RequestChart = Chart<State, Signal, Guard, Effect>;

/// The states of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum State {
    Received,
    Waiting,
    Claiming,
    Forwarded,
    Checking,
    Queued,
    Answering,
    Done,
}

/// The events of a request's chart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Signal {
    /// The request is not held back as a suspect, and its client account's rate admits
    /// it.
    Granted,
    /// A limit of the client account does not admit the request yet, or it is held back
    /// as a suspect.
    Deferred,
    /// The claim was made.
    Claimed,
    /// The request ran before, and its response is recorded.
    Recorded,
    /// No slot is free that the request may use, or others wait for one.
    NoSlot,
    /// A slot may have become free.
    SlotFreed,
    /// The request is refused, for the reason in its refusal.
    Refused,
    /// The head of a response was received.
    Answered,
    /// The attempt ended without a response.
    Failed,
    /// The check of the backend server whose connection broke has ended, or the time for
    /// it is over.
    Checked,
    /// The response was delivered, or the caller disconnected.
    Ended,
}

/// The conditions on transitions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Guard {
    /// The route is non-idempotent and its backend servers do not deduplicate.
    NeedsClaim,
    /// A claim of the request has begun.
    HasClaim,
    /// The connection to the backend server broke after bytes were sent.
    Broke,
    /// Another attempt is safe, and an attempt, retry budget and time are left for it.
    MayRetry,
}

/// The effects of transitions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Effect {
    /// Waits until quota can have arrived from another instance.
    WaitForQuota,
    /// Begins to claim the request.
    Claim,
    /// Removes the caller from those that wait for a claim.
    AbandonClaim,
    /// Selects a backend server and sends the request to it.
    Forward,
    /// Waits until the backend server whose connection broke was checked.
    AwaitCheck,
    /// Queues the request for a slot of its service.
    WaitForSlot,
    /// Sends the refusal to the caller.
    Refuse,
    /// Records the response in the statistics of its backend server and version.
    CountAnswer,
    /// Records the failure in the statistics of its backend server and version.
    CountFailure,
    /// Ends the attempt in the statistics without an outcome, since the caller
    /// disconnected.
    CountCancelled,
    /// Records how long the request held its slot.
    CountEnd,
    /// Sends the recorded response to the caller.
    Replay,
    /// Reports the end of the attempt to the claims state machine.
    SettleClaim,
}
