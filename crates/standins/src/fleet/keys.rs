//! API keys for tests and load runs, generated from a seed.

use corianderway_control::KeyRecord;
use corianderway_control::KeyState;
use corianderway_control::NONCE_BYTES;
use corianderway_model::Account;
use corianderway_model::KeyId;
use rand::rngs::StdRng;
use rand::RngCore;
use rand::SeedableRng;
use serde_json::json;

use crate::fleet::error::Error;
use crate::harness::Platform;

/// A granted API key.
#[derive(Clone, Debug)]
pub struct GrantedKey {
    /// The client account.
    pub account: Account,
    /// The public key id.
    pub id: KeyId,
    /// The full key, as a caller sends it.
    pub text: String,
}

/// Generates keys from a seed. Only for stand-ins, since a seed can be guessed.
#[derive(Debug)]
pub(crate) struct KeyGenerator(StdRng);

impl KeyGenerator {
    pub(crate) fn new(seed: u64) -> Self {
        Self(StdRng::seed_from_u64(seed))
    }

    /// Generates a key for a client account and stores its record in the platform.
    pub(crate) fn grant(
        &mut self,
        platform: &Platform,
        account: &Account,
    ) -> Result<GrantedKey, Error> {
        let mut nonce = [0; NONCE_BYTES];
        self.0.fill_bytes(&mut nonce);
        let (record, text) = KeyRecord::generate(account.clone(), &nonce, 0);
        platform.create("keys", record.id.as_str(), &record)?;
        Ok(GrantedKey {
            account: account.clone(),
            id: record.id,
            text: text.reveal().to_owned(),
        })
    }
}

/// Marks a key's record in the platform as withdrawn.
pub(crate) fn withdraw(platform: &Platform, granted: &GrantedKey) -> Result<(), Error> {
    let name = granted.id.as_str();
    if let Some(stored) = platform.get("keys", name)? {
        let mut record = (*stored.value).clone();
        record["state"] = json!(KeyState::Withdrawn);
        platform.update("keys", name, stored.version, &record)?;
    }
    Ok(())
}
