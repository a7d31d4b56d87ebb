//! A TCP link between two processes that tests can cut and slow down.

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

/// The size of one read, in bytes.
const CHUNK_BYTES: usize = 16 * 1024;

/// Chunks under way in one direction of a connection.
const CHUNKS: usize = 256;

/// The span between two looks at a cut link.
const LOOK: Duration = Duration::from_millis(2);

/// One direction of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Flow {
    /// Bytes pass.
    #[default]
    Open,
    /// Bytes stay under way until the direction opens again, as in a lost network.
    Cut,
    /// Each connection closes once it has passed this many bytes this way.
    CloseAfter(u64),
}

/// The state of a link; a new value replaces all of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Link {
    /// Towards the target.
    pub forward: Flow,
    /// Towards the callers.
    pub backward: Flow,
    /// Added in each direction.
    pub delay: Duration,
    /// Closes the connections of now and refuses new ones.
    pub severed: bool,
}

impl Link {
    /// A link that passes nothing either way.
    pub fn cut() -> Self {
        Self {
            forward: Flow::Cut,
            backward: Flow::Cut,
            ..Self::default()
        }
    }

    /// A link with a one-way delay.
    pub fn slow(delay: Duration) -> Self {
        Self {
            delay,
            ..Self::default()
        }
    }
}

/// A running link; it ends when it is dropped.
#[derive(Debug)]
pub struct Proxy {
    /// Where callers connect in place of the target.
    pub addr: SocketAddr,
    control: Sender<Change>,
}

type Change = (Link, Sender<()>);
type Shared = Rc<Cell<Link>>;

#[derive(Clone, Copy)]
enum Way {
    Forward,
    Backward,
}

impl Proxy {
    /// Opens a link to a target.
    ///
    /// # Errors
    ///
    /// Fails when no port can be bound.
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

    /// Changes the link and returns once the change is in force.
    pub fn set(&self, link: Link) {
        let (done, confirmed) = async_channel::bounded(1);
        // The proxy's thread lives as long as this sender, and confirms by closing the ring.
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
        // Connections end with their link.
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
    while link.get().forward == Flow::Cut && !link.get().severed {
        async_std::task::sleep(LOOK).await;
    }
    if link.get().severed {
        return;
    }
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    drop((caller.set_nodelay(true), server.set_nodelay(true)));
    let forward = pump(caller.clone(), server.clone(), link.clone(), Way::Forward);
    let backward = pump(server.clone(), caller.clone(), link.clone(), Way::Backward);
    let both = futures_lite::future::zip(forward, backward);
    let pumped = async {
        both.await;
    };
    futures_lite::future::or(pumped, severed(&link)).await;
    drop((
        caller.shutdown(Shutdown::Both),
        server.shutdown(Shutdown::Both),
    ));
}

async fn severed(link: &Shared) {
    while !link.get().severed {
        async_std::task::sleep(LOOK).await;
    }
}

// Passes bytes one way, then the end of the stream.
async fn pump(from: TcpStream, to: TcpStream, link: Shared, way: Way) {
    let (sender, receiver) = async_channel::bounded(CHUNKS);
    let reading = async {
        read(from.clone(), sender, link.clone()).await;
        std::future::pending().await
    };
    // Writing ends once it has passed on all that was read, or closes early.
    let writing = write(to.clone(), receiver, link.clone(), way);
    let whole = futures_lite::future::or(reading, writing).await;
    if matches!(whole, Ok(true)) {
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

// Whether everything that was read has been passed on.
async fn write(
    mut to: TcpStream,
    chunks: Receiver<Chunk>,
    link: Shared,
    way: Way,
) -> io::Result<bool> {
    let mut passed = 0;
    while let Ok((due, chunk)) = chunks.recv().await {
        let wait = due.saturating_duration_since(Instant::now());
        if !wait.is_zero() {
            async_std::task::sleep(wait).await;
        }
        while way.flow(&link) == Flow::Cut {
            async_std::task::sleep(LOOK).await;
        }
        if link.get().severed {
            return Ok(false);
        }
        if let Flow::CloseAfter(limit) = way.flow(&link) {
            let room = limit.saturating_sub(passed) as usize;
            if room < chunk.len() {
                to.write_all(&chunk[..room]).await?;
                return Ok(false);
            }
        }
        to.write_all(&chunk).await?;
        passed += chunk.len() as u64;
    }
    Ok(true)
}

impl Way {
    fn flow(self, link: &Shared) -> Flow {
        match self {
            Self::Forward => link.get().forward,
            Self::Backward => link.get().backward,
        }
    }
}
