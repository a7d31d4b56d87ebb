//! One attempt: sends a request to a backend server and reads the answer.
//!
//! The attempt uses a pooled connection or opens a new one. Its outcome and the
//! answer, if there is one, go to the decision duty. A cancelled attempt drops its
//! connection and has no outcome; cancelled in the ring or while it connects, it writes
//! nothing. A connection returns to the pool only after the
//! whole request has been sent on it, which may be after the answer.
//!
//! An attempt is logged with what it wrote and read if what it read is no answer, and, for a
//! request that must not run twice, unless a plain answer ended it.

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_channel::Sender;
use async_std::future;
use async_std::net::TcpStream;
use corianderway_platform::front::ResponseHead;
use corianderway_steer::is_refusing;
use corianderway_steer::Event;
use corianderway_steer::Note;
use corianderway_steer::Outcome;
use corianderway_steer::ServerNotice;
use corianderway_steer::Severity;
use corianderway_wire::head::Framing;
use futures_lite::future::poll_once;
use futures_lite::future::FutureExt as _;
use futures_lite::AsyncWriteExt as _;

use crate::clock::Clock;
use crate::descriptors;
use crate::edge::backend_connection::Connection;
use crate::edge::body;
use crate::edge::body_memory::Reservation;
use crate::edge::rings::Answer;
use crate::edge::rings::Input;
use crate::edge::rings::Job;
use crate::ending;
use crate::ending::Sent;
use crate::message_reader;
use crate::message_reader::HeadFailure;
use crate::pool::Pool;
use crate::slots::Slot;
use crate::slots::Slots;

/// The timeout for opening a connection.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// How long an idle connection is kept if its backend server doesn't say.
const DEFAULT_KEEP_TIME: Duration = Duration::from_secs(4);

/// How much earlier than its backend server an idle connection is closed, so that
/// no request is sent while the backend server closes it.
const KEEP_MARGIN: Duration = Duration::from_millis(1_200);

/// The maximum idle time of a connection on which a request is sent that must not
/// run twice. The backend server may have closed an older one unnoticed, and then
/// it is unknown whether the request ran.
const MAX_IDLE_ONCE: Duration = Duration::from_secs(2);

/// The timeout for sending the rest of a request after its answer.
const REST_TIMEOUT: Duration = Duration::from_secs(2);

/// The maximum size of that rest, in bytes. The memory for bodies is for callers that
/// still wait for their answers.
const MAX_REST_BYTES: usize = 1024 * 1024;

/// The lowest HTTP status that counts as a failure of the backend server.
const ERROR_STATUS: u16 = 500;

/// The end of an attempt that isn't logged.
const PLAIN_ANSWER: &str = "answered";

/// The maximum size of an answer's head.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// The maximum number of heads that are read for one answer, including interim
/// responses and late answers to earlier requests.
const MAX_HEADS: usize = 16;

/// The maximum size of an answer's body of unknown length, which may have no end. The memory
/// for bodies limits the others.
const MAX_UNSIZED_BODY_BYTES: u64 = 16 * 1024 * 1024;

/// The connections to backend servers.
#[derive(Debug)]
pub struct Connections {
    /// Those that are idle.
    pub idle: RefCell<Pool<Connection>>,
    /// The bound on all of them.
    pub slots: Slots,
}

// What an attempt can use.
enum Room {
    Idle(Connection),
    // For a new connection.
    Slot(Slot),
}

/// Why a connection can't be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectError {
    /// A resource of this machine is missing, which says nothing of the backend server.
    Local,
    /// The backend server refused, or didn't answer in time.
    Unreachable,
}

/// An answered exchange whose connection may be used again.
struct Reusable {
    connection: Connection,
    request: Vec<u8>,
    // The number of bytes of the request that have been sent.
    sent: usize,
    // How long the connection may be kept idle.
    keep: Duration,
}

/// What an attempt comes to.
struct Ended {
    outcome: Outcome,
    answer: Option<Answer>,
    // What the backend server says of itself with its answer.
    notices: Vec<ServerNotice>,
    reusable: Option<Reusable>,
}

impl From<Outcome> for Ended {
    /// Creates the end of an attempt without an answer.
    fn from(outcome: Outcome) -> Self {
        Self {
            outcome,
            answer: None,
            notices: Vec::new(),
            reusable: None,
        }
    }
}

/// What an attempt has written and read so far.
#[derive(Debug, Default)]
struct Progress {
    // Whether the connection was opened for this attempt, once there is one.
    is_new: Cell<Option<bool>>,
    // The length of the request in bytes, once it is written.
    length: Cell<usize>,
    // The number of bytes of the request that have been sent.
    sent: Cell<usize>,
    // The number of answers to earlier requests.
    skipped: Cell<u32>,
    // The status of the answer.
    status: Cell<Option<u16>>,
    // Why what was read is no answer.
    fault: Cell<Option<&'static str>>,
}

