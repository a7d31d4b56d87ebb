//! Endpoints: they register in the store, run requests and record each arrival.

use std::io;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http;
use crate::http::Message;
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;

/// The interval of reports to the store.
const HEARTBEAT: Duration = Duration::from_millis(1500);

/// How often a running request looks for the end of its connection.
const LOOK: Duration = Duration::from_millis(10);

/// One of so many answers is spoilt.
const SPOILT_ONE_IN: u64 = 20;

/// What is sent in place of an answer that is spoilt: bytes of no request.
const SPOILT: &[u8] =
    b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 8\r\n\r\nstarting";

/// What an endpoint is.
#[derive(Clone, Debug)]
pub struct Terms {
    pub service: &'static str,
    pub zone: &'static str,
    pub slots: u32,
    /// How long it is cold after a start, from its second one on.
    pub cold: Duration,
    /// The time that a request takes, by the number in its path.
    pub work: fn(u64) -> Duration,
    /// Paths that contain this word crash it.
    pub fatal: &'static str,
    /// After one of so many answers the connection is closed; 0 for never.
    pub closes_one_in: u64,
    /// How many requests in one second crash it while it is cold.
    pub most_cold: usize,
    /// How long it is down after a crash.
    pub downtime: Duration,
}

/// A request that arrived.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub endpoint: usize,
    /// The time since the start of the run.
    pub at: Duration,
    pub id: String,
    pub path: String,
    /// Whether it was run; otherwise it was rejected.
    pub ran: bool,
    /// How much longer the endpoint was cold.
    pub cold_left: Duration,
    /// When it was over, and whether the endpoint had finished it by then.
    pub over: Option<(Duration, bool)>,
}

#[derive(Debug)]
struct Run {
    id: String,
    born: u64,
    cold_until: Instant,
    up: bool,
    // Whether it has left the store, and reports no more.
    left: bool,
    streams: Vec<TcpStream>,
    listener: Option<TcpListener>,
}

/// An endpoint, which may be down; clones share it.
#[derive(Clone, Debug)]
pub struct Endpoint {
    number: usize,
    pub addr: SocketAddr,
    terms: Terms,
    store: Store,
    record: Record,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    run: Arc<Mutex<Run>>,
    running: Arc<AtomicU32>,
    starts: Arc<AtomicU64>,
    // Whether it spoils some answers.
    spoils: Arc<AtomicBool>,
}

impl Endpoint {
    /// Starts an endpoint; `arrivals` takes what arrives.
    pub fn start(
        number: usize,
        terms: Terms,
        store: &Store,
        record: &Record,
        arrivals: &Arc<Mutex<Vec<Arrival>>>,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("an address");
        let run = Run {
            id: String::new(),
            born: 0,
            cold_until: Instant::now(),
            up: false,
            left: false,
            streams: Vec::new(),
            listener: Some(listener),
        };
        let endpoint = Self {
            number,
            addr,
            terms,
            store: store.clone(),
            record: record.clone(),
            arrivals: Arc::clone(arrivals),
            run: Arc::new(Mutex::new(run)),
            running: Arc::default(),
            starts: Arc::default(),
            spoils: Arc::default(),
        };
        endpoint.come_up();
        endpoint
    }

