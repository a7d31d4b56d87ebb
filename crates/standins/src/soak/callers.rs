//! Callers that ask all the while, each on a connection that it keeps.

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
use crate::soak::world::KEY;
use crate::soak::world::LIMITED_KEY;
use crate::soak::Options;

/// The pause between two requests of a caller.
const PAUSE_MS: std::ops::Range<u64> = 20..120;

/// How long a caller waits for the next byte.
const PATIENCE: Duration = Duration::from_secs(6);

/// The time that a caller names as its own limit, in milliseconds.
const ALLOWED_MS: &str = "3000";

/// How often a caller goes to another instance though nothing failed.
const ROAMS: f64 = 0.02;

/// The objects that are asked for.
const OBJECTS: u32 = 40;

/// The callers of a run.
pub(super) struct Callers {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

impl Callers {
    /// Ends every caller after its present request.
    pub(super) fn stop(self) {
        self.shared.stopped.store(true, Ordering::Release);
        for thread in self.threads {
            // A caller that panicked has left its calls unrecorded; the checks go on.
            drop(thread.join());
        }
    }
}

/// Starts the callers; every fourth one belongs to the account with a rate.
pub(super) fn start(world: &World, options: &Options) -> Callers {
    let mut threads = Vec::new();
    for number in 0..options.callers {
        let shared = Arc::clone(&world.shared);
        let seed = options.seed ^ (number as u64 + 1).wrapping_mul(0x9e37_79b9);
        let limited = number % 4 == 3;
        threads.push(thread::spawn(move || {
            ask_on(&shared, seed, number, limited);
        }));
    }
    Callers {
        shared: Arc::clone(&world.shared),
        threads,
    }
}

fn ask_on(shared: &Shared, seed: u64, caller: usize, limited: bool) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut open: Option<(usize, u32, Client)> = None;
    let mut count = 0;
    while !shared.stopped.load(Ordering::Acquire) {
        thread::sleep(Duration::from_millis(rng.random_range(PAUSE_MS)));
        if open.is_none() || rng.random_bool(ROAMS) {
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
        let (call, kept) = ask(shared, &mut rng, client, &id, limited);
        let (node, run) = (*node, *run);
        shared.record(Call { node, run, ..call });
        if !kept {
            open = None;
        }
    }
}

// Sends one request; gives it back with whether the connection is kept.
fn ask(
    shared: &Shared,
    rng: &mut SmallRng,
    client: &mut Client,
    id: &str,
    limited: bool,
) -> (Call, bool) {
    let kind = match (limited, rng.random_range(0..4)) {
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
        Kind::Read | Kind::Write | Kind::Moved => KEY.to_owned(),
    };
    let object = format!("Affinity-Key={}", rng.random_range(0..OBJECTS));
    let mut request = Request::new(method, path)
        .host(node::HOST)
        .header("Request-Id", id)
        .header("Key", &key)
        .header("Cookie", object)
        .header("Deadline-Ms", ALLOWED_MS);
    if kind == Kind::Write {
        request = request.body(format!("body of {id}"));
    }
    let sent = Instant::now();
    let patient = client.set_patience(PATIENCE).is_ok();
    let reply = client.call(&request).ok().filter(|_| patient);
    let closes = reply.as_ref().is_none_or(closes);
    let call = Call {
        id: id.to_owned(),
        kind,
        key,
        node: 0,
        run: 0,
        sent,
        ended: Instant::now(),
        end: reply.map_or(End::Cut, answered),
    };
    (call, !closes)
}

fn closes(reply: &Reply) -> bool {
    let option = reply.header("connection");
    option.is_some_and(|option| option.eq_ignore_ascii_case("close"))
}

fn answered(reply: Reply) -> End {
    End::Answered {
        status: reply.status,
        stamped: reply.header("server-stamp").is_some(),
        names: reply.header("request-id").map(str::to_owned),
        body: reply.text(),
    }
}
