//! The key by which a caller names a request that must run at most once.

use corianderway_model::Account;
use serde::Deserialize;
use serde::Serialize;
use serde_with::hex::Hex;
use serde_with::serde_as;
use sha2::Digest;
use sha2::Sha256;
use snafu::ensure;
use snafu::Snafu;

/// How long after its making a request key is accepted, in seconds.
pub const KEY_LIFE_S: u64 = HOUR_S;

/// How long after its making the claim of a request key is removed, in seconds.
pub const CLAIM_LIFE_S: u64 = 2 * KEY_LIFE_S;

/// How far a caller's clock may be ahead, in seconds.
const CLOCK_AHEAD_S: u64 = 300;

const HOUR_S: u64 = 3600;
const UUID_CHARS: usize = 36;
const VERSION_AT: usize = 14;
const NAME_HASH_BYTES: usize = 16;

/// A request key: a UUID of version 7, which tells when it was made.
///
/// Since the key tells its age, each instance refuses a key that is too old,
/// and claims may be removed without a request ever running again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestKey {
    digits: [u8; 16],
    made: u64,
}

/// A hash of what a request asks for, to tell another request under the same key.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BodyHash(#[serde_as(as = "Hex")] [u8; 16]);

/// Why a request key is not accepted; the message names the remedy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum RequestKeyError {
    /// The text is not a UUID of version 7.
    #[snafu(display("the request key is malformed; send a UUID of version 7"))]
    Malformed,
    /// The key is too old to tell whether the request ran.
    #[snafu(display(
        "the request key is more than an hour old; look up whether the request ran, \
         then send it under a new key"
    ))]
    TooOld,
    /// The key claims to be made in the future.
    #[snafu(display("the request key is made in the future; set the caller's clock"))]
    Future,
}

impl TryFrom<&str> for RequestKey {
    type Error = RequestKeyError;

    fn try_from(text: &str) -> Result<Self, RequestKeyError> {
        let dashes = [8, 13, 18, 23];
        let bytes = text.as_bytes();
        ensure!(bytes.len() == UUID_CHARS, MalformedSnafu);
        ensure!(dashes.iter().all(|at| bytes[*at] == b'-'), MalformedSnafu);
        ensure!(bytes[VERSION_AT] == b'7', MalformedSnafu);
        let plain = bytes.iter().filter(|b| **b != b'-').copied();
        let mut digits = [0; 16];
        hex::decode_to_slice(plain.collect::<Vec<_>>(), &mut digits)
            .map_err(|_odd| RequestKeyError::Malformed)?;
        let mut millis = [0; 8];
        millis[2..].copy_from_slice(&digits[..6]);
        let made = u64::from_be_bytes(millis) / 1000;
        Ok(Self { digits, made })
    }
}

impl RequestKey {
    /// When the key was made, in seconds after the Unix epoch.
    pub fn made(&self) -> u64 {
        self.made
    }

    /// Checks the age of the key at `unix` seconds after the Unix epoch.
    ///
    /// # Errors
    ///
    /// Fails when the key is older than [`KEY_LIFE_S`] or made in the future.
    pub fn check_age(&self, unix: u64) -> Result<(), RequestKeyError> {
        ensure!(unix.saturating_sub(self.made) <= KEY_LIFE_S, TooOldSnafu);
        ensure!(self.made.saturating_sub(unix) <= CLOCK_AHEAD_S, FutureSnafu);
        Ok(())
    }

    /// The name of the claim in the platform, `<hour>.<client account>.<hash>`.
    ///
    /// The hour is that in which the key was made, so that the oldest claims
    /// come first in the order of names.
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
            // The length keeps parts apart.
            sha.update((part.len() as u64).to_le_bytes());
            sha.update(part);
        }
        let mut hash = [0; 16];
        hash.copy_from_slice(&sha.finalize()[..16]);
        Self(hash)
    }
}
