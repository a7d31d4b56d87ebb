//! The servers duty: sends requests to backend servers.
//!
//! Each attempt runs as a task of its own. Idle connections are kept in a pool that
//! all attempts share.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_std::task;
use corianderway_model::ServerId;
use corianderway_steer::Event;

use crate::clock::Clock;
use crate::edge::body_memory::BodyMemory;
use crate::edge::exchange;
use crate::edge::exchange::ConnectError;
use crate::edge::exchange::Connections;
use crate::edge::rings::Input;
use crate::edge::rings::ServerCommand;
use crate::pool::Pool;
use crate::slots::Slots;

/// The interval at which expired idle connections are closed.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// The delay before a check, in which a process that ended has closed its listener.
const CHECK_DELAY: Duration = Duration::from_millis(100);

/// Runs until every sender of commands has been dropped.
pub fn run(
    commands: Receiver<ServerCommand>,
    clock: Clock,
    body_memory: BodyMemory,
    max_connections: usize,
    decisions: Sender<Input>,
) {
    task::block_on(async move {
        let connections = Rc::new(Connections {
            idle: RefCell::new(Pool::default()),
            slots: Slots::new(Arc::default(), max_connections),
        });
        task::spawn_local(expire(Rc::clone(&connections)));
        while let Ok(command) = commands.recv().await {
            let decisions = decisions.clone();
            match command {
                ServerCommand::Attempt(job) => {
                    let connections = Rc::clone(&connections);
                    let reservation = body_memory.reservation();
                    task::spawn_local(exchange::run(
                        job,
                        clock,
                        connections,
                        reservation,
                        decisions,
                    ));
                }
                ServerCommand::Check(server, addr) => {
                    task::spawn_local(check(server, addr, Rc::clone(&connections), decisions));
                }
            }
        }
    });
}

async fn check(
    server: ServerId,
    addr: SocketAddr,
    connections: Rc<Connections>,
    decisions: Sender<Input>,
) {
    task::sleep(CHECK_DELAY).await;
    // Without room for that long, nothing is known of the server.
    let Some(_slot) = connections.wait_slot(exchange::CONNECT_TIMEOUT).await else {
        return;
    };
    let reachable = match exchange::connect(addr, exchange::CONNECT_TIMEOUT).await {
        Ok(_) => true,
        Err(ConnectError::Unreachable) => false,
        Err(ConnectError::Local) => return,
    };
    let input = Input::Event(Event::ServerChecked { server, reachable });
    // Sending fails only at process end, since the decision duty ends last.
    drop(decisions.send(input).await);
}

async fn expire(connections: Rc<Connections>) {
    loop {
        task::sleep(EXPIRY_INTERVAL).await;
        connections.idle.borrow_mut().expire();
    }
}
