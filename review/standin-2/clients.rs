//! Clients: they ask the directory which instance to use, and send requests on new connections.

use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::End;
use crate::instance::Instance;
use crate::json;
use crate::json::Json;
use crate::record::Record;

/// The host of all routes.
pub const HOST: &str = "desk.example";

/// A client attempt.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub id: String,
    /// The instance that took it.
    pub to: SocketAddr,
    /// When its last byte was written, since the start of the run.
    pub sent: Option<Duration>,
    pub ended: Duration,
    /// The status of the answer; 0 for none.
    pub status: u16,
    /// Whether the answer bears the stamp of an endpoint.
    pub stamped: bool,
    /// How it ended, in words.
    pub end: String,
    /// The time to come back that the answer names.
    pub retry_after: Option<Duration>,
}

/// What clients of one kind do.
#[derive(Clone, Debug)]
pub struct Habit {
    pub method: &'static str,
    pub prefix: &'static str,
    pub deadline: Duration,
    /// The pause between two requests of one client.
    pub pause: Duration,
    /// For how many times its time to live an answer of the directory is kept.
    pub keeps: u32,
    /// How many requests the client has open at once.
    pub lanes: u64,
}

/// A running group of clients.
pub struct Clients {
    done: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    pub attempts: Arc<Mutex<Vec<Attempt>>>,
}

static NEXT: AtomicU64 = AtomicU64::new(1);

/// Returns the next number of a request.
pub fn next_number() -> u64 {
    NEXT.fetch_add(1, Ordering::AcqRel)
}

/// Sends one request and records it.
pub fn send(
    record: &Record,
    to: SocketAddr,
    method: &str,
    path: &str,
    deadline: Duration,
) -> Attempt {
    let id = format!("{:016x}", 0x5eed_0000_0000_0000_u64 + next_number());
    let millis = deadline.as_millis();
    let length = if method == "POST" {
        "Content-Length: 4\r\n"
    } else {
        ""
    };
    let body = if method == "POST" { "body" } else { "" };
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\n\
         Deadline-Ms: {millis}\r\n{length}\r\n{body}"
    );
    let mut sent = None;
    let end = http::call(to, request.as_bytes(), deadline, || {
        sent = Some(record.now())
    });
    let (status, stamped, words, retry_after) = match &end {
        End::Answer(answer) => {
            let stamp = answer.header("server-stamp");
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            let after = answer.header("retry-after").and_then(|s| s.parse().ok());
            let after = after.map(Duration::from_secs_f64);
            let words = format!(
                "{} stamp {} {text}",
                answer.status(),
                stamp.unwrap_or("none")
            );
            (answer.status(), stamp.is_some(), words, after)
        }
        End::NoConnection => (0, false, "no connection".to_owned(), None),
        End::Cut => (0, false, "cut".to_owned(), None),
        End::Deadline => (0, false, "deadline".to_owned(), None),
    };
    let ended = record.now();
    let written = sent.map_or(-1.0, |at| at.as_secs_f64());
    record.line(format!(
        "client {id} {method} {path} to {to} sent {written:.3}: {words}"
    ));
    Attempt {
        id,
        to,
        sent,
        ended,
        status,
        stamped,
        end: words,
        retry_after,
    }
}

/// Asks the directories in turn, at most three; returns the addresses and their time to live.
pub fn resolve(
    directories: &[SocketAddr],
    zone: (&str, &str),
) -> Option<(Vec<SocketAddr>, Duration)> {
    for directory in directories.iter().take(3) {
        let (zone, region) = zone;
        let request = format!(
            "GET /resolve?name={HOST}&region={region}&zone={zone} HTTP/1.1\r\n\
             Host: directory\r\nConnection: close\r\n\r\n"
        );
        let end = http::call(
            *directory,
            request.as_bytes(),
            Duration::from_secs(1),
            || (),
        );
        let End::Answer(answer) = end else { continue };
        let body = json::parse(&String::from_utf8_lossy(&answer.body));
        let Some(body) = body.filter(|_| answer.status() == 200) else {
            continue;
        };
        let items = body.get("addresses").map_or(&[][..], Json::list);
        let items: Vec<SocketAddr> = items
            .iter()
            .filter_map(|a| a.text()?.parse().ok())
            .collect();
        let ttl = match body.get("ttl_s") {
            Some(Json::Num(text)) => text.parse().unwrap_or(0.0),
            _ => 0.0,
        };
        if !items.is_empty() {
            // At most `ttl_max_s` counts.
            return Some((items, Duration::from_secs_f64(f64::min(ttl, 5.0))));
        }
    }
    None
}

impl Clients {
    /// Starts one client for each entry of `places`, the zones with their regions.
    pub fn start(
        record: &Record,
        instances: &[Arc<Instance>],
        places: &[(&'static str, &'static str)],
        habit: impl Fn(usize) -> Habit,
    ) -> Self {
        let done = Arc::new(AtomicBool::new(false));
        let attempts = Arc::new(Mutex::new(Vec::new()));
        let mut threads = Vec::new();
        for (number, place) in places.iter().copied().enumerate() {
            let habit = habit(number);
            // The nearest first.
            let mut near: Vec<&Arc<Instance>> = instances.iter().collect();
            near.sort_by_key(|instance| instance.zone != place.0);
            let directories: Vec<SocketAddr> = near.iter().map(|i| i.directory()).collect();
            let (record, done) = (record.clone(), Arc::clone(&done));
            let client = Arc::new(Client {
                record,
                directories,
                place,
                habit,
                known: Mutex::new(Known {
                    usable: Vec::new(),
                    failed: Vec::new(),
                    until: Instant::now(),
                }),
            });
            for lane in 0..client.habit.lanes {
                let (client, done) = (Arc::clone(&client), Arc::clone(&done));
                let attempts = Arc::clone(&attempts);
                let seed = 7_919 * (100 * number as u64 + lane) + 1;
                threads.push(thread::spawn(move || client.run(seed, &done, &attempts)));
            }
        }
        Self {
            done,
            threads,
            attempts,
        }
    }

