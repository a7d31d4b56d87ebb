//! One connection of a caller: requests in, answers out, one after the other.

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
use http_types::Method;
use http_types::Response;
use http_types::StatusCode;
use serde_json::json;

use crate::edge::body;
use crate::edge::body::BodyError;
use crate::edge::callers::Desk;
use crate::edge::rings::Input;
use crate::edge::rings::Reply;
use crate::feed;
use crate::feed::HeadFailure;

/// The longest time to receive a body.
const BODY_TIME: Duration = Duration::from_secs(10);

/// The longest pause of a caller that takes an answer.
const WRITE_TIME: Duration = Duration::from_secs(10);

/// The largest body that is taken, in bytes, whatever the configuration
/// allows: bodies are held whole, in little memory.
const BODY_BYTES: u64 = 16 * 1024 * 1024;

/// The longest time to take what a refused caller still sends.
const DRAIN_TIME: Duration = Duration::from_secs(1);

/// The status of a request whose parts came too slowly; nothing ran.
const REQUEST_TIMEOUT: u16 = 408;

/// The status of a body that is too large.
const TOO_LARGE: u16 = 413;

/// The status of a body for which there is no memory now.
const UNAVAILABLE: u16 = 503;

/// When a caller should come back that found too many requests waiting.
const BUSY_RETRY: Duration = Duration::from_millis(200);

/// The answer to a caller that waits for leave to send its body.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Whether a connection serves another request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Next {
    Keep,
    Close,
}

/// Serves a connection until it ends.
pub async fn serve(stream: &TcpStream, desk: &Desk) {
    // Small answers would wait for delayed acknowledgements otherwise.
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let mut carry = Vec::new();
    while serve_one(stream, desk, &mut carry).await == Next::Keep {}
}

async fn serve_one(stream: &TcpStream, desk: &Desk, carry: &mut Vec<u8>) -> Next {
    let limits = desk.limits.get();
    if carry.is_empty() && !has_bytes(stream, limits.idle_timeout).await {
        return Next::Close;
    }
    let _carried = desk.carry();
    let read = feed::read_head_within(stream, carry, limits.head_bytes);
    let head = match future::timeout(limits.head_timeout, read).await {
        Ok(Ok(head)) => head,
        Ok(Err(HeadFailure::Refused(error))) => return refuse_head(stream, &error).await,
        Ok(Err(HeadFailure::Closed)) => return Next::Close,
        Err(_elapsed) => return turn_away(stream, REQUEST_TIMEOUT, "head-late").await,
    };
    let mut asked = match RequestHead::read(&head, desk.numbers.next()) {
        Ok(asked) => asked,
        Err(error) => return refuse_head(stream, &error).await,
    };
    if asked.expects_continue && carry.is_empty() && write(stream, CONTINUE).await.is_err() {
        return Next::Close;
    }
    let most = limits.body_bytes.min(BODY_BYTES);
    let mut place = desk.room.place();
    let read = body::read(stream, carry, asked.framing, most, &mut place);
    match future::timeout(BODY_TIME, read).await {
        Ok(Ok(body)) => asked.set_body(body),
        Ok(Err(BodyError::Cut)) => return Next::Close,
        Ok(Err(BodyError::TooLarge)) => return turn_away(stream, TOO_LARGE, "body-large").await,
        Ok(Err(BodyError::NoRoom)) => return turn_away(stream, UNAVAILABLE, "no-room").await,
        Ok(Err(BodyError::Malformed)) => {
            let detail = "chunks";
            return refuse_head(stream, &HeadError::Malformed { detail }).await;
        }
        Err(_elapsed) => return turn_away(stream, REQUEST_TIMEOUT, "body-late").await,
    }
    converse(stream, desk, asked).await
}

