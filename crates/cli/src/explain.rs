//! Why a request was routed or refused as it was.

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
    /// Why a request was routed or refused as it was, by its request id.
    cmd explain {
        /// The request id, from the answer's header or a log line.
        required request: String
        /// The admin address of an entry instance; may be repeated.
        repeated --instance addr: SocketAddr
        /// Writes JSON.
        optional --json
    }
}

/// Runs the verb.
///
/// # Errors
///
/// Fails when no instance that was asked knows the request.
pub fn run(flags: Explain) -> Result<()> {
    let out = Output { json: flags.json };
    let asked = status::addresses(&flags.instance)?;
    if asked.is_empty() {
        let message = "no instance to ask: give --instance ADDR";
        return UsageSnafu { message }.fail();
    }
    let plain = |b: u8| b.is_ascii_alphanumeric() || b"-_.:/".contains(&b);
    if !flags.request.bytes().all(plain) {
        let message = format!("{:?} is no request id", flags.request);
        return UsageSnafu { message }.fail();
    }
    let path = format!("/explain?request={}", flags.request);
    let (mut known, mut failed) = (Vec::new(), None);
    for addr in asked {
        match status::ask(addr, &path) {
            Ok(answer) if lines(&answer).is_empty() => {}
            Ok(answer) => known.push(json!({ "addr": addr, "answer": answer })),
            Err(error) => failed = Some(error),
        }
    }
    if known.is_empty() {
        return Err(unknown(&flags.request, failed));
    }
    out.result(&known, text(&known));
    Ok(())
}

fn unknown(request: &str, failed: Option<Error>) -> Error {
    let message = format!("no instance that was asked knows request {request}; ask the others");
    failed.unwrap_or_else(|| RefusedSnafu { message }.build())
}

// An instance answers with the log lines of the request, or none.
fn lines(answer: &Value) -> Vec<&str> {
    let lines = answer["lines"].as_array().into_iter().flatten();
    lines.filter_map(Value::as_str).collect()
}

fn text(known: &[Value]) -> String {
    let mut text = Vec::new();
    for told in known {
        text.push(format!(
            "instance at {}",
            told["addr"].as_str().unwrap_or_default()
        ));
        text.extend(
            lines(&told["answer"])
                .iter()
                .map(|line| format!("  {line}")),
        );
    }
    text.join("\n")
}
