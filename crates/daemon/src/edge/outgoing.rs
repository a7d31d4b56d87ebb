//! Writes answers to callers.

use std::io;
use std::time::Duration;

use async_h1::server;
use async_std::future;
use async_std::net::TcpStream;
use corianderway_steer::Refusal;
use futures_lite::AsyncReadExt as _;
use futures_lite::AsyncWriteExt as _;
use http_types::headers::HeaderValue;
use http_types::Method;
use http_types::Response;
use http_types::StatusCode;
use serde_json::json;

use crate::edge::incoming::Unreadable;
use crate::edge::rings::Reply;

/// The timeout for writing an answer.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// The timeout for reading what a caller still sends on a connection that is closed.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// Writes the decision duty's reply to the request with the id `trace`, and announces with it
/// that the connection is closed if `close` is set.
///
/// # Errors
///
/// Fails if the caller has left or doesn't read the answer in time.
pub async fn write_reply(
    stream: &TcpStream,
    reply: &Reply,
    (trace, bodiless): (&str, bool),
    close: bool,
) -> io::Result<()> {
    match reply {
        Reply::Answer(answer) => {
            let bytes = answer.head.write(&answer.body, bodiless, close);
            write(stream, &bytes).await
        }
        Reply::Refuse(refusal) => {
            let method = if bodiless { Method::Head } else { Method::Get };
            let response = refusal_response(refusal, trace);
            respond(stream, response, method, close).await
        }
        Reply::Instances(..) => Ok(()),
    }
}

/// Writes the refusal of a request that was not read whole, which announces that the
/// connection is closed.
///
/// # Errors
///
/// Fails as [`write_reply`] does.
pub async fn write_unreadable(stream: &TcpStream, unreadable: &Unreadable) -> io::Result<()> {
    let status = StatusCode::try_from(unreadable.status).unwrap_or(StatusCode::BadRequest);
    let mut response = Response::new(status);
    response.insert_header("content-type", "application/json");
    if let Some(after) = unreadable.retry_after {
        response.insert_header("retry-after", seconds(after));
    }
    let (code, detail) = (unreadable.code, &unreadable.detail);
    let body = json!({ "code": code, "ran": "not-run", "detail": detail });
    response.set_body(body.to_string());
    respond(stream, response, Method::Get, true).await
}

/// Writes bytes.
///
/// # Errors
///
/// Fails as [`write_reply`] does.
pub async fn write(mut stream: &TcpStream, bytes: &[u8]) -> io::Result<()> {
    let written = future::timeout(WRITE_TIMEOUT, stream.write_all(bytes)).await;
    written.map_err(|_elapsed| io::Error::from(io::ErrorKind::TimedOut))?
}

/// Reads and discards what the caller still sends. Closing with unread input would
/// reset the connection, and the caller might lose the last answer.
pub async fn drain_input(stream: &TcpStream) {
    // The connection is closed afterwards, so an error makes no difference.
    drop(stream.shutdown(std::net::Shutdown::Write));
    let rest = async {
        let mut bytes = [0; 4_096];
        let mut source = stream;
        while matches!(source.read(&mut bytes).await, Ok(count) if count > 0) {}
    };
    // The connection is closed afterwards, also on a timeout.
    let _ = future::timeout(DRAIN_TIMEOUT, rest).await;
}

// Builds the response for a refusal, which says whether the request may have run
// and when to retry.
fn refusal_response(refusal: &Refusal, trace: &str) -> Response {
    let status = StatusCode::try_from(refusal.status());
    let mut response = Response::new(status.unwrap_or(StatusCode::ServiceUnavailable));
    // An id that is no valid value for the library, such as one beyond ASCII, is left out.
    if let Ok(id) = HeaderValue::from_bytes(trace.as_bytes().to_vec()) {
        response.insert_header("request-id", id);
    }
    if let Some(after) = refusal.retry_after {
        response.insert_header("retry-after", seconds(after));
    }
    response.insert_header("content-type", "application/json");
    let ran = if refusal.may_have_run {
        "may-have-run"
    } else {
        "not-run"
    };
    let body = json!({ "code": refusal.reason.as_str(), "ran": ran, "request": trace });
    response.set_body(body.to_string());
    response
}

// Writes a delay in seconds, with a fraction.
fn seconds(delay: Duration) -> String {
    format!("{:.3}", delay.as_secs_f64())
}

async fn respond(
    stream: &TcpStream,
    mut response: Response,
    method: Method,
    close: bool,
) -> io::Result<()> {
    if close {
        response.insert_header("connection", "close");
    }
    let mut bytes = Vec::new();
    let mut encoder = server::Encoder::new(response, method);
    encoder.read_to_end(&mut bytes).await?;
    write(stream, &bytes).await
}
