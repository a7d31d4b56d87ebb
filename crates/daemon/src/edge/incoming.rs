//! Reads callers' requests from a connection.

use std::time::Duration;
use std::time::Instant;

use async_std::future;
use async_std::net::TcpStream;
use corianderway_model::Replay;
use corianderway_platform::front::RequestHead;
use corianderway_steer::ExchangeKind;
use corianderway_wire::head::Framing;
use corianderway_wire::head::HeadError;

use crate::edge::body;
use crate::edge::body::BodyError;
use crate::edge::body_memory::Reservation;
use crate::edge::callers::Context;
use crate::edge::callers::RequestGuard;
use crate::edge::outgoing;
use crate::message_reader;
use crate::message_reader::HeadFailure;

/// The maximum time for receiving a request's body. The caller's own limit and the
/// route's timeout hold for it as well.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// The status for a request that arrived too slowly; nothing ran.
const TOO_SLOW: u16 = 408;

/// The status for a body that is too large.
const TOO_LARGE: u16 = 413;

/// The status for a body that does not fit into memory at present.
const UNAVAILABLE: u16 = 503;

/// The mean retry delay given to a caller whose request's body did not fit into memory. It is
/// spread, so that callers don't come back at once.
const MEMORY_RETRY_DELAY: Duration = Duration::from_millis(600);

/// The mean retry delay given to a caller for whose connection there is no room, spread like
/// that for memory.
const CROWDED_RETRY_DELAY: Duration = Duration::from_millis(500);

/// The interim response to a request with `Expect: 100-continue`.
const CONTINUE_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// What comes next on a connection.
#[derive(Debug)]
pub enum Incoming<'a> {
    /// A whole request.
    Request(Request<'a>),
    /// A request whose caller sends the body only after an interim response. That must not
    /// come between the answers to other requests.
    Paused(Request<'a>),
    /// A request that can't be read whole.
    Unreadable(Unreadable, RequestGuard<'a>),
    /// The end of the connection.
    Ended,
}

/// A caller's request, with the body once it is read.
#[derive(Debug)]
pub struct Request<'a> {
    /// The head and the body.
    pub head: RequestHead,
    /// The memory reserved for the body.
    pub reservation: Reservation,
    /// What may be done with it while others are ahead of it.
    pub kind: ExchangeKind,
    // When its head was complete; `None` if it begins at that moment.
    arrived: Option<Instant>,
    // The maximum time to the answer, if the caller or the route sets one.
    allowed: Option<Duration>,
    head_bytes: usize,
    /// Counts the request as active.
    pub active: RequestGuard<'a>,
}

/// The refusal of a request that was not read whole; nothing ran.
#[derive(Debug)]
pub struct Unreadable {
    /// The HTTP status.
    pub status: u16,
    /// The reason, for programs.
    pub code: &'static str,
    /// The reason, for people.
    pub detail: String,
    /// The delay after which the caller should retry.
    pub retry_after: Option<Duration>,
}

impl Request<'_> {
    /// Returns the size of the head and the body, in bytes.
    pub fn bytes(&self) -> usize {
        self.head_bytes + self.head.outbound.body.len()
    }

    /// Returns the time that is left until the answer is due, if the caller or the route
    /// limits it.
    pub fn time_left(&self) -> Option<Duration> {
        let waited = self.arrived.map_or(Duration::ZERO, |at| at.elapsed());
        self.allowed.map(|allowed| allowed.saturating_sub(waited))
    }
}

