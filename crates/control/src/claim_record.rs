//! What the platform stores of a claim.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use serde_with::base64::Base64;
use serde_with::serde_as;

use crate::request_key::BodyHash;
use crate::request_key::CLAIM_LIFE_S;

/// The longest body of an outcome that is kept, in bytes.
pub const OUTCOME_BODY_BYTES: usize = 16 * 1024;

/// Random bits that one attempt to claim is known by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Nonce(pub u64, pub u64);

/// The claim of a request, as the platform stores it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimRecord {
    /// Which attempt holds the claim.
    pub holder: Nonce,
    /// What the request asks for.
    pub body: BodyHash,
    /// When the request key was made, in seconds after the Unix epoch.
    pub made: u64,
    /// What is known of the run.
    pub run: Run,
}

/// What is known of the run of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Run {
    /// It may run or may have run.
    Claimed,
    /// It did not run, and its holder will not run it.
    NotRun,
    /// Its holder can't tell whether it ran.
    Unknown,
    /// It ran, with this outcome.
    Finished(Arc<Outcome>),
}

/// The answer of a backend server, kept for callers that send the request again.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Outcome {
    /// The status code.
    pub status: u16,
    /// The headers to repeat.
    pub headers: Vec<Header>,
    /// The body; empty if it was too long to keep.
    #[serde_as(as = "Base64")]
    pub body: Vec<u8>,
    /// Whether `body` is the whole body.
    pub whole: bool,
}

/// A header of an outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header(pub Arc<str>, pub Arc<str>);

impl Outcome {
    /// Keeps an answer, without its body if that is too long.
    pub fn new(status: u16, headers: Vec<Header>, body: &[u8]) -> Self {
        let whole = body.len() <= OUTCOME_BODY_BYTES;
        let kept = if whole { body } else { &[] };
        Self {
            status,
            headers,
            body: kept.to_vec(),
            whole,
        }
    }
}

impl ClaimRecord {
    /// Whether the claim may be removed at `unix` seconds after the Unix epoch.
    pub fn removable(&self, unix: u64) -> bool {
        unix.saturating_sub(self.made) > CLAIM_LIFE_S
    }
}
