//! What the platform stores of a key, and how a key is made.

use std::fmt;

use corianderway_model::Account;
use corianderway_model::KeyId;
use serde::Deserialize;
use serde::Serialize;
use serde_with::hex::Hex;
use serde_with::serde_as;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

use crate::keys::KeyState;

/// Random bytes that a new key is made of.
pub const NONCE_BYTES: usize = ID_BYTES + SALT_BYTES + SECRET_BYTES;

const ID_BYTES: usize = 8;
const SALT_BYTES: usize = 16;
const SECRET_BYTES: usize = 32;
const HASH_BYTES: usize = 32;

/// What the platform stores of a key; the secret can't be had from it.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyRecord {
    /// The public part of the key.
    pub id: KeyId,
    /// The client account that the key speaks for.
    pub account: Account,
    /// What is hashed before the secret.
    #[serde_as(as = "Hex")]
    pub salt: [u8; SALT_BYTES],
    /// The SHA-256 hash of salt and secret.
    #[serde_as(as = "Hex")]
    pub hash: [u8; HASH_BYTES],
    /// The state.
    pub state: KeyState,
    /// When the key was made, in seconds after the Unix epoch.
    pub created: u64,
}

/// The text of a new key, shown to its owner once and stored nowhere.
#[derive(Clone)]
pub struct KeyText(String);

impl KeyText {
    /// The text, `<key id>.<secret>`.
    pub fn reveal(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for KeyText {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyText(hidden)")
    }
}

impl KeyRecord {
    /// Makes a key out of random bytes; they must come from the system's
    /// generator and be used once.
    ///
    /// # Panics
    ///
    /// Never; the made identity is always a name.
    pub fn generate(account: Account, nonce: &[u8; NONCE_BYTES], created: u64) -> (Self, KeyText) {
        let (id, rest) = nonce.split_at(ID_BYTES);
        let (salt, secret) = rest.split_at(SALT_BYTES);
        let id = hex::encode(id);
        let text = KeyText(format!("{id}.{}", hex::encode(secret)));
        let mut own = [0; SALT_BYTES];
        own.copy_from_slice(salt);
        let record = Self {
            id: KeyId::try_from(id).expect("hexadecimal digits are a name"),
            account,
            salt: own,
            hash: hash(&own, secret),
            state: KeyState::Granted,
            created,
        };
        (record, text)
    }

    /// The same key in another state, for a conditional update.
    #[must_use]
    pub fn with_state(mut self, state: KeyState) -> Self {
        self.state = state;
        self
    }

    /// Whether the text is the secret of the key, compared in constant time.
    pub(crate) fn matches(&self, text: &str) -> bool {
        let mut secret = [0; SECRET_BYTES];
        let lower = !text.bytes().any(|b| b.is_ascii_uppercase());
        let decoded = hex::decode_to_slice(text, &mut secret).is_ok();
        let equal = hash(&self.salt, &secret).ct_eq(&self.hash);
        lower && decoded && equal.into()
    }
}

// Salt and secret fit one block of the hash.
fn hash(salt: &[u8; SALT_BYTES], secret: &[u8]) -> [u8; HASH_BYTES] {
    let mut sha = Sha256::new();
    sha.update(salt);
    sha.update(secret);
    sha.finalize().into()
}
