//! The key object that the platform stores, and the generation of keys.

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

/// The number of random bytes that a new key is generated from.
pub const NONCE_BYTES: usize = ID_BYTES + SALT_BYTES + SECRET_BYTES;

const ID_BYTES: usize = 8;
const SALT_BYTES: usize = 16;
const SECRET_BYTES: usize = 32;
const HASH_BYTES: usize = 32;

/// A key as the platform stores it, with a salted hash in place of the secret.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyRecord {
    /// The public part of the key.
    pub id: KeyId,
    /// The client account that the key belongs to.
    pub account: Account,
    /// The salt, which is hashed before the secret.
    #[serde_as(as = "Hex")]
    pub salt: [u8; SALT_BYTES],
    /// The SHA-256 hash of the salt and the secret.
    #[serde_as(as = "Hex")]
    pub hash: [u8; HASH_BYTES],
    /// Whether the key is accepted.
    pub state: KeyState,
    /// When the key was created, in seconds after the Unix epoch.
    pub created: u64,
}

/// The text of a new key, shown to its owner once and not stored.
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
    /// Generates a key from random bytes, which must come from the system's
    /// generator and be used only once.
    ///
    /// # Panics
    ///
    /// Never panics: the key id is hexadecimal, which is always a valid name.
    pub fn generate(account: Account, nonce: &[u8; NONCE_BYTES], created: u64) -> (Self, KeyText) {
        let (id, rest) = nonce.split_at(ID_BYTES);
        let (salt, secret) = rest.split_at(SALT_BYTES);
        let id = hex::encode(id);
        let text = KeyText(format!("{id}.{}", hex::encode(secret)));
        let mut salt_bytes = [0; SALT_BYTES];
        salt_bytes.copy_from_slice(salt);
        let record = Self {
            id: KeyId::try_from(id).expect("hexadecimal digits are a valid name"),
            account,
            salt: salt_bytes,
            hash: hash(&salt_bytes, secret),
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

    /// Whether the text is the secret of the key; hashes are compared in constant time.
    pub(crate) fn matches(&self, text: &str) -> bool {
        let mut secret = [0; SECRET_BYTES];
        let lower = !text.bytes().any(|b| b.is_ascii_uppercase());
        let decoded = hex::decode_to_slice(text, &mut secret).is_ok();
        let equal = hash(&self.salt, &secret).ct_eq(&self.hash);
        lower && decoded && equal.into()
    }
}

// Salt and secret fit into one block of SHA-256.
fn hash(salt: &[u8; SALT_BYTES], secret: &[u8]) -> [u8; HASH_BYTES] {
    let mut sha = Sha256::new();
    sha.update(salt);
    sha.update(secret);
    sha.finalize().into()
}
