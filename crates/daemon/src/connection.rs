//! One connection of a caller: requests in, answers out, one after the other.

use std::cell::Cell;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use async_h1::server;
use async_std::future;
use async_std::net::TcpStream;
use corianderway_wire::head;
use corianderway_wire::head::Framing;
use corianderway_wire::head::HeadError;
use futures_lite::future::FutureExt as _;
use futures_lite::AsyncReadExt as _;
use futures_lite::AsyncWriteExt as _;
use http_types::Body;
use http_types::Method;
use http_types::Response;
use http_types::StatusCode;
use serde_json::json;

use crate::body;
use crate::body::Payload;
use crate::callers::Desk;
use crate::feed;
use crate::feed::Feed;
use crate::feed::HeadFailure;
use crate::request::Call;
use crate::tee::Tee;

/// The longest wait for a request on an idle connection.
const IDLE: Duration = Duration::from_mins(1);

/// The longest time from the first byte of a head to its end.
const HEAD_TIME: Duration = Duration::from_secs(10);

/// The longest time to receive a body that is read whole.
const BODY_TIME: Duration = Duration::from_secs(30);

/// The longest pause of a caller that takes an answer.
const WRITE_PAUSE: Duration = Duration::from_secs(30);

/// Bodies up to this size, in bytes, are read whole, so that they can be sent again.
const WHOLE_BYTES: u64 = 64 * 1024;

/// Bytes of an answer written at a time.
const WRITE_BYTES: usize = 16 * 1024;

/// The longest time to take what a refused caller still sends.
const DRAIN_TIME: Duration = Duration::from_secs(1);

/// Whether a connection serves another request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Next {
    Keep,
    Close,
}

/// Whom a whole answer reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reached {
    Caller,
    Nobody,
}

/// Serves a connection until it ends.
pub async fn serve(stream: TcpStream, client: SocketAddr, desk: &Desk) {
    // Small answers would wait for delayed acknowledgements otherwise.
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let mut carry = Vec::new();
    while serve_one(&stream, client, desk, &mut carry).await == Next::Keep {}
}

async fn serve_one(
    stream: &TcpStream,
    client: SocketAddr,
    desk: &Desk,
    carry: &mut Vec<u8>,
) -> Next {
    if carry.is_empty() && !has_bytes(stream).await {
        return Next::Close;
    }
    let read = future::timeout(HEAD_TIME, feed::read_head(stream, carry)).await;
    let head = match read {
        Ok(Ok(head)) => head,
        Ok(Err(HeadFailure::Refused(error))) => return refuse_head(stream, &error).await,
        Ok(Err(HeadFailure::Closed)) | Err(_) => return Next::Close,
    };
    match head::check_request(&head) {
        Ok(framing) => converse(stream, client, desk, head, framing, carry).await,
        Err(error) => refuse_head(stream, &error).await,
    }
}

async fn converse(
    stream: &TcpStream,
    client: SocketAddr,
    desk: &Desk,
    head: Vec<u8>,
    framing: Framing,
    carry: &mut Vec<u8>,
) -> Next {
    let feed = Feed::new(stream.clone(), head, framing, carry);
    let Ok(Some((mut request, _))) = server::decode(feed).await else {
        let detail = "request line";
        return refuse_head(stream, &HeadError::Malformed { detail }).await;
    };
    let method = request.method();
    let closing = request.header("connection").is_some_and(|values| {
        let mut words = values.as_str().split(',');
        words.any(|w| w.trim().eq_ignore_ascii_case("close"))
    });
    let body = request.take_body();
    let length = match framing {
        Framing::Length(length) if length <= WHOLE_BYTES => {
            let read = future::timeout(BODY_TIME, read_whole(body, length)).await;
            let Ok(Ok(bytes)) = read else {
                return Next::Close;
            };
            let call = Call::new(request, client, Payload::Whole(bytes.into()), desk);
            return exchange(stream, desk, call, method, async { true }, closing).await;
        }
        Framing::Length(length) => Some(length as usize),
        Framing::Chunked | Framing::Close => None,
    };
    let (chunks, arriving) = body::ring();
    let pump = async move { body::pump(body, framing, &chunks).await.is_ok() };
    let call = Call::new(request, client, Payload::Stream(arriving, length), desk);
    // What is left of a streamed body would be read as the next head.
    exchange(stream, desk, call, method, pump, true).await
}

