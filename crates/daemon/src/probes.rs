//! The measurement duty: reads the health and load endpoints of backend servers.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_std::task;
use corianderway_model::ServerId;
use corianderway_node::Event;
use corianderway_node::PollResult;
use serde::Deserialize;

use crate::client::Client;
use crate::rings::Input;
use crate::rings::Probe;

/// The timeout for one endpoint.
const PROBE_TIMEOUT: Duration = Duration::from_millis(800);

#[derive(Debug, Deserialize)]
struct Health {
    status: String,
}

#[derive(Debug, Deserialize)]
struct Load {
    running: u32,
    #[serde(default)]
    queued: u32,
}

/// Probes backend servers until the decision duty has ended.
pub fn run(probes: Receiver<Probe>, decisions: Sender<Input>) {
    task::block_on(async move {
        let decisions = Rc::new(decisions);
        while let Ok(probe) = probes.recv().await {
            match probe {
                Probe::List(servers) => {
                    for server in servers {
                        let poll = probe_server(server.id, server.addr, Rc::clone(&decisions));
                        task::spawn_local(poll);
                    }
                }
                Probe::One(server, addr) => {
                    task::spawn_local(probe_server(server, addr, Rc::clone(&decisions)));
                }
            }
        }
    });
}

async fn probe_server(server: ServerId, addr: SocketAddr, decisions: Rc<Sender<Input>>) {
    let client = Client::new(addr);
    let health = client
        .call("GET", "/health", &[], None, PROBE_TIMEOUT)
        .await;
    let load = client.call("GET", "/load", &[], None, PROBE_TIMEOUT).await;
    let reached = !matches!(&health, Err(error) if error.nothing_sent);
    let health = health.ok().and_then(|reply| reply.json::<Health>());
    let load = load.ok().and_then(|reply| reply.json::<Load>());
    let report = PollResult {
        server,
        reached,
        healthy: health.as_ref().map(|h| h.status == "ok"),
        draining: health.is_some_and(|h| h.status == "draining"),
        load: load.map(|l| l.running + l.queued),
    };
    // The decision duty ends last, so a send fails only at the end of the process.
    drop(
        decisions
            .send(Input::Event(Event::ServerPolled(report)))
            .await,
    );
}
