//! A connection of a caller.
//!
//! Requests are served one after the other. Each is read whole, passed to the
//! decision duty, and answered with the reply. A request that can't be read is
//! refused as not run, and its connection is closed.

use std::io;
use std::time::Duration;

use async_h1::server;
use async_std::future;
use async_std::net::TcpStream;
use corianderway_platform::front::RequestHead;
use corianderway_steer::Event;
use corianderway_steer::Reason;
use corianderway_steer::Refusal;
use corianderway_steer::RequestId;
use corianderway_wire::head::HeadError;
use futures_lite::future::FutureExt as _;
use futures_lite::AsyncReadExt as _;
use futures_lite::AsyncWriteExt as _;
use http_types::headers::HeaderValue;
use http_types::Method;
use http_types::Response;
use http_types::StatusCode;
use serde_json::json;

use crate::edge::body;
use crate::edge::body::BodyError;
use crate::edge::body_memory::Reservation;
use crate::edge::callers::Context;
use crate::edge::rings::Input;
use crate::edge::rings::Reply;
use crate::message_reader;
use crate::message_reader::HeadFailure;

/// The maximum time for receiving a request's body. The caller's own limit and the
/// route's timeout hold for it as well.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// The timeout for writing an answer.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// The timeout for reading what a refused caller still sends.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// The status for a request that arrived too slowly; nothing ran.
const TOO_SLOW: u16 = 408;

/// The status for a body that is too large.
const TOO_LARGE: u16 = 413;

/// The status for a body that does not fit into memory at present.
const UNAVAILABLE: u16 = 503;

/// The retry delay given to a caller whose request found the ring to the
/// decision duty full.
const BUSY_RETRY_DELAY: Duration = Duration::from_millis(200);

/// The mean retry delay given to a caller whose request's body did not fit into memory. It is
/// spread, so that callers don't come back at once.
const MEMORY_RETRY_DELAY: Duration = Duration::from_millis(600);

/// The interim response to a request with `Expect: 100-continue`.
const CONTINUE_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Whether a connection stays open for another request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Next {
    Keep,
    Close,
}

/// Serves requests until the connection is closed.
pub async fn serve(stream: &TcpStream, ctx: &Context) {
    // Otherwise Nagle's algorithm delays small answers until earlier data is
    // acknowledged.
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let mut ahead = Vec::new();
    while serve_one(stream, ctx, &mut ahead).await == Next::Keep {}
}

// Serves one request. `ahead` holds bytes that were read beyond the previous
// request.
async fn serve_one(stream: &TcpStream, ctx: &Context, ahead: &mut Vec<u8>) -> Next {
    let limits = ctx.limits.get();
    if ahead.is_empty() && !has_bytes(stream, limits.idle_timeout).await {
        return Next::Close;
    }
    let _active = ctx.begin_request();
    let read = message_reader::read_head_within(stream, ahead, limits.head_bytes);
    let head = match future::timeout(limits.head_timeout, read).await {
        Ok(Ok(head)) => head,
        Ok(Err(HeadFailure::Refused(error))) => return refuse_head(stream, &error).await,
        Ok(Err(HeadFailure::Closed)) => return Next::Close,
        Err(_elapsed) => return refuse(stream, TOO_SLOW, "head-late").await,
    };
    let mut asked = match RequestHead::read(&head, ctx.ids.next()) {
        Ok(asked) => asked,
        Err(error) => return refuse_head(stream, &error).await,
    };
    if asked.expects_continue && ahead.is_empty() && write(stream, CONTINUE_RESPONSE).await.is_err()
    {
        return Next::Close;
    }
    let mut reservation = ctx.body_memory.reservation();
    let max_bytes = limits.body_bytes;
    let read = body::read(stream, ahead, asked.framing, max_bytes, &mut reservation);
    let (host, path) = (&asked.query.host, &asked.query.path);
    let allowed = [asked.query.time_limit, ctx.limits.route_timeout(host, path)];
    let timeout = allowed.into_iter().flatten().fold(BODY_TIMEOUT, Ord::min);
    match future::timeout(timeout, read).await {
        Ok(Ok(body)) => asked.set_body(body),
        Ok(Err(BodyError::Cut)) => return Next::Close,
        Ok(Err(BodyError::TooLarge)) => return refuse(stream, TOO_LARGE, "body-large").await,
        Ok(Err(BodyError::NoMemory)) => {
            let detail = "the request was not read whole";
            let delay = MEMORY_RETRY_DELAY.mul_f64(0.5 + rand::random::<f64>());
            let refusal = (UNAVAILABLE, "no-room", detail);
            return refuse_and_close(stream, refusal, Some(delay)).await;
        }
        Ok(Err(BodyError::Malformed)) => {
            let detail = "chunks";
            return refuse_head(stream, &HeadError::Malformed { detail }).await;
        }
        Err(_elapsed) => return refuse(stream, TOO_SLOW, "body-late").await,
    }
    handle(stream, ctx, asked, reservation).await
}