impl Progress {
    fn sent(&self) -> Sent {
        let bytes = self.sent.get();
        Sent {
            bytes,
            is_whole: bytes == self.length.get(),
        }
    }

    // Creates the log line of an attempt that ended in this way.
    fn note(&self, job: &Job, end: &'static str) -> Note {
        let connection = match self.is_new.get() {
            None => "none",
            Some(true) => "new",
            Some(false) => "kept",
        };
        let status = self.status.get();
        Note::new(Severity::Notable, "exchange")
            .for_request(job.outbound.trace())
            .with("server", &job.server)
            .with("end", end)
            .with("connection", connection)
            .with("sent", self.sent.get())
            .with("length", self.length.get())
            .with("skipped", self.skipped.get())
            .with("status", status.map_or("-".to_owned(), |s| s.to_string()))
            .with("fault", self.fault.get().unwrap_or("-"))
    }
}

/// Runs one job and sends its outcome to the decision duty.
pub async fn run(
    job: Job,
    clock: Clock,
    connections: Rc<Connections>,
    reservation: Reservation,
    decisions: Sender<Input>,
) {
    let mut rest = reservation.sibling();
    let cancelled = async {
        // Ends when the decision duty drops the sender.
        let _ = job.cancelled.recv().await;
        None
    };
    let progress = Progress::default();
    let attempt = async { Some(attempt(&job, clock, &connections, reservation, &progress).await) };
    // The cancellation is polled first, so that nothing is written after it.
    let ended = cancelled.or(attempt).await;
    let end = end_name(ended.as_ref());
    let has_fault = progress.fault.get().is_some();
    if has_fault || (job.once && end != PLAIN_ANSWER) {
        // Sending fails only at process end, since the decision duty ends last.
        drop(decisions.send(Input::Note(progress.note(&job, end))).await);
    }
    let Some(ended) = ended else {
        return;
    };
    let Ended {
        outcome,
        answer,
        notices,
        reusable,
    } = ended;
    // Sent before the answer, so that they are in force when it is passed on.
    for notice in notices {
        let event = Event::ServerNotice { id: job.id, notice };
        drop(decisions.send(Input::Event(event)).await);
    }
    // Sending fails only at process end, since the decision duty ends last.
    let input = Input::Attempted(job.id, outcome, answer);
    drop(decisions.send(input).await);
    if let Some(reusable) = reusable {
        // The caller's reservation for the request ends with its answer.
        let unsent = reusable.request.len() - reusable.sent;
        if unsent == 0 || (unsent <= MAX_REST_BYTES && rest.grow_to(unsent)) {
            reusable.finish(job.addr, &connections).await;
        }
    }
}

// Names the end of an attempt for the log; `None` is a cancelled one.
fn end_name(ended: Option<&Ended>) -> &'static str {
    match ended.map(|ended| ended.outcome) {
        None => "cancelled",
        Some(Outcome::Answered { status, .. }) if is_refusing(status) => "ambiguous",
        Some(Outcome::Answered { status, .. }) if status < ERROR_STATUS => PLAIN_ANSWER,
        Some(Outcome::Answered { .. }) => "failed",
        Some(Outcome::Full { .. }) => "rejected",
        Some(Outcome::Misdirected) => "misdirected",
        Some(Outcome::Unreachable) => "unreachable",
        Some(Outcome::NotSent) => "not-sent",
        Some(Outcome::Outdated) => "outdated",
        Some(Outcome::Broken) => "broken",
        Some(Outcome::TimedOut) => "timed-out",
    }
}

