//! The peers duty: messages between instances, as datagrams.
//!
//! A message that is lost or late is superseded by the next one, so nothing is
//! acknowledged, kept or sent again.

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

use crate::edge::rings::Input;
use crate::edge::rings::Letter;
use crate::logs::Log;

/// The longest datagram that is taken, in bytes.
const DATAGRAM: usize = 16 * 1024;

/// The pause after a datagram that could not be received.
const PAUSE: Duration = Duration::from_millis(50);

/// Runs until the decision duty is gone.
pub fn run(socket: UdpSocket, letters: Receiver<Letter>, decisions: Sender<Input>, log: Log) {
    task::block_on(async move {
        let socket = std::rc::Rc::new(net::UdpSocket::from(socket));
        let receiving = std::rc::Rc::clone(&socket);
        let receive_log = log.clone();
        task::spawn_local(async move { receive(&receiving, decisions, receive_log).await });
        while let Ok((to, message)) = letters.recv().await {
            let mut bytes = Vec::new();
            if let Err(error) = ciborium::into_writer(&message, &mut bytes) {
                let line = LogLine::new("message-unwritten").with("error", error);
                log.put(Level::Warn, line);
                continue;
            }
            // Like one that is lost on its way.
            drop(socket.send_to(&bytes, to).await);
        }
    });
}

async fn receive(socket: &net::UdpSocket, decisions: Sender<Input>, log: Log) {
    let mut bytes = vec![0; DATAGRAM];
    loop {
        let Ok((count, from)) = socket.recv_from(&mut bytes).await else {
            task::sleep(PAUSE).await;
            continue;
        };
        match ciborium::from_reader::<Message, _>(&bytes[..count]) {
            Ok(message) => {
                let input = Input::Event(Event::Message(message));
                if decisions.send(input).await.is_err() {
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
