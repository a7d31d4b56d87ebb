//! The measurement duty: reads the health and load endpoints of backend servers.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_std::task;
use corianderway_model::Backend;
use corianderway_model::ServerId;
use corianderway_node::Event;
use corianderway_node::Report;
use serde::Deserialize;

use crate::client::Client;
use crate::rings::Input;

/// The time between two probes of a backend server.
const PERIOD: Duration = Duration::from_secs(1);

/// The longest wait for a report.
const ANSWER: Duration = Duration::from_millis(800);

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

/// Probes the servers of the latest list until the decision duty is gone.
pub fn run(lists: Receiver<Vec<Backend>>, decisions: Sender<Input>) {
    task::block_on(async move {
        let decisions = Rc::new(decisions);
        let mut servers = Vec::new();
        while let Ok(list) = lists.recv().await {
            servers = list;
            while let Ok(later) = lists.try_recv() {
                servers = later;
            }
            for server in &servers {
                let probe = probe(server.id.clone(), server.addr, Rc::clone(&decisions));
                task::spawn_local(probe);
            }
            task::sleep(PERIOD).await;
        }
        drop(servers);
    });
}

async fn probe(server: ServerId, addr: SocketAddr, decisions: Rc<Sender<Input>>) {
    let client = Client::new(addr);
    let health = client.call("GET", "/health", &[], None, ANSWER).await;
    let load = client.call("GET", "/load", &[], None, ANSWER).await;
    let health = health.ok().and_then(|reply| reply.json::<Health>());
    let load = load.ok().and_then(|reply| reply.json::<Load>());
    let report = Report {
        server,
        healthy: health.as_ref().map(|h| h.status == "ok"),
        draining: health.is_some_and(|h| h.status == "draining"),
        running: load.as_ref().map_or(0, |l| l.running),
        queued: load.map_or(0, |l| l.queued),
    };
    // The decision duty ends last; when it is gone, so is the process.
    drop(decisions.send(Input::Event(Event::Reported(report))).await);
}