async fn attempt(
    job: &Job,
    clock: Clock,
    connections: &Connections,
    reservation: Reservation,
    progress: &Progress,
) -> Ended {
    let mut connection = match open(job, clock, connections).await {
        Ok(opened) => opened,
        Err(outcome) => return outcome.into(),
    };
    // Checked right before sending, so that a process that was paused until after
    // the deadline sends nothing.
    let left = clock.until(job.deadline);
    if left.is_zero() {
        return Outcome::NotSent.into();
    }
    if job.recalled.load(Ordering::Acquire) || clock.until(job.begin_by).is_zero() {
        return Outcome::Outdated.into();
    }
    let request = job.outbound.write(&job.server, job.account.as_ref(), left);
    progress.is_new.set(Some(connection.is_new()));
    progress.length.set(request.len());
    let sending = async {
        // The write may fail after an early answer, which is read all the same; `read_answer`
        // notices a reset.
        drop(send(&connection.stream, &request, &progress.sent).await);
        std::future::pending().await
    };
    let answer = read_answer(&connection.stream, job, progress, reservation);
    // A backend server may answer before it has read the whole request.
    let Some((answer, keep)) = answer.or(sending).await else {
        return Outcome::Broken.into();
    };
    let sent = progress.sent.get();
    connection.record_answered(job.outbound.trace());
    let reusable = keep.map(|keep| Reusable {
        connection,
        request,
        sent,
        keep,
    });
    let load = answer.head.load;
    // The status alone proves nothing of a request that must not run twice.
    let elsewhere = answer.head.misdirected && !job.once;
    let elsewhere = elsewhere || answer.head.is_elsewhere(&job.server);
    let (outcome, answer, notices) = if elsewhere {
        // Another server says nothing of the one that was meant.
        (Outcome::Misdirected, None, Vec::new())
    } else if answer.head.not_run {
        (Outcome::Full { load }, None, answer.head.notices)
    } else {
        let (status, notices) = (answer.head.status, answer.head.notices.clone());
        (Outcome::Answered { status, load }, Some(answer), notices)
    };
    Ended {
        outcome,
        answer,
        notices,
        reusable,
    }
}

impl Reusable {
    // Sends the rest of the request and returns the connection to the pool. Closes
    // it if that fails: whatever followed an incomplete request would be read as
    // the rest of its body.
    async fn finish(mut self, addr: SocketAddr, connections: &Connections) {
        let unsent = self.request.split_off(self.sent);
        // Frees the memory of what was sent.
        self.request = Vec::new();
        if !unsent.is_empty() {
            let sent = Cell::new(0);
            let rest = send(&self.connection.stream, &unsent, &sent);
            if !matches!(future::timeout(REST_TIMEOUT, rest).await, Ok(Ok(()))) {
                return;
            }
        }
        let mut idle = connections.idle.borrow_mut();
        idle.put_for(addr, self.connection, self.keep);
        connections.slots.notify();
    }
}

// Takes a connection from the pool or opens one.
async fn open(job: &Job, clock: Clock, connections: &Connections) -> Result<Connection, Outcome> {
    let max_idle = if job.once {
        MAX_IDLE_ONCE
    } else {
        Duration::MAX
    };
    let room = match connections.find(job, max_idle).await {
        Some(room) => room,
        None => connections.wait(job, clock, max_idle).await?,
    };
    let slot = match room {
        Room::Idle(connection) => return Ok(connection),
        Room::Slot(slot) => slot,
    };
    let limit = CONNECT_TIMEOUT.min(clock.until(job.deadline));
    let stream = connect(job.addr, limit)
        .await
        .map_err(|error| match error {
            ConnectError::Local => Outcome::NotSent,
            ConnectError::Unreachable => Outcome::Unreachable,
        })?;
    // Otherwise Nagle's algorithm delays small requests until earlier data is
    // acknowledged.
    stream
        .set_nodelay(true)
        .map_err(|_broken| Outcome::Unreachable)?;
    Ok(Connection::new(stream, slot))
}

/// Opens a connection within a timeout.
///
/// # Errors
///
/// Fails if a resource is missing here, or if the backend server can't be reached.
pub(super) async fn connect(
    addr: SocketAddr,
    timeout: Duration,
) -> Result<TcpStream, ConnectError> {
    let connected = future::timeout(timeout, TcpStream::connect(addr)).await;
    match connected {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(error)) if descriptors::is_local(&error) => Err(ConnectError::Local),
        Ok(Err(_)) | Err(_) => Err(ConnectError::Unreachable),
    }
}

impl Connections {
    // Takes a slot for a new connection, if there is one; an idle connection makes room.
    fn take_slot(&self) -> Option<Slot> {
        let free = self.slots.take();
        free.or_else(|| {
            let is_closed = self.idle.borrow_mut().close_oldest();
            is_closed.then(|| self.slots.take()).flatten()
        })
    }

    /// Waits this long for a slot for a new connection.
    pub(super) async fn wait_slot(&self, timeout: Duration) -> Option<Slot> {
        let freed = async {
            loop {
                if let Some(slot) = self.take_slot() {
                    return slot;
                }
                self.slots.changed().await;
            }
        };
        let slot = future::timeout(timeout, freed).await.ok()?;
        // What was freed at the same time has woken one attempt only.
        self.slots.notify();
        Some(slot)
    }

    // Finds an idle connection to the job's server, or a slot for a new one.
    async fn find(&self, job: &Job, max_idle: Duration) -> Option<Room> {
        while let Some(connection) = take(&self.idle, job, max_idle) {
            if is_usable(&connection.stream).await {
                return Some(Room::Idle(connection));
            }
        }
        self.take_slot().map(Room::Slot)
    }

