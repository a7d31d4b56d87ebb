//! One connection of a caller: reads requests and writes responses, one after the other.

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
use crate::body::PumpError;
use crate::callers::CallerContext;
use crate::message_reader;
use crate::message_reader::HeadFailure;
use crate::message_reader::MessageReader;
use crate::request::Call;
use crate::tee::Tee;

/// The timeout for the next request on an idle connection.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);

/// The timeout from the first byte of a head to its end.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// The timeout for a body that is buffered.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// The timeout for one write to a caller.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);

/// Request bodies up to this size are buffered, so that they can be sent again.
const MAX_BUFFERED_BODY_BYTES: u64 = 64 * 1024;

/// The maximum number of bytes of a response written at a time.
const WRITE_BUFFER_BYTES: usize = 16 * 1024;

/// The timeout for reading what a refused caller still sends.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// Whether a connection is kept for another request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Next {
    Keep,
    Close,
}

/// Who received the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Recipient {
    Caller,
    Nobody,
}

/// Serves a connection until it ends.
pub async fn serve(stream: TcpStream, client: SocketAddr, ctx: &CallerContext) {
    // Otherwise small messages wait for delayed acknowledgements.
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let mut read_ahead = Vec::new();
    while serve_one(&stream, client, ctx, &mut read_ahead).await == Next::Keep {}
}

async fn serve_one(
    stream: &TcpStream,
    client: SocketAddr,
    ctx: &CallerContext,
    read_ahead: &mut Vec<u8>,
) -> Next {
    if read_ahead.is_empty() && !has_bytes(stream).await {
        return Next::Close;
    }
    let read = future::timeout(HEAD_TIMEOUT, message_reader::read_head(stream, read_ahead)).await;
    let head = match read {
        Ok(Ok(head)) => head,
        Ok(Err(HeadFailure::Refused(error))) => return refuse_head(stream, &error).await,
        Ok(Err(HeadFailure::Closed)) | Err(_) => return Next::Close,
    };
    match head::check_request(&head) {
        Ok(framing) => serve_request(stream, client, ctx, head, framing, read_ahead).await,
        Err(error) => refuse_head(stream, &error).await,
    }
}

async fn serve_request(
    stream: &TcpStream,
    client: SocketAddr,
    ctx: &CallerContext,
    head: Vec<u8>,
    framing: Framing,
    read_ahead: &mut Vec<u8>,
) -> Next {
    let reader = MessageReader::new(stream.clone(), head, framing, read_ahead);
    let Ok(Some((mut request, _))) = server::decode(reader).await else {
        let detail = "request line";
        return refuse_head(stream, &HeadError::Malformed { detail }).await;
    };
    let method = request.method();
    let close_asked = request.header("connection").is_some_and(|values| {
        let mut words = values.as_str().split(',');
        words.any(|w| w.trim().eq_ignore_ascii_case("close"))
    });
    let body = request.take_body();
    let length = match framing {
        Framing::Length(length) if length <= MAX_BUFFERED_BODY_BYTES => {
            let read = future::timeout(BODY_TIMEOUT, buffer_body(body, length)).await;
            let Ok(Ok(bytes)) = read else {
                return Next::Close;
            };
            let call = Call::new(request, client, Payload::Whole(bytes.into()), ctx);
            return exchange(stream, ctx, call, method, async { true }, close_asked).await;
        }
        Framing::Length(length) => Some(length as usize),
        Framing::Chunked | Framing::Close => None,
    };
    let (chunks, chunk_rx) = body::ring();
    // A server may answer before the whole body was sent to it.
    let pump = async move {
        // The body of a request doesn't end with its connection.
        let is_orderly = std::future::ready(false);
        let pumped = body::pump(body, framing, &chunks, is_orderly).await;
        !matches!(pumped, Err(PumpError::Truncated))
    };
    let call = Call::new(request, client, Payload::Stream(chunk_rx, length), ctx);
    // The connection is closed, since the rest of a streamed body would be read as
    // the next head.
    let next = exchange(stream, ctx, call, method, pump, true).await;
    drain(stream).await;
    next
}

