//! One request sent to one backend server, and its answer.

use std::cell::Cell;
use std::cell::RefCell;
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
use futures_lite::AsyncReadExt as _;
use http_types::headers::HeaderValues;
use http_types::Body;
use http_types::Method;
use http_types::Request;
use http_types::Response;

use crate::body;
use crate::body::Payload;
use crate::clock::Clock;
use crate::feed;
use crate::feed::Feed;
use crate::pool::Pool;

/// The longest time to make a connection.
const CONNECT: Duration = Duration::from_secs(1);

/// The longest time for an answer's body.
const BODY_TIME: Duration = Duration::from_mins(10);

/// Bodies up to this size, in bytes, are read whole before the answer is handed on.
const WHOLE_BYTES: u64 = 64 * 1024;

/// The header with which a backend server says that it ran nothing.
const SHED_HEADER: &str = "x-not-run";

/// Headers that hold for one connection only; none is passed on.
const HOP_HEADERS: [&str; 6] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// One attempt.
#[derive(Debug)]
pub struct Job {
    /// Where the backend server takes requests.
    pub addr: SocketAddr,
    /// The request without its body.
    pub head: Request,
    /// The body.
    pub payload: Payload,
    /// The moment after which nothing may be sent.
    pub start_by: Time,
    /// The moment after which nothing is awaited.
    pub deadline: Time,
    /// Whether the connection must be new.
    pub fresh: bool,
    /// Where the answer goes; closed when the caller is gone.
    pub reply: Sender<Result<Response, Failure>>,
}

/// An attempt without an answer.
#[derive(Debug)]
pub struct Failure {
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// The body, to be sent elsewhere if it was not spent.
    pub payload: Payload,
}

/// Runs one job to the end of its answer's body.
pub async fn run(job: Job, clock: Clock, pool: Rc<RefCell<Pool>>) {
    let Job {
        addr,
        head,
        mut payload,
        start_by,
        deadline,
        fresh,
        reply,
    } = job;
    let stream = match open(addr, fresh, clock, start_by, &pool).await {
        Ok(stream) => stream,
        Err(outcome) => {
            fail(&reply, outcome, payload).await;
            return;
        }
    };
    let request = prepare(head, &mut payload, clock.until(deadline));
    // Checked last, so that a process that was paused on the way sends nothing.
    let Some(request) = request.filter(|_| clock.now() < start_by) else {
        fail(&reply, AttemptOutcome::NotSent, payload).await;
        return;
    };
    let bodiless = request.method() == Method::Head;
    let progress = Progress::default();
    let mut sending = Box::pin(send(stream.clone(), request, &progress));
    let answer = read_answer(stream.clone(), bodiless)
        .or(async { Err((&mut sending).await) })
        .or(abandoned(&reply));
    let answered = future::timeout(clock.until(deadline), answer).await;
    match answered.unwrap_or(Err(AttemptOutcome::TimedOut)) {
        Ok(answer) => {
            progress.answered.set(true);
            let reusable = deliver(answer, reply)
                .or(async {
                    (&mut sending).await;
                    false
                })
                .await;
            if reusable && progress.sent.get() {
                pool.borrow_mut().put(addr, stream);
            }
        }
        Err(outcome) => fail(&reply, outcome, payload).await,
    }
}

// How far the sending of a request has come.
#[derive(Debug, Default)]
struct Progress {
    sent: Cell<bool>,
    answered: Cell<bool>,
}

struct Answer {
    response: Response,
    framing: Framing,
    reusable: bool,
}

async fn open(
    addr: SocketAddr,
    fresh: bool,
    clock: Clock,
    start_by: Time,
    pool: &RefCell<Pool>,
) -> Result<TcpStream, AttemptOutcome> {
    if !fresh {
        while let Some(stream) = take(pool, addr) {
            if is_silent(&stream).await {
                return Ok(stream);
            }
        }
    }
    let limit = CONNECT.min(clock.until(start_by));
    let connected = future::timeout(limit, TcpStream::connect(addr)).await;
    let Ok(Ok(stream)) = connected else {
        return Err(AttemptOutcome::Unreachable);
    };
    // Small answers would wait for delayed acknowledgements otherwise.
    stream
        .set_nodelay(true)
        .map_err(|_broken| AttemptOutcome::Unreachable)?;
    Ok(stream)
}

// The borrow ends here, before the caller awaits anything.
fn take(pool: &RefCell<Pool>, addr: SocketAddr) -> Option<TcpStream> {
    pool.borrow_mut().take(addr)
}

