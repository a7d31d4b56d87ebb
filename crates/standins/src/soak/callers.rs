//! Callers that send requests throughout a run, each on a persistent connection.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::PoisonError;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use rand::rngs::SmallRng;
use rand::Rng as _;
use rand::SeedableRng as _;

use crate::estate::node;
use crate::harness::Client;
use crate::harness::Error;
use crate::harness::Reply;
use crate::harness::Request;
use crate::soak::history::Call;
use crate::soak::history::End;
use crate::soak::history::Kind;
use crate::soak::world::Shared;
use crate::soak::world::World;
use crate::soak::world::LIMITED_KEY;
use crate::soak::world::MAX_BODY_BYTES;
use crate::soak::world::UNLIMITED_KEY;
use crate::soak::Options;

/// The range of the pause between two requests of a caller, in milliseconds.
const REQUEST_GAP_MS: std::ops::Range<u64> = 20..120;

/// The timeout of a read without new bytes.
const READ_TIMEOUT: Duration = Duration::from_secs(6);

/// The `Deadline-Ms` header of most requests, and the range of that of the others.
const DEADLINE_MS: u64 = 3_000;
const SHORT_DEADLINE_MS: std::ops::Range<u64> = 20..1_000;

/// The probability that a write has a short deadline.
const SHORT_DEADLINE_PROBABILITY: f64 = 0.2;

/// The probability that a caller reconnects to a random instance without a failure.
const RECONNECT_PROBABILITY: f64 = 0.02;

/// The probabilities that a write is sent in pieces, and that a caller leaves before it has
/// a response.
const PIECES_PROBABILITY: f64 = 0.2;
const LEAVE_PROBABILITY: f64 = 0.05;

/// The probability that a write in pieces is sent in chunks, and the header that says so.
const CHUNKED_PROBABILITY: f64 = 0.5;
const CHUNKED: (&str, &str) = ("transfer-encoding", "chunked");

/// The number of pieces of a body, and the pause before each, in milliseconds.
const PIECES: std::ops::RangeInclusive<usize> = 2..=5;
const PIECE_GAP_MS: std::ops::Range<u64> = 1..60;

/// The range of the time after which a caller leaves, in milliseconds.
const LEAVE_AFTER_MS: std::ops::Range<u64> = 0..400;

/// The probability that a caller sends further idempotent requests behind one that it sends
/// whole, and their number.
const PIPELINE_PROBABILITY: f64 = 0.2;
const FOLLOWERS: std::ops::RangeInclusive<usize> = 1..=3;

/// The number of affinity keys.
const AFFINITY_KEYS: u32 = 40;

