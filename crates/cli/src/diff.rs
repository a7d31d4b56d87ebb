//! The difference between two JSON values, field by field.

use std::fmt;

use serde::Serialize;
use serde_json::Value;

/// One field that differs.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Change {
    /// The path of the field.
    pub field: String,
    /// The value before; absent if the field is new.
    pub before: Option<Value>,
    /// The value after; absent if the field is gone.
    pub after: Option<Value>,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = |value: &Option<Value>| value.as_ref().map_or("none".into(), Value::to_string);
        let (before, after) = (text(&self.before), text(&self.after));
        write!(f, "{}: {before} -> {after}", self.field)
    }
}

/// Lists the fields that differ, in the order of their paths.
///
/// Elements of lists are matched by their `name`, if they have one.
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
    let at = leaves
        .binary_search_by(|(f, _)| f.as_str().cmp(field))
        .ok()?;
    Some(leaves[at].1.clone())
}

// The values that hold no others, sorted by path.
fn leaves(value: &Value) -> Vec<Leaf> {
    let mut found = Vec::new();
    descend(String::new(), value, &mut found);
    found.sort_by(|a, b| a.0.cmp(&b.0));
    found
}

fn descend(path: String, value: &Value, found: &mut Vec<Leaf>) {
    match value {
        Value::Object(fields) => {
            for (name, value) in fields {
                let dot = if path.is_empty() { "" } else { "." };
                descend(format!("{path}{dot}{name}"), value, found);
            }
        }
        Value::Array(items) if items.iter().all(Value::is_object) => {
            for (index, item) in items.iter().enumerate() {
                let key = item["name"]
                    .as_str()
                    .map_or(index.to_string(), str::to_owned);
                descend(format!("{path}[{key}]"), item, found);
            }
        }
        _ => found.push((path, value.clone())),
    }
}
