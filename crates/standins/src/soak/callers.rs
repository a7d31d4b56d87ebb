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
use crate::harness::Reply;
use crate::harness::Request;
use crate::soak::history::Call;
use crate::soak::history::End;
use crate::soak::history::Kind;
use crate::soak::world::Shared;
use crate::soak::world::World;
use crate::soak::world::LIMITED_KEY;
use crate::soak::world::UNLIMITED_KEY;
use crate::soak::Options;

/// The range of the pause between two requests of a caller, in milliseconds.
const REQUEST_GAP_MS: std::ops::Range<u64> = 20..120;

/// The timeout of a read without new bytes.
const READ_TIMEOUT: Duration = Duration::from_secs(6);

/// The `Deadline-Ms` header of every request.
const DEADLINE_MS: &str = "3000";

/// The probability that a caller reconnects to a random instance without a failure.
const RECONNECT_PROBABILITY: f64 = 0.02;

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
        let (call, kept) = send_request(shared, &mut rng, client, &id, is_limited);
        let (node, run) = (*node, *run);
        shared.record(Call { node, run, ..call });
        if !kept {
            open = None;
        }
    }
}

// Sends one request; returns it and whether the connection stays open.
fn send_request(
    shared: &Shared,
    rng: &mut SmallRng,
    client: &mut Client,
    id: &str,
    is_limited: bool,
) -> (Call, bool) {
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
    let mut request = Request::new(method, path)
        .host(node::HOST)
        .header("Request-Id", id)
        .header("Key", &key)
        .header("Cookie", cookie)
        .header("Deadline-Ms", DEADLINE_MS);
    if kind == Kind::Write {
        request = request.body(format!("body of {id}"));
    }
    let sent = Instant::now();
    let timeout_set = client.set_read_timeout(READ_TIMEOUT).is_ok();
    let reply = client.call(&request).ok().filter(|_| timeout_set);
    let closes = reply.as_ref().is_none_or(closes);
    let call = Call {
        id: id.to_owned(),
        kind,
        key,
        node: 0,
        run: 0,
        sent,
        ended: Instant::now(),
        end: reply.map_or(End::Incomplete, response_end),
    };
    (call, !closes)
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
