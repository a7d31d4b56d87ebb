//! The peers duty: exchanges messages with other instances over WebSocket.
//!
//! Each peer has a ring and a task that sends its messages. A message that can't
//! be sent is dropped.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_std::future;
use async_std::net::TcpStream;
use async_std::task;
use async_tungstenite::tungstenite::Message as Frame;
use async_tungstenite::WebSocketStream;
use corianderway_model::InstanceId;
use corianderway_node::Event;
use corianderway_node::Message;
use corianderway_wire::peer;
use corianderway_wire::peer::Envelope;
use futures_util::StreamExt as _;

use crate::acceptor::Acceptor;
use crate::logs::Log;
use crate::rings;
use crate::rings::Input;

/// The timeout for a connection with its handshake, and for sending one message.
const SOCKET_TIMEOUT: Duration = Duration::from_secs(2);

/// The delay after a failed connection or send.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);

/// The time without a message after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);

/// The queued messages of each peer, sorted by address.
type Queues = Rc<RefCell<Vec<Queue>>>;

#[derive(Debug)]
struct Queue {
    to: SocketAddr,
    sender: Sender<Message>,
    // Used to drop the oldest message when the ring is full.
    receiver: Receiver<Message>,
}

/// Runs until the decision duty has ended.
pub fn run(
    listener: TcpListener,
    me: InstanceId,
    messages: Receiver<(SocketAddr, Message)>,
    decisions: Sender<Input>,
    log: Log,
) {
    task::block_on(async move {
        let acceptor = Acceptor::new(listener, "peers", log);
        task::spawn_local(accept(acceptor, decisions));
        let queues = Queues::default();
        while let Ok((to, message)) = messages.recv().await {
            enqueue(&queues, to, message, &me);
        }
    });
}

fn enqueue(queues: &Queues, to: SocketAddr, message: Message, me: &InstanceId) {
    let mut rows = queues.borrow_mut();
    let at = match rows.binary_search_by_key(&to, |q| q.to) {
        Ok(at) => at,
        Err(at) => {
            let (sender, receiver) = async_channel::bounded(rings::PEER_MESSAGES_CAPACITY);
            let queue = receiver.clone();
            rows.insert(
                at,
                Queue {
                    to,
                    sender,
                    receiver,
                },
            );
            let send = send_all(to, me.clone(), queue, Rc::clone(queues));
            task::spawn_local(send);
            at
        }
    };
    let queue = &rows[at];
    if queue.sender.is_full() {
        // Drops the oldest message.
        drop(queue.receiver.try_recv());
    }
    // The ring has room, and its task ends only after the row is removed.
    drop(queue.sender.try_send(message));
}

// Sends the messages for one peer, and removes its queue once it has been idle.
async fn send_all(to: SocketAddr, me: InstanceId, queue: Receiver<Message>, queues: Queues) {
    let mut socket = None;
    loop {
        let received = future::timeout(IDLE_TIMEOUT, queue.recv()).await;
        let Ok(Ok(message)) = received else {
            break;
        };
        let from = me.clone();
        let Ok(bytes) = peer::encode(&Envelope { from, message }) else {
            continue;
        };
        if socket.is_none() {
            socket = connect(to).await;
        }
        let sent = match &mut socket {
            Some(open) => send(open, bytes).await,
            None => false,
        };
        if !sent {
            socket = None;
            task::sleep(RECONNECT_DELAY).await;
        }
    }
    queues.borrow_mut().retain(|q| q.to != to);
}

async fn connect(to: SocketAddr) -> Option<WebSocketStream<TcpStream>> {
    let opening = async {
        let stream = TcpStream::connect(to).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let url = format!("ws://{to}/peers");
        let (socket, _) = async_tungstenite::client_async(url, stream).await.ok()?;
        Some(socket)
    };
    future::timeout(SOCKET_TIMEOUT, opening)
        .await
        .ok()
        .flatten()
}

async fn send(socket: &mut WebSocketStream<TcpStream>, bytes: Vec<u8>) -> bool {
    let sent = socket.send(Frame::binary(bytes));
    matches!(future::timeout(SOCKET_TIMEOUT, sent).await, Ok(Ok(())))
}

async fn accept(acceptor: Acceptor, decisions: Sender<Input>) {
    loop {
        let (stream, _) = acceptor.accept().await;
        task::spawn_local(receive_all(stream, decisions.clone()));
    }
}

async fn receive_all(stream: TcpStream, decisions: Sender<Input>) {
    let handshake = future::timeout(SOCKET_TIMEOUT, async_tungstenite::accept_async(stream)).await;
    let Ok(Ok(mut socket)) = handshake else {
        return;
    };
    while let Some(Ok(frame)) = socket.next().await {
        let Frame::Binary(bytes) = frame else {
            continue;
        };
        let Ok(Envelope { from, message }) = peer::decode(&bytes) else {
            return;
        };
        let event = Event::PeerMessage { from, message };
        if decisions.send(Input::Event(event)).await.is_err() {
            return;
        }
    }
}