// Runs one call while its body is forwarded and the connection is watched for a
// disconnect of the caller.
async fn exchange(
    stream: &TcpStream,
    ctx: &CallerContext,
    mut call: Call,
    method: Method,
    pump: impl Future<Output = bool>,
    close_asked: bool,
) -> Next {
    let delivering = Cell::new(false);
    let detached = call.detached();
    let watch = async {
        // A body that was cut off ends the exchange, as a disconnect does.
        if pump.await {
            caller_disconnected(stream, &delivering).await;
        }
        // The outcome of a non-idempotent request is needed if it is sent again.
        if detached.get() {
            std::future::pending::<()>().await;
        }
        Next::Close
    };
    let serve = async {
        let response = call.run(ctx).await;
        delivering.set(true);
        let close = close_asked || ctx.is_stopping();
        let delivered = deliver(stream, response, method, close, &mut call).await;
        call.finish(ctx, delivered.is_ok()).await;
        match delivered {
            Ok(Recipient::Caller) if !close => Next::Keep,
            Ok(_) | Err(_) => Next::Close,
        }
    };
    let next = serve.or(watch).await;
    call.finish(ctx, false).await;
    next
}

// Waits until the caller closes its end. Never ends once the response is being
// delivered.
async fn caller_disconnected(stream: &TcpStream, delivering: &Cell<bool>) {
    let mut byte = [0];
    let peeked = stream.peek(&mut byte).await;
    let closed = matches!(peeked, Ok(0) | Err(_));
    // Further bytes are the next request, so the caller is still connected.
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
) -> io::Result<Recipient> {
    if close {
        response.insert_header("connection", "close");
    }
    let body = response.take_body();
    let length = body.len();
    let copy = call.record_body(&response);
    response.set_body(Body::from_reader(Tee::new(body, copy), length));
    let mut encoder = server::Encoder::new(response, method);
    let mut bytes = vec![0; WRITE_BUFFER_BYTES];
    let mut recipient = Recipient::Caller;
    loop {
        let count = encoder.read(&mut bytes).await?;
        if count == 0 {
            return Ok(recipient);
        }
        if recipient == Recipient::Nobody {
            continue;
        }
        let written = write(stream, &bytes[..count]).await;
        match written {
            Ok(()) => (),
            // The rest is still read, so that the complete response is recorded.
            Err(_) if call.detached().get() => recipient = Recipient::Nobody,
            Err(error) => return Err(error),
        }
    }
}

async fn write(mut stream: &TcpStream, bytes: &[u8]) -> io::Result<()> {
    let written = future::timeout(WRITE_TIMEOUT, stream.write_all(bytes)).await;
    written.map_err(|_elapsed| io::Error::from(io::ErrorKind::TimedOut))?
}

async fn buffer_body(body: Body, length: u64) -> io::Result<Vec<u8>> {
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
    let peeked = future::timeout(IDLE_TIMEOUT, stream.peek(&mut byte)).await;
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
    // The caller may have disconnected; the connection ends either way.
    drop(future::timeout(WRITE_TIMEOUT, written).await);
    drain(stream).await;
    Next::Close
}

// Reads what the caller still sends, so that closing does not reset the
// connection before the caller has read the refusal.
async fn drain(stream: &TcpStream) {
    // Ignored, since the connection ends here whether or not it is still open.
    drop(stream.shutdown(std::net::Shutdown::Write));
    let rest = async {
        let mut bytes = [0; 4_096];
        let mut source = stream;
        while matches!(source.read(&mut bytes).await, Ok(count) if count > 0) {}
    };
    // The connection ends here, whether or not the timeout has elapsed.
    let _ = future::timeout(DRAIN_TIMEOUT, rest).await;
}