/// The callers of a run.
pub(super) struct Callers {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

impl Callers {
    /// Stops every caller after its current request and waits for it.
    pub(super) fn stop(self) {
        self.shared.stopped.store(true, Ordering::Release);
        for thread in self.threads {
            // A caller that panicked recorded no further calls; the checks still run.
            drop(thread.join());
        }
    }
}

/// Starts the callers; every fourth one uses the rate-limited account.
pub(super) fn start(world: &World, options: &Options) -> Callers {
    let mut threads = Vec::new();
    for number in 0..options.callers {
        let shared = Arc::clone(&world.shared);
        let seed = options.seed ^ (number as u64 + 1).wrapping_mul(0x9e37_79b9);
        let is_limited = number % 4 == 3;
        threads.push(thread::spawn(move || {
            run_caller(&shared, seed, number, is_limited);
        }));
    }
    Callers {
        shared: Arc::clone(&world.shared),
        threads,
    }
}

fn run_caller(shared: &Shared, seed: u64, caller: usize, is_limited: bool) {
    let mut rng = SmallRng::seed_from_u64(seed);
    // How requests are sent has random numbers of its own, so that what is sent stays.
    let mut habits = SmallRng::seed_from_u64(!seed);
    let mut pipelines = SmallRng::seed_from_u64(seed.rotate_left(u64::BITS / 2));
    let mut open: Option<(usize, u32, Client)> = None;
    let mut count = 0;
    while !shared.stopped.load(Ordering::Acquire) {
        thread::sleep(Duration::from_millis(rng.random_range(REQUEST_GAP_MS)));
        if open.is_none() || rng.random_bool(RECONNECT_PROBABILITY) {
            let node = rng.random_range(0..shared.fronts.len());
            let run = shared.runs[node].load(Ordering::Acquire);
            let client = Client::connect(shared.fronts[node]).ok();
            open = client.map(|client| (node, run, client));
        }
        let Some((node, run, client)) = open.as_mut() else {
            continue;
        };
        count += 1;
        let id = format!("c{caller}-{count}");
        let followers = if pipelines.random_bool(PIPELINE_PROBABILITY) {
            pipelines.random_range(FOLLOWERS)
        } else {
            0
        };
        let draws = (&mut rng, &mut habits);
        let (calls, kept) = send_requests(shared, draws, client, &id, is_limited, followers);
        let (node, run) = (*node, *run);
        for call in calls {
            shared.record(Call { node, run, ..call });
        }
        if !kept {
            open = None;
        }
    }
}

// Sends one request, and this many others behind it if it is sent whole; returns them and
// whether the connection stays open.
fn send_requests(
    shared: &Shared,
    (rng, habits): (&mut SmallRng, &mut SmallRng),
    client: &mut Client,
    id: &str,
    is_limited: bool,
    followers: usize,
) -> (Vec<Call>, bool) {
    let kind = match (is_limited, rng.random_range(0..4)) {
        (true, _) => Kind::Limited,
        (false, 0) => Kind::Write,
        (false, 1) => Kind::Moved,
        (false, _) => Kind::Read,
    };
    let (method, path) = match kind {
        Kind::Read => ("GET", "/read/1"),
        Kind::Write => ("POST", "/write/1"),
        Kind::Moved => ("GET", "/moved/1"),
        Kind::Limited => ("GET", "/limited/1"),
    };
    let key = match kind {
        Kind::Limited => LIMITED_KEY.to_owned(),
        Kind::Read if rng.random_bool(0.5) => shared
            .key
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone(),
        Kind::Read | Kind::Write | Kind::Moved => UNLIMITED_KEY.to_owned(),
    };
    let cookie = format!("Affinity-Key={}", rng.random_range(0..AFFINITY_KEYS));
    let is_hurried = kind == Kind::Write && habits.random_bool(SHORT_DEADLINE_PROBABILITY);
    let deadline_ms = if is_hurried {
        habits.random_range(SHORT_DEADLINE_MS)
    } else {
        DEADLINE_MS
    };
    let mut request = Request::new(method, path)
        .host(node::HOST)
        .header("Request-Id", id)
        .header("Key", &key)
        .header("Cookie", cookie)
        .header("Deadline-Ms", deadline_ms);
    let mut pieces = 1;
    if kind == Kind::Write {
        request = request.body(body(habits));
        if habits.random_bool(PIECES_PROBABILITY) {
            pieces = habits.random_range(PIECES);
            if habits.random_bool(CHUNKED_PROBABILITY) {
                request = request.header(CHUNKED.0, CHUNKED.1);
            }
        }
    }
    let leaves = habits.random_bool(LEAVE_PROBABILITY);
    let sent = Instant::now();
    let timeout_set = client.set_read_timeout(READ_TIMEOUT).is_ok();
    let followers = if pieces == 1 && !leaves { followers } else { 0 };
    let followers = (1..=followers).map(|number| follower(&format!("{id}-{number}"), is_limited));
    let followers: Vec<_> = followers.collect();
    // A response may come although the request wasn't taken as a whole.
    drop(send_pieces(client, &request, pieces, &followers, habits));
    let (end, closes) = if leaves {
        thread::sleep(Duration::from_millis(habits.random_range(LEAVE_AFTER_MS)));
        (End::Left, true)
    } else {
        let reply = client.read(method).ok().filter(|_| timeout_set);
        let closes = reply.as_ref().is_none_or(closes);
        (reply.map_or(End::Incomplete, response_end), closes)
    };
    let call = Call {
        id: id.to_owned(),
        kind,
        key,
        node: 0,
        run: 0,
        is_hurried,
        sent,
        ended: Instant::now(),
        end,
    };
    let (mut calls, mut closes) = (vec![call], closes);
    for (id, kind, request) in followers {
        // What was sent behind the last response may not have been read.
        let mut end = End::Left;
        if !closes {
            let reply = client.read(&request.method).ok();
            closes = reply.as_ref().is_none_or(self::closes);
            end = reply.map_or(End::Left, response_end);
        }
        let key = follower_key(is_limited).to_owned();
        calls.push(Call {
            id,
            kind,
            key,
            node: 0,
            run: 0,
            is_hurried: false,
            sent,
            ended: Instant::now(),
            end,
        });
    }
    (calls, !closes)
}

// Makes an idempotent request that is sent behind another one.
fn follower(id: &str, is_limited: bool) -> (String, Kind, Request) {
    let (kind, path) = if is_limited {
        (Kind::Limited, "/limited/1")
    } else {
        (Kind::Read, "/read/1")
    };
    let request = Request::new("GET", path)
        .host(node::HOST)
        .header("Request-Id", id)
        .header("Key", follower_key(is_limited))
        .header("Deadline-Ms", DEADLINE_MS);
    (id.to_owned(), kind, request)
}

fn follower_key(is_limited: bool) -> &'static str {
    if is_limited {
        LIMITED_KEY
    } else {
        UNLIMITED_KEY
    }
}

// Bodies of all magnitudes are equally frequent.
fn body(rng: &mut SmallRng) -> Vec<u8> {
    let magnitude = rng.random_range(0.0..(MAX_BODY_BYTES as f64).ln());
    vec![b'b'; magnitude.exp() as usize]
}

// Sends the head, then each part of the body after a pause. A body in one piece is sent
// with the head and with the followers, and others in chunks if the request says so.
fn send_pieces(
    client: &mut Client,
    request: &Request,
    pieces: usize,
    followers: &[(String, Kind, Request)],
    rng: &mut SmallRng,
) -> Result<(), Error> {
    if pieces == 1 {
        let mut bytes = request.bytes();
        for (_, _, follower) in followers {
            bytes.extend(follower.bytes());
        }
        return client.write(&bytes);
    }
    let bytes = request.bytes();
    let (head, body) = bytes.split_at(bytes.len() - request.body.len());
    client.write(head)?;
    let is_chunked = request.headers.iter().any(|(n, _)| n == CHUNKED.0);
    for piece in body.chunks(body.len().div_ceil(pieces)) {
        thread::sleep(Duration::from_millis(rng.random_range(PIECE_GAP_MS)));
        if is_chunked {
            client.write(format!("{:x}\r\n", piece.len()).as_bytes())?;
            client.write(&[piece, b"\r\n"].concat())?;
        } else {
            client.write(piece)?;
        }
    }
    if is_chunked {
        client.write(b"0\r\n\r\n")?;
    }
    Ok(())
}

fn closes(reply: &Reply) -> bool {
    let option = reply.header("connection");
    option.is_some_and(|option| option.eq_ignore_ascii_case("close"))
}

fn response_end(reply: Reply) -> End {
    End::Answered {
        status: reply.status,
        from_endpoint: reply.header("server-stamp").is_some(),
        request_id: reply.header("request-id").map(str::to_owned),
        body: reply.text(),
    }
}
