//! The idempotency key of a request that must run at most once.

use corianderway_model::Account;
use serde::Deserialize;
use serde::Serialize;
use serde_with::hex::Hex;
use serde_with::serde_as;
use sha2::Digest;
use sha2::Sha256;
use snafu::ensure;
use snafu::Snafu;

/// The maximum age of an accepted request key, in seconds.
pub const REQUEST_KEY_MAX_AGE_S: u64 = HOUR_S;

/// The age of a request key above which its claim may be removed, in seconds.
pub const CLAIM_RETENTION_S: u64 = 2 * REQUEST_KEY_MAX_AGE_S;

/// How far a caller's clock may be ahead of this instance's, in seconds.
const MAX_CLOCK_SKEW_S: u64 = 300;

const HOUR_S: u64 = 3600;
const UUID_CHARS: usize = 36;
const VERSION_INDEX: usize = 14;
const NAME_HASH_BYTES: usize = 16;

/// A request key: a UUID of version 7, which contains its creation time.
///
/// Every instance can therefore refuse a key that is too old, so that a
/// request never runs again after its claim was removed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestKey {
    digits: [u8; 16],
    made: u64,
}

/// A hash of a request, by which another request under the same key is detected.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BodyHash(#[serde_as(as = "Hex")] [u8; 16]);

/// The reason why a request key is refused; the message names the remedy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum RequestKeyError {
    /// The text is not a UUID of version 7.
    #[snafu(display("the request key is malformed; send a UUID of version 7"))]
    Malformed,
    /// The key is so old that the request's claim may have been removed.
    #[snafu(display(
        "the request key is more than an hour old; look up whether the request ran, \
         then send it under a new key"
    ))]
    TooOld,
    /// The creation time is in the future.
    #[snafu(display("the request key was created in the future; correct the caller's clock"))]
    Future,
}

impl TryFrom<&str> for RequestKey {
    type Error = RequestKeyError;

    fn try_from(text: &str) -> Result<Self, RequestKeyError> {
        let dashes = [8, 13, 18, 23];
        let bytes = text.as_bytes();
        ensure!(bytes.len() == UUID_CHARS, MalformedSnafu);
        ensure!(dashes.iter().all(|at| bytes[*at] == b'-'), MalformedSnafu);
        ensure!(bytes[VERSION_INDEX] == b'7', MalformedSnafu);
        let hex_digits = bytes.iter().filter(|b| **b != b'-').copied();
        let mut digits = [0; 16];
        hex::decode_to_slice(hex_digits.collect::<Vec<_>>(), &mut digits)
            .map_err(|_invalid| RequestKeyError::Malformed)?;
        let mut millis = [0; 8];
        millis[2..].copy_from_slice(&digits[..6]);
        let made = u64::from_be_bytes(millis) / 1000;
        Ok(Self { digits, made })
    }
}

impl RequestKey {
    /// When the key was created, in seconds after the Unix epoch.
    pub fn made(&self) -> u64 {
        self.made
    }

    /// Checks the age of the key at `unix_s` seconds after the Unix epoch.
    ///
    /// # Errors
    ///
    /// Fails when the key is older than [`REQUEST_KEY_MAX_AGE_S`], or created further
    /// in the future than clocks may differ.
    pub fn check_age(&self, unix_s: u64) -> Result<(), RequestKeyError> {
        ensure!(
            unix_s.saturating_sub(self.made) <= REQUEST_KEY_MAX_AGE_S,
            TooOldSnafu
        );
        ensure!(
            self.made.saturating_sub(unix_s) <= MAX_CLOCK_SKEW_S,
            FutureSnafu
        );
        Ok(())
    }

    /// The name of the claim in the platform, `<hour>.<client account>.<hash>`.
    ///
    /// The hour is the one in which the key was created, so that the oldest
    /// claims sort first by name.
    pub fn claim_name(&self, account: &Account) -> String {
        let hash = Sha256::digest(self.digits);
        let hash = hex::encode(&hash[..NAME_HASH_BYTES]);
        format!("{:08}.{account}.{hash}", self.made / HOUR_S)
    }
}

impl BodyHash {
    /// Hashes the parts of a request: method, target and body.
    pub fn new<'p>(parts: impl IntoIterator<Item = &'p [u8]>) -> Self {
        let mut sha = Sha256::new();
        for part in parts {
            // The length prefix makes the boundaries of the parts unambiguous.
            sha.update((part.len() as u64).to_le_bytes());
            sha.update(part);
        }
        let mut hash = [0; 16];
        hash.copy_from_slice(&sha.finalize()[..16]);
        Self(hash)
    }
}