/// Reads the next request. `ahead` holds bytes that were read beyond the previous one; they
/// may be the start of this one. `is_first` is set if no other request is open.
pub async fn read<'a>(
    stream: &TcpStream,
    ctx: &'a Context,
    ahead: &mut Vec<u8>,
    is_first: bool,
) -> Incoming<'a> {
    let limits = ctx.limits.get();
    let active = ctx.begin_request();
    let read = message_reader::read_head_within(stream, ahead, limits.head_bytes);
    let bytes = match future::timeout(limits.head_timeout, read).await {
        Ok(Ok(bytes)) => bytes,
        Ok(Err(HeadFailure::Refused(error))) => {
            return Incoming::Unreadable(Unreadable::head(&error), active)
        }
        Ok(Err(HeadFailure::Closed)) => return Incoming::Ended,
        Err(_elapsed) => return Incoming::Unreadable(Unreadable::late("head-late"), active),
    };
    let head = match RequestHead::read(&bytes, ctx.ids.next()) {
        Ok(head) => head,
        Err(error) => return Incoming::Unreadable(Unreadable::head(&error), active),
    };
    let terms = ctx.limits.route(&head.query.host, &head.query.path);
    let allowed = [head.query.time_limit, terms.and_then(|terms| terms.timeout)];
    let kind = match terms.map(|terms| terms.replay) {
        Some(Replay::Idempotent) => ExchangeKind::Idempotent,
        Some(Replay::Once | Replay::Deduplicated) | None => ExchangeKind::Once,
    };
    let begins = is_first && head.framing == Framing::Length(0);
    let request = Request {
        kind,
        reservation: ctx.body_memory.reservation(),
        arrived: (!begins).then(Instant::now),
        allowed: allowed.into_iter().flatten().min(),
        head_bytes: bytes.len(),
        head,
        active,
    };
    if request.head.expects_continue && ahead.is_empty() && !is_first {
        return Incoming::Paused(request);
    }
    read_body(stream, ctx, ahead, request).await
}

/// Reads the body of a request, and asks for it if the caller waits for that. `ahead` is as
/// for [`read`].
pub async fn read_body<'a>(
    stream: &TcpStream,
    ctx: &'a Context,
    ahead: &mut Vec<u8>,
    mut request: Request<'a>,
) -> Incoming<'a> {
    let asks = request.head.expects_continue && ahead.is_empty();
    if asks && outgoing::write(stream, CONTINUE_RESPONSE).await.is_err() {
        return Incoming::Ended;
    }
    let timeout = request.time_left().unwrap_or(BODY_TIMEOUT);
    let max_bytes = ctx.limits.get().body_bytes;
    let (framing, reservation) = (request.head.framing, &mut request.reservation);
    let read = body::read(stream, ahead, framing, max_bytes, reservation);
    let unreadable = match future::timeout(timeout.min(BODY_TIMEOUT), read).await {
        Ok(Ok(body)) => {
            request.head.set_body(body);
            return Incoming::Request(request);
        }
        Ok(Err(BodyError::Cut)) => return Incoming::Ended,
        Ok(Err(BodyError::TooLarge)) => Unreadable::not_whole(TOO_LARGE, "body-large", None),
        Ok(Err(BodyError::NoMemory)) => {
            let delay = MEMORY_RETRY_DELAY.mul_f64(0.5 + rand::random::<f64>());
            Unreadable::not_whole(UNAVAILABLE, "no-room", Some(delay))
        }
        Ok(Err(BodyError::Malformed)) => {
            let detail = "chunks";
            Unreadable::head(&HeadError::Malformed { detail })
        }
        Err(_elapsed) => Unreadable::late("body-late"),
    };
    Incoming::Unreadable(unreadable, request.active)
}

impl Unreadable {
    fn head(error: &HeadError) -> Self {
        Self {
            status: error.status(),
            code: "bad-head",
            detail: error.to_string(),
            retry_after: None,
        }
    }

    /// Creates the refusal of a request on a connection for which there is no room.
    pub fn crowded() -> Self {
        let delay = CROWDED_RETRY_DELAY.mul_f64(0.5 + rand::random::<f64>());
        Self {
            status: UNAVAILABLE,
            code: "crowded",
            detail: "too many connections are open".to_owned(),
            retry_after: Some(delay),
        }
    }

    fn late(code: &'static str) -> Self {
        Self::not_whole(TOO_SLOW, code, None)
    }

    fn not_whole(status: u16, code: &'static str, retry_after: Option<Duration>) -> Self {
        Self {
            status,
            code,
            detail: "the request was not read whole".to_owned(),
            retry_after,
        }
    }
}
