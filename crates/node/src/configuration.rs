//! Configuration: taken from the platform or peers, checked, and put in force.

use corianderway_control::KeyRecord;
use corianderway_control::Kind;
use corianderway_control::Message as ConfigMessage;
use corianderway_control::Object;
use corianderway_control::Outcome;
use corianderway_model::Account;
use corianderway_model::Contract;
use corianderway_model::Entry;
use corianderway_model::InstanceId;
use corianderway_model::KeyId;
use corianderway_model::Time;

use crate::event::Action;
use crate::message::Message;
use crate::node::Node;
use crate::record::Record;

impl Node {
    /// Takes objects from the platform and passes new ones on to the peers.
    pub(crate) fn take_objects(&mut self, objects: Vec<Object>, out: &mut Vec<Action>) {
        let new = self.enforce(objects, out);
        if new.is_empty() {
            return;
        }
        for peer in self.peers() {
            let message = Message::Config(ConfigMessage::Objects(new.clone()));
            out.push(Action::Send {
                to: peer.peers,
                message,
            });
        }
    }

    /// Takes a message of a peer.
    pub(crate) fn take_message(
        &mut self,
        _now: Time,
        from: InstanceId,
        message: Message,
        out: &mut Vec<Action>,
    ) {
        match message {
            Message::Hello(entry) => self.take_greeting(&from, entry, out),
            Message::Config(ConfigMessage::Objects(objects)) => {
                self.enforce(objects, out);
            }
            Message::Config(_) => (),
        }
    }

    fn take_greeting(&mut self, from: &InstanceId, entry: Entry, out: &mut Vec<Action>) {
        match self.entries.binary_search_by(|e| e.id.cmp(from)) {
            Ok(at) => self.entries[at] = entry,
            Err(at) => {
                self.entries.insert(at, entry);
                let peer = from.clone();
                let change = "heard";
                out.push(Action::Log(Record::Peer { peer, change }));
            }
        }
    }

    // Puts objects in force that are valid and newer; returns those.
    fn enforce(&mut self, objects: Vec<Object>, out: &mut Vec<Action>) -> Vec<Object> {
        let mut new = Vec::new();
        for object in objects {
            let known = self.config.rank(&object.id);
            if known.is_some_and(|rank| rank >= object.rank()) {
                continue;
            }
            let verdict = self.check_and_apply(&object);
            let accepted = verdict.is_ok();
            out.push(Action::Log(Record::Config {
                object: object.id.to_string().into(),
                version: object.version,
                verdict: match verdict {
                    Ok(()) => "in-force".into(),
                    Err(error) => error.into(),
                },
            }));
            if accepted && self.config.offer(object.clone()) == Outcome::Accepted {
                new.push(object);
            }
        }
        new
    }

    // An object that can't be read changes nothing: the last one stays in force.
    fn check_and_apply(&mut self, object: &Object) -> Result<(), String> {
        let name = object.id.name.as_ref();
        let text = object.text();
        match (object.id.kind, text) {
            (Kind::Contract, Some(text)) => {
                let file = object.id.to_string();
                let contract = Contract::parse(&file, text).map_err(|e| e.to_string())?;
                self.contracts.put(contract);
            }
            (Kind::Contract, None) => {
                let account = Account::try_from(name).map_err(|e| e.to_string())?;
                self.contracts.remove(&account);
            }
            (Kind::Key, Some(text)) => {
                let record: KeyRecord = serde_json::from_str(text).map_err(|e| e.to_string())?;
                self.keys.apply(record);
            }
            (Kind::Key, None) => {
                let id = KeyId::try_from(name).map_err(|e| e.to_string())?;
                self.keys.delete(&id);
            }
            (Kind::Move | Kind::Drain | Kind::Epoch | Kind::Quarantine | Kind::Member, _) => (),
        }
        Ok(())
    }
}
