//! JSON format of the platform's object API.

use corianderway_control::Id;
use corianderway_control::Kind;
use corianderway_control::Object;
use corianderway_control::STORED_KINDS;
use corianderway_model::Backend;
use corianderway_model::Entry;
use corianderway_node::StoredValue;
use serde::Deserialize;
use serde::Serialize;
use serde_json::value::RawValue;

/// An object in the platform's format.
#[derive(Debug, Deserialize, Serialize)]
pub struct StoredObject {
    /// The collection that the object belongs to.
    pub kind: String,
    /// The name, unique within the collection.
    pub name: String,
    /// The object's version, which each write increases.
    pub version: u64,
    /// The value; `None` if the object is deleted.
    #[serde(default)]
    pub value: Option<Box<RawValue>>,
    /// Whether the object was deleted.
    #[serde(default)]
    pub deleted: bool,
}

/// The response to a list or a watch.
#[derive(Debug, Deserialize, Serialize)]
pub struct Listing {
    /// The store's revision at the time of the response.
    pub revision: u64,
    /// The objects.
    pub objects: Vec<StoredObject>,
}

/// The response to a write.
#[derive(Debug, Deserialize, Serialize)]
pub struct Written {
    /// The object's version after the write.
    pub version: u64,
}

/// The live and leaving instances and backend servers.
#[derive(Debug, Deserialize, Serialize)]
pub struct Instances {
    /// Entry instances.
    pub entries: Vec<Entry>,
    /// Backend servers.
    pub backends: Vec<Backend>,
}

impl StoredObject {
    /// Converts to the typed object, or returns `None` if instances don't use its kind.
    pub fn into_object(self) -> Option<Object> {
        let id = Id::new(Kind::from_collection(&self.kind)?, self.name);
        let value = self.value.filter(|_| !self.deleted);
        Some(match value {
            Some(value) => Object::new(id, self.version, value.get()),
            None => Object::tombstone(id, self.version),
        })
    }
}

impl From<StoredObject> for StoredValue {
    fn from(stored: StoredObject) -> Self {
        let value = stored.value.as_ref().map_or("null", |v| v.get());
        Self {
            version: stored.version,
            value: value.into(),
        }
    }
}

/// Returns the names of all collections that instances read.
pub fn collections() -> impl Iterator<Item = &'static str> {
    STORED_KINDS.into_iter().map(Kind::collection)
}
