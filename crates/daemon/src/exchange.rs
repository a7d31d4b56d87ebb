//! One attempt: sends a request to a backend server and reads its response.

use std::cell::Cell;
use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Sender;
use async_h1::client;
use async_std::future;
use async_std::net::TcpStream;
use corianderway_model::Time;
use corianderway_node::AttemptOutcome;
use corianderway_wire::head;
use corianderway_wire::head::Framing;
use corianderway_wire::response;
use futures_lite::future::poll_once;
use futures_lite::future::FutureExt as _;
use futures_lite::io;
use futures_lite::AsyncRead;
use futures_lite::AsyncReadExt as _;
use futures_lite::AsyncWriteExt as _;
use http_types::headers::HeaderValues;
use http_types::Body;
use http_types::Method;
use http_types::Request;
use http_types::Response;

use crate::body;
use crate::body::Payload;
use crate::clock::Clock;
use crate::descriptors;
use crate::ending;
use crate::ending::Sent;
use crate::message_reader;
use crate::message_reader::MessageReader;
use crate::pool::Pool;

/// The timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The timeout for the body of a response.
const BODY_TIMEOUT: Duration = Duration::from_mins(10);

/// The size of the buffer for sending a request, in bytes.
const SEND_BUFFER_BYTES: usize = 8 * 1024;

/// Response bodies up to this size are read completely before the response is passed on.
const MAX_BUFFERED_BODY_BYTES: u64 = 64 * 1024;

/// The header by which a backend server states that it didn't run the request.
const SHED_HEADER: &str = "x-not-run";

/// Hop-by-hop headers, which are not passed on.
const HOP_HEADERS: [&str; 6] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// A request to send to one backend server.
#[derive(Debug)]
pub struct Job {
    /// The address of the backend server.
    pub addr: SocketAddr,
    /// The request without its body.
    pub head: Request,
    /// The body.
    pub payload: Payload,
    /// The time after which the request may no longer be sent.
    pub start_by: Time,
    /// The time at which the attempt times out.
    pub deadline: Time,
    /// Whether a new connection must be used.
    pub new_connection: bool,
    /// The ring for the result; closed when the caller has disconnected.
    pub reply: Sender<Result<Response, Failure>>,
}

/// An attempt without a response.
#[derive(Debug)]
pub struct Failure {
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// The body, which can be sent to another server unless it is spent.
    pub payload: Payload,
}

/// Runs a job until the body of its response has been passed on.
pub async fn run(job: Job, clock: Clock, pool: Rc<RefCell<Pool<TcpStream>>>) {
    let Job {
        addr,
        head,
        mut payload,
        start_by,
        deadline,
        new_connection,
        reply,
    } = job;
    let (stream, origin) = match open(addr, new_connection, clock, start_by, &pool).await {
        Ok(opened) => opened,
        Err(outcome) => {
            fail(&reply, outcome, payload).await;
            return;
        }
    };
    let request = prepare(head, &mut payload, clock.until(deadline));
    // Checked right before sending, so that a process that was paused meanwhile
    // sends nothing late.
    let Some(request) = request.filter(|_| clock.now() < start_by) else {
        fail(&reply, AttemptOutcome::NotSent, payload).await;
        return;
    };
    let expected = Expected {
        id: request_id(&request),
        is_head: request.method() == Method::Head,
        origin,
    };
    let progress = Progress::default();
    let mut sending = Box::pin(send(stream.clone(), request, &progress));
    let answer = read_response(stream.clone(), &expected)
        .or(async { Err((&mut sending).await) })
        .or(caller_disconnected(&reply));
    let result = future::timeout(clock.until(deadline), answer).await;
    match result.unwrap_or(Err(AttemptOutcome::TimedOut)) {
        Ok(answer) => {
            progress.has_head.set(true);
            let is_orderly = ending::is_orderly(&stream, || progress.sent());
            let reusable = deliver(answer, reply, is_orderly)
                .or(async {
                    (&mut sending).await;
                    false
                })
                .await;
            if reusable && progress.is_sent.get() {
                pool.borrow_mut().put(addr, stream);
            }
        }
        Err(outcome) => fail(&reply, outcome, payload).await,
    }
}

// The progress of an exchange.
#[derive(Debug, Default)]
struct Progress {
    // The number of bytes of the request that have been sent.
    sent_bytes: Cell<usize>,
    // Whether these are the whole request.
    is_sent: Cell<bool>,
    has_head: Cell<bool>,
}

