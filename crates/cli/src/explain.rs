//! The `explain` verb: why a request was routed or refused as it was.

use std::net::SocketAddr;

use serde_json::json;
use serde_json::Value;

use crate::error::Error;
use crate::error::RefusedSnafu;
use crate::error::Result;
use crate::error::UsageSnafu;
use crate::output::Output;
use crate::status;

xflags::xflags! {
    /// Shows why a request was routed or refused as it was, from the log lines
    /// that entry instances keep under its request id.
    cmd explain {
        /// The request id, from a header of the response or a log line.
        required request: String
        /// The admin address of an entry instance to query; may be repeated.
        repeated --instance addr: SocketAddr
        /// Writes JSON.
        optional --json
    }
}

/// Runs the `explain` verb.
///
/// # Errors
///
/// Fails when no instance is given, the id is invalid or none of the queried
/// instances has log lines of the request.
pub fn run(flags: Explain) -> Result<()> {
    let out = Output { json: flags.json };
    let addrs = status::addresses(&flags.instance)?;
    if addrs.is_empty() {
        let message = "missing instance address: give --instance ADDR";
        return UsageSnafu { message }.fail();
    }
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || b"-_.:/".contains(&b);
    if !flags.request.bytes().all(is_allowed) {
        let message = format!("{:?} is not a request id", flags.request);
        return UsageSnafu { message }.fail();
    }
    let path = format!("/explain?request={}", flags.request);
    let (mut found, mut last_error) = (Vec::new(), None);
    for addr in addrs {
        match status::query(addr, &path) {
            Ok(response) if lines(&response).is_empty() => {}
            Ok(response) => found.push(json!({ "addr": addr, "answer": response })),
            Err(error) => last_error = Some(error),
        }
    }
    if found.is_empty() {
        return Err(not_found(&flags.request, last_error));
    }
    out.result(&found, text(&found));
    Ok(())
}

fn not_found(request: &str, last_error: Option<Error>) -> Error {
    let message = format!(
        "none of the queried instances has log lines of request {request}; query the others"
    );
    last_error.unwrap_or_else(|| RefusedSnafu { message }.build())
}

// Returns the log lines of the request in an instance's response.
fn lines(response: &Value) -> Vec<&str> {
    let lines = response["lines"].as_array().into_iter().flatten();
    lines.filter_map(Value::as_str).collect()
}

fn text(found: &[Value]) -> String {
    let mut text = Vec::new();
    for entry in found {
        text.push(format!(
            "instance at {}",
            entry["addr"].as_str().unwrap_or_default()
        ));
        text.extend(
            lines(&entry["answer"])
                .iter()
                .map(|line| format!("  {line}")),
        );
    }
    text.join("\n")
}
