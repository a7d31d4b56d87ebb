//! The callers duty: accepts connections from callers.
//!
//! Each connection is served by a task of its own, up to a fixed number of
//! connections.

use std::cell::Cell;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use async_std::net;
use async_std::task;
use corianderway_steer::ConnectionChart;
use corianderway_steer::RequestId;

use crate::edge::body_memory::BodyMemory;
use crate::edge::connection;
use crate::edge::decisions::SharedState;
use crate::edge::limits::SharedLimits;
use crate::edge::rings::Input;

/// The maximum number of open connections from callers; the bound leaves file
/// descriptors for connections to backend servers.
pub const MAX_CONNECTIONS: usize = 2_500;

/// The delay after a failed accept, which usually means that no file
/// descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The state that all connections share.
#[derive(Debug)]
pub struct Context {
    /// The ring to the decision duty.
    pub decisions: Sender<Input>,
    /// The limits on callers' requests.
    pub limits: SharedLimits,
    /// Set when a planned stop begins.
    pub stopping: Arc<AtomicBool>,
    /// The source of request ids.
    pub ids: RequestIds,
    /// The memory budget for bodies.
    pub body_memory: BodyMemory,
    /// The chart of each connection.
    pub chart: ConnectionChart,
    // The number of requests that are being read, decided or answered.
    active: Arc<AtomicUsize>,
    behind: Arc<AtomicUsize>,
    connections: Arc<AtomicUsize>,
}

/// Counts a request until it is dropped, at the latest when its answer is written.
#[derive(Debug)]
pub struct RequestGuard<'a>(&'a AtomicUsize);

impl Drop for RequestGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Counts a connection as open until it is dropped, also by a panic.
#[derive(Debug)]
struct ConnectionGuard(Arc<AtomicUsize>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Allocates request ids; each duty that does so has its own range.
#[derive(Debug)]
pub struct RequestIds(Cell<u64>);

impl RequestIds {
    /// Creates an allocator whose first id is `start + 1`.
    pub fn after(start: u64) -> Self {
        Self(Cell::new(start))
    }

    /// Returns the next id.
    pub fn next(&self) -> RequestId {
        let next = self.0.get() + 1;
        self.0.set(next);
        RequestId(next)
    }
}

impl Context {
    /// Creates the state with no open connections.
    pub fn new(
        decisions: Sender<Input>,
        shared: SharedState,
        body_memory: BodyMemory,
        stopping: Arc<AtomicBool>,
        chart: ConnectionChart,
    ) -> Self {
        Self {
            decisions,
            limits: shared.limits,
            active: shared.active,
            behind: shared.behind,
            body_memory,
            stopping,
            chart,
            ids: RequestIds::after(0),
            connections: shared.connections,
        }
    }

    /// Counts a request as active until the guard is dropped.
    pub fn begin_request(&self) -> RequestGuard<'_> {
        self.active.fetch_add(1, Ordering::AcqRel);
        RequestGuard(&self.active)
    }

    /// Counts a request as read behind an open one of its connection until the guard is
    /// dropped.
    pub fn begin_behind(&self) -> RequestGuard<'_> {
        self.behind.fetch_add(1, Ordering::AcqRel);
        RequestGuard(&self.behind)
    }

    /// Returns true once a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }
}

/// Accepts connections until the process ends.
pub fn run(listener: TcpListener, make: impl FnOnce() -> Context) {
    task::block_on(async move {
        let listener = net::TcpListener::from(listener);
        let ctx = Rc::new(make());
        loop {
            match listener.accept().await {
                Ok((stream, _)) => admit(&ctx, stream),
                Err(_) => task::sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
    });
}

// Serves a connection in a task, or closes it at once if too many are open.
fn admit(ctx: &Rc<Context>, stream: net::TcpStream) {
    if ctx.connections.load(Ordering::Acquire) >= MAX_CONNECTIONS {
        return;
    }
    ctx.connections.fetch_add(1, Ordering::AcqRel);
    let guard = ConnectionGuard(Arc::clone(&ctx.connections));
    let ctx = Rc::clone(ctx);
    task::spawn_local(async move {
        connection::serve(&stream, &ctx).await;
        drop(guard);
    });
}
