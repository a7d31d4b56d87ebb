//! Configuration that came into force: contracts and keys.

use corianderway_control::KeyRecord;
use corianderway_control::Kind;
use corianderway_control::Object;
use corianderway_model::Account;
use corianderway_model::Contract;
use corianderway_model::KeyId;
use corianderway_model::Presence;
use corianderway_model::Time;
use corianderway_rollout::Drain;
use corianderway_rollout::DrainEvent;
use corianderway_rollout::Event as MoveEvent;
use corianderway_rollout::Move;
use corianderway_rollout::Stored;
use serde::de::DeserializeOwned;

use crate::event::Action;
use crate::node::Node;
use crate::quota::Confirmation;
use crate::quota::CONFIRMED_NAME;
use crate::record::Record;

/// Whether a stored object can be put in force; one that can't never is, anywhere.
pub(crate) fn is_sound(object: &Object) -> bool {
    Sound::try_from(object).is_ok()
}

/// A configuration object that was read.
enum Sound {
    Contract(Contract),
    NoContract(Account),
    Key(KeyRecord),
    NoKey(KeyId),
    Move(Stored<Move>),
    Drain(Stored<Drain>),
    Confirmed(u64),
    /// Kept and passed on, but read by another part.
    Other,
}

impl TryFrom<&Object> for Sound {
    type Error = String;

    fn try_from(object: &Object) -> Result<Self, String> {
        let name = object.id.name.as_ref();
        let plain = |error: corianderway_model::Error| error.to_string();
        match (object.id.kind, object.text()) {
            (Kind::Contract, Some(text)) => {
                let contract = Contract::parse(name, text).map_err(plain)?;
                if contract.account.as_str() != name {
                    return Err("name the contract after its client account".to_owned());
                }
                Ok(Self::Contract(contract))
            }
            (Kind::Contract, None) => Ok(Self::NoContract(Account::try_from(name).map_err(plain)?)),
            (Kind::Key, Some(text)) => {
                let record: KeyRecord = serde_json::from_str(text).map_err(|e| e.to_string())?;
                Ok(Self::Key(record))
            }
            (Kind::Key, None) => Ok(Self::NoKey(KeyId::try_from(name).map_err(plain)?)),
            (Kind::Move, Some(text)) => Ok(Self::Move(stored(object.version, text)?)),
            (Kind::Drain, Some(text)) => Ok(Self::Drain(stored(object.version, text)?)),
            (Kind::Epoch, Some(text)) if name == CONFIRMED_NAME => {
                let word: Confirmation = serde_json::from_str(text).map_err(|e| e.to_string())?;
                Ok(Self::Confirmed(word.epoch))
            }
            (Kind::Move | Kind::Drain, None)
            | (Kind::Epoch | Kind::Quarantine | Kind::Member, _) => Ok(Self::Other),
        }
    }
}

fn stored<T: DeserializeOwned>(version: u64, text: &str) -> Result<Stored<T>, String> {
    let value = serde_json::from_str(text).map_err(|e| e.to_string())?;
    Ok(Stored { value, version })
}

impl Node {
    /// Takes an object that came into force.
    pub(crate) fn put_in_force(&mut self, now: Time, object: &Object, out: &mut Vec<Action>) {
        let verdict = match Sound::try_from(object) {
            Ok(Sound::Contract(contract)) => {
                self.contracts.put(contract);
                self.set_limits(now, out);
                "in-force".into()
            }
            Ok(Sound::NoContract(account)) => {
                self.contracts.remove(&account);
                self.set_limits(now, out);
                "ended".into()
            }
            Ok(Sound::Key(record)) => {
                self.keys.apply(record);
                "in-force".into()
            }
            Ok(Sound::NoKey(id)) => {
                self.keys.delete(&id);
                "ended".into()
            }
            Ok(Sound::Move(record)) => {
                self.moves(now, MoveEvent::Record(record), out);
                "in-force".into()
            }
            Ok(Sound::Drain(record)) => {
                self.drain(now, DrainEvent::Record(record), out);
                self.withhold(now);
                "in-force".into()
            }
            Ok(Sound::Confirmed(epoch)) => {
                self.confirmed = Some(epoch);
                "in-force".into()
            }
            Ok(Sound::Other) => return,
            Err(error) => error.into(),
        };
        out.push(Action::Log(Record::Config {
            object: object.id.to_string().into(),
            version: object.version,
            verdict,
        }));
    }

    /// Whether the instance can serve.
    pub fn is_ready(&self) -> bool {
        let live = self.me.presence == Presence::Live;
        let configured = !self.contracts.all().is_empty() && !self.backends.is_empty();
        live && configured && self.has_quota()
    }
}