impl Progress {
    fn sent(&self) -> Sent {
        Sent {
            bytes: self.sent_bytes.get(),
            is_whole: self.is_sent.get(),
        }
    }
}

/// Whether a connection was used before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Origin {
    New,
    Kept,
}

// What is known of the response to a request.
#[derive(Debug)]
struct Expected {
    id: String,
    is_head: bool,
    origin: Origin,
}

impl Expected {
    // A server that sends back the request's id shows which request it responds to.
    fn is_matched_by(&self, response: &Response) -> bool {
        let id = response.header(response::REQUEST_ID);
        id.is_some_and(|values| values.as_str() == self.id)
    }
}

struct ServerResponse {
    response: Response,
    framing: Framing,
    reusable: bool,
}

async fn open(
    addr: SocketAddr,
    new_connection: bool,
    clock: Clock,
    start_by: Time,
    pool: &RefCell<Pool<TcpStream>>,
) -> Result<(TcpStream, Origin), AttemptOutcome> {
    if !new_connection {
        while let Some(stream) = pooled(pool, addr) {
            if is_idle(&stream).await {
                return Ok((stream, Origin::Kept));
            }
        }
    }
    let limit = CONNECT_TIMEOUT.min(clock.until(start_by));
    let connected = future::timeout(limit, TcpStream::connect(addr)).await;
    let stream = match connected {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) if descriptors::is_local(&error) => return Err(AttemptOutcome::NotSent),
        Ok(Err(_)) | Err(_) => return Err(AttemptOutcome::Unreachable),
    };
    // Otherwise small messages wait for delayed acknowledgements.
    stream
        .set_nodelay(true)
        .map_err(|_broken| AttemptOutcome::Unreachable)?;
    Ok((stream, Origin::New))
}

// A function of its own, so that the borrow ends before the caller awaits anything.
fn pooled(pool: &RefCell<Pool<TcpStream>>, addr: SocketAddr) -> Option<TcpStream> {
    pool.borrow_mut().take(addr)
}

// A readable connection was closed or holds bytes that belong to no request.
async fn is_idle(stream: &TcpStream) -> bool {
    let mut byte = [0];
    poll_once(stream.peek(&mut byte)).await.is_none()
}

fn prepare(mut head: Request, payload: &mut Payload, left: Duration) -> Option<Request> {
    head.insert_header(response::DEADLINE, left.as_millis().to_string());
    head.set_body(payload.take()?);
    Some(head)
}

fn request_id(request: &Request) -> String {
    let id = request.header(response::REQUEST_ID);
    id.map_or(String::new(), |values| values.as_str().to_owned())
}

// Sends the request. If sending fails, the exchange ends only if the head of the
// response has not been received, since a server may respond early.
async fn send(stream: TcpStream, request: Request, progress: &Progress) -> AttemptOutcome {
    let encoder = client::Encoder::new(request);
    let sent = write_all(stream, encoder, &progress.sent_bytes).await;
    progress.is_sent.set(sent.is_ok());
    if sent.is_ok() || progress.has_head.get() {
        std::future::pending::<()>().await;
    }
    AttemptOutcome::Broken
}

// Writes what the request reads to its end, and counts the bytes as they are written.
async fn write_all(
    mut stream: TcpStream,
    mut request: impl AsyncRead + Unpin,
    sent_bytes: &Cell<usize>,
) -> io::Result<()> {
    let mut buffer = vec![0; SEND_BUFFER_BYTES];
    loop {
        let count = request.read(&mut buffer).await?;
        if count == 0 {
            return Ok(());
        }
        let mut unsent = &buffer[..count];
        while !unsent.is_empty() {
            let written = stream.write(unsent).await?;
            if written == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            }
            sent_bytes.set(sent_bytes.get() + written);
            unsent = &unsent[written..];
        }
    }
}

