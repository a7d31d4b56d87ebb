//! A client of the platform's object API.
//!
//! Calls without a response are retried. Writes are conditional on the version
//! that was read, so that a retry can't apply a write twice.

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

/// The environment variable with the platform's address.
const PLATFORM_VARIABLE: &str = "CORIANDERWAY_PLATFORM";
/// The maximum number of attempts of a call.
const MAX_ATTEMPTS: u32 = 4;
/// The delay before a call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// A client of the platform's object API.
#[derive(Clone, Copy, Debug)]
pub struct Platform {
    client: Client,
}

/// An object as the platform stores it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct StoredObject {
    /// The object kind.
    pub kind: String,
    /// The name, unique within the kind.
    pub name: String,
    /// The version, which each write increases.
    pub version: u64,
    /// The value as JSON.
    pub value: Value,
    #[serde(default, skip_serializing)]
    deleted: bool,
}

#[derive(Deserialize)]
struct Listing {
    objects: Vec<StoredObject>,
}

#[derive(Deserialize)]
struct Written {
    version: u64,
}

// The outcome of one attempt to write an object.
enum Put {
    // The new version.
    Done(u64),
    // The condition failed; the stored object, if there is one.
    Conflict(Option<StoredObject>),
    // The request was not sent.
    Unsent,
    // The write may have taken effect.
    Unknown,
}

impl Platform {
    /// Creates a client for the given address, or else for the one in the
    /// environment.
    ///
    /// # Errors
    ///
    /// Fails when neither has a valid address.
    pub fn find(given: Option<SocketAddr>) -> Result<Self> {
        let from_env = || std::env::var(PLATFORM_VARIABLE).ok()?.parse().ok();
        let addr = given.or_else(from_env);
        let message =
            format!("missing platform address: give --platform ADDR or set {PLATFORM_VARIABLE}");
        let addr = addr.ok_or(Error::Usage { message })?;
        Ok(Self {
            client: Client::new(addr),
        })
    }

    /// Reads an object; `None` if it does not exist or is deleted.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not respond.
    pub fn get(&self, kind: &str, name: &str) -> Result<Option<StoredObject>> {
        let path = format!("/objects/{kind}/{name}");
        let reply = self.get_path(&path)?;
        if reply.status == 404 {
            return Ok(None);
        }
        let stored: StoredObject = self.parse(&reply, &path)?;
        Ok((!stored.deleted).then_some(stored))
    }

    /// Reads an object that must exist.
    ///
    /// # Errors
    ///
    /// Fails when there is no such object or the platform does not respond.
    pub fn require(&self, kind: &str, name: &str) -> Result<StoredObject> {
        let message = format!("{kind}/{name} does not exist; list {kind} to see which objects do");
        self.get(kind, name)?.ok_or(Error::Refused { message })
    }

    /// Reads all objects of a kind.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not respond.
    pub fn list(&self, kind: &str) -> Result<Vec<StoredObject>> {
        let path = format!("/objects/{kind}");
        let reply = self.get_path(&path)?;
        Ok(self.parse::<Listing>(&reply, &path)?.objects)
    }

    /// Reads the list of live and leaving instances.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not respond.
    pub fn instances(&self) -> Result<Instances> {
        let reply = self.get_path("/instances")?;
        self.parse(&reply, "/instances")
    }

    /// Writes an object if its version is still that of `base` and returns its
    /// new version. Without `base` the object must not exist.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::Conflict`] and the changes when the object was changed
    /// since `base` was read, or when the platform rejects the write or does not
    /// respond.
    pub fn write(
        &self,
        kind: &str,
        name: &str,
        base: Option<&StoredObject>,
        value: &impl Serialize,
    ) -> Result<u64> {
        let object = format!("{kind}/{name}");
        let value = serde_json::to_value(value).context(ValueSnafu { object: &object })?;
        let mut may_be_applied = false;
        for _ in 0..MAX_ATTEMPTS {
            match self.put(kind, name, base.map(|b| b.version), &value)? {
                Put::Done(version) => return Ok(version),
                // The stored value equals the requested one: an earlier attempt
                // took effect and its response was lost.
                Put::Conflict(Some(stored)) if stored.value == value => return Ok(stored.version),
                Put::Conflict(stored) => return conflict_error(object, base, stored),
                Put::Unsent => wait_before_retry(),
                Put::Unknown => {
                    may_be_applied = true;
                    wait_before_retry();
                }
            }
        }
        let addr = self.client.addr();
        if may_be_applied {
            return UnknownOutcomeSnafu { object, addr }.fail();
        }
        UnreachableSnafu { addr }.fail()
    }

    fn put(&self, kind: &str, name: &str, expect: Option<u64>, value: &Value) -> Result<Put> {
        let path = format!("/objects/{kind}/{name}");
        // The condition keeps a retried write from being applied twice.
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
            412 => self.parse(&reply, &path).map(Put::Conflict),
            400..=499 => {
                let message = format!("the platform rejected {path}: {}", reply.body);
                RefusedSnafu { message }.fail()
            }
            _ => Ok(Put::Unknown),
        }
    }

    fn get_path(&self, path: &str) -> Result<Reply> {
        for _ in 0..MAX_ATTEMPTS {
            match self.client.call(Method::Get, path, None, None) {
                Ok(reply) if reply.status < 500 => return Ok(reply),
                Ok(_) | Err(CallError::Unknown | CallError::Unsent) => wait_before_retry(),
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

impl StoredObject {
    /// Deserializes the value into a record type.
    ///
    /// # Errors
    ///
    /// Fails when the value does not fit the type.
    pub fn decode<T: DeserializeOwned>(&self) -> Result<T> {
        let object = format!("{}/{}", self.kind, self.name);
        serde_json::from_value(self.value.clone()).context(ValueSnafu { object })
    }
}

fn conflict_error<T>(
    object: String,
    base: Option<&StoredObject>,
    stored: Option<StoredObject>,
) -> Result<T> {
    let before = base.map_or(&Value::Null, |b| &b.value);
    let after = stored.as_ref().map_or(&Value::Null, |h| &h.value);
    ConflictSnafu {
        object,
        version: stored.as_ref().map(|h| h.version),
        changes: diff::changes(before, after),
    }
    .fail()
}

fn wait_before_retry() {
    task::block_on(task::sleep(RETRY_DELAY));
}
