//! A TCP proxy that injects network faults between two processes: blocked directions,
//! delays, truncated streams and closed connections.

use std::cell::Cell;
use std::io;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use async_channel::Sender;
use async_std::io::ReadExt;
use async_std::io::WriteExt;
use async_std::net::TcpListener;
use async_std::net::TcpStream;
use snafu::ResultExt;

use crate::duty;
use crate::harness::error::Error;
use crate::harness::error::SystemSnafu;

/// The maximum size of one read, in bytes.
const CHUNK_BYTES: usize = 16 * 1024;

/// The maximum number of buffered chunks in one direction of a connection.
const MAX_CHUNKS: usize = 256;

/// The interval at which a connection polls for changes of its link.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// The state of one direction of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Flow {
    /// Forwards bytes.
    #[default]
    Open,
    /// Holds bytes back until the direction opens again, as a network partition does.
    Blocked,
    /// Closes each connection once it has forwarded this many bytes in this direction.
    CloseAfter(u64),
}

/// The state of a link; a new value replaces the whole state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Link {
    /// The direction towards the target.
    pub forward: Flow,
    /// The direction towards the callers.
    pub backward: Flow,
    /// The delay that is added in each direction.
    pub delay: Duration,
    /// Closes present connections, and new ones right after they are accepted.
    pub severed: bool,
}

impl Link {
    /// Returns a link that forwards nothing in either direction.
    pub fn blocked() -> Self {
        Self {
            forward: Flow::Blocked,
            backward: Flow::Blocked,
            ..Self::default()
        }
    }

    /// Returns a link with a one-way delay.
    pub fn slow(delay: Duration) -> Self {
        Self {
            delay,
            ..Self::default()
        }
    }
}

/// A running proxy; dropping it closes its connections.
#[derive(Debug)]
pub struct Proxy {
    /// The address to connect to instead of the target's.
    pub addr: SocketAddr,
    control: Sender<Change>,
}

type Change = (Link, Sender<()>);
type Shared = Rc<Cell<Link>>;

#[derive(Clone, Copy)]
enum Direction {
    Forward,
    Backward,
}

impl Proxy {
    /// Starts a proxy for a target.
    ///
    /// # Errors
    ///
    /// Fails when no loopback port can be bound.
    pub fn start(target: SocketAddr) -> Result<Self, Error> {
        let bound = std::net::TcpListener::bind(("127.0.0.1", 0));
        let listener = bound.context(SystemSnafu { what: "proxy" })?;
        let addr = listener
            .local_addr()
            .context(SystemSnafu { what: "proxy" })?;
        let (control, changes) = async_channel::bounded(1);
        duty::spawn("proxy", move || run(listener, target, changes));
        Ok(Self { addr, control })
    }

    /// Changes the state of the link and returns once the change has taken effect.
    pub fn set_link(&self, link: Link) {
        let (done, confirmed) = async_channel::bounded(1);
        // The proxy's thread runs as long as this sender exists; it confirms by dropping
        // `done`.
        let sent = self.control.send_blocking((link, done));
        if sent.is_ok() {
            confirmed.recv_blocking().unwrap_or(());
        }
    }
}

async fn run(listener: std::net::TcpListener, target: SocketAddr, changes: Receiver<Change>) {
    let link = Shared::default();
    let accepting = accept(TcpListener::from(listener), target, link.clone());
    let controlled = async {
        while let Ok((next, done)) = changes.recv().await {
            link.set(next);
            drop(done);
        }
        // The proxy was dropped, so all connections close.
        link.set(Link {
            severed: true,
            ..Link::default()
        });
    };
    futures_lite::future::or(accepting, controlled).await;
}

async fn accept(listener: TcpListener, target: SocketAddr, link: Shared) {
    loop {
        if let Ok((caller, _)) = listener.accept().await {
            async_std::task::spawn_local(connect(caller, target, link.clone()));
        }
    }
}

async fn connect(caller: TcpStream, target: SocketAddr, link: Shared) {
    while link.get().forward == Flow::Blocked && !link.get().severed {
        async_std::task::sleep(POLL_INTERVAL).await;
    }
    if link.get().severed {
        return;
    }
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    drop((caller.set_nodelay(true), server.set_nodelay(true)));
    let forward = pump(
        caller.clone(),
        server.clone(),
        link.clone(),
        Direction::Forward,
    );
    let backward = pump(
        server.clone(),
        caller.clone(),
        link.clone(),
        Direction::Backward,
    );
    let both = futures_lite::future::zip(forward, backward);
    let pumped = async {
        both.await;
    };
    futures_lite::future::or(pumped, until_severed(&link)).await;
    drop((
        caller.shutdown(Shutdown::Both),
        server.shutdown(Shutdown::Both),
    ));
}

async fn until_severed(link: &Shared) {
    while !link.get().severed {
        async_std::task::sleep(POLL_INTERVAL).await;
    }
}

// Forwards bytes in one direction, then the end of the stream.
async fn pump(from: TcpStream, to: TcpStream, link: Shared, direction: Direction) {
    let (sender, receiver) = async_channel::bounded(MAX_CHUNKS);
    let reading = async {
        read(from.clone(), sender, link.clone()).await;
        std::future::pending().await
    };
    // Writing ends once all chunks are forwarded, or early when the connection must close.
    let writing = write(to.clone(), receiver, link.clone(), direction);
    let complete = futures_lite::future::or(reading, writing).await;
    if matches!(complete, Ok(true)) {
        drop(to.shutdown(Shutdown::Write));
    } else {
        drop((from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both)));
    }
}

type Chunk = (Instant, Vec<u8>);

async fn read(mut from: TcpStream, chunks: Sender<Chunk>, link: Shared) {
    let mut buf = vec![0; CHUNK_BYTES];
    while let Ok(size @ 1..) = from.read(&mut buf).await {
        let due = Instant::now() + link.get().delay;
        if chunks.send((due, buf[..size].to_vec())).await.is_err() {
            return;
        }
    }
}

// Returns whether everything that was read has been forwarded.
async fn write(
    mut to: TcpStream,
    chunks: Receiver<Chunk>,
    link: Shared,
    direction: Direction,
) -> io::Result<bool> {
    let mut forwarded = 0;
    while let Ok((due, chunk)) = chunks.recv().await {
        let wait = due.saturating_duration_since(Instant::now());
        if !wait.is_zero() {
            async_std::task::sleep(wait).await;
        }
        while direction.flow(&link) == Flow::Blocked {
            async_std::task::sleep(POLL_INTERVAL).await;
        }
        if link.get().severed {
            return Ok(false);
        }
        if let Flow::CloseAfter(limit) = direction.flow(&link) {
            let room = limit.saturating_sub(forwarded) as usize;
            if room < chunk.len() {
                to.write_all(&chunk[..room]).await?;
                return Ok(false);
            }
        }
        to.write_all(&chunk).await?;
        forwarded += chunk.len() as u64;
    }
    Ok(true)
}

impl Direction {
    fn flow(self, link: &Shared) -> Flow {
        match self {
            Self::Forward => link.get().forward,
            Self::Backward => link.get().backward,
        }
    }
}