// Carries out one call while its body is pumped and the caller is watched.
async fn exchange(
    stream: &TcpStream,
    desk: &Desk,
    mut call: Call,
    method: Method,
    pump: impl Future<Output = bool>,
    closing: bool,
) -> Next {
    let delivering = Cell::new(false);
    let lasting = call.lasting();
    let watch = async {
        // A body that was cut ends the exchange as a caller that left does.
        if pump.await {
            departed(stream, &delivering).await;
        }
        // The outcome of a non-idempotent request is wanted for its next sending.
        if lasting.get() {
            std::future::pending::<()>().await;
        }
        Next::Close
    };
    let serve = async {
        let response = call.run(desk).await;
        delivering.set(true);
        let close = closing || desk.is_stopping();
        let delivered = deliver(stream, response, method, close, &mut call).await;
        call.finish(desk, delivered.is_ok()).await;
        match delivered {
            Ok(Reached::Caller) if !close => Next::Keep,
            Ok(_) | Err(_) => Next::Close,
        }
    };
    let next = serve.or(watch).await;
    call.finish(desk, false).await;
    next
}

// Waits until the caller closes its end; never ends once the answer is on its way.
async fn departed(stream: &TcpStream, delivering: &Cell<bool>) {
    let mut byte = [0];
    let peeked = stream.peek(&mut byte).await;
    let closed = matches!(peeked, Ok(0) | Err(_));
    // Further bytes are the next request, so the caller still waits.
    if !closed || delivering.get() {
        std::future::pending::<()>().await;
    }
}

async fn deliver(
    stream: &TcpStream,
    mut response: Response,
    method: Method,
    close: bool,
    call: &mut Call,
) -> io::Result<Reached> {
    if close {
        response.insert_header("connection", "close");
    }
    let body = response.take_body();
    let length = body.len();
    let kept = call.keep(&response);
    response.set_body(Body::from_reader(Tee::new(body, kept), length));
    let mut encoder = server::Encoder::new(response, method);
    let mut bytes = vec![0; WRITE_BYTES];
    let mut reached = Reached::Caller;
    loop {
        let count = encoder.read(&mut bytes).await?;
        if count == 0 {
            return Ok(reached);
        }
        if reached == Reached::Nobody {
            continue;
        }
        let written = write(stream, &bytes[..count]).await;
        match written {
            Ok(()) => (),
            // The rest is read all the same, to remember the whole answer.
            Err(_) if call.lasting().get() => reached = Reached::Nobody,
            Err(error) => return Err(error),
        }
    }
}

async fn write(mut stream: &TcpStream, bytes: &[u8]) -> io::Result<()> {
    let written = future::timeout(WRITE_PAUSE, stream.write_all(bytes)).await;
    written.map_err(|_elapsed| io::Error::from(io::ErrorKind::TimedOut))?
}

async fn read_whole(body: Body, length: u64) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::with_capacity(length as usize);
    let mut body = body;
    body.read_to_end(&mut bytes).await?;
    if bytes.len() as u64 != length {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(bytes)
}

// Waits for the first byte of a request.
async fn has_bytes(stream: &TcpStream) -> bool {
    let mut byte = [0];
    let peeked = future::timeout(IDLE, stream.peek(&mut byte)).await;
    matches!(peeked, Ok(Ok(count)) if count > 0)
}

async fn refuse_head(stream: &TcpStream, error: &HeadError) -> Next {
    let status = StatusCode::try_from(error.status()).unwrap_or(StatusCode::BadRequest);
    let mut response = Response::new(status);
    response.insert_header("connection", "close");
    response.insert_header("content-type", "application/json");
    let body = json!({ "code": "bad-head", "ran": "not-run", "detail": error.to_string() });
    response.set_body(body.to_string());
    let mut encoder = server::Encoder::new(response, Method::Get);
    let mut target = stream;
    let written = futures_lite::io::copy(&mut encoder, &mut target);
    // The caller may be gone already; the connection ends either way.
    drop(future::timeout(WRITE_PAUSE, written).await);
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
