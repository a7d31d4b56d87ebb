//! The callers duty: accepts connections of callers and serves each in a task.

use std::cell::Cell;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;

use async_std::net::TcpStream;
use async_std::task;
use corianderway_node::RequestId;

use crate::acceptor::Acceptor;
use crate::clock::Clock;
use crate::connection;
use crate::logs::Log;
use crate::rings::CallerOutputs;
use crate::slots::Slots;

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
    // Without a free one, a connection is closed at once.
    slots: Slots,
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
        max_connections: usize,
    ) -> Self {
        Self {
            outputs,
            clock,
            stopping,
            accept_closed,
            open_requests,
            prefix,
            slots: Slots::new(Arc::default(), max_connections),
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
pub fn run(listener: TcpListener, log: Log, make: impl FnOnce() -> CallerContext) {
    task::block_on(async move {
        let acceptor = Acceptor::new(listener, "callers", log);
        let ctx = Rc::new(make());
        loop {
            let (stream, client) = acceptor.accept().await;
            admit(&ctx, &acceptor, stream, client);
        }
    });
}

fn admit(ctx: &Rc<CallerContext>, acceptor: &Acceptor, stream: TcpStream, client: SocketAddr) {
    if ctx.accept_closed.load(Ordering::Acquire) {
        return;
    }
    let Some(slot) = ctx.slots.take() else {
        acceptor.reject(ctx.slots.used());
        return;
    };
    let ctx = Rc::clone(ctx);
    task::spawn_local(async move {
        connection::serve(stream, client, &ctx).await;
        drop(slot);
    });
}
