//! The `status` verb: the fleet as the platform and entry instances report it.

use std::net::SocketAddr;

use corianderway_model::Presence;
use corianderway_wire::stored::Instances;
use http_types::Method;
use serde_json::json;
use serde_json::Value;
use snafu::ResultExt;

use crate::client::Client;
use crate::drain;
use crate::error::AnswerSnafu;
use crate::error::Error;
use crate::error::Result;
use crate::error::UnreachableSnafu;
use crate::error::ValueSnafu;
use crate::moves;
use crate::output::Output;
use crate::platform::Platform;

/// The environment variable with the admin addresses of entry instances,
/// separated by commas.
const INSTANCES_VARIABLE: &str = "CORIANDERWAY_INSTANCES";

xflags::xflags! {
    /// The state of the fleet: entry instances, backend servers, version moves,
    /// drains, and the status that instances report.
    cmd status {
        /// The platform's address.
        optional --platform addr: SocketAddr
        /// Writes JSON.
        optional --json
        /// The admin address of an entry instance to query; may be repeated.
        repeated --instance addr: SocketAddr
    }
}

/// Runs the `status` verb.
///
/// # Errors
///
/// Fails when the platform does not respond. The error of an instance is shown
/// in its place in the output instead.
pub fn run(flags: Status) -> Result<()> {
    let platform = Platform::find(flags.platform)?;
    let out = Output { json: flags.json };
    let list = platform.instances()?;
    let addrs = addresses(&flags.instance)?;
    let responses: Vec<_> = addrs
        .into_iter()
        .map(|a| (a, query(a, "/status")))
        .collect();
    let views = responses.iter().map(|(addr, answer)| match answer {
        Ok(view) => json!({ "addr": addr, "view": view }),
        Err(error) => json!({ "addr": addr, "error": error.to_string() }),
    });
    let views: Vec<Value> = views.collect();
    let (move_objects, drain_objects) = (platform.list(moves::KIND)?, platform.list(drain::KIND)?);
    let value = json!({
        "entries": list.entries,
        "backends": list.backends,
        "moves": move_objects,
        "drains": drain_objects,
        "instances": views,
    });
    let mut lines = instance_lines(&list);
    lines.push(format!("{} version moves", move_objects.len()));
    for stored in &move_objects {
        lines.push(format!("  {}", moves::summary(&stored.decode()?)));
    }
    lines.push(format!("{} drains", drain_objects.len()));
    for stored in &drain_objects {
        lines.push(format!("  {}", drain::summary(&stored.decode()?)));
    }
    push_views(&views, &mut lines);
    out.result(&value, lines.join("\n"));
    Ok(())
}

/// Returns the given admin addresses, or else those in the environment.
///
/// # Errors
///
/// Fails when the environment variable has an invalid address.
pub fn addresses(given: &[SocketAddr]) -> Result<Vec<SocketAddr>> {
    if !given.is_empty() {
        return Ok(given.to_vec());
    }
    let listed = std::env::var(INSTANCES_VARIABLE).unwrap_or_default();
    let addr_texts = listed.split(',').map(str::trim).filter(|p| !p.is_empty());
    let parsed = addr_texts.map(|addr_text| {
        let message = format!("{INSTANCES_VARIABLE}: {addr_text:?} is not an address");
        addr_text
            .parse()
            .map_err(|_invalid| Error::Usage { message })
    });
    parsed.collect()
}

/// Sends a GET request to the admin address of an entry instance.
///
/// # Errors
///
/// Fails when there is no response, or one that is not JSON with status 200.
pub fn query(addr: SocketAddr, path: &str) -> Result<Value> {
    let reply = Client::new(addr).call(Method::Get, path, None, None);
    let Ok(reply) = reply else {
        return UnreachableSnafu { addr }.fail();
    };
    if reply.status != 200 {
        let (status, body) = (reply.status, reply.body);
        return AnswerSnafu { addr, status, body }.fail();
    }
    serde_json::from_str(&reply.body).context(ValueSnafu { object: path })
}

fn instance_lines(list: &Instances) -> Vec<String> {
    let mut lines = vec![format!("{} entry instances", list.entries.len())];
    lines.extend(list.entries.iter().map(|entry| {
        let (region, domain) = (&entry.region, &entry.domain);
        let presence = presence(entry.presence);
        format!(
            "  {} {presence} {region}/{domain} callers {}",
            entry.id, entry.callers
        )
    }));
    lines.push(format!("{} backend servers", list.backends.len()));
    lines.extend(list.backends.iter().map(|backend| {
        let (service, version) = (&backend.service, &backend.version);
        let (region, domain) = (&backend.region, &backend.domain);
        let presence = presence(backend.presence);
        format!(
            "  {} {presence} {region}/{domain} {service} {version}",
            backend.id
        )
    }));
    lines
}

fn push_views(views: &[Value], lines: &mut Vec<String>) {
    for view in views {
        lines.push(format!("instance at {}", plain_text(&view["addr"])));
        fields(&view["view"], lines);
        fields(&view["error"], lines);
    }
}

// Adds the fields of a response, one on each line. A list of objects gets a
// line for each of them.
fn fields(value: &Value, lines: &mut Vec<String>) {
    match value {
        Value::Null => {}
        Value::Object(fields) => {
            for (name, value) in fields {
                match value {
                    Value::Array(rows) if rows.iter().any(Value::is_object) => {
                        lines.push(format!("  {name}"));
                        lines.extend(rows.iter().map(|row| format!("    {}", row_text(row))));
                    }
                    value => lines.push(format!("  {name} {}", plain_text(value))),
                }
            }
        }
        value => lines.push(format!("  {}", plain_text(value))),
    }
}

fn row_text(row: &Value) -> String {
    let Some(fields) = row.as_object() else {
        return plain_text(row);
    };
    let pairs = fields.iter().map(|(k, v)| format!("{k}={}", plain_text(v)));
    pairs.collect::<Vec<_>>().join(" ")
}

fn plain_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Array(items) => items.iter().map(plain_text).collect::<Vec<_>>().join(","),
        other => other.to_string(),
    }
}

fn presence(presence: Presence) -> &'static str {
    match presence {
        Presence::Live => "live",
        Presence::Leaving => "leaving",
    }
}
