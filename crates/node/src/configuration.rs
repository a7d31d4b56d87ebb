//! Configuration objects: validates them and puts them in force.

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
use crate::quota::CONFIRMATION_NAME;
use crate::record::Record;

/// Whether a stored object is valid. An invalid one is never put in force on any
/// instance.
pub(crate) fn is_valid(object: &Object) -> bool {
    ParsedObject::try_from(object).is_ok()
}

/// A configuration object after parsing.
enum ParsedObject {
    Contract(Contract),
    RemovedContract(Account),
    Key(KeyRecord),
    RemovedKey(KeyId),
    Move(Stored<Move>),
    Drain(Stored<Drain>),
    Confirmed(u64),
    /// Stored and replicated, but used by another component.
    Other,
}

impl TryFrom<&Object> for ParsedObject {
    type Error = String;

    fn try_from(object: &Object) -> Result<Self, String> {
        let name = object.id.name.as_ref();
        let to_text = |error: corianderway_model::Error| error.to_string();
        match (object.id.kind, object.text()) {
            (Kind::Contract, Some(text)) => {
                let contract = Contract::parse(name, text).map_err(to_text)?;
                if contract.account.as_str() != name {
                    return Err("name the contract after its client account".to_owned());
                }
                Ok(Self::Contract(contract))
            }
            (Kind::Contract, None) => Ok(Self::RemovedContract(
                Account::try_from(name).map_err(to_text)?,
            )),
            (Kind::Key, Some(text)) => {
                let record: KeyRecord = serde_json::from_str(text).map_err(|e| e.to_string())?;
                Ok(Self::Key(record))
            }
            (Kind::Key, None) => Ok(Self::RemovedKey(KeyId::try_from(name).map_err(to_text)?)),
            (Kind::Move, Some(text)) => Ok(Self::Move(stored(object.version, text)?)),
            (Kind::Drain, Some(text)) => Ok(Self::Drain(stored(object.version, text)?)),
            (Kind::Epoch, Some(text)) if name == CONFIRMATION_NAME => {
                let confirmation: Confirmation =
                    serde_json::from_str(text).map_err(|e| e.to_string())?;
                Ok(Self::Confirmed(confirmation.epoch))
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
    /// Puts an object in force and logs the verdict.
    pub(crate) fn put_in_force(&mut self, now: Time, object: &Object, out: &mut Vec<Action>) {
        let verdict = match ParsedObject::try_from(object) {
            Ok(ParsedObject::Contract(contract)) => {
                self.contracts.put(contract);
                self.set_limits(now, out);
                "in-force".into()
            }
            Ok(ParsedObject::RemovedContract(account)) => {
                self.contracts.remove(&account);
                self.set_limits(now, out);
                "ended".into()
            }
            Ok(ParsedObject::Key(record)) => {
                self.keys.apply(record);
                "in-force".into()
            }
            Ok(ParsedObject::RemovedKey(id)) => {
                self.keys.delete(&id);
                "ended".into()
            }
            Ok(ParsedObject::Move(record)) => {
                self.step_moves(now, MoveEvent::Record(record), out);
                "in-force".into()
            }
            Ok(ParsedObject::Drain(record)) => {
                self.step_drains(now, DrainEvent::Record(record), out);
                self.withhold(now);
                "in-force".into()
            }
            Ok(ParsedObject::Confirmed(epoch)) => {
                self.confirmed_epoch = Some(epoch);
                "in-force".into()
            }
            Ok(ParsedObject::Other) => return,
            Err(error) => error.into(),
        };
        out.push(Action::Log(Record::Config {
            object: object.id.to_string().into(),
            version: object.version,
            verdict,
        }));
    }

    /// Whether the instance can serve requests: it is not leaving, has contracts and
    /// backend servers, and holds a quota.
    pub fn is_ready(&self) -> bool {
        let live = self.me.presence == Presence::Live;
        let configured = !self.contracts.all().is_empty() && !self.backends.is_empty();
        live && configured && self.has_quota()
    }
}
