//! A stand-in of an endpoint: runs requests, or does what a script says.

use std::collections::BTreeMap;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::record::Record;

pub const SLOTS: u32 = 32;

/// How long an endpoint is down after a crash.
const CRASH_SPAN: Duration = Duration::from_secs(3);

/// A request as it arrived.
#[derive(Clone, Debug)]
pub struct Request {
    pub target: String,
    pub headers: BTreeMap<String, String>,
}

/// What an endpoint does with a request.
pub enum Act {
    /// Runs it for this time and answers 200.
    Run(Duration),
    /// Crashes as it begins to run it, and is back after `CRASH_SPAN`.
    Crash,
    /// Runs it and never answers.
    LoseAnswer,
    /// Rejects it as not run, as a full endpoint does.
    #[allow(dead_code, reason = "not every scenario uses all acts")]
    Full,
}

type Script = Arc<dyn Fn(&Request) -> Act + Send + Sync>;

#[derive(Clone)]
pub struct Endpoint {
    pub id: String,
    pub addr: SocketAddr,
    runs: Arc<Mutex<Vec<Request>>>,
    script: Script,
    record: Record,
    starts: Arc<AtomicU64>,
    crashed: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

impl Endpoint {
    pub fn start(id: &str, record: &Record, script: impl Fn(&Request) -> Act + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let endpoint = Self {
            id: id.to_owned(),
            addr: listener.local_addr().expect("an address"),
            runs: Arc::default(),
            script: Arc::new(script),
            record: record.clone(),
            starts: Arc::default(),
            crashed: Arc::default(),
            open: Arc::default(),
        };
        let served = endpoint.clone();
        thread::spawn(move || {
            let mut listener = listener;
            loop {
                let Ok((stream, _)) = listener.accept() else {
                    continue;
                };
                if served.crashed.load(Ordering::Acquire) {
                    listener = served.stay_down(listener);
                    continue;
                }
                let copy = stream.try_clone().expect("a socket can be cloned");
                served.open.lock().expect("the connections").push(copy);
                let endpoint = served.clone();
                thread::spawn(move || drop(endpoint.serve(stream)));
            }
        });
        endpoint
    }

    /// Returns its entry in the store.
    pub fn entry(&self, service: &str, zone: &str, state: &str, seq: u64) -> String {
        let addr = self.addr;
        format!(
            r#"{{"address":"{addr}","info":{{"service":"{service}","version":"v1","zone":"{zone}","slots":{SLOTS}}},"status":{{"state":"{state}","seq":{seq},"cold_left_ms":0}},"born":{}}}"#,
            1_790_000_000_000 + self.starts()
        )
    }

    /// Returns how often it has started again.
    pub fn starts(&self) -> u64 {
        self.starts.load(Ordering::Acquire)
    }

    // Closes the port and all connections, and listens again after a while.
    fn stay_down(&self, listener: TcpListener) -> TcpListener {
        drop(listener);
        for stream in self.open.lock().expect("the connections").drain(..) {
            drop(stream.shutdown(Shutdown::Both));
        }
        thread::sleep(CRASH_SPAN);
        self.crashed.store(false, Ordering::Release);
        let listener = TcpListener::bind(self.addr).expect("the port is free again");
        self.starts.fetch_add(1, Ordering::AcqRel);
        self.record.line(&format!("endpoint {}: is back", self.id));
        listener
    }

    /// Returns the requests that it ran.
    pub fn runs(&self) -> Vec<Request> {
        self.runs.lock().expect("the runs").clone()
    }

    fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut ahead = Vec::new();
        while let Some(request) = read_request(&mut stream, &mut ahead)? {
            let id = request.header("request-id").to_owned();
            let expected = request.header("expect-instance");
            if !expected.is_empty() && expected != self.id {
                write!(
                    stream,
                    "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {id}\r\nInstance-Id: {}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
                    self.id
                )?;
                continue;
            }
            let act = (self.script)(&request);
            let (name, target) = (&self.id, request.target.clone());
            if matches!(act, Act::Full) {
                self.record.line(&format!("endpoint {name}: rejects {id} as not run"));
                write!(
                    stream,
                    "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: {id}\r\nNot-Run: 1\r\nServer-Load: {SLOTS},4,{SLOTS}\r\nContent-Length: 0\r\n\r\n"
                )?;
                continue;
            }
            self.record.line(&format!("endpoint {name}: runs {id} {target}"));
            self.runs.lock().expect("the runs").push(request);
            match act {
                Act::Run(span) => {
                    thread::sleep(span);
                    let body = format!("{name} ran {id}");
                    write!(
                        stream,
                        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: 3e1b.07.{name}\r\nServer-Load: 1,0,{SLOTS}\r\nKeep-Alive: timeout=20\r\nContent-Length: {}\r\n\r\n{body}",
                        body.len()
                    )?;
                }
                Act::Crash => {
                    self.record.line(&format!("endpoint {name}: {id} crashes it"));
                    self.crashed.store(true, Ordering::Release);
                    // Wakes the thread that accepts connections.
                    drop(TcpStream::connect(self.addr));
                    return Ok(());
                }
                Act::LoseAnswer => self.record.line(&format!("endpoint {name}: the answer to {id} is lost")),
                Act::Full => (),
            }
        }
        Ok(())
    }
}

fn read_request(stream: &mut TcpStream, ahead: &mut Vec<u8>) -> std::io::Result<Option<Request>> {
    let end = loop {
        if let Some(at) = ahead.windows(4).position(|w| w == b"\r\n\r\n") {
            break at + 4;
        }
        if !fill(stream, ahead)? {
            return Ok(None);
        }
    };
    let head = String::from_utf8_lossy(&ahead[..end]).into_owned();
    let mut lines = head.split("\r\n");
    let mut words = lines.next().unwrap_or("").split(' ');
    let target = words.nth(1).unwrap_or("").to_owned();
    let pairs = lines.filter_map(|line| line.split_once(':'));
    let headers: BTreeMap<String, String> =
        pairs.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned())).collect();
    let length: usize = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    while ahead.len() < end + length {
        if !fill(stream, ahead)? {
            return Ok(None);
        }
    }
    let rest = ahead.split_off(end + length);
    *ahead = rest;
    Ok(Some(Request { target, headers }))
}

fn fill(stream: &mut TcpStream, ahead: &mut Vec<u8>) -> std::io::Result<bool> {
    let mut bytes = [0; 4096];
    let count = stream.read(&mut bytes)?;
    ahead.extend_from_slice(&bytes[..count]);
    Ok(count > 0)
}
