//! The callers duty: accepts connections of callers and serves each in a task.

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
use crate::rings::CallerOutputs;

/// The maximum number of open connections of callers; further ones are closed at once.
const MAX_CONNECTIONS: usize = 4_096;

/// The delay after a failed accept, such as one without a free file descriptor.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The state shared by all connections of callers.
#[derive(Debug)]
pub struct CallerContext {
    /// The rings to other duties.
    pub outputs: CallerOutputs,
    /// The clock.
    pub clock: Clock,
    /// Set when a planned stop begins.
    pub stopping: Arc<AtomicBool>,
    /// Set when new connections are no longer accepted.
    pub accept_closed: Arc<AtomicBool>,
    /// Number of requests whose responses are not yet delivered.
    pub open_requests: Arc<AtomicU64>,
    /// The prefix of generated request ids, unique to this process.
    pub prefix: Arc<str>,
    open_connections: Cell<usize>,
    last_id: Cell<u64>,
}

impl CallerContext {
    pub fn new(
        outputs: CallerOutputs,
        clock: Clock,
        stopping: Arc<AtomicBool>,
        accept_closed: Arc<AtomicBool>,
        open_requests: Arc<AtomicU64>,
        prefix: Arc<str>,
    ) -> Self {
        Self {
            outputs,
            clock,
            stopping,
            accept_closed,
            open_requests,
            prefix,
            open_connections: Cell::new(0),
            last_id: Cell::new(0),
        }
    }

    /// Returns a number that is unique to the request.
    pub fn next_id(&self) -> RequestId {
        let id = self.last_id.get() + 1;
        self.last_id.set(id);
        RequestId(id)
    }

    /// Returns whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }
}

/// Accepts connections until the process ends.
pub fn run(listener: TcpListener, make: impl FnOnce() -> CallerContext) {
    task::block_on(async move {
        let listener = net::TcpListener::from(listener);
        let ctx = Rc::new(make());
        loop {
            match listener.accept().await {
                Ok((stream, client)) => admit(&ctx, stream, client),
                Err(_) => task::sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
    });
}

fn admit(ctx: &Rc<CallerContext>, stream: net::TcpStream, client: std::net::SocketAddr) {
    let open_requests = ctx.open_connections.get();
    if open_requests >= MAX_CONNECTIONS || ctx.accept_closed.load(Ordering::Acquire) {
        return;
    }
    ctx.open_connections.set(open_requests + 1);
    let ctx = Rc::clone(ctx);
    task::spawn_local(async move {
        connection::serve(stream, client, &ctx).await;
        ctx.open_connections.set(ctx.open_connections.get() - 1);
    });
}