async fn read_response(
    stream: TcpStream,
    expected: &Expected,
) -> Result<ServerResponse, AttemptOutcome> {
    let mut read_ahead = Vec::new();
    let (head, status, framing) = loop {
        let head =
            message_reader::read_response_head(&stream, &mut read_ahead, head::MAX_HEAD_BYTES)
                .await;
        let head = head.map_err(|_closed| AttemptOutcome::Broken)?;
        let (status, framing) = head::check_response(&head, expected.is_head)
            .map_err(|_malformed| AttemptOutcome::Broken)?;
        if status >= 200 {
            break (head, status, framing);
        }
    };
    let mut response = decode(stream, head, framing, &mut read_ahead).await?;
    let is_matched = expected.is_matched_by(&response);
    // A late copy of an earlier response may come ahead of the one to this request, which
    // the server may run.
    if expected.origin == Origin::Kept && !is_matched {
        return Err(AttemptOutcome::Broken);
    }
    if status == 503 && response.header(SHED_HEADER).is_some() {
        return Err(AttemptOutcome::Shed);
    }
    let close = response.header("connection").is_some_and(is_close);
    let reusable = is_matched && !close && framing != Framing::Close && read_ahead.is_empty();
    for name in HOP_HEADERS {
        response.remove_header(name);
    }
    if let Framing::Length(length @ 1..=MAX_BUFFERED_BODY_BYTES) = framing {
        buffer_body(&mut response, length).await?;
        return Ok(ServerResponse {
            response,
            framing: Framing::Length(0),
            reusable,
        });
    }
    Ok(ServerResponse {
        response,
        framing,
        reusable,
    })
}

// The library treats a response without a length as empty, so a body that ends
// with its connection is read without the library.
async fn decode(
    stream: TcpStream,
    head: Vec<u8>,
    framing: Framing,
    read_ahead: &mut Vec<u8>,
) -> Result<Response, AttemptOutcome> {
    let decoded = match framing {
        Framing::Length(0) => client::decode(io::Cursor::new(head)).await,
        Framing::Length(_) | Framing::Chunked => {
            client::decode(MessageReader::new(stream, head, framing, read_ahead)).await
        }
        Framing::Close => {
            let body = MessageReader::new(stream, Vec::new(), framing, read_ahead);
            let decoded = client::decode(io::Cursor::new(head)).await;
            decoded.map(|mut response| {
                response.set_body(Body::from_reader(io::BufReader::new(body), None));
                response
            })
        }
    };
    let mut response = decoded.map_err(|_malformed| AttemptOutcome::Broken)?;
    // The library adds a date with a line break to a response without one.
    let has_line_break = |values: &HeaderValues| values.as_str().contains('\n');
    if response.header("date").is_some_and(has_line_break) {
        response.remove_header("date");
    }
    Ok(response)
}

// Reads a small body before the response is passed on. This takes one message
// between the duties instead of three, and if the body is cut off, the request
// can still be sent to another server.
async fn buffer_body(response: &mut Response, length: u64) -> Result<(), AttemptOutcome> {
    let mut body = response.take_body();
    let mut bytes = Vec::with_capacity(length as usize);
    let read = body.read_to_end(&mut bytes).await;
    if read.is_err() || bytes.len() as u64 != length {
        return Err(AttemptOutcome::Broken);
    }
    response.set_body(Body::from_bytes(bytes));
    Ok(())
}

fn is_close(values: &HeaderValues) -> bool {
    values.as_str().eq_ignore_ascii_case("close")
}

// Passes the response and its body to the caller's task. Returns whether the
// connection can be reused, which requires that the response was read completely. `is_orderly`
// tells whether the connection of a response without a length ended in order.
async fn deliver(
    answer: ServerResponse,
    reply: Sender<Result<Response, Failure>>,
    is_orderly: impl Future<Output = bool>,
) -> bool {
    let mut response = answer.response;
    if answer.framing == Framing::Length(0) {
        return reply.send(Ok(response)).await.is_ok() && answer.reusable;
    }
    let body = response.take_body();
    let (chunks, chunk_rx) = body::ring();
    response.set_body(Body::from_reader(body::reader(chunk_rx), body.len()));
    if reply.send(Ok(response)).await.is_err() {
        return false;
    }
    let pump = body::pump(body, answer.framing, &chunks, is_orderly);
    let forwarded = future::timeout(BODY_TIMEOUT, pump).await;
    matches!(forwarded, Ok(Ok(()))) && answer.reusable
}

async fn fail(
    reply: &Sender<Result<Response, Failure>>,
    outcome: AttemptOutcome,
    payload: Payload,
) {
    // The ring is closed if the caller has disconnected.
    let _ = reply.send(Err(Failure { outcome, payload })).await;
}

// Waits until the caller's task has dropped its end of the ring.
async fn caller_disconnected(
    reply: &Sender<Result<Response, Failure>>,
) -> Result<ServerResponse, AttemptOutcome> {
    reply.closed().await;
    Err(AttemptOutcome::Broken)
}