    // Waits for what `find` finds, until the choice of the backend server is outdated.
    async fn wait(&self, job: &Job, clock: Clock, max_idle: Duration) -> Result<Room, Outcome> {
        let left = clock.until(job.deadline);
        let valid = clock.until(job.begin_by);
        let found = async {
            loop {
                self.slots.changed().await;
                if let Some(room) = self.find(job, max_idle).await {
                    return room;
                }
            }
        };
        match future::timeout(left.min(valid), found).await {
            Ok(room) => {
                // What was freed at the same time has woken one attempt only.
                self.slots.notify();
                Ok(room)
            }
            Err(_elapsed) if valid < left => Err(Outcome::Outdated),
            Err(_elapsed) => Err(Outcome::NotSent),
        }
    }
}

// A function of its own, so that the borrow ends before the caller awaits.
fn take(pool: &RefCell<Pool<Connection>>, job: &Job, max_idle: Duration) -> Option<Connection> {
    let id = job.outbound.trace();
    // Without an id its answer can't be told from one to an earlier request.
    if id.is_empty() {
        return None;
    }
    pool.borrow_mut()
        .take_if(job.addr, max_idle, |idle| !idle.has_answered(id))
}

// An idle connection that is readable was closed, or holds unrequested bytes.
async fn is_usable(stream: &TcpStream) -> bool {
    let mut byte = [0];
    poll_once(stream.peek(&mut byte)).await.is_none()
}

// Sends the bytes of the request that follow the first `sent`, and counts them.
async fn send(mut stream: &TcpStream, request: &[u8], sent: &Cell<usize>) -> io::Result<()> {
    while sent.get() < request.len() {
        match stream.write(&request[sent.get()..]).await? {
            0 => return Err(io::ErrorKind::WriteZero.into()),
            count => sent.set(sent.get() + count),
        }
    }
    Ok(())
}

// Reads the answer to the job's request. Also returns how long the connection may
// be kept idle, if at all. Returns `None` if the connection breaks or the answer
// can't be matched to the request.
async fn read_answer(
    stream: &TcpStream,
    job: &Job,
    progress: &Progress,
    mut reservation: Reservation,
) -> Option<(Answer, Option<Duration>)> {
    let bodiless = job.outbound.is_bodiless();
    let is_new = progress.is_new.get() == Some(true);
    let mut ahead = Vec::new();
    let mut skipped_late = false;
    for _ in 0..MAX_HEADS {
        let head = message_reader::read_response_head(stream, &mut ahead, MAX_HEAD_BYTES).await;
        let head = head
            .and_then(|bytes| ResponseHead::read(&bytes, bodiless).map_err(HeadFailure::Refused));
        let head = match head {
            Ok(head) => head,
            Err(HeadFailure::Closed) => return None,
            Err(HeadFailure::Refused(error)) => {
                progress.fault.set(Some(error.detail()));
                return None;
            }
        };
        if head.status < 200 {
            continue;
        }
        let max_bytes = match head.framing {
            Framing::Length(_) => u64::MAX,
            Framing::Chunked | Framing::Close => MAX_UNSIZED_BODY_BYTES,
        };
        let framing = head.framing;
        let body = body::read(stream, &mut ahead, framing, max_bytes, &mut reservation).await;
        let body = body.ok()?;
        let named = head.trace.as_ref();
        let other = named.is_some_and(|trace| trace != job.outbound.trace());
        // A late answer to an earlier request; the wanted one follows it.
        if other && head.framing != Framing::Close {
            skipped_late = true;
            progress.skipped.set(progress.skipped.get() + 1);
            continue;
        }
        progress.status.set(Some(head.status));
        if other {
            return None;
        }
        // Servers echo the id. Only the answer to a request without one bears none, which is
        // the first on its connection.
        let is_first = is_new && !skipped_late && job.outbound.trace().is_empty();
        if named.is_none() && !is_first {
            progress.fault.set(Some("no request id"));
            return None;
        }
        if head.is_unsigned_success() {
            progress.fault.set(Some("success without a signature"));
            return None;
        }
        let sent = || progress.sent();
        if head.framing == Framing::Close && !ending::is_orderly(stream, sent).await {
            progress.fault.set(Some("no orderly end"));
            return None;
        }
        let server_keeps = head.keep_alive.unwrap_or(DEFAULT_KEEP_TIME + KEEP_MARGIN);
        let keep = server_keeps.saturating_sub(KEEP_MARGIN);
        let reusable =
            !head.closes && head.framing != Framing::Close && ahead.is_empty() && !skipped_late;
        let keep = (reusable && !keep.is_zero()).then_some(keep);
        return Some((
            Answer {
                head,
                body,
                reservation,
            },
            keep,
        ));
    }
    None
}
