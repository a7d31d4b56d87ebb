//! The fleet as the platform and its entry instances see it.

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

/// The environment variable that names entry instances.
const INSTANCES_VARIABLE: &str = "CORIANDERWAY_INSTANCES";

xflags::xflags! {
    /// The fleet: entry instances, backend servers, version moves, drains, and
    /// what instances say.
    cmd status {
        /// The platform's address.
        optional --platform addr: SocketAddr
        /// Writes JSON.
        optional --json
        /// The admin address of an entry instance; may be repeated.
        repeated --instance addr: SocketAddr
    }
}

/// Runs the verb.
///
/// # Errors
///
/// Fails when the platform does not answer; an instance that does not is
/// shown as such.
pub fn run(flags: Status) -> Result<()> {
    let platform = Platform::find(flags.platform)?;
    let out = Output { json: flags.json };
    let list = platform.instances()?;
    let asked = addresses(&flags.instance)?;
    let told: Vec<_> = asked.into_iter().map(|a| (a, ask(a, "/status"))).collect();
    let views = told.iter().map(|(addr, answer)| match answer {
        Ok(view) => json!({ "addr": addr, "view": view }),
        Err(error) => json!({ "addr": addr, "error": error.to_string() }),
    });
    let views: Vec<Value> = views.collect();
    let (moved, drained) = (platform.list(moves::KIND)?, platform.list(drain::KIND)?);
    let value = json!({
        "entries": list.entries,
        "backends": list.backends,
        "moves": moved,
        "drains": drained,
        "instances": views,
    });
    let mut lines = lists(&list);
    lines.push(format!("{} version moves", moved.len()));
    for held in &moved {
        lines.push(format!("  {}", moves::sentence(&held.read()?)));
    }
    lines.push(format!("{} drains", drained.len()));
    for held in &drained {
        lines.push(format!("  {}", drain::sentence(&held.read()?)));
    }
    told_by(&views, &mut lines);
    out.result(&value, lines.join("\n"));
    Ok(())
}

/// The admin addresses that are given, or those of the environment.
///
/// # Errors
///
/// Fails when the environment holds something else.
pub fn addresses(given: &[SocketAddr]) -> Result<Vec<SocketAddr>> {
    if !given.is_empty() {
        return Ok(given.to_vec());
    }
    let listed = std::env::var(INSTANCES_VARIABLE).unwrap_or_default();
    let parts = listed.split(',').map(str::trim).filter(|p| !p.is_empty());
    let parsed = parts.map(|part| {
        let message = format!("{INSTANCES_VARIABLE}: {part:?} is no address");
        part.parse().map_err(|_invalid| Error::Usage { message })
    });
    parsed.collect()
}

/// Asks the admin address of an entry instance.
///
/// # Errors
///
/// Fails when it does not answer in JSON.
pub fn ask(addr: SocketAddr, path: &str) -> Result<Value> {
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

fn lists(list: &Instances) -> Vec<String> {
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

fn told_by(views: &[Value], lines: &mut Vec<String>) {
    for view in views {
        lines.push(format!("instance at {}", plain(&view["addr"])));
        fields(&view["view"], lines);
        fields(&view["error"], lines);
    }
}

// Lists the fields of an answer, one for each line; rows of a list on one.
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
                    value => lines.push(format!("  {name} {}", plain(value))),
                }
            }
        }
        value => lines.push(format!("  {}", plain(value))),
    }
}

fn row_text(row: &Value) -> String {
    let Some(fields) = row.as_object() else {
        return plain(row);
    };
    let pairs = fields.iter().map(|(k, v)| format!("{k}={}", plain(v)));
    pairs.collect::<Vec<_>>().join(" ")
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Array(items) => items.iter().map(plain).collect::<Vec<_>>().join(","),
        other => other.to_string(),
    }
}

fn presence(presence: Presence) -> &'static str {
    match presence {
        Presence::Live => "live",
        Presence::Leaving => "leaving",
    }
}