// Hands a request to the decision duty and gives its caller the reply.
async fn converse(stream: &TcpStream, desk: &Desk, asked: RequestHead) -> Next {
    let (sender, replies) = async_channel::bounded(1);
    let id = asked.query.id;
    let (bodiless, closes) = (asked.bodiless, asked.closes);
    let trace = asked.outbound.trace().clone();
    let input = Input::Request(asked.query, asked.outbound, sender);
    let reply = if desk.decisions.try_send(input).is_err() {
        Some(Reply::Refuse(
            Refusal::not_run(Reason::Overloaded).with_retry_after(BUSY_RETRY),
        ))
    } else {
        let reply = async { replies.recv().await.ok() };
        let left = async {
            departed(stream).await;
            None
        };
        reply.or(left).await
    };
    let Some(reply) = reply else {
        // Closed first, so that the decision duty sees that nobody waits.
        drop(replies);
        leave(desk, id).await;
        return Next::Close;
    };
    let close = closes || desk.is_stopping();
    let written = match reply {
        Reply::Answer(answer) => {
            let bytes = answer.head.write(&answer.body, bodiless, close);
            write(stream, &bytes).await
        }
        Reply::Refuse(refusal) => deliver(stream, refuse(&refusal, &trace), close).await,
        Reply::Direct(..) => Ok(()),
    };
    match written {
        Ok(()) if !close => Next::Keep,
        Ok(()) | Err(_) => Next::Close,
    }
}

async fn leave(desk: &Desk, id: RequestId) {
    // The decision duty ends last; when it is gone, so is the process.
    drop(
        desk.decisions
            .send(Input::Event(Event::CallerGone(id)))
            .await,
    );
}

// Waits until the caller closes its end.
async fn departed(stream: &TcpStream) {
    let mut byte = [0];
    let peeked = stream.peek(&mut byte).await;
    if !matches!(peeked, Ok(0) | Err(_)) {
        // Further bytes are the next request, so the caller still waits.
        std::future::pending::<()>().await;
    }
}

// A refusal as an answer: whether the request ran, and when to come back.
fn refuse(refusal: &Refusal, trace: &str) -> Response {
    let status = StatusCode::try_from(refusal.status());
    let mut response = Response::new(status.unwrap_or(StatusCode::ServiceUnavailable));
    response.insert_header("request-id", trace);
    if let Some(after) = refusal.retry_after {
        response.insert_header("retry-after", format!("{:.3}", after.as_secs_f64()));
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

async fn deliver(stream: &TcpStream, mut response: Response, close: bool) -> io::Result<()> {
    if close {
        response.insert_header("connection", "close");
    }
    let mut bytes = Vec::new();
    let mut encoder = server::Encoder::new(response, Method::Get);
    encoder.read_to_end(&mut bytes).await?;
    write(stream, &bytes).await
}

async fn write(mut stream: &TcpStream, bytes: &[u8]) -> io::Result<()> {
    let written = future::timeout(WRITE_TIME, stream.write_all(bytes)).await;
    written.map_err(|_elapsed| io::Error::from(io::ErrorKind::TimedOut))?
}

// Waits for the first byte of a request.
async fn has_bytes(stream: &TcpStream, idle: Duration) -> bool {
    let mut byte = [0];
    let peeked = future::timeout(idle, stream.peek(&mut byte)).await;
    matches!(peeked, Ok(Ok(count)) if count > 0)
}

async fn refuse_head(stream: &TcpStream, error: &HeadError) -> Next {
    let detail = error.to_string();
    end(stream, error.status(), "bad-head", &detail).await
}

async fn turn_away(stream: &TcpStream, status: u16, code: &str) -> Next {
    end(stream, status, code, "the request was not read whole").await
}

// Answers a request that was not taken, and closes the connection.
async fn end(stream: &TcpStream, status: u16, code: &str, detail: &str) -> Next {
    let status = StatusCode::try_from(status).unwrap_or(StatusCode::BadRequest);
    let mut response = Response::new(status);
    response.insert_header("content-type", "application/json");
    let body = json!({ "code": code, "ran": "not-run", "detail": detail });
    response.set_body(body.to_string());
    // The caller may be gone already; the connection ends either way.
    drop(deliver(stream, response, true).await);
    drain(stream).await;
    Next::Close
}

// Takes what the caller still sends, so that closing does not reset the
// connection before the refusal is read.
async fn drain(stream: &TcpStream) {
    // Ignored, since the connection ends here whether or not it is still open.
    drop(stream.shutdown(std::net::Shutdown::Write));
    let rest = async {
        let mut bytes = [0; 4_096];
        let mut source = stream;
        while matches!(source.read(&mut bytes).await, Ok(count) if count > 0) {}
    };
    // Elapsed or not, the connection ends here.
    let _ = future::timeout(DRAIN_TIME, rest).await;
}
