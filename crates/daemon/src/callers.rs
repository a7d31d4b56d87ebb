//! The callers duty: accepts connections of callers.

use std::cell::Cell;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use async_std::net;
use async_std::task;
use corianderway_node::RequestId;

use crate::clock::Clock;
use crate::connection;
use crate::rings::Requests;

/// The most connections of callers at once.
const CONNECTIONS: usize = 4_096;

/// The pause after an accept that failed for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What every connection shares.
#[derive(Debug)]
pub struct Desk {
    /// The rings to other duties.
    pub rings: Requests,
    /// The clock.
    pub clock: Clock,
    /// Set when a planned stop begins.
    pub stopping: Arc<AtomicBool>,
    /// Set when no further connection is taken.
    pub closed: Arc<AtomicBool>,
    /// Requests whose answers are not yet delivered.
    pub open: Arc<AtomicU64>,
    /// The first part of each request id, unique to this run.
    pub prefix: Arc<str>,
    connections: Cell<usize>,
    next: Cell<u64>,
}

impl Desk {
    /// Makes the desk of one process.
    pub fn new(
        rings: Requests,
        clock: Clock,
        stopping: Arc<AtomicBool>,
        closed: Arc<AtomicBool>,
        open: Arc<AtomicU64>,
        prefix: Arc<str>,
    ) -> Self {
        Self {
            rings,
            clock,
            stopping,
            closed,
            open,
            prefix,
            connections: Cell::new(0),
            next: Cell::new(0),
        }
    }

    /// The number of the next request.
    pub fn next_id(&self) -> RequestId {
        let id = self.next.get() + 1;
        self.next.set(id);
        RequestId(id)
    }

    /// Whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }
}

/// Accepts connections until the process ends.
pub fn run(listener: TcpListener, make: impl FnOnce() -> Desk) {
    task::block_on(async move {
        let listener = net::TcpListener::from(listener);
        let desk = Rc::new(make());
        loop {
            match listener.accept().await {
                Ok((stream, client)) => admit(&desk, stream, client),
                Err(_) => task::sleep(ACCEPT_PAUSE).await,
            }
        }
    });
}

fn admit(desk: &Rc<Desk>, stream: net::TcpStream, client: std::net::SocketAddr) {
    let open = desk.connections.get();
    if open >= CONNECTIONS || desk.closed.load(Ordering::Acquire) {
        return;
    }
    desk.connections.set(open + 1);
    let desk = Rc::clone(desk);
    task::spawn_local(async move {
        connection::serve(stream, client, &desk).await;
        desk.connections.set(desk.connections.get() - 1);
    });
}
