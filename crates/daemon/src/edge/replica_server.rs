//! Serves this instance's copy of the store to other instances.
//!
//! A follower connects by WebSocket and sends the revisions that it knows. It
//! receives what changed since then, and further changes until this instance
//! loses the store. A copy that does not follow the store itself is not served, so
//! replicas are never chained.

use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use async_std::future;
use async_std::net::TcpStream;
use async_std::task;
use async_tungstenite::tungstenite::Message;
use async_tungstenite::WebSocketStream;
use corianderway_model::Era;
use corianderway_model::Revision;
use corianderway_platform::store::KINDS;
use futures_util::StreamExt as _;
use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::acceptor::Acceptor;
use crate::edge::copy::Update;
use crate::edge::frame::Frame;
use crate::edge::frame::KnownRevisions;
use crate::edge::store::Context;
use crate::slots::Slots;

/// The timeout of the WebSocket handshake, and of the follower's first message.
pub(super) const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(1);

/// The interval after which a frame is sent even if nothing changed.
pub(super) const PULSE_INTERVAL: Duration = Duration::from_millis(400);

/// How long a follower is kept waiting until this instance starts to follow the
/// store, as the first instance of a failure domain may be about to.
const FOLLOW_TIMEOUT: Duration = Duration::from_millis(300);

/// How long a follower is kept waiting until this instance has listed the store.
const LISTING_TIMEOUT: Duration = Duration::from_secs(1);

/// The timeout for writing one message, after which a follower that reads
/// nothing is disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Accepts followers until the process ends, up to `max` at a time.
pub(super) async fn serve(listener: TcpListener, max: usize, ctx: Rc<Context>) {
    let acceptor = Acceptor::new(listener, "replica", ctx.log.clone());
    let slots = Slots::new(Arc::default(), max);
    loop {
        let (stream, _) = acceptor.accept().await;
        // A follower that is turned away looks for another source.
        let Some(slot) = slots.take() else {
            acceptor.reject(slots.used());
            continue;
        };
        let ctx = Rc::clone(&ctx);
        // A broken stream affects only its own follower.
        task::spawn_local(async move {
            let _ = serve_stream(stream, &ctx).await;
            drop(slot);
        });
    }
}

async fn serve_stream(stream: TcpStream, ctx: &Context) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let opened = future::timeout(HANDSHAKE_TIMEOUT, async_tungstenite::accept_async(stream)).await;
    let mut socket = opened.ok()?.ok()?;
    let known: KnownRevisions = read_message(&mut socket, HANDSHAKE_TIMEOUT).await.ok()?;
    let mut sent = known.0;
    let notifier = ctx.notifier.subscribe();
    wait_until_current(ctx, &notifier).await;
    let mut started = false;
    loop {
        // The store came back from an older copy, and all kinds are being listed again.
        if started && !ctx.is_current() && ctx.follows_store() {
            wait_until_current(ctx, &notifier).await;
        }
        if !ctx.is_current() {
            let last = if ctx.follows_replica() {
                Frame::Ended
            } else {
                Frame::Lost
            };
            return write_message(&mut socket, &last).await;
        }
        let first = !std::mem::replace(&mut started, true);
        let mut changed = false;
        let era = latest_era(&sent);
        for (index, kind) in KINDS.into_iter().enumerate() {
            let update = ctx
                .copy
                .borrow()
                .of(kind)
                .update_since(sent[index], index as u8);
            let Some(Update { revision, frame }) = update else {
                continue;
            };
            sent[index] = Some(revision);
            if let Some(frame) = frame {
                changed = true;
                write_message(&mut socket, &frame).await?;
            }
        }
        if first || !changed || latest_era(&sent) > era {
            write_message(&mut socket, &Frame::Pulse).await?;
        }
        // A pulse is due after the interval, so both outcomes continue the loop.
        let _ = future::timeout(PULSE_INTERVAL, notifier.recv()).await;
    }
}

// Returns the latest era that a follower was told of.
fn latest_era(sent: &[Option<Revision>]) -> Option<Era> {
    sent.iter().flatten().map(|revision| revision.era).max()
}

// Waits until the copy follows the store, or a timeout shows that it won't.
async fn wait_until_current(ctx: &Context, notifier: &Receiver<()>) {
    let begun = async { while !ctx.follows_store() && notifier.recv().await.is_ok() {} };
    if future::timeout(FOLLOW_TIMEOUT, begun).await.is_err() {
        return;
    }
    let current = async { while !ctx.is_current() && notifier.recv().await.is_ok() {} };
    // The caller checks the state itself, so the outcome is ignored.
    let _ = future::timeout(LISTING_TIMEOUT, current).await;
}

/// Why no message could be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadError {
    /// The stream ended or failed, or the message could not be decoded.
    Broken,
    /// No message arrived before the timeout.
    TimedOut,
}

/// Reads one message.
///
/// # Errors
///
/// Fails if no valid message arrives before the timeout.
pub(super) async fn read_message<T: DeserializeOwned>(
    socket: &mut WebSocketStream<TcpStream>,
    timeout: Duration,
) -> Result<T, ReadError> {
    let next = future::timeout(timeout, socket.next()).await;
    match next.map_err(|_elapsed| ReadError::TimedOut)? {
        Some(Ok(Message::Binary(bytes))) => {
            ciborium::from_reader(&*bytes).map_err(|_malformed| ReadError::Broken)
        }
        Some(_) | None => Err(ReadError::Broken),
    }
}

/// Writes one message; returns `None` if the stream breaks or the write times
/// out.
pub(super) async fn write_message(
    socket: &mut WebSocketStream<TcpStream>,
    message: &impl Serialize,
) -> Option<()> {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).ok()?;
    let written = future::timeout(WRITE_TIMEOUT, socket.send(Message::binary(bytes))).await;
    written.ok()?.ok()
}
