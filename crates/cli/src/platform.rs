//! The platform's object API, with lost answers settled by reading back.

use std::net::SocketAddr;
use std::time::Duration;

use async_std::task;
use corianderway_wire::stored::Instances;
use http_types::Method;
use serde::de::DeserializeOwned;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use snafu::ResultExt;

use crate::client::CallError;
use crate::client::Client;
use crate::client::Header;
use crate::client::Reply;
use crate::diff;
use crate::error::AnswerSnafu;
use crate::error::ConflictSnafu;
use crate::error::Error;
use crate::error::RefusedSnafu;
use crate::error::Result;
use crate::error::UnknownOutcomeSnafu;
use crate::error::UnreachableSnafu;
use crate::error::ValueSnafu;

/// The environment variable that names the platform.
const PLATFORM_VARIABLE: &str = "CORIANDERWAY_PLATFORM";
/// How often a call without an answer is made again.
const ATTEMPTS: u32 = 4;
/// The pause before a call is made again.
const PAUSE: Duration = Duration::from_millis(500);

/// The platform's object API.
#[derive(Clone, Copy, Debug)]
pub struct Platform {
    client: Client,
}

/// An object as the platform holds it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Held {
    /// The kind.
    pub kind: String,
    /// The name within the kind.
    pub name: String,
    /// The version.
    pub version: u64,
    /// The value.
    pub value: Value,
    #[serde(default, skip_serializing)]
    deleted: bool,
}

#[derive(Deserialize)]
struct Listing {
    objects: Vec<Held>,
}

#[derive(Deserialize)]
struct Written {
    version: u64,
}

enum Put {
    Done(u64),
    Refused(Option<Held>),
    Unsent,
    Unknown,
}

impl Platform {
    /// Finds the platform's address in the argument or the environment.
    ///
    /// # Errors
    ///
    /// Fails when neither names an address.
    pub fn find(given: Option<SocketAddr>) -> Result<Self> {
        let variable = || std::env::var(PLATFORM_VARIABLE).ok()?.parse().ok();
        let addr = given.or_else(variable);
        let message = format!("no platform: give --platform ADDR or set {PLATFORM_VARIABLE}");
        let addr = addr.ok_or(Error::Usage { message })?;
        Ok(Self {
            client: Client::new(addr),
        })
    }

    /// Reads an object.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer.
    pub fn get(&self, kind: &str, name: &str) -> Result<Option<Held>> {
        let path = format!("/objects/{kind}/{name}");
        let reply = self.read(&path)?;
        if reply.status == 404 {
            return Ok(None);
        }
        let held: Held = self.parse(&reply, &path)?;
        Ok((!held.deleted).then_some(held))
    }

    /// Reads an object that must exist.
    ///
    /// # Errors
    ///
    /// Fails when there is no such object or the platform does not answer.
    pub fn need(&self, kind: &str, name: &str) -> Result<Held> {
        let message = format!("{kind}/{name} does not exist; list {kind} to see what does");
        self.get(kind, name)?.ok_or(Error::Refused { message })
    }

    /// Reads all objects of a kind.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer.
    pub fn list(&self, kind: &str) -> Result<Vec<Held>> {
        let path = format!("/objects/{kind}");
        let reply = self.read(&path)?;
        Ok(self.parse::<Listing>(&reply, &path)?.objects)
    }

    /// Reads the list of live and leaving instances.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer.
    pub fn instances(&self) -> Result<Instances> {
        let reply = self.read("/instances")?;
        self.parse(&reply, "/instances")
    }

    /// Writes an object if it is still as it was read, and gives its version.
    ///
    /// # Errors
    ///
    /// Fails when the object has changed since `base` was read, with the
    /// change, or when the platform does not answer.
    pub fn write(
        &self,
        kind: &str,
        name: &str,
        base: Option<&Held>,
        value: &impl Serialize,
    ) -> Result<u64> {
        let object = format!("{kind}/{name}");
        let value = serde_json::to_value(value).context(ValueSnafu { object: &object })?;
        let mut sent = false;
        for _ in 0..ATTEMPTS {
            match self.put(kind, name, base.map(|b| b.version), &value)? {
                Put::Done(version) => return Ok(version),
                // What is in force is what was asked for: an earlier attempt
                // took effect and its answer was lost.
                Put::Refused(Some(held)) if held.value == value => return Ok(held.version),
                Put::Refused(held) => return conflict(object, base, held),
                Put::Unsent => pause(),
                Put::Unknown => {
                    sent = true;
                    pause();
                }
            }
        }
        let addr = self.client.addr();
        if sent {
            return UnknownOutcomeSnafu { object, addr }.fail();
        }
        UnreachableSnafu { addr }.fail()
    }

    fn put(&self, kind: &str, name: &str, expect: Option<u64>, value: &Value) -> Result<Put> {
        let path = format!("/objects/{kind}/{name}");
        // The condition keeps a call that is made again from running twice.
        let condition: Header = match expect {
            Some(version) => ("if-match", format!("\"{version}\"")),
            None => ("if-none-match", "*".to_owned()),
        };
        let body = Some(value.to_string());
        let reply = match self.client.call(Method::Put, &path, Some(condition), body) {
            Ok(reply) => reply,
            Err(CallError::Unsent) => return Ok(Put::Unsent),
            Err(CallError::Unknown) => return Ok(Put::Unknown),
        };
        match reply.status {
            200 | 201 => self
                .parse::<Written>(&reply, &path)
                .map(|w| Put::Done(w.version)),
            412 => self.parse(&reply, &path).map(Put::Refused),
            400..=499 => {
                let message = format!("the platform refused {path}: {}", reply.body);
                RefusedSnafu { message }.fail()
            }
            _ => Ok(Put::Unknown),
        }
    }

    fn read(&self, path: &str) -> Result<Reply> {
        for _ in 0..ATTEMPTS {
            match self.client.call(Method::Get, path, None, None) {
                Ok(reply) if reply.status < 500 => return Ok(reply),
                Ok(_) | Err(CallError::Unknown | CallError::Unsent) => pause(),
            }
        }
        let addr = self.client.addr();
        UnreachableSnafu { addr }.fail()
    }

    fn parse<T: DeserializeOwned>(&self, reply: &Reply, path: &str) -> Result<T> {
        let (addr, status) = (self.client.addr(), reply.status);
        if status != 200 && status != 201 && status != 412 {
            let body = reply.body.clone();
            return AnswerSnafu { addr, status, body }.fail();
        }
        serde_json::from_str(&reply.body).context(ValueSnafu { object: path })
    }
}

impl Held {
    /// The value as a typed record.
    ///
    /// # Errors
    ///
    /// Fails when the value is not one.
    pub fn read<T: DeserializeOwned>(&self) -> Result<T> {
        let object = format!("{}/{}", self.kind, self.name);
        serde_json::from_value(self.value.clone()).context(ValueSnafu { object })
    }
}

fn conflict<T>(object: String, base: Option<&Held>, held: Option<Held>) -> Result<T> {
    let before = base.map_or(&Value::Null, |b| &b.value);
    let after = held.as_ref().map_or(&Value::Null, |h| &h.value);
    ConflictSnafu {
        object,
        version: held.as_ref().map(|h| h.version),
        changes: diff::changes(before, after),
    }
    .fail()
}

fn pause() {
    task::block_on(task::sleep(PAUSE));
}
