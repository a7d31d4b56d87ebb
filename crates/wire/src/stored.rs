//! The platform's objects as JSON.

use corianderway_control::Id;
use corianderway_control::Kind;
use corianderway_control::Object;
use corianderway_control::STORED_KINDS;
use corianderway_model::Backend;
use corianderway_model::Entry;
use corianderway_node::Held;
use serde::Deserialize;
use serde::Serialize;
use serde_json::value::RawValue;

/// One object as the platform sends it.
#[derive(Debug, Deserialize, Serialize)]
pub struct Stored {
    /// The kind.
    pub kind: String,
    /// The name within the kind.
    pub name: String,
    /// The version.
    pub version: u64,
    /// The value; none when the object is deleted.
    #[serde(default)]
    pub value: Option<Box<RawValue>>,
    /// Whether the object was deleted.
    #[serde(default)]
    pub deleted: bool,
}

/// A list or the end of a watch.
#[derive(Debug, Deserialize, Serialize)]
pub struct Listing {
    /// The revision that the list shows.
    pub revision: u64,
    /// The objects.
    pub objects: Vec<Stored>,
}

/// The answer to a write.
#[derive(Debug, Deserialize, Serialize)]
pub struct Written {
    /// The version that the write made.
    pub version: u64,
}

/// The list of live and leaving instances.
#[derive(Debug, Deserialize, Serialize)]
pub struct Instances {
    /// Entry instances.
    pub entries: Vec<Entry>,
    /// Backend servers.
    pub backends: Vec<Backend>,
}

impl Stored {
    /// The object, if its kind is one that instances hold.
    pub fn object(self) -> Option<Object> {
        let id = Id::new(Kind::from_collection(&self.kind)?, self.name);
        let value = self.value.filter(|_| !self.deleted);
        Some(match value {
            Some(value) => Object::new(id, self.version, value.get()),
            None => Object::tombstone(id, self.version),
        })
    }
}

impl From<Stored> for Held {
    fn from(stored: Stored) -> Self {
        let value = stored.value.as_ref().map_or("null", |v| v.get());
        Self {
            version: stored.version,
            value: value.into(),
        }
    }
}

/// The collections that make up the configuration.
pub fn collections() -> impl Iterator<Item = &'static str> {
    STORED_KINDS.into_iter().map(Kind::collection)
}
