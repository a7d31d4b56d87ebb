//! An endpoint that writes scripted bytes, which need not be valid HTTP.

use std::io;
use std::io::Read as _;
use std::io::Write as _;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

/// A received request; only [`Step::Read`] reads its body.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReceivedRequest {
    /// The index of the connection, from zero.
    pub connection: usize,
    /// The index of the request on its connection, from zero.
    pub number: usize,
    /// The path and the query.
    pub target: String,
    /// The `Request-Id` header, or an empty string.
    pub id: String,
}

/// One step of the response to a request.
#[derive(Clone, Debug)]
pub enum Step {
    /// Writes bytes.
    Write(Vec<u8>),
    /// Reads this many bytes of the request's body and records them.
    Read(usize),
    /// Waits before the next step.
    Wait(Duration),
    /// Writes the bytes repeatedly until the peer closes.
    Repeat(Vec<u8>),
    /// Closes the sending side and waits for the peer to send or close.
    Close,
    /// Closes the connection, which resets it if bytes of the request are unread.
    Reset,
}

/// A running scripted endpoint.
#[derive(Clone, Debug)]
pub struct Scripted {
    /// The address on which it accepts requests.
    pub addr: SocketAddr,
    requests: Arc<Mutex<Vec<ReceivedRequest>>>,
    bodies: Arc<Mutex<Vec<Body>>>,
    open_connections: Arc<AtomicUsize>,
}

/// The id of a request, and what was read of its body.
type Body = (String, Vec<u8>);

type Script = dyn Fn(&ReceivedRequest) -> Vec<Step> + Send + Sync;

impl Scripted {
    /// Starts an endpoint that runs the steps that `script` returns for each request.
    ///
    /// # Panics
    ///
    /// Panics when no loopback port can be bound.
    pub fn start(script: impl Fn(&ReceivedRequest) -> Vec<Step> + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("the address of a listener");
        let endpoint = Self {
            addr,
            requests: Arc::default(),
            bodies: Arc::default(),
            open_connections: Arc::default(),
        };
        let (served, script): (_, Arc<Script>) = (endpoint.clone(), Arc::new(script));
        thread::spawn(move || {
            for (connection, stream) in listener.incoming().flatten().enumerate() {
                let (served, script) = (served.clone(), Arc::clone(&script));
                thread::spawn(move || {
                    served.open_connections.fetch_add(1, Ordering::AcqRel);
                    served.serve(connection, &stream, &*script);
                    served.open_connections.fetch_sub(1, Ordering::AcqRel);
                });
            }
        });
        endpoint
    }

    /// Returns the requests received so far, in order.
    pub fn heard(&self) -> Vec<ReceivedRequest> {
        let heard = self.requests.lock();
        heard.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the id and the body of each request whose body was read, in the order
    /// in which the reading ended. A body that ended early is recorded as it came.
    pub fn bodies(&self) -> Vec<Body> {
        let bodies = self.bodies.lock();
        bodies.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the number of open connections.
    pub fn open(&self) -> usize {
        self.open_connections.load(Ordering::Acquire)
    }

    fn serve(&self, connection: usize, mut stream: &TcpStream, script: &Script) {
        for number in 0.. {
            let Some(head) = read_head(stream) else {
                return;
            };
            let heard = ReceivedRequest {
                connection,
                number,
                target: head.split(' ').nth(1).unwrap_or_default().to_owned(),
                id: header_value(&head, "request-id"),
            };
            let all = self.requests.lock();
            let mut all = all.unwrap_or_else(PoisonError::into_inner);
            all.push(heard.clone());
            drop(all);
            for step in script(&heard) {
                let done = match step {
                    Step::Write(bytes) => stream.write_all(&bytes),
                    Step::Read(count) => self.read_body(&heard.id, stream, count),
                    Step::Wait(delay) => {
                        thread::sleep(delay);
                        Ok(())
                    }
                    Step::Repeat(bytes) => loop {
                        if let Err(closed) = stream.write_all(&bytes) {
                            break Err(closed);
                        }
                    },
                    Step::Close => {
                        let closed = stream.shutdown(Shutdown::Write);
                        closed.and_then(|()| stream.read(&mut [0]).map(drop))
                    }
                    Step::Reset => return,
                };
                if done.is_err() {
                    return;
                }
            }
        }
    }
}

impl Scripted {
    fn read_body(&self, id: &str, stream: &TcpStream, count: usize) -> io::Result<()> {
        let mut body = Vec::new();
        let read = stream.take(count as u64).read_to_end(&mut body);
        let is_whole = body.len() == count;
        let bodies = self.bodies.lock();
        let mut bodies = bodies.unwrap_or_else(PoisonError::into_inner);
        bodies.push((id.to_owned(), body));
        drop(bodies);
        read?;
        if is_whole {
            Ok(())
        } else {
            Err(io::ErrorKind::UnexpectedEof.into())
        }
    }
}

/// Reads the head of a request; returns `None` if the connection ends before.
pub(super) fn read_head(mut stream: &TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        head.push(byte[0]);
    }
    Some(String::from_utf8_lossy(&head).into_owned())
}

/// Returns the value of a header, or an empty string.
pub(super) fn header_value(head: &str, name: &str) -> String {
    let mut lines = head.lines().filter_map(|line| line.split_once(':'));
    let found = lines.find(|(found, _)| found.eq_ignore_ascii_case(name));
    found.map_or(String::new(), |(_, value)| value.trim().to_owned())
}