// A connection that can be read was closed, or holds bytes that nobody asked for.
async fn is_silent(stream: &TcpStream) -> bool {
    let mut byte = [0];
    poll_once(stream.peek(&mut byte)).await.is_none()
}

fn prepare(mut head: Request, payload: &mut Payload, left: Duration) -> Option<Request> {
    head.insert_header(response::DEADLINE, left.as_millis().to_string());
    head.set_body(payload.take()?);
    Some(head)
}

// Sends the request. A request that can't be sent whole ends the exchange only
// until the answer's head has come, for a server may answer early.
async fn send(stream: TcpStream, request: Request, progress: &Progress) -> AttemptOutcome {
    let mut encoder = client::Encoder::new(request);
    let sent = io::copy(&mut encoder, &mut stream.clone()).await;
    progress.sent.set(sent.is_ok());
    if sent.is_ok() || progress.answered.get() {
        std::future::pending::<()>().await;
    }
    AttemptOutcome::Broken
}

async fn read_answer(stream: TcpStream, bodiless: bool) -> Result<Answer, AttemptOutcome> {
    let mut carry = Vec::new();
    let (head, status, framing) = loop {
        let head = feed::read_head(&stream, &mut carry).await;
        let head = head.map_err(|_closed| AttemptOutcome::Broken)?;
        let (status, framing) =
            head::check_response(&head, bodiless).map_err(|_malformed| AttemptOutcome::Broken)?;
        if status >= 200 {
            break (head, status, framing);
        }
    };
    let mut response = decode(stream, head, framing, &mut carry).await?;
    if status == 503 && response.header(SHED_HEADER).is_some() {
        return Err(AttemptOutcome::Shed);
    }
    let close = response.header("connection").is_some_and(is_close);
    let reusable = !close && framing != Framing::Close && carry.is_empty();
    for name in HOP_HEADERS {
        response.remove_header(name);
    }
    if let Framing::Length(length @ 1..=WHOLE_BYTES) = framing {
        read_whole(&mut response, length).await?;
        return Ok(Answer {
            response,
            framing: Framing::Length(0),
            reusable,
        });
    }
    Ok(Answer {
        response,
        framing,
        reusable,
    })
}

// The library takes an answer without a length for an empty one, so the body
// that ends with its connection is read past it.
async fn decode(
    stream: TcpStream,
    head: Vec<u8>,
    framing: Framing,
    carry: &mut Vec<u8>,
) -> Result<Response, AttemptOutcome> {
    let decoded = match framing {
        Framing::Length(0) => client::decode(io::Cursor::new(head)).await,
        Framing::Length(_) | Framing::Chunked => {
            client::decode(Feed::new(stream, head, framing, carry)).await
        }
        Framing::Close => {
            let body = Feed::new(stream, Vec::new(), framing, carry);
            let decoded = client::decode(io::Cursor::new(head)).await;
            decoded.map(|mut response| {
                response.set_body(Body::from_reader(io::BufReader::new(body), None));
                response
            })
        }
    };
    decoded.map_err(|_malformed| AttemptOutcome::Broken)
}

// Reads a small body before the answer is handed on: one hop between the duties
// in place of three, and a cut leaves the request free to be sent elsewhere.
async fn read_whole(response: &mut Response, length: u64) -> Result<(), AttemptOutcome> {
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

// Gives the answer to the caller's task and moves its body; the connection can
// be used again only when the whole answer was read from it.
async fn deliver(answer: Answer, reply: Sender<Result<Response, Failure>>) -> bool {
    let mut response = answer.response;
    if answer.framing == Framing::Length(0) {
        return reply.send(Ok(response)).await.is_ok() && answer.reusable;
    }
    let body = response.take_body();
    let (chunks, arriving) = body::ring();
    response.set_body(Body::from_reader(body::reader(arriving), body.len()));
    if reply.send(Ok(response)).await.is_err() {
        return false;
    }
    let pumped = future::timeout(BODY_TIME, body::pump(body, answer.framing, &chunks)).await;
    matches!(pumped, Ok(Ok(()))) && answer.reusable
}

async fn fail(
    reply: &Sender<Result<Response, Failure>>,
    outcome: AttemptOutcome,
    payload: Payload,
) {
    // A closed ring means that the caller is gone, and nobody waits.
    let _ = reply.send(Err(Failure { outcome, payload })).await;
}

// Waits until the caller's task no longer wants the answer.
async fn abandoned(reply: &Sender<Result<Response, Failure>>) -> Result<Answer, AttemptOutcome> {
    reply.closed().await;
    Err(AttemptOutcome::Broken)
}