    /// Starts it, again if it was down: a new incarnation with a new id.
    pub fn come_up(&self) {
        let start = self.starts.fetch_add(1, Ordering::AcqRel) + 1;
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |t| t.as_millis());
        let mut run = self.run.lock().expect("the run");
        let listener = run.listener.take().unwrap_or_else(|| loop {
            if let Ok(listener) = TcpListener::bind(self.addr) {
                break listener;
            }
            thread::sleep(Duration::from_millis(5));
        });
        listener.set_nonblocking(true).expect("a listener");
        run.id = format!("i-{:02}-{start}", self.number);
        run.born = born as u64;
        run.cold_until = Instant::now();
        if start > 1 {
            run.cold_until += self.terms.cold;
        }
        (run.up, run.left) = (true, false);
        self.record
            .line(format!("UP endpoint {} as {}", self.number, run.id));
        drop(run);
        let served = self.clone();
        thread::spawn(move || served.accept(&listener, start));
        let reported = self.clone();
        thread::spawn(move || reported.report(start));
    }

    /// Makes it cold; the next report says so.
    pub fn chill(&self) {
        self.run.lock().expect("the run").cold_until = Instant::now() + self.terms.cold;
    }

    /// Begins or ends to spoil some answers.
    pub fn set_spoils(&self, spoils: bool) {
        self.spoils.store(spoils, Ordering::Release);
    }

    /// Leaves the store without a word, and goes on serving. Returns its id.
    pub fn leave(&self) -> String {
        let mut run = self.run.lock().expect("the run");
        run.left = true;
        self.record
            .line(format!("LEAVES endpoint {} as {}", self.number, run.id));
        run.id.clone()
    }

    /// Crashes it: all connections and the listener close, and nothing is reported.
    /// Returns whether it was up.
    pub fn crash(&self) -> bool {
        let mut run = self.run.lock().expect("the run");
        if !run.up {
            return false;
        }
        run.up = false;
        self.record
            .line(format!("DOWN endpoint {} as {}", self.number, run.id));
        for stream in run.streams.drain(..) {
            drop(stream.shutdown(Shutdown::Both));
        }
        let (store, id) = (self.store.clone(), run.id.clone());
        // Three intervals of silence later the store removes the entry.
        thread::spawn(move || {
            thread::sleep(HEARTBEAT * 3);
            store.remove("servers", &id);
        });
        true
    }

    // Returns how many requests began to run in the last second.
    fn recent(&self) -> usize {
        let since = self.record.now().saturating_sub(Duration::from_secs(1));
        let arrivals = self.arrivals.lock().expect("the arrivals");
        let recent = arrivals
            .iter()
            .rev()
            .take_while(|arrival| arrival.at >= since);
        let own = recent.filter(|arrival| arrival.endpoint == self.number && arrival.ran);
        own.filter(|arrival| !arrival.cold_left.is_zero()).count()
    }

    fn is_current(&self, start: u64) -> bool {
        self.starts.load(Ordering::Acquire) == start && self.run.lock().expect("the run").up
    }

    fn report(&self, start: u64) {
        let mut seq = 1;
        while self.is_current(start) {
            let run = self.run.lock().expect("the run");
            if run.left {
                return;
            }
            let cold = run.cold_until.saturating_duration_since(Instant::now());
            let terms = &self.terms;
            let info = Json::obj(&[
                ("service", Json::str(terms.service)),
                ("version", Json::str("v1")),
                ("zone", Json::str(terms.zone)),
                ("slots", Json::num(u64::from(terms.slots))),
            ]);
            let status = Json::obj(&[
                ("state", Json::str("ready")),
                ("seq", Json::num(seq)),
                ("cold_left_ms", Json::num(cold.as_millis() as u64)),
            ]);
            let spec = Json::obj(&[
                ("address", Json::str(&self.addr.to_string())),
                ("info", info),
                ("status", status),
                ("born", Json::num(run.born)),
            ]);
            // Held until the entry is written, so that none follows its leaving.
            self.store.put("servers", &run.id, spec);
            drop(run);
            seq += 1;
            thread::sleep(HEARTBEAT);
        }
    }

    fn accept(&self, listener: &TcpListener, start: u64) {
        while self.is_current(start) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            let mut run = self.run.lock().expect("the run");
            if let Ok(other) = stream.try_clone() {
                run.streams.push(other);
            }
            drop(run);
            let endpoint = self.clone();
            thread::spawn(move || drop(endpoint.serve(stream, start)));
        }
    }

    fn serve(&self, mut stream: TcpStream, start: u64) -> io::Result<()> {
        stream.set_nonblocking(false)?;
        stream.set_nodelay(true)?;
        let mut ahead = Vec::new();
        while let Some(request) = http::read(&mut stream, &mut ahead)? {
            if !self.is_current(start) {
                return Ok(());
            }
            let answer = self.run(&request, &stream);
            let Some(answer) = answer else { return Ok(()) };
            stream.write_all(&answer)?;
            if answer.windows(17).any(|w| w == b"Connection: close") {
                return Ok(());
            }
        }
        Ok(())
    }

    // Returns the bytes of the answer; `None` if the connection has ended meanwhile.
    fn run(&self, request: &Message, stream: &TcpStream) -> Option<Vec<u8>> {
        let run = self.run.lock().expect("the run");
        let cold_left = run.cold_until.saturating_duration_since(Instant::now());
        let own = run.id.clone();
        drop(run);
        let id = request.header("request-id").unwrap_or_default().to_owned();
        let path = request.word(1).to_owned();
        let meant = request
            .header("expect-instance")
            .is_none_or(|meant| meant == own);
        if path == "/health" {
            let (left, slots) = (self.running.load(Ordering::Acquire), self.terms.slots);
            let cold = cold_left.as_millis();
            let head = format!(
                "HTTP/1.1 200 OK\r\nInstance-Id: {own}\r\nServer-Load: {left},0,{slots}\r\n\
                 Cold-Ms: {cold}\r\nContent-Length: 0\r\n\r\n"
            );
            return Some(head.into_bytes());
        }
        let running = self.running.fetch_add(1, Ordering::AcqRel);
        let has_room = running < self.terms.slots * 2;
        let arrival = Arrival {
            endpoint: self.number,
            at: self.record.now(),
            id: id.clone(),
            path: path.clone(),
            ran: meant && has_room,
            cold_left,
            over: None,
        };
        let mut arrivals = self.arrivals.lock().expect("the arrivals");
        let at = arrivals.len();
        arrivals.push(arrival);
        drop(arrivals);
        let verb = if meant && has_room { "runs" } else { "rejects" };
        self.record.line(format!(
            "endpoint {} ({own}) {verb} {id} {path}",
            self.number
        ));
        let begun = Instant::now();
        let mut whole = true;
        if meant && has_room {
            let is_fatal = !self.terms.fatal.is_empty() && path.contains(self.terms.fatal);
            let too_many = !cold_left.is_zero() && self.recent() >= self.terms.most_cold;
            if is_fatal || too_many {
                self.running.fetch_sub(1, Ordering::AcqRel);
                self.record
                    .line(format!("CRASH of endpoint {} by {id} {path}", self.number));
                if self.crash() {
                    let again = self.clone();
                    thread::spawn(move || {
                        thread::sleep(again.terms.downtime);
                        again.come_up();
                    });
                }
                return None;
            }
            let number = path
                .rsplit('/')
                .next()
                .and_then(|n| n.parse().ok())
                .unwrap_or(0);
            let work = (self.terms.work)(number);
            while begun.elapsed() < work && whole {
                thread::sleep(LOOK.min(work.saturating_sub(begun.elapsed())));
                whole = !is_closed(stream);
            }
        }
        let left = self.running.fetch_sub(1, Ordering::AcqRel) - 1;
        let over = Some((self.record.now(), whole));
        self.arrivals.lock().expect("the arrivals")[at].over = over;
        if !whole {
            return None;
        }
        if self.spoils.load(Ordering::Acquire) && is_one_in(&id, self.number, SPOILT_ONE_IN) {
            self.record.line(format!(
                "endpoint {} SPOILS its answer to {id}",
                self.number
            ));
            return Some(SPOILT.to_vec());
        }
        let slots = self.terms.slots;
        let load = format!("{},{},{slots}", left.min(slots), left.saturating_sub(slots));
        let head = if !meant {
            "HTTP/1.1 421 X\r\nNot-Run: 1\r\n".to_owned()
        } else if !has_room {
            "HTTP/1.1 503 X\r\nNot-Run: 1\r\n".to_owned()
        } else {
            format!("HTTP/1.1 200 OK\r\nServer-Stamp: {own}.{id}\r\n")
        };
        let many = self.terms.closes_one_in;
        let closes = many > 0 && is_one_in(&id, 100 + self.number, many);
        let kept = if closes { "Connection: close\r\n" } else { "" };
        let head = format!(
            "{head}{kept}Request-Id: {id}\r\nServer-Load: {load}\r\nContent-Length: 5\r\n\r\nbytes"
        );
        Some(head.into_bytes())
    }
}

// Returns the same of the same id, true for one id in `many`.
fn is_one_in(id: &str, salt: usize, many: u64) -> bool {
    let number = u64::from_str_radix(id, 16).unwrap_or(1) + 977 * salt as u64;
    (number.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32) % many == 0
}

// Returns whether the peer has closed the connection.
fn is_closed(stream: &TcpStream) -> bool {
    drop(stream.set_nonblocking(true));
    let read = stream.peek(&mut [0]);
    drop(stream.set_nonblocking(false));
    match read {
        Ok(count) => count == 0,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}
