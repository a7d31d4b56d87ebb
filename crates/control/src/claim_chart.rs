//! The state chart of a claim: its states, events, guards and actions.

use corianderway_chart::Chart;
use corianderway_chart::Error;
use serde::Deserialize;

/// The state chart of claims, as YAML.
pub const CLAIM_CHART: &str = include_str!("../charts/claim.yaml");

/// The parsed state chart of claims.
pub(crate) type ClaimChart = Chart<ClaimState, Input, Guard, Output>;

/// The state of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimState {
    /// The claim is being written to the platform.
    Claiming,
    /// The answer to a write was lost; the stored claim is being read.
    Reading,
    /// Another instance holds the claim.
    Waiting,
    /// The request was passed on for sending and may have run.
    Forwarded,
    /// The outcome is being written.
    Finishing,
    /// A record that the request did not run is being written.
    Releasing,
    /// No call is left to make.
    Ended,
}

/// An event of the chart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Input {
    /// The write took effect.
    Written,
    /// The stored claim is this one.
    OwnClaim,
    /// Another attempt holds the claim and may run the request.
    Running,
    /// The stored claim has an outcome.
    Finished,
    /// The stored claim says that it can't be known whether the request ran.
    Unknown,
    /// The stored claim says that the request did not run and will not.
    NotRun,
    /// The stored claim is of a request with another body.
    Mismatch,
    /// No claim is stored.
    Absent,
    /// The platform did not answer; a write may have taken effect.
    Lost,
    /// The timer of the claim expired.
    Due,
    /// The backend server sent a whole answer.
    Answered,
    /// The backend server accepted no byte of the request.
    NotAccepted,
    /// The attempt failed in a way that leaves open whether the request runs.
    Broken,
    /// The last caller disconnected.
    CallersGone,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Guard {
    /// The request may still be started, and a caller waits for it.
    InTime,
    /// Fewer writes of an outcome or release were made than the maximum.
    WritesLeft,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Output {
    WriteClaim,
    ReadClaim,
    ScheduleRetry,
    Forward,
    Answer,
    Replay,
    WriteOutcome,
    WriteRelease,
    RefuseNotRun,
    RefuseNotStarted,
    RefuseMayHaveRun,
    RefuseMismatch,
}

/// Parses a state chart of claims.
pub(crate) fn load(text: &str) -> Result<ClaimChart, Error> {
    ClaimChart::parse(text)
}
