//! The chart of a claim: its states, events, guards and actions.

use corianderway_chart::Chart;
use corianderway_chart::Error;
use serde::Deserialize;

/// The chart of a claim, as its file spells it.
pub const CLAIM_CHART: &str = include_str!("../charts/claim.yaml");

/// The chart of claims.
pub(crate) type ClaimChart = Chart<ClaimState, Input, Guard, Output>;

/// The state of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimState {
    /// The claim is being written.
    Claiming,
    /// The answer to a write was lost, and the stored claim is being read.
    Reading,
    /// Another instance holds the claim.
    Waiting,
    /// The request was handed over for sending.
    Forwarded,
    /// The outcome is being written.
    Finishing,
    /// It is being written that the request did not run.
    Releasing,
    /// Nothing is left to do.
    Ended,
}

/// What happens to a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Input {
    Written,
    Own,
    Running,
    Finished,
    Unknown,
    NotRun,
    Mismatch,
    Absent,
    Lost,
    Due,
    Answered,
    NotAccepted,
    Broken,
    Gone,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Guard {
    InTime,
    Trying,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Output {
    Claim,
    Read,
    Pause,
    Forward,
    Answer,
    Replay,
    Finish,
    Release,
    RefuseNotRun,
    RefuseNotStarted,
    RefuseMayHaveRun,
    RefuseMismatch,
}

/// Reads a chart of claims.
pub(crate) fn load(text: &str) -> Result<ClaimChart, Error> {
    ClaimChart::parse(text)
}
