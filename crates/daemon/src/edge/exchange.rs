//! One request sent to one backend server, and its answer.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Sender;
use async_std::future;
use async_std::net::TcpStream;
use corianderway_platform::front::ResponseHead;
use corianderway_steer::Outcome;
use corianderway_wire::head::Framing;
use futures_lite::future::poll_once;
use futures_lite::future::FutureExt as _;
use futures_lite::AsyncWriteExt as _;

use crate::clock::Clock;
use crate::edge::body;
use crate::edge::rings::Answer;
use crate::edge::rings::Input;
use crate::edge::rings::Job;
use crate::edge::room::Place;
use crate::feed;
use crate::pool::Pool;

/// The longest time to make a connection.
const CONNECT: Duration = Duration::from_millis(600);

/// How long a connection is kept idle, where its server does not say.
const KEEP: Duration = Duration::from_secs(4);

/// How much earlier than its server a connection is given up, so that the two
/// ends don't cross.
const KEEP_MARGIN: Duration = Duration::from_millis(1_200);

/// The longest idle time after which a request that may run once only is sent
/// on a connection: a server may have closed an older one unseen, which would
/// leave open whether the request ran.
const KEEP_ONCE: Duration = Duration::from_secs(2);

/// The longest head of an answer, in bytes.
const HEAD_BYTES: usize = 64 * 1024;

/// The most heads before an answer: interim ones, and those of answers to
/// earlier requests.
const HEADS: usize = 16;

/// The longest body of an answer, in bytes.
const BODY_BYTES: u64 = 16 * 1024 * 1024;

/// Runs one job and tells the decision duty how it ended.
pub async fn run(
    job: Job,
    clock: Clock,
    pool: Rc<RefCell<Pool>>,
    place: Place,
    decisions: Sender<Input>,
) {
    let stopped = async {
        // Ends when the decision duty drops the other end.
        let _ = job.stopped.recv().await;
        None
    };
    let attempt = async { Some(attempt(&job, clock, &pool, place).await) };
    let Some((outcome, answer)) = attempt.or(stopped).await else {
        return;
    };
    // The decision duty ends last; when it is gone, so is the process.
    let input = Input::Attempted(job.id, outcome, answer);
    drop(decisions.send(input).await);
}

async fn attempt(
    job: &Job,
    clock: Clock,
    pool: &RefCell<Pool>,
    place: Place,
) -> (Outcome, Option<Answer>) {
    let (stream, fresh) = match open(job, clock, pool).await {
        Ok(opened) => opened,
        Err(outcome) => return (outcome, None),
    };
    // Checked last, so that a process that was paused on the way sends nothing.
    let left = clock.until(job.deadline);
    if left.is_zero() {
        return (Outcome::NotSent, None);
    }
    let bytes = job.outbound.write(&job.server, job.account.as_ref(), left);
    let sending = send(&stream, &bytes);
    let answer = read_answer(&stream, job, fresh, place);
    // A server may answer before it has read the whole request.
    let Some((answer, keep)) = answer.or(sending).await else {
        return (Outcome::Broken, None);
    };
    if let Some(keep) = keep {
        pool.borrow_mut().put_for(job.addr, stream, keep);
    }
    let load = answer.head.load;
    if answer.head.misdirected {
        return (Outcome::Misdirected, None);
    }
    if answer.head.not_run {
        return (Outcome::Full { load }, None);
    }
    let status = answer.head.status;
    (Outcome::Answered { status, load }, Some(answer))
}

async fn open(job: &Job, clock: Clock, pool: &RefCell<Pool>) -> Result<(TcpStream, bool), Outcome> {
    let most = if job.once { KEEP_ONCE } else { Duration::MAX };
    while let Some(stream) = take(pool, job.addr, most) {
        if is_silent(&stream).await {
            return Ok((stream, false));
        }
    }
    let limit = CONNECT.min(clock.until(job.deadline));
    let connected = future::timeout(limit, TcpStream::connect(job.addr)).await;
    let Ok(Ok(stream)) = connected else {
        return Err(Outcome::Unreachable);
    };
    // Small requests would wait for delayed acknowledgements otherwise.
    stream
        .set_nodelay(true)
        .map_err(|_broken| Outcome::Unreachable)?;
    Ok((stream, true))
}

// The borrow ends here, before the caller awaits anything.
fn take(pool: &RefCell<Pool>, addr: SocketAddr, most: Duration) -> Option<TcpStream> {
    pool.borrow_mut().take_within(addr, most)
}

// A connection that can be read was closed, or holds bytes that nobody asked for.
async fn is_silent(stream: &TcpStream) -> bool {
    let mut byte = [0];
    poll_once(stream.peek(&mut byte)).await.is_none()
}

// Sends the request; never ends once it is sent, since the answer decides.
async fn send(mut stream: &TcpStream, bytes: &[u8]) -> Option<(Answer, Option<Duration>)> {
    // A server that answered early may take no more; its answer is read.
    let _ = stream.write_all(bytes).await;
    std::future::pending().await
}

// Reads the answer to the job's request, and how long the connection may be
// kept afterwards; none if the connection broke or brought something else.
async fn read_answer(
    stream: &TcpStream,
    job: &Job,
    fresh: bool,
    mut place: Place,
) -> Option<(Answer, Option<Duration>)> {
    let bodiless = job.outbound.is_bodiless();
    let mut carry = Vec::new();
    let mut stray = false;
    for _ in 0..HEADS {
        let head = feed::read_head_within(stream, &mut carry, HEAD_BYTES).await;
        let head = ResponseHead::read(&head.ok()?, bodiless).ok()?;
        if head.status < 200 {
            continue;
        }
        let body = body::read(stream, &mut carry, head.framing, BODY_BYTES, &mut place).await;
        let body = body.ok()?;
        let named = head.trace.as_ref();
        let other = named.is_some_and(|trace| trace != job.outbound.trace());
        // An answer to an earlier request that came late; ours follows it.
        if other && head.framing != Framing::Close {
            stray = true;
            continue;
        }
        if other || (named.is_none() && (!fresh || stray)) {
            return None;
        }
        let keeps = head.keep_alive.unwrap_or(KEEP + KEEP_MARGIN);
        let keep = keeps.saturating_sub(KEEP_MARGIN);
        let kept = !head.closes && head.framing != Framing::Close && carry.is_empty() && !stray;
        let keep = (kept && !keep.is_zero()).then_some(keep);
        return Some((Answer { head, body, place }, keep));
    }
    None
}
