//! The claim object that the platform stores.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use serde_with::base64::Base64;
use serde_with::serde_as;

use crate::request_key::BodyHash;
use crate::request_key::CLAIM_RETENTION_S;

/// The maximum size of a stored outcome's body, in bytes.
pub const MAX_OUTCOME_BODY_BYTES: usize = 16 * 1024;

/// Random bits that identify one attempt to claim a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Nonce(pub u64, pub u64);

/// The claim of a request, as the platform stores it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimRecord {
    /// The attempt that holds the claim.
    pub holder: Nonce,
    /// The hash of the request's method, target and body.
    pub body: BodyHash,
    /// When the request key was created, in seconds after the Unix epoch.
    pub made: u64,
    /// Whether the request ran, as far as is known.
    pub run: Run,
}

/// Whether a claimed request ran, as far as is known.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Run {
    /// The request may run or may have run.
    Claimed,
    /// The request did not run, and the holder will not run it.
    NotRun,
    /// The holder can't determine whether the request ran.
    Unknown,
    /// The request ran, with this outcome.
    Finished(Arc<Outcome>),
}

/// The answer of a backend server, stored for callers that send the request again.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Outcome {
    /// The status code.
    pub status: u16,
    /// The headers to replay.
    pub headers: Vec<Header>,
    /// The body; empty if it was longer than [`MAX_OUTCOME_BODY_BYTES`].
    #[serde_as(as = "Base64")]
    pub body: Vec<u8>,
    /// Whether `body` is the whole body.
    pub whole: bool,
}

/// A header of an outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header(pub Arc<str>, pub Arc<str>);

impl Outcome {
    /// Creates an outcome, without the body if it is longer than
    /// [`MAX_OUTCOME_BODY_BYTES`].
    pub fn new(status: u16, headers: Vec<Header>, body: &[u8]) -> Self {
        let whole = body.len() <= MAX_OUTCOME_BODY_BYTES;
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
    /// Whether the claim may be removed at `unix_s` seconds after the Unix epoch.
    pub fn removable(&self, unix_s: u64) -> bool {
        unix_s.saturating_sub(self.made) > CLAIM_RETENTION_S
    }
}