// Sends a request to the decision duty and writes the reply.
async fn handle(
    stream: &TcpStream,
    ctx: &Context,
    asked: RequestHead,
    reservation: Reservation,
) -> Next {
    let (sender, replies) = async_channel::bounded(1);
    let id = asked.query.id;
    let (bodiless, closes) = (asked.bodiless, asked.closes);
    let trace = asked.outbound.trace().clone();
    let input = Input::Request(asked.query, (asked.outbound, reservation), sender);
    let reply = if ctx.decisions.try_send(input).is_err() {
        Some(Reply::Refuse(
            Refusal::not_run(Reason::Overloaded).with_retry_after(BUSY_RETRY_DELAY),
        ))
    } else {
        let reply = async { replies.recv().await.ok() };
        let disconnected = async {
            wait_for_disconnect(stream).await;
            None
        };
        reply.or(disconnected).await
    };
    let Some(reply) = reply else {
        report_disconnect(ctx, id).await;
        return Next::Close;
    };
    let close = closes || ctx.is_stopping();
    let written = match reply {
        Reply::Answer(answer) => {
            let bytes = answer.head.write(&answer.body, bodiless, close);
            write(stream, &bytes).await
        }
        Reply::Refuse(refusal) => {
            let method = if bodiless { Method::Head } else { Method::Get };
            let response = refusal_response(&refusal, &trace);
            respond(stream, response, method, close).await
        }
        Reply::Instances(..) => Ok(()),
    };
    match written {
        Ok(()) if !close => Next::Keep,
        Ok(()) | Err(_) => Next::Close,
    }
}

async fn report_disconnect(ctx: &Context, id: RequestId) {
    // Fails only at process end, since the decision duty ends last.
    drop(
        ctx.decisions
            .send(Input::Event(Event::CallerGone(id)))
            .await,
    );
}

// Waits until the caller closes its end of the connection.
async fn wait_for_disconnect(stream: &TcpStream) {
    let mut byte = [0];
    let peeked = stream.peek(&mut byte).await;
    if !matches!(peeked, Ok(0) | Err(_)) {
        // Further bytes belong to the next request, so the caller still waits.
        std::future::pending::<()>().await;
    }
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

async fn write(mut stream: &TcpStream, bytes: &[u8]) -> io::Result<()> {
    let written = future::timeout(WRITE_TIMEOUT, stream.write_all(bytes)).await;
    written.map_err(|_elapsed| io::Error::from(io::ErrorKind::TimedOut))?
}

// Waits for the first byte of a request; returns false if the connection ends or
// stays idle too long.
async fn has_bytes(stream: &TcpStream, idle: Duration) -> bool {
    let mut byte = [0];
    let peeked = future::timeout(idle, stream.peek(&mut byte)).await;
    matches!(peeked, Ok(Ok(count)) if count > 0)
}

async fn refuse_head(stream: &TcpStream, error: &HeadError) -> Next {
    let detail = error.to_string();
    refuse_and_close(stream, (error.status(), "bad-head", &detail), None).await
}

async fn refuse(stream: &TcpStream, status: u16, code: &str) -> Next {
    let refusal = (status, code, "the request was not read whole");
    refuse_and_close(stream, refusal, None).await
}

// Refuses a request that was not read whole, with a status, a code and a detail, and closes
// the connection.
async fn refuse_and_close(
    stream: &TcpStream,
    (status, code, detail): (u16, &str, &str),
    retry_after: Option<Duration>,
) -> Next {
    let status = StatusCode::try_from(status).unwrap_or(StatusCode::BadRequest);
    let mut response = Response::new(status);
    response.insert_header("content-type", "application/json");
    if let Some(after) = retry_after {
        response.insert_header("retry-after", seconds(after));
    }
    let body = json!({ "code": code, "ran": "not-run", "detail": detail });
    response.set_body(body.to_string());
    // The connection is closed even if the caller has already disconnected.
    drop(respond(stream, response, Method::Get, true).await);
    drain_input(stream).await;
    Next::Close
}

// Reads and discards what the caller still sends. Closing with unread input would
// reset the connection, and the caller might lose the refusal.
async fn drain_input(stream: &TcpStream) {
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
