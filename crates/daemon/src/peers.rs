//! The peers duty: messages between entry instances over WebSocket.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_std::future;
use async_std::net;
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

use crate::rings;
use crate::rings::Input;

/// The longest time to connect and shake hands.
const CONNECT: Duration = Duration::from_secs(2);

/// The pause after a failed connection.
const PAUSE: Duration = Duration::from_millis(200);

/// A connection that carried no message for this long is closed.
const IDLE: Duration = Duration::from_mins(1);

/// The pause after an accept that failed for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The messages that wait for each peer, sorted by address.
type Queues = Rc<RefCell<Vec<Queue>>>;

#[derive(Debug)]
struct Queue {
    to: SocketAddr,
    sender: Sender<Message>,
    // The other end, to make room for a later message.
    crowded: Receiver<Message>,
}

/// Runs until the decision duty is gone.
pub fn run(
    listener: TcpListener,
    me: InstanceId,
    messages: Receiver<(SocketAddr, Message)>,
    decisions: Sender<Input>,
) {
    task::block_on(async move {
        task::spawn_local(accept(listener.into(), decisions));
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
            let (sender, crowded) = async_channel::bounded(rings::PEER_MESSAGES_CAPACITY);
            let queue = crowded.clone();
            rows.insert(
                at,
                Queue {
                    to,
                    sender,
                    crowded,
                },
            );
            let send = send_all(to, me.clone(), queue, Rc::clone(queues));
            task::spawn_local(send);
            at
        }
    };
    let queue = &rows[at];
    if queue.sender.is_full() {
        // The oldest message gives way.
        drop(queue.crowded.try_recv());
    }
    // The ring has room and its task ends only after the row is removed.
    drop(queue.sender.try_send(message));
}

// Sends the messages for one peer, and forgets the peer when there are none.
async fn send_all(to: SocketAddr, me: InstanceId, queue: Receiver<Message>, queues: Queues) {
    let mut socket = None;
    loop {
        let waited = future::timeout(IDLE, queue.recv()).await;
        let Ok(Ok(message)) = waited else {
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
            task::sleep(PAUSE).await;
        }
    }
    queues.borrow_mut().retain(|q| q.to != to);
}

async fn connect(to: SocketAddr) -> Option<WebSocketStream<TcpStream>> {
    let opened = async {
        let stream = TcpStream::connect(to).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let url = format!("ws://{to}/peers");
        let (socket, _) = async_tungstenite::client_async(url, stream).await.ok()?;
        Some(socket)
    };
    future::timeout(CONNECT, opened).await.ok().flatten()
}

async fn send(socket: &mut WebSocketStream<TcpStream>, bytes: Vec<u8>) -> bool {
    let sent = socket.send(Frame::binary(bytes));
    matches!(future::timeout(CONNECT, sent).await, Ok(Ok(())))
}

async fn accept(listener: net::TcpListener, decisions: Sender<Input>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                task::spawn_local(receive_all(stream, decisions.clone()));
            }
            Err(_) => task::sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn receive_all(stream: TcpStream, decisions: Sender<Input>) {
    let shaken = future::timeout(CONNECT, async_tungstenite::accept_async(stream)).await;
    let Ok(Ok(mut socket)) = shaken else {
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
