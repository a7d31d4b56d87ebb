//! The callers duty: accepts connections from callers.
//!
//! Each connection is served by a task of its own. When most slots for connections are in
//! use, connections are closed after an answer, and a new one replaces the one that has been
//! idle for longest; if none has, its request is refused as not run. Without any slot left,
//! a new connection is closed at once.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_channel::Sender;
use async_std::net::TcpStream;
use async_std::task;
use corianderway_model::SortedMap;
use corianderway_steer::ConnectionChart;
use corianderway_steer::RequestId;

use crate::acceptor::Acceptor;
use crate::descriptors::Descriptors;
use crate::edge::body_memory::BodyMemory;
use crate::edge::connection;
use crate::edge::decisions::SharedState;
use crate::edge::limits::SharedLimits;
use crate::edge::rings::Input;
use crate::logs::Log;
use crate::slots::Slots;

/// The share of the slots, as a divisor, that is kept for refusing requests.
const REFUSAL_DIVISOR: usize = 8;

/// The idle time after which a connection may be replaced by a new one.
const MIN_IDLE: Duration = Duration::from_secs(1);

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
    slots: Slots,
    // By the order in which they became idle.
    idle: RefCell<SortedMap<u64, Idle>>,
    last_idle: Cell<u64>,
}

/// A connection without an open request.
#[derive(Debug)]
struct Idle {
    since: Instant,
    stream: TcpStream,
    // Asks its task to close it.
    close: Sender<()>,
}

/// Lists a connection as idle until it is dropped.
#[derive(Debug)]
pub struct IdleGuard<'a> {
    ctx: &'a Context,
    number: u64,
}

impl Drop for IdleGuard<'_> {
    fn drop(&mut self) {
        self.ctx.idle.borrow_mut().remove(&self.number);
    }
}

/// Counts a request until it is dropped, at the latest when its answer is written.
#[derive(Debug)]
pub struct RequestGuard<'a>(&'a AtomicUsize);

impl Drop for RequestGuard<'_> {
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
        descriptors: Descriptors,
        body_memory: BodyMemory,
        stopping: Arc<AtomicBool>,
        chart: ConnectionChart,
    ) -> Self {
        Self {
            slots: shared.caller_slots(descriptors),
            idle: RefCell::default(),
            last_idle: Cell::default(),
            decisions,
            limits: shared.limits,
            active: shared.active,
            behind: shared.behind,
            body_memory,
            stopping,
            chart,
            ids: RequestIds::after(0),
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

    /// Returns whether most slots for connections are in use, so that connections should turn
    /// over.
    pub fn is_crowded(&self) -> bool {
        let max = self.slots.max();
        self.slots.used() > max - (max / REFUSAL_DIVISOR).max(1)
    }

    /// Lists a connection as idle until the guard is dropped; `close` is sent to if a new one
    /// replaces it.
    pub fn begin_idle(&self, stream: &TcpStream, close: &Sender<()>) -> IdleGuard<'_> {
        let number = self.last_idle.get() + 1;
        self.last_idle.set(number);
        let idle = Idle {
            since: Instant::now(),
            stream: stream.clone(),
            close: close.clone(),
        };
        self.idle.borrow_mut().insert(number, idle);
        IdleGuard { ctx: self, number }
    }

    // Closes the connection that has been idle for longest, if it may be; returns whether one
    // is closed. One with unread bytes has a request.
    fn close_idle(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let found = idle
            .iter()
            .take_while(|(_, idle)| idle.since.elapsed() >= MIN_IDLE)
            .find(|(_, idle)| !connection::is_readable(&idle.stream))
            .map(|(number, _)| *number);
        let closed = found.and_then(|number| idle.remove(&number));
        closed.is_some_and(|idle| idle.close.try_send(()).is_ok())
    }

    /// Returns true once a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }
}

/// Accepts connections until the process ends.
pub fn run(listener: TcpListener, log: Log, make: impl FnOnce() -> Context) {
    task::block_on(async move {
        let acceptor = Acceptor::new(listener, "callers", log);
        let ctx = Rc::new(make());
        loop {
            let (stream, _) = acceptor.accept().await;
            admit(&ctx, &acceptor, stream);
        }
    });
}

// Serves a connection or refuses its request in a task, or closes it at once if too many are
// open.
fn admit(ctx: &Rc<Context>, acceptor: &Acceptor, stream: TcpStream) {
    let Some(slot) = ctx.slots.take() else {
        acceptor.reject(ctx.slots.used());
        return;
    };
    let is_served = !ctx.is_crowded() || ctx.close_idle();
    if !is_served {
        acceptor.reject(ctx.slots.used());
    }
    let ctx = Rc::clone(ctx);
    task::spawn_local(async move {
        if is_served {
            connection::serve(&stream, &ctx).await;
        } else {
            connection::refuse(&stream, &ctx).await;
        }
        drop(slot);
    });
}