    /// Ends the clients and returns their attempts.
    pub fn finish(self) -> Vec<Attempt> {
        self.done.store(true, Ordering::Release);
        for thread in self.threads {
            drop(thread.join());
        }
        let attempts = self.attempts.lock().expect("the attempts");
        attempts.clone()
    }
}

struct Client {
    record: Record,
    directories: Vec<SocketAddr>,
    place: (&'static str, &'static str),
    habit: Habit,
    known: Mutex<Known>,
}

/// What a client knows of the instances.
struct Known {
    usable: Vec<SocketAddr>,
    // Those that it could not connect to.
    failed: Vec<SocketAddr>,
    // When it asks again.
    until: Instant,
}

impl Client {
    fn run(&self, seed: u64, done: &AtomicBool, attempts: &Mutex<Vec<Attempt>>) {
        let mut draw = Draw(seed);
        for _ in 0..8 {
            draw.next();
        }
        thread::sleep(self.habit.pause.mul_f64(draw.next()));
        while !done.load(Ordering::Acquire) {
            let begun = Instant::now();
            if let Some(to) = self.choose(&mut draw) {
                let path = format!("{}{}", self.habit.prefix, next_number());
                let attempt = send(
                    &self.record,
                    to,
                    self.habit.method,
                    &path,
                    self.habit.deadline,
                );
                if attempt.sent.is_none() {
                    self.known.lock().expect("the instances").failed.push(to);
                }
                let wait = attempt.retry_after;
                attempts.lock().expect("the attempts").push(attempt);
                if let Some(wait) = wait {
                    // A third of the time left at most.
                    thread::sleep(wait.min(self.habit.deadline / 3));
                    continue;
                }
            }
            let pause = self.habit.pause.mul_f64(0.5 + draw.next());
            thread::sleep(pause.saturating_sub(begun.elapsed()));
        }
    }

    // Picks one of the addresses at random, without those that have failed.
    fn choose(&self, draw: &mut Draw) -> Option<SocketAddr> {
        let mut known = self.known.lock().expect("the instances");
        if Instant::now() >= known.until {
            // Without a new answer the old one is kept longer.
            if let Some((addrs, ttl)) = resolve(&self.directories, self.place) {
                known.usable = addrs;
                known.failed.clear();
                known.until = Instant::now() + ttl * self.habit.keeps;
            }
        }
        if known.usable.iter().all(|addr| known.failed.contains(addr)) {
            known.failed.clear();
        }
        let usable = known
            .usable
            .iter()
            .filter(|addr| !known.failed.contains(addr));
        let usable: Vec<SocketAddr> = usable.copied().collect();
        usable
            .get((draw.next() * usable.len() as f64) as usize)
            .copied()
    }
}

/// Pseudo-random numbers.
pub struct Draw(pub u64);

impl Draw {
    /// Returns a number from 0 to below 1.
    pub fn next(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }
}

/// Builds a configuration with one route to one service.
pub fn configuration(route: &[(&str, Json)], service: &[(&str, Json)]) -> Json {
    let table = |row: &[(&str, Json)]| {
        let columns = row.iter().map(|cell| Json::str(cell.0)).collect();
        let values = row.iter().map(|cell| cell.1.clone()).collect();
        let rows = Json::Arr(vec![Json::Arr(values)]);
        Json::obj(&[("columns", Json::Arr(columns)), ("rows", rows)])
    };
    let limits = Json::obj(&[
        ("max_header_bytes", Json::num(16_384)),
        ("max_body_bytes", Json::num(1_048_576)),
        ("header_timeout_ms", Json::num(3_000)),
        ("idle_timeout_ms", Json::num(15_000)),
    ]);
    Json::obj(&[
        ("version", Json::num(7)),
        ("routes", table(route)),
        ("services", table(service)),
        ("limits", limits),
    ])
}

/// Builds the columns of a route.
pub fn route(
    prefix: &str,
    kind: &str,
    timeout_ms: u64,
    target_ms: u64,
    max_attempts: u64,
    service: &str,
) -> Vec<(&'static str, Json)> {
    vec![
        ("name", Json::str("r-only")),
        ("host", Json::str(HOST)),
        ("path_prefix", Json::str(prefix)),
        ("kind", Json::str(kind)),
        ("timeout_ms", Json::num(timeout_ms)),
        ("target_latency_ms", Json::num(target_ms)),
        ("priority", Json::num(1)),
        ("traffic_split", Json::Null),
        ("max_attempts", Json::num(max_attempts)),
        ("public", Json::Bool(true)),
        ("sticky", Json::Bool(false)),
        ("allowed_regions", Json::Arr(Vec::new())),
        ("service", Json::str(service)),
    ]
}

/// Builds the columns of a service.
pub fn service(name: &str, cold_start_s: &str, cold_per_s: &str) -> Vec<(&'static str, Json)> {
    vec![
        ("name", Json::str(name)),
        ("health_path", Json::str("/health")),
        ("max_conns", Json::num(1_500)),
        ("protocol", Json::str("h1")),
        ("tls", Json::Bool(false)),
        ("cold_start_s", Json::Num(cold_start_s.to_owned())),
        ("cold_per_s", Json::Num(cold_per_s.to_owned())),
    ]
}
