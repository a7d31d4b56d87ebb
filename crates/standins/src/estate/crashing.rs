//! An endpoint that crashes, on its own or when it begins to run certain requests, and starts
//! again.

use std::io;
use std::io::Read as _;
use std::io::Write as _;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use super::scripted::header_value;
use super::scripted::read_head;

/// The interval at which the endpoint looks for connections, and for a crash.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// The time that a request runs.
const RUN_TIME: Duration = Duration::from_millis(20);

/// A running endpoint.
#[derive(Clone, Debug)]
pub struct Crashing {
    /// The address on which it accepts requests.
    pub addr: SocketAddr,
    crashes: Arc<AtomicUsize>,
    // Whether the current run is to end.
    crash: Arc<AtomicBool>,
}

impl Crashing {
    /// Starts an endpoint that crashes on each request whose target begins with `fatal`, and
    /// starts again after `downtime`.
    ///
    /// # Panics
    ///
    /// Panics when no loopback port can be bound.
    pub fn start(fatal: &'static str, downtime: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("the address of a listener");
        let crashes = Arc::new(AtomicUsize::new(0));
        let endpoint = Self {
            addr,
            crashes,
            crash: Arc::default(),
        };
        let served = endpoint.clone();
        thread::spawn(move || {
            let mut listener = Some(listener);
            loop {
                // The port may be in use for a moment after the crash.
                let bound = listener.take().map_or_else(|| TcpListener::bind(addr), Ok);
                if let Ok(bound) = bound {
                    run_until_crash(&bound, fatal, &served.crash);
                    drop(bound);
                    served.crash.store(false, Ordering::Release);
                    served.crashes.fetch_add(1, Ordering::AcqRel);
                    thread::sleep(downtime);
                }
            }
        });
        endpoint
    }

    /// Ends the current run as a loss of power does.
    pub fn crash(&self) {
        self.crash.store(true, Ordering::Release);
    }

    /// Returns how often it has crashed.
    pub fn crashes(&self) -> usize {
        self.crashes.load(Ordering::Acquire)
    }
}

// Serves requests until a crash, then closes all connections.
fn run_until_crash(listener: &TcpListener, fatal: &'static str, crashed: &Arc<AtomicBool>) {
    let mut streams = Vec::new();
    listener.set_nonblocking(true).expect("an open listener");
    while !crashed.load(Ordering::Acquire) {
        let Ok((stream, _)) = listener.accept() else {
            thread::sleep(POLL_INTERVAL);
            continue;
        };
        let crash = Arc::clone(crashed);
        streams.extend(stream.try_clone());
        // A broken connection affects only its own caller.
        thread::spawn(move || drop(serve(stream, fatal, &crash)));
    }
    for stream in streams {
        // Fails for a connection that has ended.
        drop(stream.shutdown(Shutdown::Both));
    }
}

fn serve(mut stream: TcpStream, fatal: &str, crash: &AtomicBool) -> io::Result<()> {
    stream.set_nonblocking(false)?;
    while let Some(head) = read_head(&stream) {
        let target = head.split(' ').nth(1).unwrap_or_default();
        if target.starts_with(fatal) {
            crash.store(true, Ordering::Release);
            // Ends with the connection.
            return stream.read(&mut [0]).map(drop);
        }
        thread::sleep(RUN_TIME);
        let id = header_value(&head, "request-id");
        let head = format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: s\r\n");
        stream.write_all(format!("{head}Content-Length: 2\r\n\r\nok").as_bytes())?;
    }
    Ok(())
}
