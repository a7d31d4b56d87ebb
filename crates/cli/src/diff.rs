//! Field-by-field differences between two JSON values.

use std::fmt;

use serde::Serialize;
use serde_json::Value;

/// One field that differs.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Change {
    /// The path of the field, such as `routes[find].path`.
    pub field: String,
    /// The old value; `None` if the field was added.
    pub before: Option<Value>,
    /// The new value; `None` if the field was removed.
    pub after: Option<Value>,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = |value: &Option<Value>| value.as_ref().map_or("none".into(), Value::to_string);
        let (before, after) = (text(&self.before), text(&self.after));
        write!(f, "{}: {before} -> {after}", self.field)
    }
}

/// Returns the fields that differ, sorted by path.
///
/// Elements of a list of objects are matched by their `name`, or by their index
/// if they have none. Any other list is compared as one value.
pub fn changes(before: &Value, after: &Value) -> Vec<Change> {
    let (before, after) = (leaves(before), leaves(after));
    let mut fields: Vec<&String> = before.iter().chain(&after).map(|(f, _)| f).collect();
    fields.sort();
    fields.dedup();
    let changes = fields.into_iter().map(|field| Change {
        field: field.clone(),
        before: find(&before, field),
        after: find(&after, field),
    });
    changes.filter(|c| c.before != c.after).collect()
}

type Leaf = (String, Value);

fn find(leaves: &[Leaf], field: &str) -> Option<Value> {
    let offset = leaves
        .binary_search_by(|(f, _)| f.as_str().cmp(field))
        .ok()?;
    Some(leaves[offset].1.clone())
}

// Returns the paths and values of the leaves, sorted by path.
fn leaves(value: &Value) -> Vec<Leaf> {
    let mut found = Vec::new();
    collect_leaves(String::new(), value, &mut found);
    found.sort_by(|a, b| a.0.cmp(&b.0));
    found
}

fn collect_leaves(path: String, value: &Value, found: &mut Vec<Leaf>) {
    match value {
        Value::Object(fields) => {
            for (name, value) in fields {
                let dot = if path.is_empty() { "" } else { "." };
                collect_leaves(format!("{path}{dot}{name}"), value, found);
            }
        }
        Value::Array(items) if items.iter().all(Value::is_object) => {
            for (index, item) in items.iter().enumerate() {
                let key = item["name"]
                    .as_str()
                    .map_or(index.to_string(), str::to_owned);
                collect_leaves(format!("{path}[{key}]"), item, found);
            }
        }
        _ => found.push((path, value.clone())),
    }
}
