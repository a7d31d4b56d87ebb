//! Keys for tests and load, made from a seed.

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

/// A granted key.
#[derive(Clone, Debug)]
pub struct Granted {
    /// The client account.
    pub account: Account,
    /// The public part.
    pub id: KeyId,
    /// What a caller presents.
    pub text: String,
}

/// Makes keys of one seed; only for stand-ins, since a seed can be guessed.
#[derive(Debug)]
pub(crate) struct Minter(StdRng);

impl Minter {
    pub(crate) fn new(seed: u64) -> Self {
        Self(StdRng::seed_from_u64(seed))
    }

    /// Makes a key of a client account and stores its record in the platform.
    pub(crate) fn grant(
        &mut self,
        platform: &Platform,
        account: &Account,
    ) -> Result<Granted, Error> {
        let mut nonce = [0; NONCE_BYTES];
        self.0.fill_bytes(&mut nonce);
        let (record, text) = KeyRecord::generate(account.clone(), &nonce, 0);
        platform.create("keys", record.id.as_str(), &record)?;
        Ok(Granted {
            account: account.clone(),
            id: record.id,
            text: text.reveal().to_owned(),
        })
    }
}

/// Withdraws a key.
pub(crate) fn withdraw(platform: &Platform, granted: &Granted) -> Result<(), Error> {
    let name = granted.id.as_str();
    if let Some(held) = platform.get("keys", name)? {
        let mut record = (*held.value).clone();
        record["state"] = json!(KeyState::Withdrawn);
        platform.update("keys", name, held.version, &record)?;
    }
    Ok(())
}
