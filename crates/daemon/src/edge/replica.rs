//! Serves this instance's copy of the store to instances that follow it.

use std::cell::RefCell;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_std::future;
use async_std::net;
use async_std::net::TcpStream;
use async_std::task;
use async_tungstenite::tungstenite::Message;
use async_tungstenite::WebSocketStream;
use corianderway_platform::store::KINDS;
use futures_util::StreamExt as _;
use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::edge::copy::Since;
use crate::edge::frame::Frame;
use crate::edge::frame::Known;
use crate::edge::store::Desk;

/// The longest time to shake hands and to hear the first message.
pub(super) const GREETING: Duration = Duration::from_secs(1);

/// The time between two signs of life.
pub(super) const PULSE: Duration = Duration::from_millis(400);

/// How long a reader waits for an instance to begin to follow the store: the
/// first one of a domain may be about to.
const BEGINNING: Duration = Duration::from_millis(300);

/// How long a reader waits for one that has begun to know what the store holds.
const LISTING: Duration = Duration::from_secs(1);

/// The longest time for which one that reads nothing holds up its own stream.
const WRITE: Duration = Duration::from_secs(2);

/// The pause after an accept that failed for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Wakes the streams when the copy changes.
#[derive(Debug, Default)]
pub struct Bell(RefCell<Vec<Sender<()>>>);

impl Bell {
    /// Wakes every stream; one that is awake needs no second call.
    pub fn ring(&self) {
        let mut streams = self.0.borrow_mut();
        streams.retain(|stream| !stream.is_closed());
        for stream in streams.iter() {
            let _ = stream.try_send(());
        }
    }

    fn listen(&self) -> Receiver<()> {
        let (sender, receiver) = async_channel::bounded(1);
        self.0.borrow_mut().push(sender);
        receiver
    }
}

/// Serves until the process ends.
pub(super) async fn serve(listener: TcpListener, desk: Rc<Desk>) {
    let listener = net::TcpListener::from(listener);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            task::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let desk = Rc::clone(&desk);
        // A stream that breaks concerns its reader only.
        task::spawn_local(async move {
            let _ = stream_to(stream, &desk).await;
        });
    }
}

async fn stream_to(stream: TcpStream, desk: &Desk) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let shaken = future::timeout(GREETING, async_tungstenite::accept_async(stream)).await;
    let mut socket = shaken.ok()?.ok()?;
    let known: Known = read(&mut socket, GREETING).await.ok()?;
    let mut sent = known.0;
    let bell = desk.bell.listen();
    await_current(desk, &bell).await;
    let mut greeted = false;
    loop {
        if !desk.is_current() {
            return write(&mut socket, &Frame::Lost).await;
        }
        let first = !std::mem::replace(&mut greeted, true);
        let mut told = false;
        for (place, kind) in KINDS.into_iter().enumerate() {
            let news = desk
                .copies
                .borrow()
                .of(kind)
                .since(sent[place], place as u8);
            let Some(Since { revision, frame }) = news else {
                continue;
            };
            sent[place] = Some(revision);
            if let Some(frame) = frame {
                told = true;
                write(&mut socket, &frame).await?;
            }
        }
        if first || !told {
            write(&mut socket, &Frame::Pulse).await?;
        }
        // Elapsed or woken, there is something to say.
        let _ = future::timeout(PULSE, bell.recv()).await;
    }
}

// Waits until the copy follows the store, as long as there is hope.
async fn await_current(desk: &Desk, bell: &Receiver<()>) {
    let begun = async { while !desk.follows_store() && bell.recv().await.is_ok() {} };
    if future::timeout(BEGINNING, begun).await.is_err() {
        return;
    }
    let current = async { while !desk.is_current() && bell.recv().await.is_ok() {} };
    // Elapsed or not, the caller looks at what there is.
    let _ = future::timeout(LISTING, current).await;
}

/// Why no message was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Unread {
    /// The stream ended, or brought something else.
    Broken,
    /// Nothing came in time.
    Silent,
}

/// Reads one message within a time.
pub(super) async fn read<T: DeserializeOwned>(
    socket: &mut WebSocketStream<TcpStream>,
    limit: Duration,
) -> Result<T, Unread> {
    let next = future::timeout(limit, socket.next()).await;
    match next.map_err(|_elapsed| Unread::Silent)? {
        Some(Ok(Message::Binary(bytes))) => {
            ciborium::from_reader(&*bytes).map_err(|_malformed| Unread::Broken)
        }
        Some(_) | None => Err(Unread::Broken),
    }
}

/// Writes one message; none if the stream breaks.
pub(super) async fn write(
    socket: &mut WebSocketStream<TcpStream>,
    message: &impl Serialize,
) -> Option<()> {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).ok()?;
    let written = future::timeout(WRITE, socket.send(Message::binary(bytes))).await;
    written.ok()?.ok()
}
