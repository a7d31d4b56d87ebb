//! The peers duty: sends and receives messages between instances over UDP.
//!
//! Messages are neither acknowledged nor resent, since the next one supersedes a
//! lost or late one.

use std::net::UdpSocket;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_std::net;
use async_std::task;
use corianderway_steer::Event;
use corianderway_steer::Message;
use corianderway_wire::log_line::LogLine;
use log::Level;

use crate::edge::rings::DutyInput;
use crate::edge::rings::Input;
use crate::edge::rings::PeerMessage;
use crate::logs::Log;

/// The maximum size of a received datagram; the rest of a longer one is lost.
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;

/// The delay after a failed receive.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The rings to which messages are passed on.
#[derive(Debug)]
pub struct Recipients {
    /// To the decision duty.
    pub decisions: Sender<Input>,
    /// To the duties thread, if there are duties.
    pub duties: Option<Sender<DutyInput>>,
}

/// Runs until the decision duty has ended.
pub fn run(socket: UdpSocket, messages: Receiver<PeerMessage>, recipients: Recipients, log: Log) {
    task::block_on(async move {
        let socket = std::rc::Rc::new(net::UdpSocket::from(socket));
        let receiving = std::rc::Rc::clone(&socket);
        let receive_log = log.clone();
        task::spawn_local(async move { receive(&receiving, recipients, receive_log).await });
        while let Ok((to, message)) = messages.recv().await {
            let mut bytes = Vec::new();
            if let Err(error) = ciborium::into_writer(&message, &mut bytes) {
                let line = LogLine::new("message-unwritten").with("error", error);
                log.put(Level::Warn, line);
                continue;
            }
            // A failed send is treated like a datagram lost in the network.
            drop(socket.send_to(&bytes, to).await);
        }
    });
}

async fn receive(socket: &net::UdpSocket, recipients: Recipients, log: Log) {
    let mut bytes = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((count, from)) = socket.recv_from(&mut bytes).await else {
            task::sleep(RECEIVE_RETRY_DELAY).await;
            continue;
        };
        match ciborium::from_reader::<Message, _>(&bytes[..count]) {
            Ok(Message::Duty(message)) => {
                if let Some(duties) = &recipients.duties {
                    // Dropped if the ring is full; the next message supersedes it.
                    drop(duties.try_send(DutyInput::Message(message)));
                }
            }
            Ok(message) => {
                let input = Input::Event(Event::Message(message));
                if recipients.decisions.send(input).await.is_err() {
                    return;
                }
            }
            Err(error) => {
                let line = LogLine::new("message-unread");
                log.put(Level::Warn, line.with("from", from).with("error", error));
            }
        }
    }
}
